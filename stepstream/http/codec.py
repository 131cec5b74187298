"""HTTP/1.1 message syntax (RFC 9112) as a state machine without I/O.

The parser is stricter than the RFC requires wherever a lenient reading allows request smuggling
(RFC 9112, 11.2): a message with ambiguous framing is an error and ends its connection.

A `Parser` belongs to one connection and has no lock of its own; its owner lets one thread at a time
use it. The functions that write messages keep no state, and any thread may call them.
"""

import re
from copy import copy
from dataclasses import dataclass, field
from enum import Enum

from stepstream.config.limits import Limits
from stepstream.http.errors import HttpError

CRLF = b"\r\n"
HEAD_END = b"\r\n\r\n"
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110, 5.6.2
# Characters that a field value must not contain (RFC 9110, 5.5). Bytes outside ASCII have been
# rejected before, when the head was decoded.
FIELD_VALUE_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f]")
REQUEST_TARGET = re.compile(r"[\x21-\x7e]+")
REQUEST_LINE_PARTS = 3  # method, target, version
# Lenient to workers: the space before an empty reason phrase, which RFC 9112, 4, requires, may be
# missing.
STATUS_AND_REASON = re.compile(r"[1-9][0-9]{2}( .*)?")
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})(;[\x20-\x7e]*)?")
# Fields whose repetition makes a message ambiguous (RFC 9112, 3.2 and 6.3).
UNREPEATABLE_FIELDS = ("content-length", "transfer-encoding", "host")
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class ProtocolError(HttpError):
    """The peer broke the protocol; `status` is the HTTP status of the answer, if one is sent.

    `answer_body` is the body of that answer. It is empty unless the peer needs to know more than
    the status.
    """

    def __init__(self, status: int, description: str, answer_body: bytes = b"") -> None:
        super().__init__(description)
        self.status = status
        self.answer_body = answer_body


@dataclass(slots=True)
class Message:
    """A request (with method and target) or an answer (with status).

    Header names are in lower case.
    """

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True  # whether the connection persists after it (RFC 9112, 9.3)


class ParserState(Enum):
    """The part of a message that the parser expects next."""

    HEAD = 1  # the first line and the header fields
    FIXED_LENGTH_BODY = 2
    CHUNK_SIZE = 3
    CHUNK_DATA = 4
    TRAILERS = 5
    BODY_UNTIL_CLOSE = 6  # an answer's body that ends with the connection
    BROKEN = 7


