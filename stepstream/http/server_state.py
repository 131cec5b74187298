"""What all inbound connections of the server go by: the platform's API and the server's phase.

There is one `ServerState` a server, and its fields are flags and single references without a lock.
The main thread sets them, at the start, a reload and a shutdown, but for `starting`, which the
thread that awaits the first endpoint list resets, and for `draining` and `drain_closing`, which are
the admin listener's thread's. Any thread reads them, at each message: one that has just read an old
value acts as if it had come a moment sooner.
"""

from collections.abc import Callable

from stepstream.http.client_api import ClientApi
from stepstream.ports.access_control import AccessControl


class ServerState:
    """The server's phase, and what its connections ask for each request."""

    def __init__(self, client_api: ClientApi) -> None:
        self.client_api = client_api  # replaced by a reload, between two messages
        self.access_control: AccessControl | None = None  # None: callers are not identified
        # Whether one more request would leave no connection for the notification that ends it.
        self.is_overloaded: Callable[[], bool] = lambda: False

        # Each of these makes the readiness check fail, so that the front sends no new clients here.
        self.starting = False  # there is no endpoint list to serve from yet
        self.shutting_down = False  # after SIGTERM
        self.draining = False  # by an operator's drain

        # Each of these closes connections with their next answer.
        self.closing = False  # some time after SIGTERM
        self.drain_closing = False  # some time after the drain began, until it ends

        self.shutdown_started_at: float | None = None  # monotonic seconds of SIGTERM

    @property
    def is_ready(self) -> bool:
        """Whether the front may send new clients here."""
        return not (self.starting or self.shutting_down or self.draining)

    @property
    def closes_connections(self) -> bool:
        """Whether connections close with their next answer."""
        return self.closing or self.drain_closing
