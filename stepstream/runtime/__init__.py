"""Log, clock, threads, sockets and transports, which every driver uses."""
