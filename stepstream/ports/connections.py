"""Inbound connections and listeners of any front, as the inbound server manages them.

The server keeps one budget of connections for all fronts, evicts idle connections to make room,
enforces timeouts, and decides how long connections delay a shutdown.
"""

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, Protocol

from stepstream.model.records import record


class EvictionRank(IntEnum):
    """The order of eviction: connections of the lowest rank first.

    Eviction costs an idle client only a new connection for its next request. Eviction of a new
    connection may cost a slow client its first request.
    """

    DONE = 1  # its last answer is written
    UNUSED = 2  # open for some time without a request or a notification
    IDLE = 3  # between requests
    NEW = 4  # opened a moment ago, without a complete message yet
    NEVER = 5  # a request is open


class EvictionState(NamedTuple):
    """What decides when a connection is evicted; states sort in the order of eviction."""

    rank: EvictionRank
    quiet_since_seconds: float  # monotonic; the peer has been inactive since then


class Connection(Protocol):
    """An inbound connection of a front.

    Implemented by the connection classes of the HTTP and Gearman fronts. `run` has a thread of its
    own; the server calls the other methods from its accepting thread, the main thread and the admin
    listener's thread. They must not wait for the peer. Times are monotonic seconds.
    """

    is_external: bool  # its peer is not on the host of a known worker
    evicted: bool  # no longer counted, but its socket is still open; set by the server
    backlog_seconds: float  # how long it waited for its place; set by the server

    def run(self) -> None:
        """Read and handle what the peer sends until the connection ends."""

    def has_open_request(self) -> bool:
        """Return whether a request on it is unanswered."""

    def delays_shutdown(self) -> bool:
        """Return whether a shutdown must wait for it.

        True while the peer must still get an answer, or a client may still use the connection.
        """

    def eviction_state(self, now: float) -> EvictionState:
        """Return its rank for eviction, and since when its peer has been inactive."""

    def evict(self) -> bool:
        """Close it to make room; if its peer must still get an answer, return False instead."""

    def buffered_bytes(self) -> int:
        """Return how many bytes of unfinished messages and unsent answers it holds."""

    def shed_buffered_message(self) -> None:
        """Free these bytes: reject the message, or end the connection."""

    def enforce_timeouts(self, now: float) -> None:
        """Close it, or answer with an error, if its current step has taken too long."""

    def close_if_idle(self) -> bool:
        """Close it if no request is open or partly read; return whether it was closed."""


@dataclass(slots=True)
class ListenerSpec:
    """A listening socket and how its front treats what it accepts."""

    listener: socket.socket
    # Creates a connection for an accepted socket, on the accepting thread; the flag is
    # `is_external`.
    create_connection: Callable[[socket.socket, bool], Connection]
    overload_response: Callable[[], bytes]  # sent to a peer when no connection is left for it
    # Set before the socket is shut down, so that the accepting thread ends without a fault.
    closing: threading.Event = field(default_factory=threading.Event)


@record
class BoundListener:
    """A listener that is open."""

    address: tuple[str, int]
    spec: ListenerSpec
    protocol: str = "http"  # as the log names it: "http", "https", "gearman" or "gearman+tls"
