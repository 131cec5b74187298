"""The drain of this dispatcher by its operators; free of I/O.

`PUT /healthcheck/fail` starts it, `PUT /healthcheck/ok` ends it at once, without a restart.

While it is active, `GET /-/ready` tells the load balancer in front of the dispatcher that it is not
ready. That one still sends new connections for a moment (it checks every 0.1 s and stops 0.2 s
after the first failure) and uses open connections for as long as they stay open. Once the closing
delay has passed, every answer therefore closes its connection, and idle connections are closed, so
that no client waits idle for the end of the drain.

The admin listener's thread owns the state; other threads may read `active`.
"""

from dataclasses import dataclass


@dataclass
class DrainState:
    """Whether and since when this dispatcher drains. Times are monotonic seconds."""

    close_after_seconds: float  # from the start of the drain to the closing of connections
    started_at_seconds: float | None = None  # time of the first call; None: not draining

    def start(self, now_seconds: float) -> bool:
        """Begin a drain; return False if there is one already, which keeps its start."""
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
        """Return whether idle connections close now, and others after their next answer."""
        if self.started_at_seconds is None:
            return False
        return now_seconds - self.started_at_seconds >= self.close_after_seconds
