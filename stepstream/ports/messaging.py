"""Messages between the dispatchers of a cluster."""

from collections.abc import Callable
from typing import Protocol


class MessageTransport(Protocol):
    """Carries other subsystems' messages between dispatchers.

    Implemented by the membership subsystem, called by the lease subsystem. Any thread may call its
    methods once it has started; none of them waits.
    """

    process_name: str  # unique to this run of the process: a restart gets another name

    def subscribe(self, kind: str, on_message: Callable[[str, bytes], None]) -> None:
        """Pass each message of a kind to `on_message`, with the name of its sender.

        Called before the transport starts. The transport's thread calls `on_message`, which must
        not wait.
        """

    def send(self, member: str, kind: str, data: bytes) -> None:
        """Send up to 1,080 bytes to the member of this name, whatever its state.

        A message may be lost, duplicated or delayed.
        """

    def present_members(self) -> list[str]:
        """Return the names of the other members that are alive or suspect."""

    def superseded(self) -> bool:
        """Return whether a later process has taken over this member's name."""
