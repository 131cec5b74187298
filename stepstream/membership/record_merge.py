"""Merging of member records into the member list, and its effects; free of I/O.

`record_precedence` decides which of two claims is kept, `suspicion` how long a suspect has to
refute. Touched only under the driver's lock.
"""

import msgspec

from stepstream.membership.context import ProtocolContext
from stepstream.membership.local_health import REFUTATION_PENALTY_POINTS
from stepstream.membership.member import Member
from stepstream.membership.member_list import MemberList
from stepstream.membership.member_status import MemberStatuses
from stepstream.membership.messages import PRESENT_STATES, MemberRecord, MemberState, Ping
from stepstream.membership.outbox import MAX_BURST_DATAGRAMS, Outbox
from stepstream.membership.probe_order import ProbeOrder
from stepstream.membership.record_precedence import (
    LocalClaim,
    classify_local_claim,
    is_new_start,
    is_same_claim,
    overrides,
)
from stepstream.membership.suspicion import start_suspicion, suspect_contact_probability

# No probe has this sequence number: nobody waits for the ack of a ping that only carries a record.
NOTIFICATION_SEQUENCE = 2**53

# These texts are written to logs and answers, and the operators' documentation explains them.
_STATE_REASONS = {
    MemberState.SUSPECT: "answered neither this prober nor its helpers",
    MemberState.DEAD: "did not refute the suspicion in time",
    MemberState.LEFT: "said that it leaves",
    MemberState.ALIVE: "alive",
}


def override_reason(old: MemberRecord, new: MemberRecord) -> str:
    """Return why `new` overrides `old`, for the event."""
    if new.generation != old.generation:
        return f"a later start (generation {new.generation} after {old.generation})"
    if new.address != old.address:
        return f"a second start in the same instant, at {new.address}"
    if new.incarnation != old.incarnation:
        return f"incarnation {new.incarnation} after {old.incarnation}"
    return _STATE_REASONS[new.state]


