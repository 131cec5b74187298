"""The drain of this dispatcher by its operators; no I/O.

`PUT /healthcheck/fail` starts the drain. `PUT /healthcheck/ok` ends it at once, without a restart.

During a drain, `GET /-/ready` answers 503 to the front proxy, which spreads clients over the
dispatchers. It checks every 0.1 s and stops sending new connections 0.2 s after the first failure.
It keeps using open connections until they close. After the closing delay every answer therefore
closes its connection, and idle connections are closed, so that no client stays connected until the
end of the drain.

The admin listener's thread owns the state; other threads may read `active`.
"""

from dataclasses import dataclass


@dataclass
class DrainState:
    """The drain of this dispatcher, if one is active. Times are monotonic seconds."""

    close_after_seconds: float  # from the start of the drain to the closing of connections
    started_at_seconds: float | None = None  # None: not draining

    def start(self, now_seconds: float) -> bool:
        """Start a drain; if one is already active, keep its start time and return False."""
        if self.started_at_seconds is not None:
            return False
        self.started_at_seconds = now_seconds
        return True

    def cancel(self) -> bool:
        """End the drain; return False if there was none."""
        was_active = self.active
        self.started_at_seconds = None
        return was_active

    @property
    def active(self) -> bool:
        """Whether the dispatcher drains."""
        return self.started_at_seconds is not None

    def closes_connections(self, now_seconds: float) -> bool:
        """Decide whether idle connections close now, and others after their next answer.

        True once `close_after_seconds` have passed since the start of the drain. Clients
        would replace connections that close sooner by new ones, because the front proxy has not
        noticed the drain yet.
        """
        if self.started_at_seconds is None:
            return False
        return now_seconds - self.started_at_seconds >= self.close_after_seconds
