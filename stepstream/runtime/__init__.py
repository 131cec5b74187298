"""Log, clock, threads, sockets and transports, for all modules that do I/O."""
