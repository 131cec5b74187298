"""Lifeguard's local health: how much a member doubts itself, and why; free of I/O.

Lifeguard (Dadgar, Phillips, Currey 2017), LHA-Probe. A member that misses answers may itself be
slow or badly connected. It doubts itself before it doubts others: it stretches its probe interval
and its probe timeout by one factor. Owned by the protocol; touched only under the driver's lock.
"""

from dataclasses import dataclass

MIN_STALL_SECONDS = 0.1  # a shorter delay of a tick is ordinary thread scheduling
REFUTATION_PENALTY_POINTS = 1
UNAIDED_PROBE_PENALTY_POINTS = 1
SHORT_STALL_PENALTY_POINTS = 1
LONG_STALL_PENALTY_POINTS = 2


@dataclass(slots=True)
class LocalHealth:
    """The local health score in points; 0 is healthy."""

    score: int = 0

    @property
    def multiplier(self) -> int:
        """The factor by which probe interval and timeout are stretched."""
        return 1 + self.score

    def worsen(self, points: int, max_score: int) -> None:
        """Add points, 0 or more, up to `max_score`."""
        self.score = min(self.score + max(points, 0), max_score)

    def improve(self) -> None:
        """Take off one point after a probe that succeeded."""
        self.score = max(self.score - 1, 0)


def failed_probe_penalty(helpers: int | None, nacks: int) -> int:
    """Return the points that a failed probe adds to the local health score.

    `helpers` counts the ping-reqs sent (None before any), `nacks` the helpers that answered that
    the target is silent. A helper without a nack points to a fault near this member (Lifeguard,
    LHA-Probe). Without helpers the place of the fault is unknown.
    """
    if not helpers:
        return UNAIDED_PROBE_PENALTY_POINTS
    return helpers - nacks


def is_stall(late_seconds: float, probe_timeout_seconds: float) -> bool:
    """Return whether a tick that is late by this time means that the process stood still.

    A shorter delay cannot make a probe fail, so nothing has to be postponed for it.
    """
    return late_seconds > max(probe_timeout_seconds, MIN_STALL_SECONDS)


def stall_penalty(stalled_seconds: float, probe_interval_seconds: float) -> int:
    """Return the points that a stall of this process adds to the local health score.

    A stall over one probe interval counts twice: a whole probe of others was missed.
    """
    is_long = stalled_seconds > probe_interval_seconds
    return LONG_STALL_PENALTY_POINTS if is_long else SHORT_STALL_PENALTY_POINTS