class Parser:
    """Turns bytes into complete messages.

    After a `ProtocolError` every further call raises one, because the start of the next message is
    unknown.
    """

    def __init__(
        self,
        limits: Limits,
        *,
        answers: bool = False,
        max_body_bytes: int | None = None,
        max_steps_at_once: int | None = None,
    ) -> None:
        """Parse answers if `answers` is True, and requests otherwise.

        `max_body_bytes` defaults to the platform's limit. With `max_steps_at_once`, a call of
        `next` returns None after so many state transitions, and `is_paused` tells that.
        """
        self.max_steps_at_once = max_steps_at_once
        self.is_paused = False  # the latest call of `next` has left bytes that it could parse
        self.limits = limits
        self.answers = answers
        self.max_body_bytes = limits.sizes.body_bytes if max_body_bytes is None else max_body_bytes
        self.state = ParserState.HEAD
        self.buffer = bytearray()
        self.searched_bytes = 0  # of the buffer, already searched for the end of the head
        self.message = Message()
        self.empty_line_skipped = False  # before the current message
        self.expected_bytes = 0  # of the body or of the current chunk
        self.chunked_body = bytearray()
        self.chunked_bytes = 0  # sizes of the chunks announced so far
        self.trailer_bytes = 0  # of the trailer section so far
        self.trailer_fields = 0
        self.message_head_bytes = 0  # of the current message, once its head is complete
        self.step_count = 0  # state transitions since the start; each is a bounded amount of work

    @property
    def idle(self) -> bool:
        """Whether the parser is between messages and holds no byte of the next one."""
        return self.state is ParserState.HEAD and not self.buffer

    @property
    def held_bytes(self) -> int:
        """The bytes of messages that are held in memory."""
        return len(self.buffer) + len(self.chunked_body) + self.message_head_bytes

    @property
    def announced_body_bytes(self) -> int:
        """The length of the body that is being received; 0 if its head did not tell it."""
        return self.expected_bytes if self.state is ParserState.FIXED_LENGTH_BODY else 0

    def feed(self, data: bytes) -> None:
        """Buffer received bytes."""
        self.buffer += data

    def discard(self) -> None:
        """Free what is buffered; every later message is an error."""
        self.state = ParserState.BROKEN
        self.buffer = bytearray()
        self.chunked_body = bytearray()
        self.message = Message()
        self.message_head_bytes = 0

    def next(self) -> Message | None:
        """Return the next complete message, or None until more bytes are fed."""
        if self.state is ParserState.BROKEN:
            raise ProtocolError(400, "an earlier message on this connection was malformed")
        self.is_paused = False
        first_step = self.step_count
        try:
            while self.STEPS[self.state](self):
                self.step_count += 1
                if self.step_count - first_step == self.max_steps_at_once:
                    self.is_paused = self.state is not ParserState.HEAD
                if self.state is ParserState.HEAD:
                    message, self.message = self.message, Message()
                    self.message_head_bytes = 0
                    return message
                if self.is_paused:
                    return None
        except ProtocolError:
            self.state = ParserState.BROKEN
            raise
        return None

    def has_complete_message(self) -> bool:
        """Return whether `next` would return a message; nothing is consumed."""
        if not self.buffer:
            return False
        lookahead = copy(self)
        lookahead.max_steps_at_once = None
        lookahead.buffer = bytearray(self.buffer)
        lookahead.chunked_body = bytearray(self.chunked_body)
        lookahead.message = copy(self.message)
        try:
            return lookahead.next() is not None
        except ProtocolError:
            return False

    def end(self) -> Message | None:
        """Handle the peer's end of the stream; return the answer that it completes, if any.

        It completes only a body without a declared length (RFC 9112, 6.3, rule 8). Any other
        incomplete message stays incomplete (RFC 9112, 8).
        """
        if self.state is not ParserState.BODY_UNTIL_CLOSE:
            return None
        self.state = ParserState.HEAD
        self.message.body = bytes(self.buffer)
        self.buffer = bytearray()
        return self.message

    # -- one method for each state; it returns whether the state has changed -----------------------

    def _parse_head(self) -> bool:
        while self.buffer.startswith(CRLF):
            self._skip_empty_line()
        max_bytes = self.limits.sizes.head_bytes
        # The end of the head may span the bytes that were searched before and the new ones.
        end = self.buffer.find(HEAD_END, max(self.searched_bytes - len(HEAD_END) + 1, 0))
        if end < 0 or end > max_bytes:
            self.searched_bytes = len(self.buffer)
            if self.searched_bytes > max_bytes:
                raise ProtocolError(431, "the head is too large")
            return False
        if self.buffer.count(CRLF, 0, end) > self.limits.sizes.header_fields:
            # Counted on the bytes: each field costs many times its bytes once it is parsed.
            raise ProtocolError(431, "the head has too many fields")
        try:
            first, *lines = self.buffer[:end].decode("ascii").split("\r\n")
        except UnicodeDecodeError as error:
            raise ProtocolError(400, "the head contains bytes outside ASCII") from error
        del self.buffer[: end + len(HEAD_END)]
        self.searched_bytes = 0
        self.message_head_bytes = end
        self.empty_line_skipped = False
        minor_version = (
            self._parse_status_line(first) if self.answers else self._parse_request_line(first)
        )
        self.message.headers = self._parse_fields(lines)
        self._parse_persistence(minor_version)
        self._start_body(minor_version)
        return True

    def _skip_empty_line(self) -> None:
        """Skip one empty line before a message (RFC 9112, 2.2); a second one is an error."""
        if self.empty_line_skipped:
            raise ProtocolError(400, "empty lines in place of a message")
        self.empty_line_skipped = True
        del self.buffer[: len(CRLF)]

    def _parse_request_line(self, line: str) -> int:
        """Read method and target (RFC 9112, 3); return the minor version."""
        parts = line.split(" ")
        if (
            len(parts) != REQUEST_LINE_PARTS
            or not TOKEN.fullmatch(parts[0])
            or not REQUEST_TARGET.fullmatch(parts[1])
        ):
            raise ProtocolError(400, "the request line is malformed")
        if len(parts[1]) > self.limits.sizes.request_target_bytes:
            raise ProtocolError(414, "the request target is too long")
        self.message.method, self.message.target, version = parts
        return self._parse_version(version)

    def _parse_status_line(self, line: str) -> int:
        """Read the status (RFC 9112, 4); return the minor version."""
        version, _, status_and_reason = line.partition(" ")
        if not STATUS_AND_REASON.fullmatch(status_and_reason):
            raise ProtocolError(400, "the status line is malformed")
        self.message.status = int(status_and_reason[:3])
        return self._parse_version(version)

    @staticmethod
    def _parse_version(version: str) -> int:
        """Return the minor version of HTTP/1 (RFC 9112, 2.3)."""
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise ProtocolError(400, "the version is not HTTP/1.0 or HTTP/1.1")
        return int(version[-1])

    @staticmethod
    def _parse_fields(lines: list[str]) -> dict[str, str]:
        """Read header fields (RFC 9112, 5).

        A space before the colon and a folded line are errors (5.1 and 5.2), because their names are
        not tokens. Values of a repeated field are joined by commas (RFC 9110, 5.3).
        """
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name) or FIELD_VALUE_CONTROL.search(value):
                raise ProtocolError(400, "a header is malformed")
            name = name.lower()
            value = value.strip(" \t")
            if name in headers:
                if name in UNREPEATABLE_FIELDS:
                    raise ProtocolError(400, f"{name} comes twice")
                value = f"{headers[name]}, {value}"
            headers[name] = value
        return headers

    def _parse_persistence(self, minor_version: int) -> None:
        """Apply the Connection field (RFC 9112, 9.3; RFC 9110, 7.6.1)."""
        field_value = self.message.headers.get("connection", "")
        options = [option.strip().lower() for option in field_value.split(",")]
        persists = minor_version > 0 or "keep-alive" in options
        self.message.keep_alive = persists and "close" not in options

    def _start_body(self, minor_version: int) -> None:
        """Choose the next state by how the body is framed (RFC 9112, 6.3)."""
        coding = self.message.headers.get("transfer-encoding")
        length = self.message.headers.get("content-length")
        if coding is not None and minor_version == 0:
            # An HTTP/1.0 intermediary ignores the coding (RFC 9112, 6.1).
            raise ProtocolError(400, "HTTP/1.0 has no transfer codings")
        if self.answers and self._status_excludes_body():
            self._expect_body(0)
        elif coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise ProtocolError(
                    400, "unsupported Transfer-Encoding, or used with Content-Length"
                )
            self.chunked_body = bytearray()
            self.chunked_bytes = 0
            self.trailer_bytes = 0
            self.trailer_fields = 0
            self.state = ParserState.CHUNK_SIZE
        elif length is not None:
            if not CONTENT_LENGTH.fullmatch(length):
                raise ProtocolError(400, "Content-Length is malformed")
            self._expect_body(int(length))
            self._check_body_size(self.expected_bytes)
        elif self.answers:
            self.message.keep_alive = False
            self.state = ParserState.BODY_UNTIL_CLOSE
        else:
            self._expect_body(0)

    def _status_excludes_body(self) -> bool:
        status = self.message.status
        return status in STATUSES_WITHOUT_BODY or is_interim(status)

    def _expect_body(self, size_bytes: int) -> None:
        self.expected_bytes = size_bytes
        self.state = ParserState.FIXED_LENGTH_BODY

    def _check_body_size(self, size_bytes: int) -> None:
        if size_bytes > self.max_body_bytes:
            raise ProtocolError(413, "the body is too large")

    def _parse_fixed_length_body(self) -> bool:
        if len(self.buffer) < self.expected_bytes:
            return False
        self.message.body = bytes(self.buffer[: self.expected_bytes])
        del self.buffer[: self.expected_bytes]
        self.state = ParserState.HEAD
        return True

    def _take_line(self, max_bytes: int) -> bytes | None:
        """Remove and return a line inside the body, without its end; None until it is complete."""
        end = self.buffer.find(CRLF)
        if end > max_bytes or (end < 0 and len(self.buffer) > max_bytes):
            raise ProtocolError(400, "a line inside the body is too long")
        if end < 0:
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + len(CRLF)]
        return line

    def _parse_chunk_size(self) -> bool:
        """Read a chunk's size and ignore its extensions (RFC 9112, 7.1 and 7.1.1).

        White space around the size and a bare line feed are errors, because intermediaries read
        them differently.
        """
        line = self._take_line(self.limits.sizes.chunk_line_bytes)
        if line is None:
            return False
        match = CHUNK_SIZE_LINE.fullmatch(line)
        if not match:
            raise ProtocolError(400, "a chunk's size is malformed")
        self.expected_bytes = int(match[1], 16)
        self.chunked_bytes += self.expected_bytes
        self._check_body_size(self.chunked_bytes)
        is_last = self.expected_bytes == 0
        self.state = ParserState.TRAILERS if is_last else ParserState.CHUNK_DATA
        return True

    def _parse_chunk_data(self) -> bool:
        size = self.expected_bytes
        if len(self.buffer) < size + len(CRLF):
            return False
        if self.buffer[size : size + len(CRLF)] != CRLF:
            raise ProtocolError(400, "a chunk is not followed by CRLF")
        self.chunked_body += self.buffer[:size]
        del self.buffer[: size + len(CRLF)]
        self.state = ParserState.CHUNK_SIZE
        return True

    def _parse_trailers(self) -> bool:
        """Discard trailer fields up to the empty line, as RFC 9112, 7.1.2, allows."""
        line = self._take_line(self.limits.sizes.head_bytes)
        if line is None:
            return False
        if line:
            self._count_trailer(line)
            return True
        self.message.body = bytes(self.chunked_body)
        self.chunked_body = bytearray()
        self.state = ParserState.HEAD
        return True

    def _count_trailer(self, line: bytes) -> None:
        """Count a trailer field against the limits of a head."""
        sizes = self.limits.sizes
        self.trailer_bytes += len(line) + len(CRLF)
        self.trailer_fields += 1
        if self.trailer_bytes > sizes.head_bytes or self.trailer_fields > sizes.header_fields:
            raise ProtocolError(431, "the trailer section is too large")

    def _parse_body_until_close(self) -> bool:
        self._check_body_size(len(self.buffer))
        return False

    STEPS = {
        ParserState.HEAD: _parse_head,
        ParserState.FIXED_LENGTH_BODY: _parse_fixed_length_body,
        ParserState.CHUNK_SIZE: _parse_chunk_size,
        ParserState.CHUNK_DATA: _parse_chunk_data,
        ParserState.TRAILERS: _parse_trailers,
        ParserState.BODY_UNTIL_CLOSE: _parse_body_until_close,
    }


def is_interim(status: int) -> bool:
    """Return whether a status is interim: a final answer follows (RFC 9110, 15.2)."""
    return status < FIRST_FINAL_STATUS


def write_head(first_line: str, headers: dict[str, str]) -> bytes:
    """Return the first line, the header fields and the empty line."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii")


def write_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request, with its length if it has a body or its method allows one."""
    framed = {**headers, "Content-Length": str(len(body))} if body or method == "POST" else headers
    return write_head(f"{method} {target} HTTP/1.1", framed) + body


def write_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None, *, close: bool = False
) -> bytes:
    """Return an answer with its length; `close` adds `Connection: close` (RFC 9112, 9.6)."""
    framed = {**(headers or {}), "Content-Length": str(len(body))}
    if close:
        framed["Connection"] = "close"
    return write_head(f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}", framed) + body
