"""The acceptor: what one voter has promised and accepted, in memory only. Free of I/O.

PaxosLease's acceptor (Trencseni, Gazso, Reinhardt 2012), one record a lease ("Leases for many
resources"). Of all ballots for a lease at most one at a time has a quorum's unexpired acceptance,
because an acceptor

- promises a ballot only if its number is above every other's that it has promised, and never while
  it keeps another proposer's grant;
- accepts a proposal only under the very ballot that it promised last and that was not released;
- keeps a grant longer than its holder does (`LeaseConfiguration.acceptor_ttl_seconds`);
- answers nothing after its start until whatever it had accepted before has expired.

A record's states: free (no grant), granted, and free again when the grant expires or is released.
Who waits meanwhile is kept in order (`wait_queue`).

The participant owns the acceptor; whoever calls holds the driver's lock. All times are seconds of
the caller's monotonic clock.
"""

from dataclasses import dataclass
from math import inf

from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import (
    Accepted,
    Ballot,
    Busy,
    LeaseAvailable,
    Message,
    Prepare,
    Promise,
    Propose,
    ProposerMessage,
    Recovering,
    Release,
    StaleBallot,
    to_milliseconds,
)
from stepstream.leases.wait_queue import WaitQueue

AddressedMessage = tuple[str, Message]  # the member that it is for


@dataclass(slots=True)
class Grant:
    """An accepted proposal, for this acceptor's part."""

    ballot: Ballot
    token: int
    expires_at: float


@dataclass(slots=True)
class LeaseRecord:
    """What an acceptor knows of one lease."""

    waiters: WaitQueue
    promised: Ballot | None = None
    promise_released: bool = False  # nothing of the promised ballot is accepted any more
    grant: Grant | None = None
    free_since: float = -inf

    def promised_number(self) -> int:
        """Return the number of the ballot promised last; 0 if none."""
        return self.promised.number if self.promised is not None else 0


