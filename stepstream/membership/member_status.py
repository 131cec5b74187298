"""The statuses that members report of themselves; free of I/O.

Owned by the protocol and touched only under the driver's lock.
"""

import msgspec

from stepstream.membership.context import ProtocolContext
from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import MemberStatus, Phase, fingerprint
from stepstream.membership.outbox import Outbox
from stepstream.membership.record_precedence import status_precedence


def reported_phase(phase: Phase, *, is_draining: bool) -> Phase:
    """Return the phase that a member reports: a drain is reported only in the serving phase."""
    if is_draining and phase is Phase.SERVING:
        return Phase.DRAINING
    return phase


def confirmed_deaths_fingerprint(status: MemberStatus | None) -> int:
    """Return the 48-bit digest of the deaths that a member confirms, 0 for none.

    Of a status only these are part of the anti-entropy digest, because they decide which members
    are counted. The other fields change all the time and may be out of date.
    """
    if status is None or not status.confirmed_deaths:
        return 0
    return fingerprint(f"{status.owner} {status.confirmed_deaths}")


class MemberStatuses:
    """The latest status of each known member."""

    def __init__(self, context: ProtocolContext, members: MemberList, outbox: Outbox) -> None:
        self.context = context
        self.members = members
        self.outbox = outbox
        self.by_owner: dict[str, MemberStatus] = {}
        self.received_at: dict[str, float] = {}  # monotonic seconds, by owner
        self.digest = 0  # XOR of all confirmed deaths' fingerprints

    def publish(self, status: MemberStatus) -> None:
        """Store and disseminate the local member's own status if it has changed.

        This method fills in the owner, the generation and the revision.
        """
        local = self.members.local
        old = self.by_owner.get(local.name)
        revision = old.revision + 1 if old is not None else 0
        new = msgspec.structs.replace(
            status, owner=local.name, generation=local.generation, revision=revision
        )
        if old is None or msgspec.structs.replace(new, revision=old.revision) != old:
            self._store(new)

    def merge(self, status: MemberStatus) -> None:
        """Store another member's status if it is newer than the stored one."""
        if status.owner == self.members.local_name or status.owner not in self.members.by_name:
            return  # only known members have a status, which bounds their number
        old = self.by_owner.get(status.owner)
        if old is None or status_precedence(status) > status_precedence(old):
            self._store(status)

    def renew_local_generation(self) -> None:
        """Disseminate the local status again if the local record now has another generation."""
        local = self.members.local
        status = self.by_owner.get(local.name)
        if status is not None and status.generation != local.generation:
            status = msgspec.structs.replace(status, generation=local.generation)
            self.by_owner[local.name] = status
            self.outbox.broadcast(status)

    def forget(self, owner: str) -> None:
        """Drop the status of a member that is no longer in the member list."""
        self.digest ^= confirmed_deaths_fingerprint(self.by_owner.pop(owner, None))
        self.received_at.pop(owner, None)

    def _store(self, status: MemberStatus) -> None:
        old = self.by_owner.get(status.owner)
        self.digest ^= confirmed_deaths_fingerprint(old) ^ confirmed_deaths_fingerprint(status)
        self.by_owner[status.owner] = status
        self.received_at[status.owner] = self.context.now
        self.outbox.broadcast(status)
