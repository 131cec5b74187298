"""One member's part in all leases: its acceptor, if it is one, and its proposers. Free of I/O.

Routes received messages to the acceptor and the proposers, and puts their messages to others into
envelopes. The configuration alone says who is an acceptor, not the membership list.

A participant owns the acceptor, the proposers and their schedule. The driver's lock guards it, and
every caller holds that lock. All times are seconds of the caller's monotonic clock.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from stepstream.leases.acceptor import Acceptor, AddressedMessage
from stepstream.leases.ballots import BallotSequence
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.envelopes import Outbox, OutgoingEnvelope
from stepstream.leases.lease_state import LeaseState
from stepstream.leases.messages import (
    PROPOSER_MESSAGES,
    ConfigurationMismatch,
    Envelope,
    Message,
    Prepare,
    Propose,
    ProposerMessage,
    Release,
)
from stepstream.leases.proposer import Proposer
from stepstream.leases.release_repeats import ReleaseRepeats

MAX_UNREAD_STATE_CHANGES = 512


@dataclass(frozen=True, slots=True)
class StateChange:
    """A transition of one proposer's lease, for the log; `before` is "" for the first one."""

    at: float
    lease: str
    proposer_id: str
    before: str
    after: str
    token: int


class Participant:
    """One process's part in the leases.

    `process_id` is unique to this start of the process. Ballot numbers begin above `first_number`,
    which should be the time of day in milliseconds. If the clock was set back, the fencing guard
    rejects some operations, but safety is kept.
    """

    def __init__(
        self,
        name: str,
        process_id: str,
        configuration: LeaseConfiguration,
        first_number: int,
        rng: random.Random,
        now: float,
    ) -> None:
        self.name = name
        self.process_id = process_id
        self.configuration = configuration
        self.rng = rng
        self.ballots = BallotSequence(first_number)
        is_acceptor = name in configuration.all_acceptors
        self.acceptor = Acceptor(configuration, now) if is_acceptor else None
        self.proposers: dict[str, Proposer] = {}  # by proposer id
        self.schedule: list[tuple[float, str]] = []  # a heap of ticks; entries may be outdated
        self.last_serial = 0  # of the proposer ids
        self.release_repeats = ReleaseRepeats(configuration.round_timeout_seconds)
        self.mismatched_members: dict[str, tuple[int, ...]] = {}  # their digests, by member
        self.last_states: dict[str, LeaseState] = {}  # by proposer id
        self.state_changes: deque[StateChange] = deque(maxlen=MAX_UNREAD_STATE_CHANGES)
        self.last_tick_at = -inf
        self.outbox = Outbox(name, configuration)

    # -- leases -----------------------------------------------------------------------------------

    def acquire(
        self, now: float, lease: str, ttl_seconds: float, operation_seconds: float
    ) -> tuple[Proposer, list[OutgoingEnvelope]]:
        """Begin an attempt at a lease.

        The times must have passed `configuration.check_lease_times`.
        """
        self.last_serial += 1
        proposer = Proposer(
            self.configuration,
            lease,
            f"{self.process_id}.{self.last_serial}",
            ttl_seconds,
            operation_seconds,
            self.ballots,
            self.rng,
            now,
        )
        self.proposers[proposer.proposer_id] = proposer
        self.record_state(now, proposer)
        self.apply(now, proposer, proposer.tick(now))
        return proposer, self.drain_outbox(now)

    def release(self, now: float, proposer: Proposer) -> list[OutgoingEnvelope]:
        """Release a lease; no operation may be under way."""
        self.release_and_retire(now, proposer)
        return self.drain_outbox(now)

    def wind_down(self, now: float, lease: str | None = None) -> list[OutgoingEnvelope]:
        """Wind down one lease, or all: no operation begins, nothing is renewed.

        Held leases end when the code that acquired them releases them, or when they expire;
        attempts that are not granted yet are withdrawn at once.
        """
        for proposer in list(self.proposers.values()):
            if lease not in (None, proposer.lease):
                continue
            proposer.winding_down = True
            if not proposer.token:
                self.release_and_retire(now, proposer)
        return self.drain_outbox(now)

    def advance_ballots_past(self, number: int) -> None:
        """Make later ballot numbers greater than a token that a guarded resource has seen."""
        self.ballots.advance_past(number)

    def release_and_retire(self, now: float, proposer: Proposer) -> None:
        """End an attempt, release it at the acceptors and forget it."""
        releases = proposer.release()
        self.outbox.broadcast(releases)
        self.retire(now, proposer, releases)

    def retire(self, now: float, proposer: Proposer, messages: Sequence[ProposerMessage]) -> None:
        """Forget an attempt that is over.

        Its releases among `messages` are sent again later, since some may be lost.
        """
        self.record_state(now, proposer)
        for message in messages:
            if isinstance(message, Release):
                self.release_repeats.add(now, message)
        self.proposers.pop(proposer.proposer_id, None)
        self.last_states.pop(proposer.proposer_id, None)

    # -- messages ---------------------------------------------------------------------------------

    def handle(self, now: float, member: str, envelope: Envelope) -> list[OutgoingEnvelope]:
        """Handle an envelope from `member`, the sender's name in the membership list."""
        if not self.configuration.is_compatible(envelope.configuration_digests):
            self.on_mismatch(now, member, envelope)
            return self.drain_outbox(now)
        self.mismatched_members.pop(member, None)
        for message in envelope.messages:
            self.dispatch(now, member, message)
        return self.drain_outbox(now)

    def on_mismatch(self, now: float, member: str, envelope: Envelope) -> None:
        """Reject the requests of a member with another configuration."""
        self.mismatched_members[member] = envelope.configuration_digests
        if len(self.mismatched_members) > self.configuration.max_leases:
            self.mismatched_members.pop(next(iter(self.mismatched_members)))
        for message in envelope.messages:
            match message:
                case Prepare() | Propose():
                    rejection = ConfigurationMismatch(message.lease, message.ballot)
                    self.outbox.send(member, rejection)
                case ConfigurationMismatch():
                    self.dispatch(now, member, message)

    def dispatch(self, now: float, member: str, message: Message) -> None:
        """Pass a request to the acceptor, or an answer to its proposer."""
        if isinstance(message, PROPOSER_MESSAGES):
            if self.acceptor is not None:
                self.send_all(self.acceptor.handle(now, member, message))
            return
        proposer = self.proposers.get(message.ballot.proposer)
        if proposer is not None:
            self.apply(now, proposer, proposer.handle(now, member, message))

    def apply(self, now: float, proposer: Proposer, messages: Sequence[ProposerMessage]) -> None:
        """Queue the messages of a proposer's step, and schedule the proposer or retire it."""
        self.outbox.broadcast(messages)
        if proposer.is_over:
            self.retire(now, proposer, messages)
        else:
            self.record_state(now, proposer)
            self.reschedule(proposer)

    def record_state(self, now: float, proposer: Proposer) -> None:
        """Note a transition of the proposer's lease, if there is one."""
        before = self.last_states.get(proposer.proposer_id)
        after = proposer.state(now)
        if before is after:
            return
        self.last_states[proposer.proposer_id] = after
        before_text = before.value if before is not None else ""
        change = StateChange(
            now, proposer.lease, proposer.proposer_id, before_text, after.value, proposer.token
        )
        self.state_changes.append(change)

    # -- timers -----------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingEnvelope]:
        """Take every step that is due."""
        self.last_tick_at = now
        if self.acceptor is not None:
            self.send_all(self.acceptor.tick(now))
        self.tick_proposers(now)
        self.outbox.broadcast(self.release_repeats.take_due(now))
        return self.drain_outbox(now)

    def tick_proposers(self, now: float) -> None:
        """Tick the proposers whose step is due."""
        while self.schedule and self.schedule[0][0] <= now:
            _, proposer_id = heappop(self.schedule)
            proposer = self.proposers.get(proposer_id)
            if proposer is None:
                continue
            if now >= proposer.next_tick_at():
                self.apply(now, proposer, proposer.tick(now))
            else:
                self.reschedule(proposer)

    def next_tick_at(self) -> float:
        """Return the time at which `tick` next has something to do; infinity if never."""
        step_at = self.schedule[0][0] if self.schedule else inf
        acceptor_at = self.acceptor.next_tick_at if self.acceptor is not None else inf
        return min(step_at, self.release_repeats.next_due_at(), acceptor_at)

    def reschedule(self, proposer: Proposer) -> None:
        """Schedule a proposer's next tick, unless a pending entry is due as early."""
        due_at = proposer.next_tick_at()
        is_earlier = due_at < proposer.scheduled_at
        was_taken = proposer.scheduled_at <= self.last_tick_at
        if is_earlier or was_taken:
            proposer.scheduled_at = due_at
            heappush(self.schedule, (due_at, proposer.proposer_id))

    # -- sending ----------------------------------------------------------------------------------

    def send_all(self, addressed: Sequence[AddressedMessage]) -> None:
        """Queue messages, each to its member."""
        for member, message in addressed:
            self.outbox.send(member, message)

    def drain_outbox(self, now: float) -> list[OutgoingEnvelope]:
        """Deliver this member's messages to itself; return all others in envelopes."""
        while self.outbox.loopback:
            self.dispatch(now, self.name, self.outbox.loopback.popleft())
        return self.outbox.take_envelopes()
