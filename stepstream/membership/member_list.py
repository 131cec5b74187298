"""The membership list: one record per name, with indexes and an order-independent digest; no I/O.

Owned by the protocol and touched only under the driver's lock. `record_precedence` decides which of
two records is kept; this module keeps the indexes and the digest consistent with the records.
"""

from collections.abc import Iterator

import msgspec

from stepstream.membership.context import ProtocolContext
from stepstream.membership.event_history import EventHistory
from stepstream.membership.member import Member
from stepstream.membership.messages import PRESENT_STATES, MemberRecord, MemberState
from stepstream.membership.record_precedence import restarts_state_time
from stepstream.membership.suspicion import Suspicion
from stepstream.membership.tombstones import oldest_expired_tombstone


class MemberList:
    """All known members by name, the local one among them."""

    def __init__(self, context: ProtocolContext, local: MemberRecord) -> None:
        self.context = context
        self.local_name = local.name
        self.by_name = {local.name: Member(local, context.now, local.name)}
        self.present: set[str] = {local.name}  # names of alive and suspect members
        self.suspects: dict[str, Member] = {}
        self.digest = local.fingerprint  # XOR of all records' fingerprints
        self.events = EventHistory()
        # When the first datagram of another member arrived, in monotonic seconds; None before that.
        self.joined_at: float | None = None
        # The address of a later start under the local name; once set, this process is passive.
        self.superseded_by: str | None = None
        self._rejected_names: set[str] = set()  # those with a recorded event

    @property
    def local(self) -> MemberRecord:
        """The local member's own record."""
        return self.by_name[self.local_name].record

    def others(self) -> list[str]:
        """Return the names of the other present members, sorted so that seeded runs repeat."""
        return sorted(self.present - {self.local_name})

    def suspicions(self) -> Iterator[Suspicion]:
        """Yield the current suspicions."""
        return (
            member.suspicion for member in self.suspects.values() if member.suspicion is not None
        )

    def is_present(self, name: str) -> bool:
        """Return whether a name is known as alive or suspect."""
        member = self.by_name.get(name)
        return member is not None and member.record.state in PRESENT_STATES

    def add(self, record: MemberRecord, reported_by: str) -> Member:
        """Add the first record of a name."""
        member = Member(record, self.context.now, reported_by)
        self.by_name[record.name] = member
        self.digest ^= record.fingerprint
        return member

    def replace(self, member: Member, record: MemberRecord, reported_by: str) -> None:
        """Replace a member's record by one that overrides it."""
        old = member.record
        member.record = record
        member.reported_by = reported_by
        self.digest ^= old.fingerprint ^ record.fingerprint
        if restarts_state_time(old, record):
            member.state_since = self.context.now

    def replace_local(self, record: MemberRecord) -> None:
        """Replace the local member's own record."""
        member = self.by_name[self.local_name]
        self.digest ^= member.record.fingerprint ^ record.fingerprint
        member.record = record

    def leave(self) -> MemberRecord:
        """Mark the local member as left and return its record."""
        left = msgspec.structs.replace(self.local, state=MemberState.LEFT)
        self.replace_local(left)
        self.present.discard(left.name)
        return left

    def set_suspicion(self, member: Member, suspicion: Suspicion | None) -> None:
        """Begin a suspicion of a member, or end the current one if `suspicion` is None."""
        name = member.record.name
        if suspicion is not None:
            self.suspects[name] = member
        elif member.suspicion is not None:
            del self.suspects[name]
        member.suspicion = suspicion

    def update_presence(self, member: Member) -> None:
        """Add a member to the present names or remove it, by its record's state."""
        if member.record.state in PRESENT_STATES:
            self.present.add(member.record.name)
        else:
            self.present.discard(member.record.name)

    def record_event(  # noqa: PLR0913  one argument per field of the event
        self, name: str, before: str, after: str, reported_by: str, reason: str
    ) -> None:
        """Record an event of a known member."""
        event = self.events.record(self.context.now, name, before, after, reported_by, reason)
        self.by_name[name].history.append(event)

    # -- the maximum number of names --------------------------------------------------------------

    def is_full(self) -> bool:
        """Return whether a known name must be dropped before another can be added."""
        return len(self.by_name) >= self.context.settings.max_members

    def forget_oldest_tombstone(self) -> str | None:
        """Drop the oldest expired tombstone and return its name; None if there is none."""
        oldest = oldest_expired_tombstone(
            self.by_name.values(),
            self.context.now,
            self.context.settings.tombstone_timeout_seconds,
        )
        if oldest is None:
            return None
        del self.by_name[oldest.record.name]
        self.digest ^= oldest.record.fingerprint
        return oldest.record.name

    def reject_name(self, name: str) -> None:
        """Count the rejection of a name for lack of room; record one event for each such name."""
        max_members = self.context.settings.max_members
        self.context.metrics.rejected_names += 1
        if name in self._rejected_names or len(self._rejected_names) >= max_members:
            return
        self._rejected_names.add(name)
        # Operators' documentation and tools refer to these texts: keep their wording.
        reason = f"no room: {max_members} names are known (fleet.most)"
        self.events.record(self.context.now, name, "", "turned away", self.local_name, reason)
