"""Suspicion of one member by one observer, and the rules of its deadline; free of I/O.

A suspect has some time to refute before it is declared dead (SWIM, section 4.2). Independent
confirmations shorten that time (Lifeguard, LHA-Suspicion): a single observer with bad links must
not quickly declare others dead. The member list owns the suspicions.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from math import log, log10

from stepstream.membership.protocol_settings import SUSPECT_NOTIFIERS, ProtocolSettings


@dataclass(frozen=True, slots=True)
class SuspicionLimits:
    """The shortest and longest duration of a suspicion in seconds.

    `confirmations_needed` is the number of confirmations, by members other than the first accuser,
    after which the duration is shortest.
    """

    min_seconds: float
    max_seconds: float
    confirmations_needed: int


def suspicion_limits(present_count: int, settings: ProtocolSettings) -> SuspicionLimits:
    """Return the limits of a suspicion that begins now.

    `present_count` counts alive and suspect members, the observer included. The time grows with the
    logarithm of the cluster's size, as dissemination does (SWIM, section 4.2). The observer and the
    suspect cannot confirm, so that a small cluster needs fewer confirmations (Lifeguard,
    LHA-Suspicion).
    """
    scale = max(log10(max(present_count, 1)), 1.0)
    min_seconds = settings.suspicion_multiplier * scale * settings.probe_interval_seconds
    max_seconds = min_seconds * settings.suspicion_max_multiplier
    confirmations_needed = max(min(settings.suspicion_confirmations, present_count - 2), 0)
    return SuspicionLimits(min_seconds, max_seconds, confirmations_needed)


def suspicion_deadline(started_at: float, limits: SuspicionLimits, confirmations: int) -> float:
    """Return when the suspect is declared dead, in the monotonic seconds of `started_at`.

    Each confirmation shortens the time by less than the one before, on a logarithmic scale
    (Lifeguard, LHA-Suspicion): the first ones are the strongest evidence.
    """
    if limits.confirmations_needed > 0:
        fraction = min(log(confirmations + 1) / log(limits.confirmations_needed + 1), 1.0)
    else:
        fraction = 1.0
    span_seconds = limits.max_seconds - limits.min_seconds
    return started_at + limits.max_seconds - span_seconds * fraction


def is_suspect_dead(now: float, deadline: float) -> bool:
    """Return whether a suspect is declared dead; times are monotonic seconds.

    A suspect is dead once its deadline has passed without a refutation (SWIM, section 4.2).
    """
    return now >= deadline


def is_counted_accuser(accuser: str, accusers: Collection[str], limits: SuspicionLimits) -> bool:
    """Return whether an accuser counts for a suspicion and is broadcast to other members.

    Each accuser counts once, and none counts after the first accuser and the needed confirmations
    (Lifeguard, LHA-Suspicion). This limits the datagrams about one suspect.
    """
    is_known = accuser in accusers
    has_enough_accusers = len(accusers) > limits.confirmations_needed
    return not is_known and not has_enough_accusers


def suspect_contact_probability(present_count: int) -> float:
    """Return the probability with which one member contacts a suspect out of turn.

    `present_count` counts alive and suspect members. About SUSPECT_NOTIFIERS members do so at any
    size of the cluster (Lifeguard, Buddy System): a suspect with bad links gets several chances to
    refute.
    """
    return SUSPECT_NOTIFIERS / present_count


@dataclass(slots=True)
class Suspicion:
    """A suspicion that is neither refuted nor expired. Times are monotonic seconds."""

    started_at: float
    limits: SuspicionLimits
    accusers: set[str] = field(default_factory=set)
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self._update_deadline()

    def confirm(self, accuser: str) -> bool:
        """Record an accuser that counts; return whether it does."""
        if not is_counted_accuser(accuser, self.accusers, self.limits):
            return False
        self.accusers.add(accuser)
        self._update_deadline()
        return True

    def postpone(self, seconds: float) -> None:
        """Move the deadline by the duration of a stall of this process."""
        self.started_at += seconds
        self._update_deadline()

    def _update_deadline(self) -> None:
        confirmations = max(len(self.accusers) - 1, 0)
        self.deadline = suspicion_deadline(self.started_at, self.limits, confirmations)


def start_suspicion(now: float, present_count: int, settings: ProtocolSettings) -> Suspicion:
    """Return a new suspicion; `present_count` is as for `suspicion_limits`."""
    return Suspicion(now, suspicion_limits(present_count, settings))
