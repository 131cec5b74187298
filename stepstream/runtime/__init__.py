"""What every thread of the program uses: logging, clock, threads, sockets."""
