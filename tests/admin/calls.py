"""Requests to the admin listener, and a listener that runs in the test process."""

import contextlib
import socket
import threading

from tests.http.scripted_server import exchange
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


def call_admin(port, request):
    """Send the bytes of a request on a new connection; return the answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as sock:
        return exchange(port, request, sock)


def is_healthy(port):
    """Return whether the health check of an admin listener succeeds; False while none listens."""
    try:
        return call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    except OSError:
        return False


@contextlib.contextmanager
def running_listener(listener):
    """Run an admin listener in a thread; close the listener and end the thread afterwards."""
    thread = threading.Thread(target=listener.run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        listener.listening_socket.close()
        thread.join(WAIT_TIMEOUT_SECONDS)
