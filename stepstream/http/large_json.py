"""Decoding of large JSON bodies, one at a time, in a thread of their own.

A body takes up to twenty times its bytes once it is decoded, and the decoder a large part of a
stack. The pages of a stack that were used once stay in memory as long as its thread, so that the
hundreds of reader threads must not use theirs. Any thread may call `decode_large_object`; it waits
for its turn.
"""

import threading
from typing import Any

import ujson

from stepstream.http.codec import ProtocolError
from stepstream.http.json_body import read_json_object
from stepstream.runtime.threads import ThreadPool

DECODER = ThreadPool("decoder", 1)


class JsonText(str):
    """The text of a JSON list or object, which stands for the value."""

    __slots__ = ()


class LargeObject:
    """A JSON object that is decoded by another thread; the caller waits."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._value: dict[str, Any] = {}
        self._error: Exception | None = None
        self._is_decoded = threading.Lock()
        self._is_decoded.acquire()

    def decode(self) -> None:
        """Decode the body, with its result as text; the decoder's thread calls it."""
        try:
            self._value = read_json_object(self._body)
            self._value["result"] = compact_result(self._value.get("result"))
        except Exception as error:  # noqa: BLE001  it is raised in the thread that waits
            self._error = error
        finally:
            self._is_decoded.release()

    def wait(self) -> dict[str, Any]:
        """Return the object; raise ProtocolError if the body is malformed."""
        self._is_decoded.acquire()
        if isinstance(self._error, ProtocolError):
            raise self._error
        if self._error is not None:
            raise RuntimeError("the decoder failed") from self._error
        return self._value


def decode_large_object(body: bytes) -> dict[str, Any]:
    """Return a JSON object whose `result` is in its compact form.

    Raise ProtocolError if the body is malformed.
    """
    large_object = LargeObject(body)
    DECODER.submit(large_object.decode)
    return large_object.wait()


def compact_result(result: object) -> object:
    """Return a result in the form in which it waits in memory until it is answered.

    A list or object becomes its text, which is what its client gets: decoded, it may take twenty
    times its bytes.
    """
    if isinstance(result, list | dict):
        return JsonText(ujson.dumps(result, escape_forward_slashes=False))
    return result
