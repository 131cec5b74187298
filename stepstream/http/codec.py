"""HTTP/1.1 as a state machine that is fed bytes and knows no socket."""

import re
from copy import copy
from dataclasses import dataclass, field
from enum import Enum

from stepstream.config.limits import Limits

TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f]")  # in a header's value
TARGET = re.compile(r"[\x21-\x7e]+")
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class ProtocolError(Exception):
    """The peer broke the protocol; `status` is what it gets where it is owed an answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (method and target) or an answer (status)."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class State(Enum):
    HEAD = 1
    LENGTH = 2  # a body of known length
    CHUNK_SIZE = 3
    CHUNK = 4
    TRAILER = 5
    TO_END = 6  # an answer's body that ends with the connection
    BROKEN = 7


class Parser:
    """Bytes in, whole messages out. Once broken it stays so: where the next message begins is unknown."""

    def __init__(
        self, limits: Limits, answers: bool = False, max_body_bytes: int | None = None
    ) -> None:
        self.limits, self.answers = limits, answers
        self.most = limits.sizes.body_bytes if max_body_bytes is None else max_body_bytes
        self.state = State.HEAD
        self.buffer = bytearray()
        self.seen = 0  # bytes of the buffer already searched for a line's end
        self.message = Message()
        self.blank = False  # an empty line stood before the message
        self.need = 0
        self.parts: list[bytes] = []
        self.size = 0  # of the chunks so far

    @property
    def idle(self) -> bool:
        """Between messages: not one byte of the next one is here."""
        return self.state is State.HEAD and not self.buffer

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Message | None:
        """The next whole message, or None until more bytes are fed."""
        try:
            while self.state is not State.BROKEN:
                step = self.STEPS[self.state]
                if not step(self):
                    return None
                if self.state is State.HEAD:
                    message, self.message = self.message, Message()
                    return message
            raise ProtocolError(400, "the connection broke the protocol before")
        except ProtocolError:
            self.state = State.BROKEN
            raise

    def whole(self) -> bool:
        """Whether the next message is wholly here; nothing is taken."""
        twin = copy(self)
        twin.buffer, twin.parts, twin.message = (
            bytearray(self.buffer),
            list(self.parts),
            copy(self.message),
        )
        try:
            return twin.next() is not None
        except ProtocolError:
            return False

    def end(self) -> Message | None:
        """The peer has closed its side: an answer without a length is whole now."""
        if self.state is not State.TO_END:
            return None
        self.state = State.HEAD
        self.message.body, self.buffer = bytes(self.buffer), bytearray()
        return self.message

    # -- steps: each is true once its state is over -----------------------------------------------------

    def head(self) -> bool:
        if self.buffer[:2] == b"\r\n":
            # One empty line before a message is allowed; guards against a peer that sends them without end.
            if self.blank:
                raise ProtocolError(400, "empty lines in place of a message")
            self.blank = True
            del self.buffer[:2]
            return bool(self.buffer) and self.head()
        at = self.buffer.find(b"\r\n\r\n", max(self.seen - 3, 0))
        if at < 0 or at > self.limits.sizes.head_bytes:
            self.seen = len(self.buffer)
            if self.seen > self.limits.sizes.head_bytes:
                raise ProtocolError(431, "the head is too large")
            return False
        try:
            first, *lines = self.buffer[:at].decode("ascii").split("\r\n")
        except UnicodeDecodeError:
            raise ProtocolError(400, "the head holds bytes outside ASCII") from None
        del self.buffer[: at + 4]
        self.seen, self.blank = 0, False
        version = self.status_line(first) if self.answers else self.request_line(first)
        self.message.headers = headers = self.fields(lines)
        if version == 0 and "transfer-encoding" in headers:
            # Guards against smuggling: to an HTTP/1.0 party on the way the coding means nothing.
            raise ProtocolError(400, "HTTP/1.0 has no transfer codings")
        connection = [part.strip().lower() for part in headers.get("connection", "").split(",")]
        self.message.keep_alive = "close" not in connection and (
            version > 0 or "keep-alive" in connection
        )
        self.frame(headers)
        return True

    def request_line(self, line: str) -> int:
        parts = line.split(" ")
        if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
            raise ProtocolError(400, "the request line is malformed")
        self.message.method, self.message.target = parts[:2]
        return self.version(parts[2])

    def status_line(self, line: str) -> int:
        version, _, rest = line.partition(" ")
        if not re.fullmatch(r"[1-9][0-9]{2}( .*)?", rest):
            raise ProtocolError(400, "the status line is malformed")
        self.message.status = int(rest[:3])
        return self.version(version)

    @staticmethod
    def version(text: str) -> int:
        if text not in ("HTTP/1.1", "HTTP/1.0"):
            raise ProtocolError(400, "the version is not HTTP/1.0 or HTTP/1.1")
        return int(text[-1])

    @staticmethod
    def fields(lines: list[str]) -> dict[str, str]:
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name) or CONTROL.search(value):
                raise ProtocolError(400, "a header is malformed")
            name, value = name.lower(), value.strip(" \t")
            if name in headers:
                # Guards against request smuggling: two lengths, or a length twice, have no safe reading.
                if name in ("content-length", "transfer-encoding", "host"):
                    raise ProtocolError(400, f"{name} comes twice")
                value = f"{headers[name]}, {value}"
            headers[name] = value
        return headers

    def frame(self, headers: dict[str, str]) -> None:
        """How the body is delimited; decides the next state."""
        coding, length = headers.get("transfer-encoding"), headers.get("content-length")
        if self.answers and (self.message.status in (204, 304) or self.message.status < 200):
            self.need, self.state = 0, State.LENGTH
        elif coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise ProtocolError(400, "the framing is not understood")
            self.parts, self.size, self.state = [], 0, State.CHUNK_SIZE
        elif length is not None:
            if not re.fullmatch(r"[0-9]{1,18}", length):
                raise ProtocolError(400, "Content-Length is malformed")
            self.need, self.state = int(length), State.LENGTH
            self.check(self.need)
        elif self.answers:
            self.message.keep_alive, self.state = False, State.TO_END
        else:
            self.need, self.state = 0, State.LENGTH

    def check(self, size: int) -> None:
        if size > self.most:
            raise ProtocolError(413, "the body is too large")

    def length(self) -> bool:
        if len(self.buffer) < self.need:
            return False
        self.message.body = bytes(self.buffer[: self.need])
        del self.buffer[: self.need]
        self.state = State.HEAD
        return True

    def line(self, most: int) -> bytes | None:
        at = self.buffer.find(b"\r\n")
        if at > most or (at < 0 and len(self.buffer) > most):
            raise ProtocolError(400, "a line inside the body is too long")
        if at < 0:
            return None
        line = bytes(self.buffer[:at])
        del self.buffer[: at + 2]
        return line

    def chunk_size(self) -> bool:
        line = self.line(self.limits.sizes.chunk_line_bytes)
        if line is None:
            return False
        # Strict: white space or a bare line feed here is read differently by different parties.
        found = re.fullmatch(rb"([0-9a-fA-F]{1,8})(;[\x20-\x7e]*)?", line)
        if not found:
            raise ProtocolError(400, "a chunk's size is malformed")
        self.need = int(found[1], 16)
        self.size += self.need
        self.check(self.size)
        self.state = State.CHUNK if self.need else State.TRAILER
        return True

    def chunk(self) -> bool:
        if len(self.buffer) < self.need + 2:
            return False
        if self.buffer[self.need : self.need + 2] != b"\r\n":
            raise ProtocolError(400, "a chunk does not end where it should")
        self.parts.append(bytes(self.buffer[: self.need]))
        del self.buffer[: self.need + 2]
        self.state = State.CHUNK_SIZE
        return True

    def trailer(self) -> bool:
        line = self.line(self.limits.sizes.head_bytes)
        if line is None:
            return False
        if not line:
            self.message.body, self.state = b"".join(self.parts), State.HEAD
        return True

    def to_end(self) -> bool:
        self.check(len(self.buffer))
        return False

    STEPS = {
        State.HEAD: head,
        State.LENGTH: length,
        State.CHUNK_SIZE: chunk_size,
        State.CHUNK: chunk,
        State.TRAILER: trailer,
        State.TO_END: to_end,
    }


def head_bytes(first: str, headers: dict[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii")


def write_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    framed = {**headers, "Content-Length": str(len(body))} if body or method == "POST" else headers
    return head_bytes(f"{method} {target} HTTP/1.1", framed) + body


def write_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None, close: bool = False
) -> bytes:
    framed = {**(headers or {}), "Content-Length": str(len(body))}
    if close:
        framed["Connection"] = "close"
    return head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", framed) + body
