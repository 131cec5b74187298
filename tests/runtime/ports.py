"""Ports of 127.0.0.1 for tests."""

import socket


def free_port():
    """Return a port on which nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]
