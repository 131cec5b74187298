"""Calls of the admin listener, and a listener that serves them in the test process."""

import contextlib
import socket
import threading

from tests.http.scripted_server import exchange
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


def call_admin(port, data):
    """Send a call on a new connection; return the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as sock:
        return exchange(port, data, sock)


@contextlib.contextmanager
def running_listener(listener):
    """Let an admin listener serve in a thread; close it and end the thread."""
    thread = threading.Thread(target=listener.run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        listener.listening_socket.close()
        thread.join(WAIT_TIMEOUT_SECONDS)
