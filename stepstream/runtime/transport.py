"""A connected socket: reads wait for the peer, writes can be made without waiting.

The connection's own thread reads. The connection's owner lets one thread at a time send. Any thread
may call `shut_down`.
"""

import contextlib
import socket
import time

from stepstream.runtime.sockets import has_peer_closed, shut_down


class Transport:
    """A transport over TCP; `identity.tls` has the one over TLS.

    Every method raises OSError if the connection has broken, except `has_unread`, `has_peer_left`,
    `half_close`, `shut_down` and `close`.
    """

    certificate: object = None  # the peer's; None for a peer without one

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unsent = bytearray()  # bytes that the kernel has not accepted yet

    def handshake(self) -> None:
        """Prepare the connection; does nothing for TCP.

        The connection's own thread calls it before the first read.
        """

    def receive(self, max_bytes: int) -> bytes:
        """Wait for bytes and return them; b"" if the peer sends no more."""
        return self.sock.recv(max_bytes)

    def wait_readable(self, max_bytes: int) -> bool:  # noqa: ARG002  used by TLS
        """Wait until bytes can be received; return False if the peer sends no more."""
        return bool(self.sock.recv(1, socket.MSG_PEEK))

    def receive_available(self, max_bytes: int) -> bytes:
        """Receive bytes without waiting; call it after `wait_readable`."""
        return self.sock.recv(max_bytes, socket.MSG_DONTWAIT)

    def drop_available(self, max_bytes: int) -> bool:
        """Drop bytes that have arrived, without waiting; return whether more may come.

        It drops them as they are on the wire, so that nothing can be received afterwards.
        """
        try:
            return bool(self.sock.recv(max_bytes, socket.MSG_DONTWAIT))
        except BlockingIOError:
            return True

    def enqueue(self, data: bytes) -> None:
        """Append bytes to `unsent`."""
        self.unsent += data

    def send_available(self, data: bytes) -> bool:
        """Send without waiting and keep the rest in `unsent`; return whether all were sent.

        If earlier bytes are still unsent, only append to them.
        """
        if not self.unsent:
            with contextlib.suppress(BlockingIOError):
                data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
            if not data:
                return True
        self.unsent += data
        return False

    def flush_available(self) -> bool:
        """Send from `unsent` without waiting; return whether nothing is left."""
        try:
            while self.unsent:
                sent_bytes = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
                del self.unsent[:sent_bytes]
        except BlockingIOError:
            return False
        return True

    def flush(self, deadline_seconds: float) -> None:
        """Send all of `unsent`; each send has the socket's timeout.

        Raise TimeoutError if bytes are left at the deadline (monotonic seconds): a peer that takes
        a byte from time to time must not occupy the thread for ever.
        """
        while self.unsent:
            if time.monotonic() >= deadline_seconds:
                raise TimeoutError("the peer takes its answers too slowly")
            sent_bytes = self.sock.send(self.unsent)
            del self.unsent[:sent_bytes]

    def has_unread(self) -> bool:
        """Return whether received bytes have not been read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no bytes, or the connection has broken
            return False

    def has_peer_left(self) -> bool:
        """Return whether the peer has closed its side, even if bytes from before are unread."""
        return has_peer_closed(self.sock)

    def half_close(self) -> None:
        """End the sending direction only.

        A full close could reset the connection, and the peer could lose the last answer.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def shut_down(self) -> None:
        """Shut down both directions; this wakes the thread that reads or writes."""
        shut_down(self.sock)

    def close(self) -> None:
        """Release the socket; only the reading thread may call it."""
        self.sock.close()
