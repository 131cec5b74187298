"""The operators' drain of this dispatcher: `PUT /healthcheck/fail` and `/healthcheck/ok`; free of I/O.

After the call the front is told no at `GET /-/ready`. It goes on sending new connections for a moment after
its first no (it asks every 0.1 s and stops 0.2 s later); kept connections stay in use while they are open.
From `close_after` seconds on, every answer closes its connection and idle ones are closed, so that no client
is held idle when the drain is over. `ok` ends it at once, without a restart.
"""

from dataclasses import dataclass


@dataclass
class DrainState:
    close_after_seconds: float  # seconds from the call to the closing of kept connections
    started_at: float | None = None  # monotonic seconds of the first call out; None: not drained

    def start(self, now: float) -> bool:
        """Whether this began a drain; a second call keeps the first one's time."""
        if self.started_at is not None:
            return False
        self.started_at = now
        return True

    def cancel(self) -> bool:
        """Whether a drain ended."""
        ended, self.started_at = self.started_at is not None, None
        return ended

    @property
    def active(self) -> bool:
        return self.started_at is not None

    def closes_connections(self, now: float) -> bool:
        """Whether connections are to close after their answers, and idle ones at once."""
        return self.started_at is not None and now - self.started_at >= self.close_after_seconds
