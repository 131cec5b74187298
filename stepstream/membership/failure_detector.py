"""SWIM's failure detector with Lifeguard's local health; free of I/O.

SWIM, section 3.1: in each probe interval a member pings one other member. If the target sends no
ack in time, helpers ping it on the prober's behalf (ping-req). If still no ack arrives, the target
is suspected (section 4.2). A suspect that does not refute in time is declared dead. Lifeguard
(LHA-Probe): a helper whose own ping is unanswered sends the prober a nack. A prober that misses
nacks, too, worsens its own local health.

Owns the current probe and the probes on behalf of others; touched only under the driver's lock.
"""

from dataclasses import dataclass, field
from math import inf

import msgspec

from stepstream.membership.context import ProtocolContext
from stepstream.membership.local_health import failed_probe_penalty, stall_penalty
from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import (
    PRESENT_STATES,
    Ack,
    MemberRecord,
    MemberState,
    Nack,
    Ping,
    PingRequest,
)
from stepstream.membership.outbox import Outbox
from stepstream.membership.probe_order import ProbeOrder
from stepstream.membership.record_merge import RecordMerger
from stepstream.membership.suspicion import is_suspect_dead

MAX_RELAYED_PROBES = 64
NACK_FRACTION_OF_PROBE_TIMEOUT = 0.8
FIRST_SEQUENCE_RANGE = 2**32


@dataclass(slots=True)
class Probe:
    """The probe of the current interval.

    `indirect_at` is when indirect probes are requested. `helpers` are the members that got such a
    request, None before any was sent; `nacked` are the helpers that sent a nack.
    """

    sequence: int
    target: str
    indirect_at: float
    is_acked: bool = False
    helpers: frozenset[str] | None = None
    nacked: set[str] = field(default_factory=set)

    def awaits_indirect_probes(self) -> bool:
        """Return whether indirect probes will be requested unless an ack arrives first."""
        return not self.is_acked and self.helpers is None


@dataclass(slots=True)
class RelayedProbe:
    """A probe on behalf of the member at `address`; `sequence` is that member's number for it."""

    sequence: int
    address: str
    nack_at: float
    ends_at: float


def nack_due_at(now: float, probe_timeout_seconds: float) -> float:
    """Return when a helper sends a nack for a probe relayed at `now`, in monotonic seconds.

    A nack must reach the prober before the prober's timeout (Lifeguard, LHA-Probe): a late nack
    counts as missing and worsens the local health of a healthy prober.
    """
    return now + NACK_FRACTION_OF_PROBE_TIMEOUT * probe_timeout_seconds


