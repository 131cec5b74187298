"""The real dispatcher's network side: threads on blocking sockets around the core."""
