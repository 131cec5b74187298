"""The writer thread: it sends bytes that peers did not accept at once.

One thread waits for all such peers together, so that none delays another. It is idle while every
peer accepts its bytes at once.
"""

import contextlib
import os
import select
import threading
from typing import Protocol

from stepstream.runtime.threads import run_guarded
from stepstream.runtime.transport import Transport

THREAD_NAME = "gearman writer"
WAKE_READ_BYTES = 4096


class UnsentConnection(Protocol):
    """A connection with unsent bytes, as the writer uses it."""

    transport: Transport

    def send_unsent(self) -> None:
        """Send what the peer accepts now; the writer thread calls it."""


class Writer:
    """The connections that have unsent bytes, and the thread that waits until they are writable.

    A connection holds its own lock while it calls `add` and `remove`. `lock` guards
    `by_descriptor` and the registrations of `poll`. It is taken last, and no connection is called
    while it is held.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.poll = select.poll()
        self.by_descriptor: dict[int, UnsentConnection] = {}
        self.wake_read, self.wake_write = os.pipe()
        os.set_blocking(self.wake_write, False)
        self.poll.register(self.wake_read, select.POLLIN)

    def add(self, connection: UnsentConnection) -> None:
        """Have a connection send more once it is writable; any thread may call it."""
        with self.lock:
            descriptor = connection.transport.sock.fileno()
            if descriptor < 0 or descriptor in self.by_descriptor:
                return
            self.by_descriptor[descriptor] = connection
            self.poll.register(descriptor, select.POLLOUT)
        # If the pipe is full, its unread bytes wake the thread.
        with contextlib.suppress(BlockingIOError):
            os.write(self.wake_write, b"x")

    def remove(self, connection: UnsentConnection) -> None:
        """Stop waiting for a connection; any thread may call it, before the descriptor is closed.

        After that, another connection may get the same descriptor number.
        """
        with self.lock:
            descriptor = connection.transport.sock.fileno()
            if self.by_descriptor.get(descriptor) is connection:
                del self.by_descriptor[descriptor]
                self.poll.unregister(descriptor)

    def run(self) -> None:
        """Serve connections until the process ends; the body of the writer thread."""
        while True:
            run_guarded(THREAD_NAME, self._serve_writable)

    def _serve_writable(self) -> None:
        """Wait until connections are writable, and let each send more."""
        for descriptor, _ in self.poll.poll():
            if descriptor == self.wake_read:
                os.read(self.wake_read, WAKE_READ_BYTES)
                continue
            # `lock` is not needed: the connection checks under its own lock what is left to send.
            connection = self.by_descriptor.get(descriptor)
            if connection is not None:
                connection.send_unsent()
