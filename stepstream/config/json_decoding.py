"""Decoding of JSON that comes from outside the process, with a bound on its nesting.

Most code that reads, writes, prints or compares nested values takes some of the C stack for each
level, and a thread that exceeds its stack ends the process (SIGSEGV). The dispatcher's threads have
small stacks (`SizeLimits.thread_stack_bytes`). The bound is therefore checked once, on the bytes,
before anything is decoded. What has passed can then be encoded or passed on by any thread.

Every JSON text from a peer, a file or another process is decoded by this module. The functions keep
no state; any thread may call them.
"""

from typing import Any

import ujson

# RFC 8259, section 9, allows a limit. The platform's messages have 3 levels, its configuration 4.
MAX_NESTING_LEVELS = 128

_OPENING_BRACKETS = b"[{"
_ALL_BUT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


class JsonError(ValueError):
    """A text is not JSON that this program reads; the message says why."""


class JsonSyntaxError(JsonError):
    """A text is not JSON."""


class JsonNestingError(JsonError):
    """Arrays and objects are nested more than `MAX_NESTING_LEVELS` deep."""


def decode_json(text: bytes | str) -> Any:  # noqa: ANN401  parsed JSON
    """Return the value of a JSON text; raise JsonNestingError or JsonSyntaxError."""
    check_nesting(text)
    try:
        return ujson.loads(text)
    except ValueError as error:
        raise JsonSyntaxError(str(error)) from error


def check_nesting(text: bytes | str) -> None:
    """Raise JsonNestingError if a JSON text is nested too deeply.

    Other faults are left to the parser. In a malformed text the levels are right up to the first
    fault, where the parser stops.
    """
    data = text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING_LEVELS:
        return  # the usual message: there are too few brackets to exceed the bound
    level = 0
    for bracket in _brackets_outside_strings(data):
        level += 1 if bracket in _OPENING_BRACKETS else -1
        if level > MAX_NESTING_LEVELS:
            raise JsonNestingError(f"JSON nested more than {MAX_NESTING_LEVELS} levels deep")


def _brackets_outside_strings(data: bytes) -> bytes:
    """Return the brackets of a JSON text that are no part of a string, in order."""
    # Escaped backslashes come first: the quote after one of them ends its string.
    without_escaped_quotes = data.replace(rb"\\", b"").replace(rb"\"", b"")
    outside_strings = b"".join(without_escaped_quotes.split(b'"')[::2])
    return outside_strings.translate(None, _ALL_BUT_BRACKETS)
