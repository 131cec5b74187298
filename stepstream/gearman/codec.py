"""The packet types and their arguments, a parser and an encoder; free of I/O.

Source: the published protocol (gearman.org, "Gearman Protocol"). A packet is a magic (NUL and REQ
or RES), its type and its size, each four bytes, most significant first, then its arguments. A NUL
ends each argument but the last. A message that does not begin with a NUL is a text command, which
ends with a line feed. One connection may carry both.

A parser belongs to one connection, whose owner lets one thread at a time use it.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import ClassVar, NoReturn

from stepstream.config.limits import Limits
from stepstream.gearman.errors import FramingError, PacketArgumentError, RequestError

HEADER = struct.Struct(">4sII")  # magic, type, size
REQ = b"\0REQ"
RES = b"\0RES"
MAGIC_BYTES = 4
TAB = 9
FIRST_PRINTABLE = 32
LAST_PRINTABLE = 126
MAX_ARGUMENT_NUMBER = 10**15


class PacketKind(IntEnum):
    """The packet types with their numbers on the wire."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    SUBMIT_JOB_SCHED = 35
    SUBMIT_JOB_EPOCH = 36
    SUBMIT_REDUCE_JOB = 37
    SUBMIT_REDUCE_JOB_BACKGROUND = 38
    GRAB_JOB_ALL = 39
    JOB_ASSIGN_ALL = 40
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


_SUBMIT_JOB_ARGUMENTS = ("function", "unique", "workload")
_REDUCE_JOB_ARGUMENTS = ("function", "unique", "reducer", "workload")
_WORK_REPORT_ARGUMENTS = {
    PacketKind.WORK_STATUS: ("handle", "numerator", "denominator"),
    PacketKind.WORK_COMPLETE: ("handle", "data"),
    PacketKind.WORK_FAIL: ("handle",),
    PacketKind.WORK_EXCEPTION: ("handle", "data"),
    PacketKind.WORK_DATA: ("handle", "data"),
    PacketKind.WORK_WARNING: ("handle", "data"),
}
# Argument names of the packets that clients and workers send.
REQUEST_ARGUMENTS: dict[PacketKind, tuple[str, ...]] = {
    PacketKind.CAN_DO: ("function",),
    PacketKind.CAN_DO_TIMEOUT: ("function", "timeout"),
    PacketKind.CANT_DO: ("function",),
    PacketKind.RESET_ABILITIES: (),
    PacketKind.PRE_SLEEP: (),
    PacketKind.GRAB_JOB: (),
    PacketKind.GRAB_JOB_UNIQ: (),
    PacketKind.GRAB_JOB_ALL: (),
    PacketKind.ALL_YOURS: (),
    PacketKind.SET_CLIENT_ID: ("id",),
    PacketKind.SUBMIT_JOB: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_BG: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_HIGH: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_HIGH_BG: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_LOW: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_LOW_BG: _SUBMIT_JOB_ARGUMENTS,
    PacketKind.SUBMIT_JOB_SCHED: (
        "function",
        "unique",
        "minute",
        "hour",
        "day",
        "month",
        "weekday",
        "workload",
    ),
    PacketKind.SUBMIT_JOB_EPOCH: ("function", "unique", "epoch", "workload"),
    PacketKind.SUBMIT_REDUCE_JOB: _REDUCE_JOB_ARGUMENTS,
    PacketKind.SUBMIT_REDUCE_JOB_BACKGROUND: _REDUCE_JOB_ARGUMENTS,
    PacketKind.GET_STATUS: ("handle",),
    PacketKind.GET_STATUS_UNIQUE: ("unique",),
    PacketKind.OPTION_REQ: ("option",),
    PacketKind.ECHO_REQ: ("data",),
    **_WORK_REPORT_ARGUMENTS,
}
# Argument names of the packets that the server sends.
RESPONSE_ARGUMENTS: dict[PacketKind, tuple[str, ...]] = {
    PacketKind.NOOP: (),
    PacketKind.NO_JOB: (),
    PacketKind.JOB_ASSIGN: ("handle", "function", "workload"),
    PacketKind.JOB_ASSIGN_UNIQ: ("handle", "function", "unique", "workload"),
    PacketKind.JOB_ASSIGN_ALL: ("handle", "function", "unique", "reducer", "workload"),
    PacketKind.JOB_CREATED: ("handle",),
    PacketKind.STATUS_RES: ("handle", "known", "running", "numerator", "denominator"),
    PacketKind.STATUS_RES_UNIQUE: (
        "unique",
        "known",
        "running",
        "numerator",
        "denominator",
        "clients",
    ),
    PacketKind.OPTION_RES: ("option",),
    PacketKind.ECHO_RES: ("data",),
    PacketKind.ERROR: ("code", "text"),
    **_WORK_REPORT_ARGUMENTS,
}


@dataclass(frozen=True, slots=True)
class Packet:
    """A complete packet of a known type."""

    kind: PacketKind
    args: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class UnknownPacket:
    """A complete packet whose type does not exist, or is not allowed in this direction."""

    type_number: int


@dataclass(frozen=True, slots=True)
class TextLine:
    """A line of text, split into tokens at white space."""

    tokens: tuple[str, ...]


Message = Packet | UnknownPacket | TextLine


class ParserState(Enum):
    """What the parser reads next."""

    IDLE = 1  # the next byte decides between a packet and a text command
    HEADER = 2
    BODY = 3
    TEXT = 4
    BROKEN = 5  # nothing: a framing error occurred


class Parser:
    """Splits received bytes into packets and text commands; nothing follows a framing error."""

    def __init__(self, limits: Limits, *, responses: bool = False) -> None:
        """Create a parser; `responses`: it parses what a server sends, without text commands."""
        self.limits = limits
        self.magic = RES if responses else REQ
        self.argument_names = RESPONSE_ARGUMENTS if responses else REQUEST_ARGUMENTS
        self.state = ParserState.IDLE
        self.buffer = bytearray()
        self.type_number = 0  # of the packet whose body is being read
        self.body_bytes = 0
        self.searched_bytes = 0  # bytes at the buffer's start that are known to hold no line feed

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next message has been received."""
        return self.state is ParserState.IDLE and not self.buffer

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self.buffer += data

    def next_message(self) -> Message | None:
        """Return the next message, or None until more bytes are fed.

        Raise `FramingError` if the bytes cannot be split into messages; the connection must end.
        """
        try:
            while True:
                message, proceed = self.STEPS[self.state](self)
                if message is not None or not proceed:
                    return message
        except FramingError:
            self.state = ParserState.BROKEN
            raise

    # -- steps: return a message or None, and whether to go on to the next step without one -------

    def _step_idle(self) -> tuple[Message | None, bool]:
        if not self.buffer:
            return None, False
        is_packet = self.buffer[0] == 0
        if not is_packet and self.magic is RES:
            raise FramingError("BAD_MAGIC", "the packet does not begin with its magic")
        self.state = ParserState.HEADER if is_packet else ParserState.TEXT
        self.searched_bytes = 0
        return None, True

    def _step_header(self) -> tuple[Message | None, bool]:
        # The magic is checked byte by byte: a peer of another protocol may send no complete header.
        if not self.magic.startswith(bytes(self.buffer[:MAGIC_BYTES])):
            raise FramingError("BAD_MAGIC", "the packet does not begin with its magic")
        if len(self.buffer) < HEADER.size:
            return None, False
        _, self.type_number, self.body_bytes = HEADER.unpack_from(self.buffer)
        max_bytes = self.limits.gearman.packet_bytes
        if self.body_bytes > max_bytes:
            # Limits memory: the size is checked before the body is buffered.
            raise FramingError("PACKET_TOO_LARGE", f"a packet holds at most {max_bytes} bytes")
        del self.buffer[: HEADER.size]
        self.state = ParserState.BODY
        return None, True

    def _step_body(self) -> tuple[Message | None, bool]:
        if len(self.buffer) < self.body_bytes:
            return None, False
        body = bytes(self.buffer[: self.body_bytes])
        del self.buffer[: self.body_bytes]
        self.state = ParserState.IDLE
        if self.type_number not in self.argument_names:
            return UnknownPacket(self.type_number), False
        kind = PacketKind(self.type_number)
        return _parse_arguments(kind, self.argument_names[kind], body), False

    def _step_text(self) -> tuple[Message | None, bool]:
        max_bytes = self.limits.gearman.text_line_bytes
        end = self.buffer.find(b"\n", self.searched_bytes)
        if end > max_bytes or (end < 0 and len(self.buffer) > max_bytes):
            raise FramingError("LINE_TOO_LONG", f"a text command has at most {max_bytes} bytes")
        self.searched_bytes = len(self.buffer)
        if end < 0:
            return None, False
        line = bytes(self.buffer[:end]).rstrip(b"\r")
        del self.buffer[: end + 1]
        self.state = ParserState.IDLE
        # Bytes of another protocol must not be read as text commands.
        if not all(FIRST_PRINTABLE <= byte <= LAST_PRINTABLE or byte == TAB for byte in line):
            raise FramingError("BAD_TEXT", "a text command holds bytes that are no text")
        return TextLine(tuple(line.decode("ascii").split())), False

    def _step_broken(self) -> NoReturn:
        raise FramingError("BROKEN_CONNECTION", "the connection broke the protocol before")

    STEPS: ClassVar[dict[ParserState, Callable[["Parser"], tuple[Message | None, bool]]]] = {
        ParserState.IDLE: _step_idle,
        ParserState.HEADER: _step_header,
        ParserState.BODY: _step_body,
        ParserState.TEXT: _step_text,
        ParserState.BROKEN: _step_broken,
    }


def _parse_arguments(kind: PacketKind, names: tuple[str, ...], body: bytes) -> Packet:
    if not names:
        if body:
            raise FramingError("BAD_ARGUMENTS", f"{kind.name} takes no arguments")
        return Packet(kind)
    args = body.split(b"\0", len(names) - 1)
    if len(args) != len(names):
        raise FramingError(
            "BAD_ARGUMENTS", f"{kind.name} lacks {names[len(args)]}: a NUL is missing"
        )
    return Packet(kind, tuple(args))


def parse_number_argument(name: str, argument: bytes) -> int:
    """Parse a whole number of at least 0; some client libraries send 3.0 for 3."""
    try:
        value = float(argument)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_ARGUMENT_NUMBER:
        raise RequestError(
            "BAD_ARGUMENTS", f"{name} is not a number from 0 to {MAX_ARGUMENT_NUMBER}"
        )
    return int(value)


def encode_packet(magic: bytes, kind: PacketKind, *args: bytes) -> bytes:
    """Return the bytes of a packet.

    Raise `PacketArgumentError` for a wrong number of arguments, and for a NUL in any argument but
    the last: the receiver could not split the packet.
    """
    argument_names = RESPONSE_ARGUMENTS if magic is RES else REQUEST_ARGUMENTS
    if len(args) != len(argument_names[kind]):
        raise PacketArgumentError(f"{kind.name} takes {len(argument_names[kind])} arguments")
    if any(b"\0" in argument for argument in args[:-1]):
        raise PacketArgumentError(f"an argument of {kind.name} holds a NUL")
    body = b"\0".join(args)
    return HEADER.pack(magic, kind, len(body)) + body


def encode_response(kind: PacketKind, *args: bytes | str | int) -> bytes:
    """Return the bytes of a packet that the server sends."""
    return encode_packet(RES, kind, *map(_encode_argument, args))


def encode_request(kind: PacketKind, *args: bytes | str | int) -> bytes:
    """Return the bytes of a packet that a client or worker sends."""
    return encode_packet(REQ, kind, *map(_encode_argument, args))


def encode_error(code: str, text: str) -> bytes:
    """Return the bytes of an ERROR packet."""
    return encode_response(PacketKind.ERROR, code, text)


def _encode_argument(argument: bytes | str | int) -> bytes:
    return argument if isinstance(argument, bytes) else str(argument).encode()
