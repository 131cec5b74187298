"""Send the traffic of hostile or faulty clients to one address, from a process of its own.

Usage:
  hostile_clients ADDRESS KIND [options]

Options:
  --connections N    Connections that are open at a time [default: 1].
  --seconds N        How long to send [default: 5].
  --departure HOW    After the last byte: stay, close, reset or half-close [default: stay].
  --piece-seconds N  Pause after each piece of a connection's bytes [default: 0].
  --piece-bytes N    Divide the pieces into parts of this size, 0 for whole ones [default: 0].
  --tls              Send over TLS, without checking the server's certificate.

Run it as `python -m stepstream.lab.load.hostile_clients`. ADDRESS is HOST:PORT, KIND a key of
`hostile_traffic.TRAFFIC_BY_KIND`. A connection that ends is opened again until the time is over. At
the end one line tells what was opened, sent and received.
"""

import contextlib
import selectors
import socket
import ssl
import struct
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from docopt import docopt

from stepstream.lab.load.hostile_traffic import TRAFFIC_BY_KIND, Departure, Traffic

READ_BYTES = 65536
PIECES_AT_ONCE = 8
MAX_WAIT_SECONDS = 0.05
RECONNECT_SECONDS = 0.02  # after a connection that was refused
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, no seconds
STATUS_LINE = b"HTTP/1.1 "
WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@dataclass(slots=True)
class Totals:
    """What all connections did together."""

    opened: int = 0
    failed_to_open: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    answers: int = 0

    def line(self) -> str:
        """Return the counts in one line."""
        return (
            f"opened {self.opened}, failed {self.failed_to_open}, sent {self.sent_bytes} bytes,"
            f" received {self.received_bytes} bytes, {self.answers} answers"
        )


class HostileConnection:
    """One connection: what it still has to send, and when it goes on."""

    def __init__(self, sock: socket.socket, pieces: Iterator[bytes]) -> None:
        self.sock = sock
        self.pieces = pieces
        self.unsent = memoryview(b"")  # of the current part of a piece
        self.rest_of_piece = memoryview(b"")  # the parts after it
        self.is_finished = False  # all bytes are sent
        self.awaits_answer = False
        self.resumes_at_seconds = 0.0  # monotonic; no bytes are sent before


