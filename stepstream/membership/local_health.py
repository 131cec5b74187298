"""Lifeguard's local health: a member's estimate of its own condition; free of I/O.

Lifeguard (Dadgar, Phillips, Currey 2017), LHA-Probe. A member that misses answers may itself be
slow or badly connected. So it gives others more time before it suspects them: it multiplies its
probe interval and its probe timeout by the same factor. Owned by the protocol; touched only under
the driver's lock.
"""

from dataclasses import dataclass

MIN_STALL_SECONDS = 0.1  # a shorter delay of a tick is ordinary thread scheduling
REFUTATION_PENALTY_POINTS = 1
UNAIDED_PROBE_PENALTY_POINTS = 1
SHORT_STALL_PENALTY_POINTS = 1
LONG_STALL_PENALTY_POINTS = 2


@dataclass(slots=True)
class LocalHealth:
    """The local health score in points: 0 is healthy, more is worse."""

    score: int = 0

    @property
    def multiplier(self) -> int:
        """The factor by which the probe interval and the probe timeout are multiplied."""
        return 1 + self.score

    def worsen(self, points: int, max_score: int) -> None:
        """Add points, 0 or more, up to `max_score`."""
        self.score = min(self.score + max(points, 0), max_score)

    def improve(self) -> None:
        """Take off one point after a probe that succeeded."""
        self.score = max(self.score - 1, 0)


def failed_probe_penalty(helper_count: int | None, nack_count: int) -> int:
    """Return the points that a failed probe adds to the local health score.

    `helper_count` is the number of ping-reqs sent (None before any), `nack_count` the number of
    helpers that reported by a nack that the target does not answer them. A helper that sends no
    nack points to a fault near this member (Lifeguard, LHA-Probe). Without helpers it is unknown
    whether the fault is here or at the target.
    """
    if not helper_count:
        return UNAIDED_PROBE_PENALTY_POINTS
    return helper_count - nack_count


def is_stall(late_seconds: float, probe_timeout_seconds: float) -> bool:
    """Return whether a tick that is late by `late_seconds` means that the process was stalled.

    A shorter delay cannot make a probe fail, so no deadline has to be postponed for it.
    """
    return late_seconds > max(probe_timeout_seconds, MIN_STALL_SECONDS)


def stall_penalty(stalled_seconds: float, probe_interval_seconds: float) -> int:
    """Return the points that a stall of this process adds to the local health score.

    A stall longer than one probe interval counts double: a whole probe interval was missed.
    """
    is_long = stalled_seconds > probe_interval_seconds
    return LONG_STALL_PENALTY_POINTS if is_long else SHORT_STALL_PENALTY_POINTS
