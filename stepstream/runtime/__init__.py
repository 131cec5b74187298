"""What every driver stands on: clock, log, threads, sockets and transports."""
