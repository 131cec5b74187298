"""Where the answer of a request goes."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stepstream.core.commands import Answer


class ResponseSink(Protocol):
    """Where a request came from; the decision thread calls it, so neither may wait for a peer."""

    def answer(self, answer: "Answer") -> None: ...

    def progress(self, done: int, of: int) -> None: ...
