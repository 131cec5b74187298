"""A connected socket as its driver uses it: reads wait, writes need not.

The connection's own thread reads; its owner lets one thread at a time send. `shut_down` may be
called by any thread.
"""

import contextlib
import socket

from stepstream.runtime.sockets import shut_down


class Transport:
    """Plain TCP; `identity.tls` has the form for TLS.

    Every method but `has_unread`, `half_close`, `shut_down` and `close` raises OSError if the
    connection has broken.
    """

    certificate: object = None  # the peer's, where it showed one

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unsent = bytearray()  # what the peer has not taken yet

    def handshake(self) -> None:
        """Do what precedes the first read, in the connection's own thread; nothing for TCP."""

    def receive(self, max_bytes: int) -> bytes:
        """Wait for bytes; b"" for the peer's end."""
        return self.sock.recv(max_bytes)

    def wait_readable(self, max_bytes: int) -> bool:  # noqa: ARG002  TLS reads so much at once
        """Wait until bytes can be received; False for the peer's end."""
        return bool(self.sock.recv(1, socket.MSG_PEEK))

    def receive_available(self, max_bytes: int) -> bytes:
        """Receive what is there after `wait_readable`, without waiting."""
        return self.sock.recv(max_bytes, socket.MSG_DONTWAIT)

    def enqueue(self, data: bytes) -> None:
        """Put bytes behind what waits to be sent."""
        self.unsent += data

    def send_available(self, data: bytes) -> bool:
        """Send without waiting, and keep what the peer does not take; whether all is sent."""
        if not self.unsent:
            with contextlib.suppress(BlockingIOError):
                data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
            if not data:
                return True
        self.unsent += data
        return False

    def flush_available(self) -> bool:
        """Send on from what is unsent, without waiting; whether nothing is left."""
        try:
            while self.unsent:
                sent_bytes = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
                del self.unsent[:sent_bytes]
        except BlockingIOError:
            return False
        return True

    def flush(self) -> None:
        """Wait until all is sent, within the socket's time limit."""
        self.sock.sendall(self.unsent)
        self.unsent.clear()

    def has_unread(self) -> bool:
        """Whether bytes are here that nobody has read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing, or no connection any more
            return False

    def half_close(self) -> None:
        """Send nothing more, and go on receiving.

        A full close could reset the connection and take the last answer with it.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def shut_down(self) -> None:
        """End both directions; wakes the thread that reads or writes here."""
        shut_down(self.sock)

    def close(self) -> None:
        """Release the socket; only by the thread that reads it."""
        self.sock.close()