class FailureDetector:
    """Probes the other members in turn, helps with their probes, and ends expired suspicions."""

    def __init__(
        self,
        context: ProtocolContext,
        members: MemberList,
        merger: RecordMerger,
        probe_order: ProbeOrder,
        outbox: Outbox,
    ) -> None:
        self.context = context
        self.members = members
        self.merger = merger
        self.probe_order = probe_order
        self.outbox = outbox
        self.probe: Probe | None = None
        self._relayed: dict[int, RelayedProbe] = {}  # by the local member's sequence number
        self._last_sequence = context.rng.randrange(FIRST_SEQUENCE_RANGE)
        # The first probe is at a random time: members that start together must not probe together.
        interval_seconds = context.settings.probe_interval_seconds
        self.next_probe_at = context.now + context.rng.uniform(0, interval_seconds)

    def next_deadline(self) -> float:
        """Return when the next of the timers is due."""
        deadline = self.next_probe_at
        if self.probe is not None and self.probe.awaits_indirect_probes():
            deadline = min(deadline, self.probe.indirect_at)
        for suspicion in self.members.suspicions():
            deadline = min(deadline, suspicion.deadline)
        for relayed in self._relayed.values():
            deadline = min(deadline, relayed.nack_at, relayed.ends_at)
        return deadline

    # -- datagrams --------------------------------------------------------------------------------

    def handle(self, sender: MemberRecord, body: Ping | Ack | PingRequest | Nack) -> None:
        """Handle a member's probe, or an answer to one."""
        match body:
            case Ping():
                self._on_ping(sender, body)
            case Ack():
                self._on_ack(body)
            case PingRequest():
                self._on_ping_request(sender, body)
            case Nack():
                self._on_nack(sender, body)

    def _on_ping(self, sender: MemberRecord, ping: Ping) -> None:
        if ping.target == self.members.local_name:
            self.outbox.send(sender.address, Ack(ping.sequence), sender.name)
        else:
            self.context.metrics.misdirected_pings += 1

    def _on_ack(self, ack: Ack) -> None:
        probe = self.probe
        if probe is not None and probe.sequence == ack.sequence and not probe.is_acked:
            probe.is_acked = True
            self.context.local_health.improve()
            return
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            self.outbox.send(relayed.address, Ack(relayed.sequence))

    def _on_nack(self, sender: MemberRecord, nack: Nack) -> None:
        probe = self.probe
        if probe is None or probe.sequence != nack.sequence or probe.helpers is None:
            return
        # A nack may arrive twice, or from a member that is no helper of this probe.
        if sender.name in probe.helpers:
            probe.nacked.add(sender.name)

    def _on_ping_request(self, sender: MemberRecord, request: PingRequest) -> None:
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        settings = self.context.settings
        now = self.context.now
        sequence = self._next_sequence()
        self._relayed[sequence] = RelayedProbe(
            request.sequence,
            sender.address,
            nack_at=nack_due_at(now, settings.probe_timeout_seconds),
            ends_at=now + settings.probe_interval_seconds,
        )
        self.outbox.send(request.address, Ping(sequence, request.target), request.target)

    # -- timers -----------------------------------------------------------------------------------

    def tick_relayed_probes(self) -> None:
        """Send the nacks that are due and drop the relayed probes that have ended."""
        now = self.context.now
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.nack_at:
                relayed.nack_at = inf
                self.outbox.send(relayed.address, Nack(relayed.sequence))
            if now >= relayed.ends_at:
                del self._relayed[sequence]

    def tick_probe(self) -> bool:
        """Request indirect probes if due; if the probe interval is over, start the next probe.

        Return whether a new probe interval has begun.
        """
        now = self.context.now
        probe = self.probe
        if probe is not None and probe.awaits_indirect_probes() and now >= probe.indirect_at:
            self._request_indirect_probes(probe)
        if now < self.next_probe_at:
            return False
        if probe is not None and not probe.is_acked:
            self._fail_probe(probe)
        # The local health multiplier lengthens the interval and the timeout by the same factor.
        multiplier = self.context.local_health.multiplier
        self.probe = self._start_probe(multiplier)
        self.next_probe_at = now + self.context.settings.probe_interval_seconds * multiplier
        return True

    def expire_suspicions(self) -> None:
        """Declare dead each suspect that has not refuted its suspicion in time."""
        local_name = self.members.local_name
        for member in list(self.members.suspects.values()):
            suspicion = member.suspicion
            if suspicion is not None and is_suspect_dead(self.context.now, suspicion.deadline):
                dead = msgspec.structs.replace(
                    member.record, state=MemberState.DEAD, reported_by=local_name
                )
                self.merger.merge(dead, local_name)

    def recover_from_stall(self, seconds: float) -> None:
        """Drop the probes and postpone the suspicions that were under way during a local stall.

        Answers may have arrived that this process has not read yet, so the missed deadlines say
        nothing about other members.
        """
        self.context.metrics.stalls += 1
        interval_seconds = self.context.settings.probe_interval_seconds
        self.context.worsen_local_health(stall_penalty(seconds, interval_seconds))
        self.probe = None
        self.next_probe_at = self.context.now
        self._relayed.clear()
        for suspicion in self.members.suspicions():
            suspicion.postpone(seconds)

    # -- probes -----------------------------------------------------------------------------------

    def _start_probe(self, multiplier: int) -> Probe | None:
        target = self.probe_order.next_target()
        if target is None:
            return None
        self.context.metrics.probes += 1
        sequence = self._next_sequence()
        address = self.members.by_name[target].record.address
        self.outbox.send(address, Ping(sequence, target), target)
        timeout_seconds = self.context.settings.probe_timeout_seconds * multiplier
        return Probe(sequence, target, indirect_at=self.context.now + timeout_seconds)

    def _request_indirect_probes(self, probe: Probe) -> None:
        """Send ping-reqs to k random helpers (SWIM, section 3.1)."""
        candidates = [name for name in self.members.others() if name != probe.target]
        helper_count = min(self.context.settings.indirect_probes, len(candidates))
        helpers = self.context.rng.sample(candidates, helper_count)
        probe.helpers = frozenset(helpers)
        target = self.members.by_name.get(probe.target)
        if target is None:
            return
        for name in helpers:
            request = PingRequest(probe.sequence, probe.target, target.record.address)
            self.outbox.send(self.members.by_name[name].record.address, request, name)

    def _fail_probe(self, probe: Probe) -> None:
        """Worsen local health and suspect the target (SWIM, section 4.2)."""
        self.context.metrics.failed_probes += 1
        helper_count = None if probe.helpers is None else len(probe.helpers)
        self.context.worsen_local_health(failed_probe_penalty(helper_count, len(probe.nacked)))
        member = self.members.by_name.get(probe.target)
        if member is not None and member.record.state in PRESENT_STATES:
            local_name = self.members.local_name
            suspect = msgspec.structs.replace(
                member.record, state=MemberState.SUSPECT, reported_by=local_name
            )
            self.merger.merge(suspect, local_name)

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence
