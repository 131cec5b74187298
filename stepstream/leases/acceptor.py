"""The acceptor: what one member has promised and accepted, in memory only. Free of I/O.

PaxosLease's acceptor (Trencseni, Gazso, Reinhardt 2012), with one record for each lease ("Leases
for many resources"). By the rules in `acceptor_rules` at most one ballot at a time has a quorum's
unexpired acceptance. `configuration` has two rules about time: an acceptor keeps a grant longer
than the holder does; after its start it promises and accepts nothing until every earlier grant has
expired.

    free     -> granted   a proposal is accepted
    granted  -> granted   its holder's renewal is accepted
    granted  -> free      the grant expires, or its proposer releases it

The waiters of a lease are kept in order (`wait_queue`).

The participant owns the acceptor; whoever calls holds the driver's lock. All times are seconds of
the caller's monotonic clock.
"""

from math import inf
from typing import NamedTuple

from stepstream.leases.acceptor_rules import (
    blocking_grant,
    is_covered_by_release,
    is_expired,
    may_accept,
    may_forget,
    may_promise,
)
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.lease_record import Grant, LeaseRecord
from stepstream.leases.messages import (
    Accepted,
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


class AddressedMessage(NamedTuple):
    """A message and the member that it is for."""

    member: str
    message: Message


class Acceptor:
    """The acceptor of one process, for all leases."""

    def __init__(self, configuration: LeaseConfiguration, now: float) -> None:
        self.configuration = configuration
        self.recovering_until = now + configuration.recovery_seconds
        self.records: dict[str, LeaseRecord] = {}  # by lease
        self.highest_forgotten_number = 0  # of the ballots of records that were dropped
        self.next_tick_at = inf  # when a grant expires or a waiter becomes eligible

    def remaining_recovery_seconds(self, now: float) -> float:
        """Return the seconds until the recovery after the start ends; 0 once it has ended."""
        return max(self.recovering_until - now, 0.0)

    def handle(self, now: float, member: str, message: ProposerMessage) -> list[AddressedMessage]:
        """Take a proposer's message; return the answer, and messages to waiters."""
        notifications = self.tick(now)
        return notifications + self.replies(now, member, message)

    def replies(self, now: float, member: str, message: ProposerMessage) -> list[AddressedMessage]:
        """Return the answer to a message; for a release, the notifications of waiters."""
        wait_seconds = self.remaining_recovery_seconds(now)
        if isinstance(message, Release):
            return [] if wait_seconds > 0 else self.on_release(now, message)
        if wait_seconds > 0:
            wait_ms = to_milliseconds(wait_seconds)
            answer: Message = Recovering(message.lease, message.ballot, wait_ms)
        elif isinstance(message, Prepare):
            answer = self.on_prepare(now, member, message)
        else:
            answer = self.on_propose(now, message)
        return [AddressedMessage(member, answer)]

    def on_prepare(self, now: float, member: str, prepare: Prepare) -> Message:
        """Promise the ballot, or answer with the reason for no promise."""
        lease = prepare.lease
        ballot = prepare.ballot
        record = self.record_for(now, lease)
        if record is None:
            wait_ms = to_milliseconds(self.configuration.max_ttl_seconds)
            return Busy(lease, ballot, "", 0, wait_ms)
        busy = self.busy_reply(now, record, prepare)
        if busy is not None:
            self.enqueue_waiter(now, member, record, prepare)
            return busy
        highest_number = max(record.promised_number(), self.highest_forgotten_number)
        if not may_promise(record, ballot, highest_number):
            return StaleBallot(lease, ballot, highest_number)
        record.promised = ballot
        record.promise_released = False
        return Promise(lease, ballot)

    def record_for(self, now: float, lease: str) -> LeaseRecord | None:
        """Return a lease's record, created if missing; None if there is no capacity for it."""
        record = self.records.get(lease)
        if record is None and self.has_capacity():
            record = LeaseRecord(WaitQueue(self.configuration), free_since=now)
            self.records[lease] = record
        return record

    def busy_reply(self, now: float, record: LeaseRecord, prepare: Prepare) -> Busy | None:
        """Return the answer to a proposer that has to wait; None if it need not wait.

        It waits until another proposer's grant ends, or until its turn in the queue.
        """
        lease = prepare.lease
        ballot = prepare.ballot
        if record.grant is None:
            wait_seconds = record.waiters.seconds_until_eligible(
                now, record.free_since, ballot.proposer
            )
            if wait_seconds <= 0:
                return None
            return Busy(lease, ballot, "", 0, to_milliseconds(wait_seconds))
        grant = blocking_grant(record.grant, ballot.proposer)
        if grant is None:
            return None
        remaining_ms = to_milliseconds(grant.expires_at - now)
        return Busy(lease, ballot, grant.ballot.proposer, grant.token, remaining_ms)

    def on_propose(self, now: float, proposal: Propose) -> Message:
        """Accept the proposal if its ballot is the one promised last."""
        lease = proposal.lease
        ballot = proposal.ballot
        record = self.records.get(lease)
        if record is None or record.promised is None:
            return StaleBallot(lease, ballot, self.highest_forgotten_number)
        if not may_accept(record, ballot):
            return StaleBallot(lease, ballot, record.promised.number)
        expires_at = now + self.configuration.acceptor_ttl_seconds(proposal.ttl_ms / 1000)
        record.grant = Grant(ballot, proposal.token, expires_at)
        record.waiters.remove(ballot.proposer)
        self.next_tick_at = min(self.next_tick_at, expires_at)
        return Accepted(lease, ballot, proposal.round)

    def on_release(self, now: float, release: Release) -> list[AddressedMessage]:
        """End the proposer's grant and promise; return notifications for the next waiters."""
        ballot = release.ballot
        record = self.records.get(release.lease)
        if record is None:
            return []
        record.waiters.remove(ballot.proposer)
        if is_covered_by_release(record.promised, ballot):
            record.promise_released = True
        if record.grant is None or not is_covered_by_release(record.grant.ballot, ballot):
            return []
        record.grant = None
        record.free_since = now
        return self.notify_waiters(now, release.lease, record)

    # -- waiters ----------------------------------------------------------------------------------

    def enqueue_waiter(
        self, now: float, member: str, record: LeaseRecord, prepare: Prepare
    ) -> None:
        """Add a proposer to the queue; if the lease is free, set the timer that notifies it."""
        if record.waiters.add_or_refresh(now, member, prepare) and record.grant is None:
            eligible_at = now + self.configuration.head_start_seconds
            self.next_tick_at = min(self.next_tick_at, eligible_at)

    def notify_waiters(self, now: float, lease: str, record: LeaseRecord) -> list[AddressedMessage]:
        """Return the notifications of a free lease's waiters that have become eligible."""
        eligible = record.waiters.take_eligible(now, record.free_since)
        self.next_tick_at = min(self.next_tick_at, eligible.next_at)
        return [
            AddressedMessage(waiter.member, LeaseAvailable(lease, waiter.ballot))
            for waiter in eligible.waiters
        ]

    # -- timers -----------------------------------------------------------------------------------

    def tick(self, now: float) -> list[AddressedMessage]:
        """End the grants that have expired and notify the waiters that have become eligible."""
        if now < self.next_tick_at:
            return []
        self.next_tick_at = inf
        notifications: list[AddressedMessage] = []
        for lease, record in self.records.items():
            if record.grant is not None and is_expired(record.grant, now):
                record.free_since = record.grant.expires_at
                record.grant = None
            if record.grant is not None:
                self.next_tick_at = min(self.next_tick_at, record.grant.expires_at)
            elif record.waiters:
                notifications.extend(self.notify_waiters(now, lease, record))
        return notifications

    def has_capacity(self) -> bool:
        """Return whether one more lease fits; if all places are taken, first drop an unused record.

        The dropped record's ballot number is kept for all leases, so that no number is promised
        twice.
        """
        if len(self.records) < self.configuration.max_leases:
            return True
        for lease, record in self.records.items():
            if may_forget(record):
                self.highest_forgotten_number = max(
                    self.highest_forgotten_number, record.promised_number()
                )
                del self.records[lease]
                return True
        return False
