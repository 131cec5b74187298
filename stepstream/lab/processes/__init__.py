"""Start, load, disturb and stop real dispatchers, each in a process of its own."""