@dataclass(slots=True)
class HostileClients:
    """Connections of one kind of traffic, driven by one thread."""

    address: tuple[str, int]
    traffic: Traffic
    departure: Departure
    piece_seconds: float
    piece_bytes: int = 0  # 0: pieces are sent whole
    tls: ssl.SSLContext | None = None
    totals: Totals = field(default_factory=Totals)
    connections: dict[int, HostileConnection] = field(default_factory=dict)  # by descriptor
    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    numbers: "count[int]" = field(default_factory=count)
    connects_at_seconds: float = 0.0  # monotonic; the next connection is opened then

    def run(self, connection_count: int, seconds: float) -> None:
        """Keep `connection_count` connections open and send, for `seconds`."""
        ends_at_seconds = time.monotonic() + seconds
        while (now_seconds := time.monotonic()) < ends_at_seconds:
            while len(self.connections) < connection_count and (
                now_seconds >= self.connects_at_seconds
            ):
                self._open(now_seconds)
            for key, _ in self.selector.select(MAX_WAIT_SECONDS):
                connection = self.connections.get(key.fd)
                if connection is not None:
                    self._serve(connection)
            self._resume(time.monotonic())
        for connection in list(self.connections.values()):
            self._close(connection)

    def _open(self, now_seconds: float) -> None:
        sock = socket.socket()
        sock.settimeout(1.0)
        try:
            sock.connect(self.address)
            if self.tls is not None:
                sock = self.tls.wrap_socket(sock)
        except OSError:
            self.totals.failed_to_open += 1
            self.connects_at_seconds = now_seconds + RECONNECT_SECONDS
            sock.close()
            return
        sock.setblocking(False)  # noqa: FBT003  the socket's signature
        connection = HostileConnection(sock, self.traffic.pieces(next(self.numbers)))
        self.connections[sock.fileno()] = connection
        self.selector.register(sock, self._events(sends=True))
        self.totals.opened += 1

    def _serve(self, connection: HostileConnection) -> None:
        """Receive and send what the socket allows at once."""
        try:
            if self.traffic.reads_answers and not self._receive(connection):
                self._close(connection)
                return
            self._send(connection)
        except WOULD_BLOCK:
            pass
        except OSError:
            self._close(connection)

    def _receive(self, connection: HostileConnection) -> bool:
        """Receive; return False if the peer has ended the connection."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except WOULD_BLOCK:
            return True
        self.totals.received_bytes += len(data)
        answers = data.count(STATUS_LINE)
        self.totals.answers += answers
        if answers:
            connection.awaits_answer = False
        return bool(data)

    def _send(self, connection: HostileConnection) -> None:
        """Send until the socket takes no more, the client pauses, or nothing is left.

        At most `PIECES_AT_ONCE` pieces are sent: other connections have their turn, and the time.
        """
        for _ in range(PIECES_AT_ONCE):
            if connection.is_finished:
                break
            if not connection.unsent and not self._next_piece(connection):
                break
            sent_bytes = connection.sock.send(connection.unsent)
            connection.unsent = connection.unsent[sent_bytes:]
            self.totals.sent_bytes += sent_bytes
            if not connection.unsent:
                connection.awaits_answer = (
                    self.traffic.waits_for_answers and not connection.rest_of_piece
                )
                connection.resumes_at_seconds = time.monotonic() + self.piece_seconds
        is_waiting = connection.is_finished or connection.awaits_answer or self.piece_seconds
        if connection.sock.fileno() in self.connections:
            self.selector.modify(connection.sock, self._events(sends=not is_waiting))

    def _events(self, *, sends: bool) -> int:
        """Return the events to wait for on a connection."""
        reads = self.traffic.reads_answers or not sends
        return (selectors.EVENT_READ if reads else 0) | (selectors.EVENT_WRITE if sends else 0)

    def _next_piece(self, connection: HostileConnection) -> bool:
        """Take the next bytes to send; return False if the client waits or has finished."""
        if connection.awaits_answer or time.monotonic() < connection.resumes_at_seconds:
            return False
        if not connection.rest_of_piece:
            piece = next(connection.pieces, None)
            if piece is None:
                connection.is_finished = True
                self._leave(connection)
                return False
            connection.rest_of_piece = memoryview(piece)
        part_bytes = self.piece_bytes or len(connection.rest_of_piece)
        connection.unsent = connection.rest_of_piece[:part_bytes]
        connection.rest_of_piece = connection.rest_of_piece[part_bytes:]
        return True

    def _leave(self, connection: HostileConnection) -> None:
        """Do what the client does after its last byte."""
        match self.departure:
            case Departure.CLOSE:
                self._close(connection)
            case Departure.RESET:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                self._close(connection)
            case Departure.HALF_CLOSE:
                with contextlib.suppress(OSError):
                    connection.sock.shutdown(socket.SHUT_WR)

    def _resume(self, now_seconds: float) -> None:
        """Send on the connections whose pause is over."""
        if not self.piece_seconds:
            return
        for connection in list(self.connections.values()):
            if not connection.is_finished and now_seconds >= connection.resumes_at_seconds:
                self._serve(connection)

    def _close(self, connection: HostileConnection) -> None:
        descriptor = connection.sock.fileno()
        if self.connections.pop(descriptor, None) is not None:
            self.selector.unregister(connection.sock)
        connection.sock.close()


def unverified_tls_context() -> ssl.SSLContext:
    """Return a client's context that accepts any certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


def main(command_line: list[str] | None = None) -> int:
    """Send the traffic that the command line names."""
    arguments = docopt(__doc__ or "", command_line)
    host, _, port = arguments["ADDRESS"].partition(":")
    clients = HostileClients(
        (host, int(port)),
        TRAFFIC_BY_KIND[arguments["KIND"]],
        Departure(arguments["--departure"]),
        float(arguments["--piece-seconds"]),
        int(arguments["--piece-bytes"]),
        unverified_tls_context() if arguments["--tls"] else None,
    )
    clients.run(int(arguments["--connections"]), float(arguments["--seconds"]))
    print(clients.totals.line(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
