"""Messages between dispatchers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    pass


class MessageTransport(Protocol):
    """Carries other subsystems' messages between dispatchers, as the fleet's view does."""

    process: str  # this start's name: of no other process, ever

    def subscribe(self, kind: str, take: Callable[[str, bytes], None]) -> None:
        """Before the start: messages of that kind go to `take`, with the sender's name; it must not wait."""

    def send(self, member: str, kind: str, data: bytes) -> None:
        """To a member by its name, whatever its state; it may be lost, doubled or late. Up to 1,064 bytes."""

    def present(self) -> list[str]:
        """The names of the others that are held alive or suspect."""

    def superseded(self) -> bool:
        """Whether a later process has this one's name: then this one speaks for nobody."""
