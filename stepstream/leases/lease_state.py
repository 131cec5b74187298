"""What a task may do under its lease now. Free of I/O and of state.

All times are seconds of the holder's clock.
"""

from enum import Enum


class LeaseState(Enum):
    """What a task sees of its lease. The values are on the wire: JSON answers and log lines."""

    ACQUIRING = "wanted"
    HELD = "held"
    RENEWING = "renewing"  # held, a renewal is on its way
    EXPIRING = "doubtful"  # too late for a new operation; the one under way can still end
    LOST = "lost"
    RELEASED = "released"


def covers_operation(now: float, expires_at: float, operation_seconds: float) -> bool:
    """Return whether an operation begun now ends before the lease expires.

    An operation that outlasts its lease could overlap one of the next holder.
    """
    return expires_at - now > operation_seconds


def has_expired(now: float, expires_at: float, token: int) -> bool:
    """Return whether a granted lease (its token is not 0) has expired, and so is lost.

    From then on the acceptors may grant it to another proposer.
    """
    return token != 0 and now >= expires_at


def held_state(*, may_begin_operation: bool, renewing: bool) -> LeaseState:
    """Return what a task sees of a lease that is held."""
    if not may_begin_operation:
        return LeaseState.EXPIRING
    return LeaseState.RENEWING if renewing else LeaseState.HELD
