"""Anti-entropy: exchange the whole state with random members, seeds and dead members; no I/O.

Dissemination sends each update a limited number of times, so some members may miss an update. At
intervals a member sends the digest of its whole state. A recipient with another digest answers with
pages of its own whole state. Digests to seeds and to dead members rejoin the sides of a healed
partition. Touched only under the driver's lock.
"""

from collections.abc import Iterable
from math import inf

from stepstream.membership.context import ProtocolContext
from stepstream.membership.dissemination import paginate
from stepstream.membership.maintenance_records import MaintenanceRecords
from stepstream.membership.member_list import MemberList
from stepstream.membership.member_status import MemberStatuses
from stepstream.membership.messages import Digest, MemberRecord, MemberState, Page, Update
from stepstream.membership.outbox import MAX_BURST_DATAGRAMS, Outbox
from stepstream.membership.suspicion import suspect_contact_probability

# The range of the random factor of each interval, so that members do not act at the same times.
INTERVAL_FRACTIONS = (0.75, 1.25)
HASTENED_INTERVAL_FRACTIONS = (0.5, 1.0)
PAGE_PAUSE_FRACTION_OF_PROBE_INTERVAL = 0.5


def is_page_pause_over(now: float, sent_at: float, probe_interval_seconds: float) -> bool:
    """Return whether pages may be sent to an address again; times are monotonic seconds.

    `sent_at` is when pages were last sent there. Without a pause, several differing digests that
    arrive together would each be answered with the whole state.
    """
    return now - sent_at >= PAGE_PAUSE_FRACTION_OF_PROBE_INTERVAL * probe_interval_seconds


class AntiEntropy:
    """Sends digests at intervals, and pages to members whose digest differs."""

    def __init__(  # noqa: PLR0913  takes all parts whose state is exchanged, and the seeds
        self,
        context: ProtocolContext,
        members: MemberList,
        statuses: MemberStatuses,
        maintenance: MaintenanceRecords,
        outbox: Outbox,
        seeds: Iterable[str],
    ) -> None:
        self.context = context
        self.members = members
        self.statuses = statuses
        self.maintenance = maintenance
        self.outbox = outbox
        self.seeds = tuple(seeds)  # HOST:PORT; may include the local address
        # The first round is at a random time: members that start together must not act together.
        interval_seconds = context.settings.anti_entropy_interval_seconds
        self.next_round_at = context.now + context.rng.uniform(0, interval_seconds)
        self.next_reconnect_at = context.now
        self._is_round_hastened = False
        self._pages_sent_at: dict[str, float] = {}  # by address

    @property
    def digest(self) -> int:
        """Digest of all records and confirmed deaths; equal for members with equal state."""
        return self.members.digest ^ self.statuses.digest ^ self.maintenance.digest

    def next_deadline(self) -> float:
        """Return when `tick` is due."""
        return min(self.next_round_at, self.next_reconnect_at)

    def tick(self) -> None:
        """Send the digests that are due."""
        now = self.context.now
        settings = self.context.settings
        if now >= self.next_round_at:
            interval_seconds = settings.anti_entropy_interval_seconds
            self.next_round_at = now + interval_seconds * self.context.rng.uniform(
                *INTERVAL_FRACTIONS
            )
            self._exchange_with_random_member()
        if now >= self.next_reconnect_at:
            interval_seconds = settings.reconnect_interval_seconds
            fraction = self.context.rng.uniform(*INTERVAL_FRACTIONS)
            self.next_reconnect_at = now + interval_seconds * fraction
            self.reconnect()

    def handle(self, sender: MemberRecord, body: Digest | Page) -> None:
        """Answer a digest that differs, or a page that wants a reply, with the whole state."""
        if isinstance(body, Digest):
            if body.digest == self.digest:
                return
            self.send_pages(sender.address, wants_reply=True)
        elif body.wants_reply:
            self.send_pages(sender.address, wants_reply=False)
        self._hasten_round()

    def send_digest(self, address: str, recipient: str = "", *, piggyback: bool = True) -> None:
        """Send the digest; the arguments are those of `Outbox.send`."""
        self.outbox.send(address, Digest(self.digest), recipient, piggyback=piggyback)

    def notify_suspects(self) -> None:
        """Notify some suspects of their suspicion (Lifeguard, Buddy System).

        A suspect with unreliable links gets several chances to refute before its deadline.
        """
        probability = suspect_contact_probability(len(self.members.present))
        for member in list(self.members.suspects.values())[:MAX_BURST_DATAGRAMS]:
            if self.context.rng.random() < probability:
                self.send_digest(member.record.address, member.record.name)

    def reconnect(self) -> None:
        """Send digests to a seed and a dead member: either may be on a partition's other side."""
        self._contact_seeds()
        self._contact_dead_member()

    def _contact_seeds(self) -> None:
        """Send the digest to a random seed whose address no present member has.

        Before this member has joined, send it to all such seeds.
        """
        present = {self.members.by_name[name].record.address for name in self.members.present}
        seeds = [seed for seed in self.seeds if seed not in present]
        if self.members.joined_at is None:
            for seed in seeds[:MAX_BURST_DATAGRAMS]:
                self.send_digest(seed, piggyback=False)
        elif seeds:
            self.send_digest(self.context.rng.choice(seeds), piggyback=False)

    def _contact_dead_member(self) -> None:
        """Send the digest to a random dead member, which may be alive behind a partition."""
        dead = [
            member.record
            for member in self.members.by_name.values()
            if member.record.state is MemberState.DEAD
        ]
        if dead:
            record = self.context.rng.choice(dead)
            self.send_digest(record.address, record.name)

    def send_pages(self, address: str, *, wants_reply: bool) -> None:
        """Send the whole state; a lost page is sent again after the next digest that differs."""
        if not self._may_send_pages(address):
            return
        updates: list[Update] = [
            member.record
            for name, member in self.members.by_name.items()
            if name != self.members.local_name
        ]
        updates += self.maintenance.by_worker.values()
        updates += self.statuses.by_owner.values()
        pages = list(paginate(updates, self.outbox.payload_bytes)) or [[]]
        for page in pages:
            self.outbox.send_with_updates(address, Page(wants_reply), page)

    def _may_send_pages(self, address: str) -> bool:
        """Return whether pages may be sent to an address now; if so, record that they are."""
        now = self.context.now
        sent_at = self._pages_sent_at.get(address, -inf)
        interval_seconds = self.context.settings.probe_interval_seconds
        if not is_page_pause_over(now, sent_at, interval_seconds):
            return False
        if len(self._pages_sent_at) > self.context.settings.max_members:
            self._pages_sent_at.clear()
        self._pages_sent_at[address] = now
        return True

    def _exchange_with_random_member(self) -> None:
        self._is_round_hastened = False
        others = self.members.others()
        if others:
            self.context.metrics.anti_entropy_rounds += 1
            name = self.context.rng.choice(others)
            self.send_digest(self.members.by_name[name].record.address, name)

    def _hasten_round(self) -> None:
        """Bring the next round forward: if two members differ, others are likely to differ, too."""
        if self._is_round_hastened:
            return
        self._is_round_hastened = True
        interval_seconds = self.context.settings.reconnect_interval_seconds
        fraction = self.context.rng.uniform(*HASTENED_INTERVAL_FRACTIONS)
        delay_seconds = interval_seconds * fraction
        self.next_round_at = min(self.next_round_at, self.context.now + delay_seconds)
