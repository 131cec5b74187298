"""Inbound connections and listeners, as the inbound server sees those of any front."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import socket


class Connection(Protocol):
    """An inbound connection of any front, as the house sees it that shares the budget of places."""

    is_external: bool  # not from a worker's host
    evicted: bool  # has made room, but its thread has yet to close it

    def run(self) -> None:
        """Reads until the connection ends, in a thread of its own."""

    def has_open_request(self) -> bool:
        """A request is open on it."""

    def busy(self) -> bool:
        """Something is owed to it, or its peer may still use it after SIGTERM."""

    def eviction_rank(self, now: float) -> tuple[int, float]:
        """Its rank among those that may make room, least first, and since when (seconds)."""

    def evict(self) -> bool:
        """Makes room, unless something is owed."""

    def enforce_timeouts(self, now: float) -> None:
        """Ends what has gone on for too long."""

    def close_if_idle(self) -> bool:
        """Closes it if nothing is owed and nothing half read."""


@dataclass(slots=True)
class ListenerSpec:
    """A listening socket, what makes a connection of what it accepts, and the words of a full house."""

    listener: "socket.socket"
    create_connection: "Callable[[socket.socket, bool], Connection]"
    overload_response: Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class BoundListener:
    """An entrance that is open, and the end of the line in the log that tells of it."""

    address: tuple[str, int]
    spec: ListenerSpec
    log_suffix: str = ""
