"""What a worker is given of a request, and what it returns, in no protocol's form."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import ujson

if TYPE_CHECKING:
    pass


@dataclass(frozen=True, slots=True)
class Payload:
    """What a worker is given of a request, in no protocol's form; every carrier can send it.

    `path` holds class, further path and query as they came, `body` the job's input. `idempotency_key` is ""
    where the client gave none.
    """

    path: str
    body: bytes = b""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class ResultChunk:
    """A part of a result that its worker sent before the end; a warning is told, but is no part of it."""

    data: bytes
    warning: bool = False


@dataclass(frozen=True, slots=True)
class ChunkedResult:
    """The result of a worker that gives it in pieces; a front without pieces answers with the whole."""

    chunks: tuple[ResultChunk, ...]
    last: bytes

    @property
    def complete(self) -> bytes:
        return b"".join(piece.data for piece in self.chunks if not piece.warning) + self.last


def result_bytes(result: object) -> bytes:
    """What a worker of any carrier gave, in one piece: text as it is, anything else of JSON as JSON."""
    if isinstance(result, ChunkedResult):
        return result.complete
    text = result if isinstance(result, str) else ujson.dumps(result, escape_forward_slashes=False)
    return text.encode("utf-8", "surrogatepass")
