"""Calls of the admin listener."""

import socket

from tests.http.scripted_server import exchange
from tests.runtime.waiting import PATIENCE_SECONDS


def call_admin(port, data):
    """Send a call on a new connection; return the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_SECONDS) as sock:
        return exchange(port, data, sock)