class Acceptor:
    """One acceptor of all leases, from its start on."""

    def __init__(self, configuration: LeaseConfiguration, now: float) -> None:
        self.configuration = configuration
        self.recovering_until = now + configuration.recovery_seconds
        self.records: dict[str, LeaseRecord] = {}  # by lease
        self.highest_forgotten_number = 0  # of the ballots of records that were dropped
        self.next_tick_at = inf  # when a grant expires or a waiter's turn comes

    def remaining_recovery_seconds(self, now: float) -> float:
        """Return the seconds for which it answers nothing yet."""
        return max(self.recovering_until - now, 0.0)

    def handle(self, now: float, member: str, message: ProposerMessage) -> list[AddressedMessage]:
        """Take a proposer's message; return the answer, and messages to waiters."""
        replies = self.tick(now)
        if (wait_seconds := self.remaining_recovery_seconds(now)) > 0:
            if not isinstance(message, Release):
                wait_ms = to_milliseconds(wait_seconds)
                replies.append((member, Recovering(message.lease, message.ballot, wait_ms)))
            return replies
        match message:
            case Prepare():
                replies.append((member, self.on_prepare(now, member, message)))
            case Propose():
                replies.append((member, self.on_propose(now, message)))
            case Release():
                replies.extend(self.on_release(now, message))
        return replies

    def on_prepare(self, now: float, member: str, prepare: Prepare) -> Message:
        """Promise the ballot, or say why not."""
        lease, ballot = prepare.lease, prepare.ballot
        record = self.records.get(lease)
        if record is None:
            if not self.has_capacity():
                wait_ms = to_milliseconds(self.configuration.max_ttl_seconds)
                return Busy(lease, ballot, "", 0, wait_ms)
            record = LeaseRecord(WaitQueue(self.configuration), free_since=now)
            self.records[lease] = record
        if (busy := self.busy_reply(now, record, prepare)) is not None:
            self.enlist(now, member, record, prepare)
            return busy
        if ballot == record.promised and not record.promise_released:
            return Promise(lease, ballot)  # its first answer may have been lost
        highest_number = max(record.promised_number(), self.highest_forgotten_number)
        if ballot.number <= highest_number:
            return StaleBallot(lease, ballot, highest_number)
        record.promised = ballot
        record.promise_released = False
        return Promise(lease, ballot)

    def busy_reply(self, now: float, record: LeaseRecord, prepare: Prepare) -> Busy | None:
        """Return why the proposer has to wait: another's grant, or another waiter's turn."""
        lease, ballot = prepare.lease, prepare.ballot
        grant = record.grant
        if grant is None:
            wait = record.waiters.seconds_until_eligible(now, record.free_since, ballot.proposer)
            return Busy(lease, ballot, "", 0, to_milliseconds(wait)) if wait > 0 else None
        if grant.ballot.proposer == ballot.proposer:
            return None
        remaining_ms = to_milliseconds(grant.expires_at - now)
        return Busy(lease, ballot, grant.ballot.proposer, grant.token, remaining_ms)

    def on_propose(self, now: float, proposal: Propose) -> Message:
        """Accept the proposal if its ballot is the one promised last."""
        lease, ballot = proposal.lease, proposal.ballot
        record = self.records.get(lease)
        if record is None or record.promised is None:
            return StaleBallot(lease, ballot, self.highest_forgotten_number)
        if record.promised != ballot or record.promise_released:
            return StaleBallot(lease, ballot, record.promised.number)
        expires_at = now + self.configuration.acceptor_ttl_seconds(proposal.ttl_ms / 1000)
        record.grant = Grant(ballot, proposal.token, expires_at)
        record.waiters.remove(ballot.proposer)
        self.next_tick_at = min(self.next_tick_at, expires_at)
        return Accepted(lease, ballot, proposal.round)

    def on_release(self, now: float, release: Release) -> list[AddressedMessage]:
        """End the proposer's grant and promise; return the call to the next waiters."""
        ballot = release.ballot
        record = self.records.get(release.lease)
        if record is None:
            return []
        record.waiters.remove(ballot.proposer)
        if is_covered(record.promised, ballot):
            record.promise_released = True
        if record.grant is None or not is_covered(record.grant.ballot, ballot):
            return []
        record.grant = None
        record.free_since = now
        return self.call_waiters(now, release.lease, record)

    # -- waiters ----------------------------------------------------------------------------------

    def enlist(self, now: float, member: str, record: LeaseRecord, prepare: Prepare) -> None:
        """Put a proposer into the queue; while the lease is free its turn comes by a timer."""
        if record.waiters.enlist(now, member, prepare) and record.grant is None:
            eligible_at = now + self.configuration.head_start_seconds
            self.next_tick_at = min(self.next_tick_at, eligible_at)

    def call_waiters(self, now: float, lease: str, record: LeaseRecord) -> list[AddressedMessage]:
        """Tell those waiters of a free lease whose turn has come."""
        called, next_eligible_at = record.waiters.take_eligible(now, record.free_since)
        if next_eligible_at is not None:
            self.next_tick_at = min(self.next_tick_at, next_eligible_at)
        return [(waiter.member, LeaseAvailable(lease, waiter.ballot)) for waiter in called]

    # -- timers -----------------------------------------------------------------------------------

    def tick(self, now: float) -> list[AddressedMessage]:
        """End the grants that have expired and call the waiters whose turn has come."""
        if now < self.next_tick_at:
            return []
        self.next_tick_at = inf
        calls: list[AddressedMessage] = []
        for lease, record in self.records.items():
            if record.grant is not None and now >= record.grant.expires_at:
                record.free_since = record.grant.expires_at
                record.grant = None
            if record.grant is not None:
                self.next_tick_at = min(self.next_tick_at, record.grant.expires_at)
            elif record.waiters:
                calls.extend(self.call_waiters(now, lease, record))
        return calls

    def has_capacity(self) -> bool:
        """Tell whether one more lease fits, after dropping a record that nobody needs.

        The dropped record's ballot number is remembered for all leases, so that no number is
        promised twice.
        """
        if len(self.records) < self.configuration.max_leases:
            return True
        for lease, record in self.records.items():
            if record.grant is None and not record.waiters:
                self.highest_forgotten_number = max(
                    self.highest_forgotten_number, record.promised_number()
                )
                del self.records[lease]
                return True
        return False


def is_covered(ballot: Ballot | None, released: Ballot) -> bool:
    """Tell whether a release ends this ballot: one that arrives late must not end a later grant."""
    return (
        ballot is not None
        and ballot.proposer == released.proposer
        and ballot.number <= released.number
    )