class RecordMerger:
    """Applies records to the member list, and queues the updates for other members."""

    def __init__(
        self,
        context: ProtocolContext,
        members: MemberList,
        statuses: MemberStatuses,
        probe_order: ProbeOrder,
        outbox: Outbox,
    ) -> None:
        self.context = context
        self.members = members
        self.statuses = statuses
        self.probe_order = probe_order
        self.outbox = outbox

    def merge(self, record: MemberRecord, reported_by: str) -> bool:
        """Merge a record; return False if its name is new and the member list is full."""
        if record.name == self.members.local_name:
            self.merge_local(record, reported_by)
            return True
        member = self.members.by_name.get(record.name)
        if member is None:
            return self._add(record, reported_by)
        if overrides(record, member.record):
            self._override(member, record, reported_by)
        elif is_same_claim(record, member.record):
            self._confirm_suspicion(member, record, reported_by)
        return True

    def _add(self, record: MemberRecord, reported_by: str) -> bool:
        if not self._ensure_capacity(record.name):
            return False
        member = self.members.add(record, reported_by)
        if record.state in PRESENT_STATES:
            self.probe_order.insert(record.name)
        self._apply(member)
        self._record_event(member, "", "heard of for the first time")
        return True

    def _override(self, member: Member, record: MemberRecord, reported_by: str) -> None:
        old = member.record
        self.members.replace(member, record, reported_by)
        has_returned = record.state in PRESENT_STATES and old.state not in PRESENT_STATES
        is_event = old.state != record.state or is_new_start(old, record)
        is_reported = reported_by != self.members.local_name
        if has_returned:
            self.probe_order.insert(record.name)
        self._apply(member)
        if is_event:
            self._record_event(member, old.state.display_name, override_reason(old, record))
        if record.state is MemberState.DEAD and is_reported:
            self.notify_dead(member)

    def _confirm_suspicion(self, member: Member, record: MemberRecord, accuser: str) -> None:
        """Count an accuser; broadcast one that counts, to shorten others' suspicions as well."""
        if member.suspicion is not None and member.suspicion.confirm(accuser):
            self.outbox.broadcast(record)

    def _apply(self, member: Member) -> None:
        """Update suspicion, presence and dissemination after a change of a member's record."""
        if member.record.state is MemberState.SUSPECT:
            self._start_suspicion(member)
        else:
            self.members.set_suspicion(member, None)
        self.members.update_presence(member)
        self.outbox.broadcast(member.record)

    def _start_suspicion(self, member: Member) -> None:
        present_count = len(self.members.present)
        suspicion = start_suspicion(self.context.now, present_count, self.context.settings)
        self.members.set_suspicion(member, suspicion)
        suspicion.confirm(member.reported_by)
        self._consider_probing_suspect(member, present_count)

    def _consider_probing_suspect(self, member: Member, present_count: int) -> None:
        """Probe the suspect next, with the probability for which about SUSPECT_NOTIFIERS do so.

        SUSPECT_NOTIFIERS is a number of members. Their probes confirm the suspicion or let the
        suspect refute it. The member that raised the suspicion has already probed the suspect.
        """
        is_reported = member.reported_by != self.members.local_name
        if is_reported and self.context.rng.random() < suspect_contact_probability(present_count):
            self.probe_order.prioritize(member.record.name)

    def _record_event(self, member: Member, before: str, reason: str) -> None:
        record = member.record
        self.members.record_event(
            record.name, before, record.state.display_name, member.reported_by, reason
        )

    def notify_dead(self, member: Member) -> None:
        """Send a member that others declared dead its own record, so that it can refute at once.

        The record is piggybacked on a ping, the refutation on the ack. A digest in place of the
        ping would cost far more after a healed partition: each differing digest is answered with
        the whole state.
        """
        if len(self.outbox.waiting) < MAX_BURST_DATAGRAMS:
            record = member.record
            ping = Ping(NOTIFICATION_SEQUENCE, record.name)
            self.outbox.send(record.address, ping, record.name)

    def _ensure_capacity(self, name: str) -> bool:
        if not self.members.is_full():
            return True
        forgotten = self.members.forget_oldest_tombstone()
        if forgotten is None:
            self.members.reject_name(name)
            return False
        self.statuses.forget(forgotten)
        return True

    # -- records of the local name ----------------------------------------------------------------

    def merge_local(self, record: MemberRecord, reported_by: str) -> None:
        """React to a claim about the local name by its kind; an outdated one needs no reaction."""
        joined_at = self.members.joined_at
        seconds_since_joining = None if joined_at is None else self.context.now - joined_at
        clock = self.context.newest_generation
        newest_generation = None if clock is None else clock()
        match classify_local_claim(
            self.members.local, record, seconds_since_joining, newest_generation
        ):
            case LocalClaim.FALSE:
                self._refute(record, reported_by)
            case LocalClaim.EARLIER_START:
                self._take_over_name(record, reported_by)
            case LocalClaim.LATER_START:
                self._yield_name(record, reported_by)

    def _refute(self, record: MemberRecord, reported_by: str) -> None:
        self.context.metrics.refutations += 1
        self.context.worsen_local_health(REFUTATION_PENALTY_POINTS)
        local = self.members.local
        self._replace_local(msgspec.structs.replace(local, incarnation=record.incarnation + 1))
        reason = f"refuted what {reported_by} said"
        self.members.record_event(
            local.name,
            record.state.display_name,
            MemberState.ALIVE.display_name,
            reported_by,
            reason,
        )

    def _take_over_name(self, record: MemberRecord, reported_by: str) -> None:
        local = self.members.local
        self._replace_local(
            msgspec.structs.replace(local, generation=record.generation + 1, incarnation=0)
        )
        alive = MemberState.ALIVE.display_name
        reason = "took the name over from an earlier start whose clock was ahead"
        self.members.record_event(local.name, alive, alive, reported_by, reason)

    def _yield_name(self, record: MemberRecord, reported_by: str) -> None:
        self.members.superseded_by = record.address
        reason = (
            f"{record.address} started later under this name: stop one, or give each its own name"
        )
        self.members.record_event(
            record.name, MemberState.ALIVE.display_name, "superseded", reported_by, reason
        )

    def _replace_local(self, record: MemberRecord) -> None:
        self.members.replace_local(record)
        self.outbox.broadcast(record)
        self.statuses.renew_local_generation()
