"""Transcripts of digests and fencing tokens, and of whole conversations between members."""

import random
from collections import deque

from golden.state.forms import UNIX_MS
from golden.state.membership_form import CLUSTER, maintenance_record, member_record, member_status

from stepstream.leases import messages as lease_messages
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.health_reports import HealthReport, encode_pages
from stepstream.leases.participant import Participant
from stepstream.membership import messages as membership_messages
from stepstream.membership.member_status import confirmed_deaths_fingerprint
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

STEPS_PER_SECOND = 20
MEMBERS = ("n0", "n1", "n2")
LEASE = "night-report"
LEASE_START_SECONDS = 58.0
HEALTH_REPORT_COUNT = 90  # more than one page holds
FENCING_TOKENS = (5, 5, 9, 8, 0, 10)


def digests() -> dict[str, object]:
    """Return the digests that members compare with those of other members."""
    states = enumerate(("ALIVE", "SUSPECT", "DEAD", "LEFT"))
    statuses = (
        None,
        member_status(),
        member_status(confirmed_deaths=(17,)),
        member_status(confirmed_deaths=(17, 4)),
    )
    configurations = (
        LeaseConfiguration(("n2", "n0", "n1"), ()),
        LeaseConfiguration(("n0",), ("n1", "n2")),
    )
    return {
        "rows": [
            member_record(state=state, incarnation=number).fingerprint for number, state in states
        ],
        "words": [
            maintenance_record(in_maintenance=in_maintenance).fingerprint
            for in_maintenance in (True, False)
        ],
        "witnesses": [confirmed_deaths_fingerprint(status) for status in statuses],
        "rules": [list(configuration.digests) for configuration in configurations],
    }


def fencing() -> dict[str, object]:
    """Return a guard's answers: it rejects a token below the highest one and names both."""
    guard = FencingGuard()
    answers = []
    for token in FENCING_TOKENS:
        try:
            guard.admit(token)
            answers.append([token, "taken"])
        except FencedError as error:
            answers.append([token, str(error), error.token, error.highest_token])
    return {"calls": answers, "highest": guard.highest_token, "refused": guard.rejected_count}


def health_report_pages() -> list[str]:
    """Return the pages of more reports than one page holds."""
    reports = [
        HealthReport(f"s-{number}", number, 1_000 * number, {"busy": number / 8})
        for number in range(HEALTH_REPORT_COUNT)
    ]
    return [page.hex() for page in encode_pages(7, reports)]


class MembershipConversation:
    """Three members in simulated time; every datagram arrives at once, in the order of sending."""

    def __init__(self) -> None:
        """Start the members, each with a random generator seeded with its name."""
        addresses = {name: f"127.0.0.1:{7946 + place}" for place, name in enumerate(MEMBERS)}
        self.protocols = {
            address: self.protocol(name, address, tuple(addresses.values()))
            for name, address in addresses.items()
        }
        self.first = self.protocols[addresses["n0"]]
        self.transcript: list[list[str]] = []
        self.in_flight: deque[tuple[str, bytes]] = deque()

    @staticmethod
    def protocol(name: str, address: str, seeds: tuple[str, ...]) -> MembershipProtocol:
        """Return a member's protocol at time zero."""
        record = member_record(name, int(address.rpartition(":")[2]))
        settings = ProtocolSettings()
        return MembershipProtocol(record, CLUSTER, seeds, settings, random.Random(name), 0.0)

    def send(self, datagrams: list) -> None:
        """Record datagrams and queue them for delivery."""
        for outgoing in datagrams:
            data = membership_messages.encode(outgoing.datagram)
            self.transcript.append([outgoing.address, data.hex()])
            self.in_flight.append((outgoing.address, data))

    def play_step(self, step: int) -> None:
        """Advance the time by one step; deliver everything that is sent."""
        now = step / STEPS_PER_SECOND
        if step == 20:
            self.first.statuses.publish(member_status())
            self.first.maintenance.record("s-1", in_maintenance=True, recorded_at_us=UNIX_MS * 1000)
        if step == 50:
            self.send(self.first.leave(now))
        for protocol in self.protocols.values():
            if protocol.next_tick_at() <= now:
                self.send(protocol.tick(now))
        while self.in_flight:
            address, data = self.in_flight.popleft()
            datagram = membership_messages.decode(data, CLUSTER)
            self.send(self.protocols[address].handle(now, datagram))


def membership_conversation() -> list[list[str]]:
    """Return all datagrams of three members, with an operator's record and a leave."""
    conversation = MembershipConversation()
    for step in range(1, 61):
        conversation.play_step(step)
    member_digests = [f"{protocol.digest:012x}" for protocol in conversation.protocols.values()]
    return [*conversation.transcript, ["digests", " ".join(member_digests)]]


class LeaseConversation:
    """Three lease participants in simulated time; every envelope arrives at once."""

    def __init__(self) -> None:
        """Start the participants, each with a random generator seeded with its name."""
        configuration = LeaseConfiguration(MEMBERS, ())
        self.participants = {
            name: Participant(name, f"{name}@1f", configuration, UNIX_MS, random.Random(name), 0.0)
            for name in MEMBERS
        }
        self.transcript: list[list[str]] = []
        self.in_flight: deque[tuple[str, str, bytes]] = deque()
        self.claim: object = None

    def send(self, sender: str, envelopes: list) -> None:
        """Record envelopes and queue them for delivery."""
        for outgoing in envelopes:
            data = lease_messages.encode(outgoing.envelope)
            self.transcript.append([sender, outgoing.member, data.hex()])
            self.in_flight.append((sender, outgoing.member, data))

    def play_requests(self, step: int, now: float) -> None:
        """Request the lease for n0 and then for n1, and release it for n0."""
        first = self.participants["n0"]
        if step == 20:
            self.claim, envelopes = first.acquire(now, LEASE, 10.0, 1.0)
            self.send("n0", envelopes)
        if step == 80:
            _, envelopes = self.participants["n1"].acquire(now, LEASE, 8.0, 1.0)
            self.send("n1", envelopes)
        if step == 120:
            self.send("n0", first.release(now, self.claim))

    def play_step(self, step: int) -> None:
        """Advance the time by one step; deliver everything that is sent."""
        now = LEASE_START_SECONDS + step / STEPS_PER_SECOND
        self.play_requests(step, now)
        for name, participant in self.participants.items():
            if participant.next_tick_at() <= now:
                self.send(name, participant.tick(now))
        while self.in_flight:
            sender, member, data = self.in_flight.popleft()
            envelope = lease_messages.decode(data)
            self.send(member, self.participants[member].handle(now, sender, envelope))


def lease_conversation() -> list[list[str]]:
    """Return all envelopes of three members; n1 requests the lease that n0 holds."""
    conversation = LeaseConversation()
    for step in range(1, 161):
        conversation.play_step(step)
    return conversation.transcript
