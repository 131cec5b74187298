"""Gearman's packets as tables and a parser that is fed bytes and knows no socket.

Source: the published protocol (gearman.org, 'Gearman Protocol'). A packet is a magic (NUL and REQ or RES),
its type and its size, each four bytes, most significant first, then its arguments, all but the last ended
by a NUL. What does not begin with a NUL is a text command, which ends with a line feed. Both may come on
one connection.
"""

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum

from stepstream.config.limits import Limits

HEADER = struct.Struct(">4sII")
REQ, RES = b"\0REQ", b"\0RES"


class Kind(IntEnum):
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


_SUBMIT = ("function", "unique", "workload")
_REDUCE = ("function", "unique", "reducer", "workload")
_WORK = {
    Kind.WORK_STATUS: ("handle", "numerator", "denominator"),
    Kind.WORK_COMPLETE: ("handle", "data"),
    Kind.WORK_FAIL: ("handle",),
    Kind.WORK_EXCEPTION: ("handle", "data"),
    Kind.WORK_DATA: ("handle", "data"),
    Kind.WORK_WARNING: ("handle", "data"),
}
# The arguments by name, of what clients and workers send and of what the server does.
REQUESTS: dict[Kind, tuple[str, ...]] = {
    Kind.CAN_DO: ("function",),
    Kind.CAN_DO_TIMEOUT: ("function", "timeout"),
    Kind.CANT_DO: ("function",),
    Kind.RESET_ABILITIES: (),
    Kind.PRE_SLEEP: (),
    Kind.GRAB_JOB: (),
    Kind.GRAB_JOB_UNIQ: (),
    Kind.GRAB_JOB_ALL: (),
    Kind.ALL_YOURS: (),
    Kind.SET_CLIENT_ID: ("id",),
    Kind.SUBMIT_JOB: _SUBMIT,
    Kind.SUBMIT_JOB_BG: _SUBMIT,
    Kind.SUBMIT_JOB_HIGH: _SUBMIT,
    Kind.SUBMIT_JOB_HIGH_BG: _SUBMIT,
    Kind.SUBMIT_JOB_LOW: _SUBMIT,
    Kind.SUBMIT_JOB_LOW_BG: _SUBMIT,
    Kind.SUBMIT_JOB_SCHED: (
        "function",
        "unique",
        "minute",
        "hour",
        "day",
        "month",
        "weekday",
        "workload",
    ),
    Kind.SUBMIT_JOB_EPOCH: ("function", "unique", "epoch", "workload"),
    Kind.SUBMIT_REDUCE_JOB: _REDUCE,
    Kind.SUBMIT_REDUCE_JOB_BACKGROUND: _REDUCE,
    Kind.GET_STATUS: ("handle",),
    Kind.GET_STATUS_UNIQUE: ("unique",),
    Kind.OPTION_REQ: ("option",),
    Kind.ECHO_REQ: ("data",),
    **_WORK,
}
ANSWERS: dict[Kind, tuple[str, ...]] = {
    Kind.NOOP: (),
    Kind.NO_JOB: (),
    Kind.JOB_ASSIGN: ("handle", "function", "workload"),
    Kind.JOB_ASSIGN_UNIQ: ("handle", "function", "unique", "workload"),
    Kind.JOB_ASSIGN_ALL: ("handle", "function", "unique", "reducer", "workload"),
    Kind.JOB_CREATED: ("handle",),
    Kind.STATUS_RES: ("handle", "known", "running", "numerator", "denominator"),
    Kind.STATUS_RES_UNIQUE: ("unique", "known", "running", "numerator", "denominator", "clients"),
    Kind.OPTION_RES: ("option",),
    Kind.ECHO_RES: ("data",),
    Kind.ERROR: ("code", "text"),
    **_WORK,
}


class GearmanError(Exception):
    """The peer broke the protocol; `code` is the first argument of the ERROR that it gets."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Packet:
    kind: Kind
    args: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Unknown:
    """A whole packet of a type that the protocol does not have, or not in this direction."""

    number: int


@dataclass(frozen=True, slots=True)
class Line:
    """A text command, split into words."""

    words: tuple[str, ...]


Item = Packet | Unknown | Line


class State(Enum):
    BETWEEN = 1  # the next byte says what comes
    HEADER = 2
    BODY = 3
    TEXT = 4
    BROKEN = 5


class Parser:
    """Bytes in, whole packets and text commands out. Once broken it stays so."""

    def __init__(self, limits: Limits, answers: bool = False) -> None:
        """`answers`: reads what a server sends, as clients and workers do; no text commands then."""
        self.limits, self.magic = limits, RES if answers else REQ
        self.forms = ANSWERS if answers else REQUESTS
        self.state = State.BETWEEN
        self.buffer = bytearray()
        self.number = self.need = self.seen = 0

    @property
    def idle(self) -> bool:
        """Between messages: not one byte of the next one is here."""
        return self.state is State.BETWEEN and not self.buffer

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Item | None:
        """The next message, or None until more bytes are fed; GearmanError ends the connection."""
        try:
            while self.state is not State.BROKEN:
                item, going = self.STEPS[self.state](self)
                if item is not None or not going:
                    return item
            raise GearmanError("BROKEN_CONNECTION", "the connection broke the protocol before")
        except GearmanError:
            self.state = State.BROKEN
            raise

    # -- steps: an item, and whether to go on without one ------------------------------------------------

    def between(self) -> tuple[Item | None, bool]:
        if not self.buffer:
            return None, False
        binary = self.buffer[0] == 0
        if not binary and self.magic is RES:
            raise GearmanError("BAD_MAGIC", "the packet does not begin with its magic")
        self.state, self.seen = State.HEADER if binary else State.TEXT, 0
        return None, True

    def header(self) -> tuple[Item | None, bool]:
        # The magic is looked at as it comes: a peer of another protocol must not be waited for.
        if not self.magic.startswith(bytes(self.buffer[:4])):
            raise GearmanError("BAD_MAGIC", "the packet does not begin with its magic")
        if len(self.buffer) < HEADER.size:
            return None, False
        _, self.number, self.need = HEADER.unpack_from(self.buffer)
        if self.need > self.limits.gearman.packet_bytes:
            # Guards memory: the size is believed by nobody before it is bounded.
            raise GearmanError(
                "PACKET_TOO_LARGE",
                f"a packet holds at most {self.limits.gearman.packet_bytes} bytes",
            )
        del self.buffer[: HEADER.size]
        self.state = State.BODY
        return None, True

    def body(self) -> tuple[Item | None, bool]:
        if len(self.buffer) < self.need:
            return None, False
        data = bytes(self.buffer[: self.need])
        del self.buffer[: self.need]
        self.state = State.BETWEEN
        if self.number not in self.forms:
            return Unknown(self.number), False
        return read_args(Kind(self.number), self.forms[Kind(self.number)], data), False

    def text(self) -> tuple[Item | None, bool]:
        end = self.buffer.find(b"\n", self.seen)
        if end > self.limits.gearman.text_line_bytes or (
            end < 0 and len(self.buffer) > self.limits.gearman.text_line_bytes
        ):
            raise GearmanError(
                "LINE_TOO_LONG",
                f"a text command has at most {self.limits.gearman.text_line_bytes} bytes",
            )
        self.seen = len(self.buffer)
        if end < 0:
            return None, False
        line = bytes(self.buffer[:end]).rstrip(b"\r")
        del self.buffer[: end + 1]
        self.state = State.BETWEEN
        # Guards the other protocol's words from being read as this one's: text is printable.
        if any(byte < 32 and byte != 9 or byte > 126 for byte in line):
            raise GearmanError("BAD_TEXT", "a text command holds bytes that are no text")
        return Line(tuple(line.decode("ascii").split())), False

    STEPS = {State.BETWEEN: between, State.HEADER: header, State.BODY: body, State.TEXT: text}


def read_args(kind: Kind, names: tuple[str, ...], data: bytes) -> Packet:
    if not names:
        if data:
            raise GearmanError("BAD_ARGUMENTS", f"{kind.name} takes no arguments")
        return Packet(kind)
    args = data.split(b"\0", len(names) - 1)
    if len(args) != len(names):
        raise GearmanError(
            "BAD_ARGUMENTS", f"{kind.name} lacks {names[len(args)]}: a NUL is missing"
        )
    return Packet(kind, tuple(args))


def write(magic: bytes, kind: Kind, *args: bytes) -> bytes:
    """A packet's bytes. ValueError if an argument besides the last holds a NUL: nobody could split it."""
    forms = ANSWERS if magic is RES else REQUESTS
    if len(args) != len(forms[kind]):
        raise ValueError(f"{kind.name} takes {len(forms[kind])} arguments")
    if any(b"\0" in arg for arg in args[:-1]):
        raise ValueError(f"an argument of {kind.name} holds a NUL")
    data = b"\0".join(args)
    return HEADER.pack(magic, kind, len(data)) + data


def answer(kind: Kind, *args: bytes | str | int) -> bytes:
    """What the server sends."""
    return write(RES, kind, *(arg if isinstance(arg, bytes) else str(arg).encode() for arg in args))


def request(kind: Kind, *args: bytes | str | int) -> bytes:
    """What clients and workers send."""
    return write(REQ, kind, *(arg if isinstance(arg, bytes) else str(arg).encode() for arg in args))


def error(code: str, text: str) -> bytes:
    return answer(Kind.ERROR, code, text)
