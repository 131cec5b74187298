"""When a tombstone, the record of a dead or left member, may be dropped; free of I/O and state."""

from collections.abc import Iterable

from stepstream.membership.member import Member
from stepstream.membership.messages import PRESENT_STATES


def oldest_expired_tombstone(
    members: Iterable[Member], now: float, timeout_seconds: float
) -> Member | None:
    """Return the dead or left member to drop when a new name needs room; None if none may be.

    `now` is in the monotonic seconds of `Member.state_since`; `timeout_seconds` is the least time
    for which a tombstone is kept. If a tombstone is dropped too early, an old claim can make a dead
    member appear alive again.
    """
    expired = [
        member
        for member in members
        if member.record.state not in PRESENT_STATES and now - member.state_since >= timeout_seconds
    ]
    return min(expired, key=lambda member: member.state_since, default=None)
