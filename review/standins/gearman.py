"""Gearman's published protocol, as far as the stand-ins for clients and workers need it."""

import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct(">4sII")
REQUEST_MAGIC = b"\0REQ"

CAN_DO = 1
PRE_SLEEP = 4
NOOP = 6
SUBMIT_JOB = 7
JOB_CREATED = 8
NO_JOB = 10
WORK_STATUS = 12
WORK_COMPLETE = 13
WORK_FAIL = 14
GET_STATUS = 15
SUBMIT_JOB_BG = 18
ERROR = 19
STATUS_RES = 20
SET_CLIENT_ID = 22
WORK_WARNING = 29
GRAB_JOB_UNIQ = 30
JOB_ASSIGN_UNIQ = 31


@dataclass(frozen=True)
class Packet:
    """One received packet."""

    kind: int
    arguments: tuple[bytes, ...]


def encode(kind: int, *arguments: bytes) -> bytes:
    """Return a packet that a client or a worker sends."""
    body = b"\0".join(arguments)
    return HEADER.pack(REQUEST_MAGIC, kind, len(body)) + body


class PacketReader:
    """Splits received bytes into packets."""

    # Number of arguments of the packets whose last argument may hold any byte.
    ARGUMENT_COUNTS = {JOB_ASSIGN_UNIQ: 4, WORK_COMPLETE: 2, WORK_WARNING: 2}

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[Packet]:
        """Yield the packets that the bytes complete."""
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            _, kind, size = HEADER.unpack_from(self.buffer)
            end = HEADER.size + size
            if len(self.buffer) < end:
                return
            body = self.buffer[HEADER.size : end]
            self.buffer = self.buffer[end:]
            most_splits = self.ARGUMENT_COUNTS.get(kind, 0) - 1
            yield Packet(kind, tuple(body.split(b"\0", most_splits)))


class Connection:
    """A blocking connection of a client to a Gearman listener."""

    def __init__(self, host: str, port: int) -> None:
        self.socket = socket.create_connection((host, port), timeout=5.0)
        self.reader = PacketReader()
        self.received: list[Packet] = []

    def send(self, kind: int, *arguments: bytes) -> None:
        """Send one packet."""
        self.socket.sendall(encode(kind, *arguments))

    def receive(self, timeout_seconds: float) -> Packet | None:
        """Return the next packet, or None at the timeout; raise EOFError at the end."""
        self.socket.settimeout(timeout_seconds)
        while not self.received:
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                return None
            if not data:
                raise EOFError
            self.received.extend(self.reader.feed(data))
        return self.received.pop(0)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
