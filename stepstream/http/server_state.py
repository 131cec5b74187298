"""The state that all inbound connections of a server share: the platform's API and the phase.

Its fields are flags and single references without a lock. The main thread sets them, at the start,
a reload and a shutdown. Exceptions: the thread that awaits the first endpoint list resets
`starting`, the admin listener's thread sets `draining` and `drain_closing`, and the accepting
threads set `clients_wait`. Any thread reads the fields, at each message. A thread that has just
read an old value acts as if its message had arrived a moment earlier.
"""

from collections.abc import Callable

from stepstream.http.client_api import ClientApi
from stepstream.ports.access_control import AccessControl


class ServerState:
    """The server's phase, and the collaborators that its connections call for each request."""

    def __init__(self, client_api: ClientApi) -> None:
        self.client_api = client_api  # replaced by a reload, between two messages
        self.access_control: AccessControl | None = None  # None: callers are not authenticated
        # Whether another open request would leave no connection for notifications.
        self.is_overloaded: Callable[[], bool] = lambda: False
        # Whether the payloads of open requests leave so many bytes of memory.
        self.has_room_for_payload: Callable[[int], bool] = lambda _size_bytes: True
        # Takes the reason for which a message was rejected for want of memory.
        self.report_memory_rejection: Callable[[str], None] = lambda _reason: None
        # Takes the reason for which a job notification was rejected; any thread calls it.
        self.report_rejected_notification: Callable[[str], None] = lambda _reason: None

        # Each of these makes the readiness check fail, so that the front proxy sends no new clients
        # to this dispatcher.
        self.starting = False  # there is no endpoint list yet
        self.shutting_down = False  # after SIGTERM
        self.draining = False  # by an operator's drain

        # Each of these makes connections close with their next answer.
        self.closing = False  # some time after SIGTERM
        self.drain_closing = False  # some time after the drain began, until it ends

        # New clients wait for a place; set by the accepting threads.
        self.clients_wait = False

        self.shutdown_started_at: float | None = None  # monotonic seconds of SIGTERM

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check succeeds, so that new clients may come."""
        return not (self.starting or self.shutting_down or self.draining)

    @property
    def closes_connections(self) -> bool:
        """Whether connections close with their next answer."""
        return self.closing or self.drain_closing
