"""One member's protocol: routes datagrams and ticks to its parts; free of I/O.

SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, suspicion, incarnations, refutation,
updates piggybacked on probes. Lifeguard (Dadgar, Phillips, Currey 2017): local health, suspicions
that confirmations shorten, notification of suspects. Anti-entropy sends the updates that a
member has missed. docs/membership.md describes the guarantees.

The protocol owns all its parts. Where there is a driver, a thread must hold the driver's lock to
call the protocol; simulations call it from one thread. Times are the caller's monotonic seconds and
never go back.
"""

import random
from collections.abc import Iterable
from math import inf

from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.application_messages import ApplicationMessages
from stepstream.membership.context import GenerationClock, ProtocolContext
from stepstream.membership.failure_detector import FailureDetector
from stepstream.membership.local_health import is_stall
from stepstream.membership.maintenance_records import MaintenanceRecords
from stepstream.membership.member_list import MemberList
from stepstream.membership.member_status import MemberStatuses
from stepstream.membership.messages import (
    ApplicationMessage,
    Body,
    Datagram,
    Digest,
    MemberRecord,
    Page,
)
from stepstream.membership.outbox import MAX_BURST_DATAGRAMS, Outbox, OutgoingDatagram
from stepstream.membership.probe_order import ProbeOrder
from stepstream.membership.protocol_settings import ProtocolSettings
from stepstream.membership.record_merge import RecordMerger


class MembershipProtocol:
    """The state machine of one member; each call returns the datagrams to send."""

    def __init__(  # noqa: PLR0913  takes identity, settings, random numbers and time
        self,
        local: MemberRecord,
        cluster: str,
        seeds: Iterable[str],
        settings: ProtocolSettings,
        rng: random.Random,
        now: float,
        *,
        newest_generation: GenerationClock | None = None,
    ) -> None:
        """`local` is alive at incarnation 0; `seeds` are addresses and may include its own."""
        self.cluster = cluster
        self.started_at = now
        self.ticked_at = now
        self.has_left = False
        self.context = ProtocolContext(settings, rng, now, newest_generation)
        self.members = MemberList(self.context, local)
        self.outbox = Outbox(self.context, self.members, cluster)
        self.outbox.broadcast(local)
        self.statuses = MemberStatuses(self.context, self.members, self.outbox)
        self.maintenance = MaintenanceRecords(self.context, self.members, self.outbox)
        self.application = ApplicationMessages(self.members, self.outbox)
        probe_order = ProbeOrder(self.context, self.members)
        self.merger = RecordMerger(
            self.context, self.members, self.statuses, probe_order, self.outbox
        )
        # The detector must draw from `rng` before anti-entropy does: seeded simulations rely on the
        # order.
        self.detector = FailureDetector(
            self.context, self.members, self.merger, probe_order, self.outbox
        )
        self.anti_entropy = AntiEntropy(
            self.context, self.members, self.statuses, self.maintenance, self.outbox, seeds
        )

    @property
    def digest(self) -> int:
        """Digest of the whole state; equal for members with equal state."""
        return self.anti_entropy.digest

    @property
    def is_passive(self) -> bool:
        """Whether this member has left or yielded its name: from then on it answers nothing."""
        return self.members.superseded_by is not None or self.has_left

    @property
    def is_settled(self) -> bool:
        """Whether this member has joined, suspects nobody and has no member record left to send.

        A member without seeds other than itself need not join.
        """
        local_address = self.members.local.address
        is_alone = all(seed == local_address for seed in self.anti_entropy.seeds)
        is_quiet = not self.members.suspects and not self.outbox.broadcasts.has_member_records()
        is_joined_or_alone = self.members.joined_at is not None or is_alone
        is_superseded = self.members.superseded_by is not None
        return is_joined_or_alone and is_quiet and not is_superseded

    def reconfigure(self, settings: ProtocolSettings, seeds: Iterable[str]) -> None:
        """Apply new settings and seeds; running timers keep their deadlines."""
        self.context.settings = settings
        self.anti_entropy.seeds = tuple(seeds)

    def next_tick_at(self) -> float:
        """Return when `tick` is due."""
        if self.is_passive:
            return inf
        return min(self.detector.next_deadline(), self.anti_entropy.next_deadline())

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run the timers that are due."""
        late_seconds = now - max(self.next_tick_at(), self.ticked_at)
        self.context.now = now
        self.ticked_at = now
        if self.is_passive:
            return self.outbox.take()
        if is_stall(late_seconds, self.context.settings.probe_timeout_seconds):
            self.detector.recover_from_stall(late_seconds)
        self.detector.tick_relayed_probes()
        if self.detector.tick_probe():
            self.anti_entropy.notify_suspects()
        self.detector.expire_suspicions()
        self.anti_entropy.tick()
        return self.outbox.take()

    def handle(self, now: float, datagram: Datagram) -> list[OutgoingDatagram]:
        """Handle a received datagram."""
        self.context.now = now
        if not self.is_passive:
            self._process_datagram(datagram)
        return self.outbox.take()

    def _process_datagram(self, datagram: Datagram) -> None:
        sender = datagram.sender
        is_admitted = self.merger.merge(sender, sender.name)
        # The sender is another start under this name, or this member itself through its seeds.
        has_local_name = sender.name == self.members.local_name
        if has_local_name or not is_admitted:
            return
        if self.members.joined_at is None:
            self._join(sender)
        for record in datagram.member_records:
            self.merger.merge(record, record.reported_by or sender.name)
        for status in datagram.member_statuses:
            self.statuses.merge(status)
        for maintenance in datagram.maintenance_records:
            self.maintenance.merge(maintenance)
        self._route_body(sender, datagram.body)

    def _join(self, sender: MemberRecord) -> None:
        self.members.joined_at = self.context.now
        self.anti_entropy.send_digest(sender.address)

    def _route_body(self, sender: MemberRecord, body: Body) -> None:
        match body:
            case Digest() | Page():
                self.anti_entropy.handle(sender, body)
            case ApplicationMessage():
                self.application.receive(sender, body)
            case _:
                self.detector.handle(sender, body)

    def send_application_message(
        self, now: float, recipient: str, kind: str, data: bytes
    ) -> list[OutgoingDatagram]:
        """Send another subsystem's message to a member, once; like any datagram it may be lost."""
        self.context.now = now
        if self.is_passive:
            return []
        self.application.send(recipient, kind, data)
        return self.outbox.take()

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Announce a graceful leave to some members; after that, answer nothing."""
        self.context.now = now
        if self.is_passive:
            return []
        others = self.members.others()
        left = self.members.leave()
        recipient_count = min(MAX_BURST_DATAGRAMS, len(others))
        for name in self.context.rng.sample(others, recipient_count):
            address = self.members.by_name[name].record.address
            self.outbox.send_with_updates(address, Digest(self.digest), [left])
        self.has_left = True
        return self.outbox.take()
