"""Results of jobs as workers return them, independent of any protocol.

All records are immutable and may be read by any thread.
"""

import ujson

from stepstream.model.records import record


@record
class ResultChunk:
    """A part of a result that its worker sent before the end of the job."""

    data: bytes
    warning: bool = False  # a warning is forwarded, but is not part of the result


@record
class ChunkedResult:
    """The result of a worker that sends it in chunks.

    A front whose protocol has no chunks answers with the complete result.
    """

    chunks: tuple[ResultChunk, ...]
    final_data: bytes  # the part that the worker sent with the end of the job

    @property
    def complete(self) -> bytes:
        """The result in one piece, without warnings."""
        return b"".join(chunk.data for chunk in self.chunks if not chunk.warning) + self.final_data


def result_bytes(result: object) -> bytes:
    """Return the result of a worker of any carrier in one piece.

    Text is encoded as it is, any other JSON value as JSON; lone surrogates are kept.
    """
    if isinstance(result, ChunkedResult):
        return result.complete
    text = result if isinstance(result, str) else ujson.dumps(result, escape_forward_slashes=False)
    return text.encode("utf-8", "surrogatepass")
