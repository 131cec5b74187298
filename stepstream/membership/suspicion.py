"""Suspicion of one member by one observer: it shrinks with independent confirmations; free of I/O.

Lifeguard, LHA-Suspicion, on top of SWIM, section 4.2. Owned by the member list.
"""

from dataclasses import dataclass, field
from math import log, log10

from stepstream.membership.protocol_settings import ProtocolSettings


@dataclass(slots=True)
class Suspicion:
    """How long a suspect may take to refute. Times and durations in seconds.

    `confirmations_needed` is the number of confirmations, by members other than the first
    accuser, that make it shortest.
    """

    started_at: float
    min_seconds: float
    max_seconds: float
    confirmations_needed: int
    accusers: set[str] = field(default_factory=set)
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self._update_deadline()

    def confirm(self, accuser: str) -> bool:
        """Return whether this accuser is a new one that still counts."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations_needed:
            return False
        self.accusers.add(accuser)
        self._update_deadline()
        return True

    def postpone(self, seconds: float) -> None:
        """Move the suspicion on by a time in which this process stood still."""
        self.started_at += seconds
        self._update_deadline()

    def _update_deadline(self) -> None:
        """Let each confirmation take off less than the last, on a logarithmic scale."""
        confirmations = max(len(self.accusers) - 1, 0)
        if self.confirmations_needed > 0:
            fraction = min(log(confirmations + 1) / log(self.confirmations_needed + 1), 1.0)
        else:
            fraction = 1.0
        span = self.max_seconds - self.min_seconds
        self.deadline = self.started_at + self.max_seconds - span * fraction


def start_suspicion(now: float, present: int, settings: ProtocolSettings) -> Suspicion:
    """Begin a suspicion; `present` counts alive and suspect members, the observer included.

    Few members cannot confirm each other often, so they need fewer confirmations.
    """
    scale = max(log10(max(present, 1)), 1.0)
    min_seconds = settings.suspicion_multiplier * scale * settings.probe_interval_seconds
    max_seconds = min_seconds * settings.suspicion_max_multiplier
    confirmations_needed = max(min(settings.suspicion_confirmations, present - 2), 0)
    return Suspicion(now, min_seconds, max_seconds, confirmations_needed)
