"""Admin requests for the tests."""

import socket

from node_helpers import PATIENCE, ask


def request(port, data):
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE) as sock:
        sock.sendall(data)
        return ask(port, b"", sock)
