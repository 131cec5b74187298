"""Lingering closes: sockets that are shut down here and closed a while later (RFC 9112, 9.6).

A socket that is closed while its peer still sends is reset, and the reset may destroy an answer
that the peer has not read yet. No thread waits for these sockets: the main thread's periodic tasks
close them.
"""

import socket
import threading
import time
from collections import deque

from stepstream.config.limits import Limits


class LingeringSocket:
    """A socket that is shut down for sending, and the time to close it (monotonic seconds)."""

    __slots__ = ("sock", "close_at_seconds")

    def __init__(self, sock: socket.socket, close_at_seconds: float) -> None:
        self.sock = sock
        self.close_at_seconds = close_at_seconds

    def is_due(self, now_seconds: float) -> bool:
        """Decide whether to close the socket: its peer has had time to read the answer."""
        return now_seconds > self.close_at_seconds

    def discard_received(self, read_bytes: int) -> None:
        """Read and drop what the peer has sent, `read_bytes` at a time, without waiting."""
        try:
            while self.sock.recv(read_bytes, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # no bytes are left, or the connection has ended


class LingeringSockets:
    """The sockets that are closed later, at most `limits.connections.lingering`.

    Threads that accept connections add sockets; the main thread closes those that are due. The lock
    guards `queue` and `taken_count`.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits  # replaced by a reload
        self.lock = threading.Lock()
        self.queue: deque[LingeringSocket] = deque()  # in the order in which they were added
        self.taken_count = 0  # removed from the queue while `close_due` checks them

    def __len__(self) -> int:
        return len(self.queue) + self.taken_count

    def add(self, sock: socket.socket, seconds: float) -> None:
        """Close a socket after `seconds`; beyond the limit, close the oldest in the queue at once.

        Each socket uses a descriptor, and a flood of rejected peers must not use all of them.
        """
        oldest = None
        with self.lock:
            self.queue.append(LingeringSocket(sock, time.monotonic() + seconds))
            if len(self) > self.limits.connections.lingering:
                oldest = self.queue.popleft()
        if oldest is not None:
            oldest.discard_received(self.limits.sizes.read_bytes)
            oldest.sock.close()

    def close_due(self, now_seconds: float) -> None:
        """Discard the bytes that have arrived, and close the sockets that are due."""
        with self.lock:
            waiting = self.queue
            self.queue = deque()
            self.taken_count = len(waiting)
        remaining = []
        for lingering in waiting:
            lingering.discard_received(self.limits.sizes.read_bytes)
            if lingering.is_due(now_seconds):
                lingering.sock.close()
            else:
                remaining.append(lingering)
        with self.lock:
            self.queue.extendleft(reversed(remaining))
            self.taken_count = 0
