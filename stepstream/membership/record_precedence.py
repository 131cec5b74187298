"""Which of two records takes precedence, and how to treat claims about the local name; no I/O.

Records of one name, owner or worker are totally ordered and the greatest is kept. So the merge of
two lists is commutative, associative and idempotent. SWIM, section 4.2 orders claims by incarnation
and state; generation and address distinguish the starts of a process. Owns no state.
"""

from enum import Enum, auto

from stepstream.membership.messages import (
    PRESENT_STATES,
    MaintenanceRecord,
    MemberRecord,
    MemberState,
    MemberStatus,
)

# For this time after joining, the record of an earlier start of this process may still arrive.
NAME_TAKEOVER_SECONDS = 3.0


def member_precedence(record: MemberRecord) -> tuple[int, str, int, int]:
    """Return the rank of a claim: of two claims about a name, the one of greater rank is kept.

    A later start (generation) overrides all claims about earlier ones. Two starts with the same
    generation are ordered by address. Within one start a refutation (incarnation) overrides a
    suspicion, and within one incarnation the greater state overrides (SWIM, section 4.2).
    """
    return record.generation, record.address, record.incarnation, record.state


def overrides(received: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a received record replaces the known one."""
    return member_precedence(received) > member_precedence(known)


def is_same_claim(received: MemberRecord, known: MemberRecord) -> bool:
    """Return whether both records make the same claim; its sender may confirm a suspicion."""
    return member_precedence(received) == member_precedence(known)


def status_precedence(status: MemberStatus) -> tuple[int, int]:
    """Return the rank of a status: of two statuses of a member, the one of greater rank is kept."""
    return status.generation, status.revision


def maintenance_precedence(record: MaintenanceRecord) -> tuple[int, bool, str]:
    """Return the rank of an operator's call: of two calls on a worker, the greater is kept.

    Calls are ordered by Lamport time (Lamport 1978, "Time, Clocks, and the Ordering of Events").
    Of two concurrent calls, one that begins maintenance is kept, because that is the safe state;
    otherwise the one of the dispatcher with the greater name.
    """
    return record.lamport_time, record.in_maintenance, record.recorded_by


def is_new_start(old: MemberRecord, new: MemberRecord) -> bool:
    """Return whether two records of a name come from different process starts."""
    return new.generation != old.generation or new.address != old.address


def restarts_state_time(old: MemberRecord, new: MemberRecord) -> bool:
    """Return whether a member's time in its state starts again when `new` overrides `old`.

    The time spent under an earlier death claim must not count towards confirming a renewed one.
    """
    is_other_state = old.state != new.state
    is_other_generation = old.generation != new.generation
    is_renewed_death = new.state is MemberState.DEAD and old.incarnation != new.incarnation
    return is_other_state or is_other_generation or is_renewed_death


class LocalClaim(Enum):
    """The kinds of received claims about the local name."""

    OUTDATED = auto()  # overridden by the local record
    FALSE = auto()  # about this process, which refutes the claim with a greater incarnation
    # About a process that started earlier: this one takes the name over with a greater generation.
    EARLIER_START = auto()
    LATER_START = auto()  # about a process that started later: this one yields the name


def classify_local_claim(
    local: MemberRecord,
    claim: MemberRecord,
    seconds_since_joining: float | None,
    newest_generation: int | None = None,
) -> LocalClaim:
    """Return the kind of a claim about the local name.

    `seconds_since_joining` is None before the first datagram of another member.
    `newest_generation` is the greatest generation of a process started by now, by the local clock;
    None where there is no clock. A claim about this process is refuted (SWIM, section 4.2). A claim
    about another start that arrives shortly after joining comes from an earlier start, before the
    clock was set back, unless `may_be_successor` is true. Any other claim comes from a later start.
    This guards against two live processes under one name.
    """
    if not overrides(claim, local):
        return LocalClaim.OUTDATED
    if not is_new_start(local, claim):
        return LocalClaim.FALSE
    if may_be_successor(claim, newest_generation):
        return LocalClaim.LATER_START
    if seconds_since_joining is None or seconds_since_joining < NAME_TAKEOVER_SECONDS:
        return LocalClaim.EARLIER_START
    return LocalClaim.LATER_START


def may_be_successor(claim: MemberRecord, newest_generation: int | None) -> bool:
    """Return whether an overriding claim may come from the successor in a hot restart.

    The successor is running and started before now. A process that started before the clock was
    set back has a generation in the future of the local clock.
    """
    if newest_generation is None or claim.state not in PRESENT_STATES:
        return False
    return claim.generation <= newest_generation
