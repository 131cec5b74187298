"""Generate a random fault schedule of all kinds from a seed."""

import random

from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule

# Cuts are twice as frequent as any other kind. A seed gives the same schedule only as long as the
# order of this tuple and of the random draws in this module stays the same. A new kind here changes
# the schedule of every seed, and with it the lab's golden transcript and the seeds of tests.
_KINDS = (
    FaultKind.CRASH,
    FaultKind.RESTART,
    FaultKind.LEAVE,
    FaultKind.STALL,
    FaultKind.CUT,
    FaultKind.CUT,
    FaultKind.ONE_WAY,
    FaultKind.FLAP,
    FaultKind.LOSS,
)
_SINGLE_MEMBER_KINDS = (FaultKind.RESTART, FaultKind.LEAVE)
_LATEST_FIRST_FAULT_SECONDS = 2.0
_MEAN_GAP_SECONDS = 3.0
_SHORTEST_FAULT_SECONDS = 0.5
_LONGEST_FAULT_SECONDS = 12.0
_LOSS_FRACTIONS = (0.1, 0.3)
_TIME_DIGITS = 3  # milliseconds, so that a schedule is easy to read in a file


def generate_schedule(
    seed: int, member_names: tuple[str, ...], seconds: float, max_affected_fraction: float = 0.5
) -> Schedule:
    """Generate faults of all kinds that begin within `seconds`.

    Equal arguments give equal schedules. A fault affects at most `max_affected_fraction` of the
    members, but one member is always allowed.
    """
    rng = random.Random(seed)
    max_affected_count = max(int(len(member_names) * max_affected_fraction), 1)
    faults: list[Fault] = []
    begin_seconds = rng.uniform(0.0, _LATEST_FIRST_FAULT_SECONDS)
    while begin_seconds < seconds:
        faults.append(_generate_fault(rng, member_names, max_affected_count, begin_seconds))
        begin_seconds += rng.expovariate(1 / _MEAN_GAP_SECONDS)
    return Schedule(tuple(faults))


def _generate_fault(
    rng: random.Random, member_names: tuple[str, ...], max_affected_count: int, begin_seconds: float
) -> Fault:
    """Generate one fault; draw its kind, members, loss and duration in this order."""
    kind = rng.choice(_KINDS)
    affected_count = 1 if kind in _SINGLE_MEMBER_KINDS else rng.randint(1, max_affected_count)
    members = tuple(sorted(rng.sample(member_names, affected_count)))
    loss_fraction = rng.choice(_LOSS_FRACTIONS) if kind is FaultKind.LOSS else 0.0
    duration_seconds = 0.0
    if kind is not FaultKind.RESTART:
        duration_seconds = rng.uniform(_SHORTEST_FAULT_SECONDS, _LONGEST_FAULT_SECONDS)
    return Fault(
        kind=kind,
        begin_seconds=round(begin_seconds, _TIME_DIGITS),
        duration_seconds=round(duration_seconds, _TIME_DIGITS),
        members=members,
        loss_fraction=loss_fraction,
    )
