"""Releases that are sent again, since some may be lost. Free of I/O.

If a release is lost, the next holder waits for up to a whole time to live. Owned by the
participant. All times are seconds of the caller's monotonic clock.
"""

from collections import deque
from dataclasses import dataclass
from math import inf

from stepstream.leases.messages import Release

RELEASE_REPEATS = 2
MAX_PENDING_REPEATS = 4_096


@dataclass(frozen=True, slots=True)
class ReleaseRepeat:
    """A release to send again, and how many times it is still to be sent."""

    due_at: float
    release: Release
    remaining: int


class ReleaseRepeats:
    """Pending repeats, the earliest first; beyond MAX_PENDING_REPEATS the oldest are dropped."""

    def __init__(self, interval_seconds: float) -> None:
        self.interval_seconds = interval_seconds
        self.pending: deque[ReleaseRepeat] = deque(maxlen=MAX_PENDING_REPEATS)

    def add(self, now: float, release: Release) -> None:
        """Schedule the repeats of a release that is sent now."""
        self._schedule(now, release, RELEASE_REPEATS)

    def take_due(self, now: float) -> list[Release]:
        """Return the releases that are due, and schedule their next repeats."""
        due: list[Release] = []
        while now >= self.next_due_at():
            repeat = self.pending.popleft()
            due.append(repeat.release)
            if repeat.remaining > 1:
                self._schedule(now, repeat.release, repeat.remaining - 1)
        return due

    def next_due_at(self) -> float:
        """Return when the next repeat is due; infinity if never."""
        return self.pending[0].due_at if self.pending else inf

    def _schedule(self, now: float, release: Release, remaining: int) -> None:
        due_at = now + self.interval_seconds
        self.pending.append(ReleaseRepeat(due_at, release, remaining))
