"""Lingering closes: sockets that are shut down here and closed a while later (RFC 9112, 9.6).

Closed over bytes that its peer sends meanwhile, a connection would be reset, and an answer that the
peer has not read yet could be lost with it. No thread waits for these sockets: the main thread's
periodic check closes them.
"""

import socket
import threading
import time
from collections import deque

from stepstream.config.limits import Limits


class LingeringSockets:
    """The sockets that are to be closed, and when.

    Any thread that accepts connections adds, the main thread closes. The lock guards `queue`.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits  # replaced by a reload
        self.lock = threading.Lock()
        self.queue: deque[tuple[float, socket.socket]] = deque()  # close at (monotonic seconds)

    def __len__(self) -> int:
        return len(self.queue)

    def add(self, sock: socket.socket, seconds: float) -> None:
        """Close a socket after `seconds`; beyond the limit the oldest one is closed at once."""
        oldest = None
        with self.lock:
            self.queue.append((time.monotonic() + seconds, sock))
            if len(self.queue) > self.limits.connections.lingering:
                _, oldest = self.queue.popleft()
        if oldest is not None:
            self._discard_received(oldest)
            oldest.close()

    def close_due(self, now_seconds: float) -> None:
        """Discard what has come, and close the sockets whose time is over (monotonic seconds)."""
        with self.lock:
            waiting = self.queue
            self.queue = deque()
        remaining = []
        for close_at_seconds, sock in waiting:
            self._discard_received(sock)
            if now_seconds > close_at_seconds:
                sock.close()
            else:
                remaining.append((close_at_seconds, sock))
        with self.lock:
            self.queue.extendleft(reversed(remaining))

    def _discard_received(self, sock: socket.socket) -> None:
        try:
            while sock.recv(self.limits.sizes.read_bytes, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # nothing more, or no connection any more
