"""A connected socket as its driver uses it: reads wait, writes need not."""

import socket

from stepstream.runtime.sockets import shut_down


class Transport:
    """Plain TCP. What the peer did not take at once stays in `rest`; its owner lets one thread at a time
    send.
    """

    certificate: object = None  # the peer's, where it showed one

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unsent = bytearray()

    def handshake(self) -> None:
        """In the connection's own thread, before it is read. OSError ends the connection."""

    def receive(self, size: int) -> bytes:
        """Waits; b"" for the peer's end. OSError if it broke."""
        return self.sock.recv(size)

    def wait_readable(self, size: int) -> bool:
        """Until bytes can be taken; False for the peer's end. OSError if it broke."""
        return bool(self.sock.recv(1, socket.MSG_PEEK))

    def receive_available(self, size: int) -> bytes:
        """After a wait: what has come, without waiting."""
        return self.sock.recv(size, socket.MSG_DONTWAIT)

    def enqueue(self, data: bytes) -> None:
        """To what waits to be sent."""
        self.unsent += data

    def send_available(self, data: bytes) -> bool:
        """Sends without waiting; whether all is gone. OSError if the connection broke."""
        if not self.unsent:
            try:
                data = data[self.sock.send(data, socket.MSG_DONTWAIT) :]
            except BlockingIOError:
                pass
            if not data:
                return True
        self.unsent += data
        return False

    def flush_available(self) -> bool:
        """Goes on with what is left, without waiting; whether nothing is."""
        try:
            while self.unsent:
                sent = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
                del self.unsent[:sent]
        except BlockingIOError:
            return False
        return True

    def flush(self) -> None:
        """Waits until all is gone, within the socket's time limit."""
        self.sock.sendall(self.unsent)
        self.unsent.clear()

    def has_unread(self) -> bool:
        """Whether bytes are here that nobody has read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing, or no connection any more
            return False

    def half_close(self) -> None:
        """Nothing more is sent. A full close could reset the connection and take the last words with it."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def shut_down(self) -> None:
        shut_down(self.sock)

    def close(self) -> None:
        self.sock.close()
