"""The proposer: one attempt to hold one lease, from its first prepare to its end. Free of I/O.

It is PaxosLease's proposer (Trencseni, Gazso, Reinhardt 2012) and also the learner of its own
lease: it counts the acceptances itself. Events are answers and ticks; each returns the messages to
send. `proposer_rules` has the conditions. The phases of a ballot:

    IDLE       -> PREPARING  when `next_step_at` comes: a new ballot, `Prepare` to all acceptors
    PREPARING  -> PROPOSING  on promises of a quorum: `Propose` to all acceptors
    PREPARING  -> PREPARING  on the round's timeout, at most twice: the same ballot again
    PROPOSING  -> PROPOSING  on the round's timeout: the next round of the same ballot
    PROPOSING  -> PREPARING  on the round's timeout, after a rejection: a new ballot
    PROPOSING  -> IDLE       on acceptances of a quorum: the lease is held
    IDLE       -> PROPOSING  at a third of the time to live ("Extending leases"), if nobody has
                             rejected the ballot: a renewal in one round trip
    any        -> IDLE       once rejections leave no quorum, or on timeouts: a randomized backoff

A lease is held until a time to live after the proposal was *sent* that a quorum accepted.
Acceptors start their timers later and run them longer (`LeaseConfiguration.acceptor_ttl_seconds`),
so that the holder's expires first. A proposer ends when its lease is lost or released; a task
that still wants the lease creates another one.

The participant owns proposers; whoever calls holds the driver's lock. All times are seconds of the
caller's monotonic clock.
"""

import random
from math import inf

from stepstream.leases.ballots import BallotSequence, Phase, ProposalRound
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.lease_state import (
    LeaseState,
    covers_operation,
    has_expired,
    held_state,
)
from stepstream.leases.messages import (
    MAX_DURATION_MS,
    Accepted,
    Ballot,
    Busy,
    ConfigurationMismatch,
    LeaseAvailable,
    Message,
    Prepare,
    Promise,
    Propose,
    ProposerMessage,
    Recovering,
    Release,
    StaleBallot,
)
from stepstream.leases.proposer_rules import (
    BACKOFF_FRACTIONS_OF_LONGEST,
    MAX_BACKOFF_DOUBLINGS,
    MAX_OPEN_ROUNDS,
    WAIT_FRACTIONS_OF_REFRESH,
    WAIT_JITTER_FRACTIONS_OF_ROUND,
    extends_lease,
    gives_up_proposal,
    is_quorum_possible,
    longest_backoff_seconds,
    may_renew_with_ballot,
    may_repeat_prepare,
    renewal_due_at,
    retry_wait_seconds,
)


class Proposer:
    """One attempt at one lease.

    `proposer_id` is unique to this attempt. `ttl_seconds` is the time to live of each grant,
    `operation_seconds` the longest time that one operation under the lease takes.
    """

    def __init__(  # noqa: PLR0913, PLR0917  all distinct, and called in one place
        self,
        configuration: LeaseConfiguration,
        lease: str,
        proposer_id: str,
        ttl_seconds: float,
        operation_seconds: float,
        ballots: BallotSequence,
        rng: random.Random,
        now: float,
    ) -> None:
        self.configuration = configuration
        self.lease = lease
        self.proposer_id = proposer_id
        self.ttl_seconds = int(ttl_seconds * 1000) / 1000  # as sent to the acceptors
        self.operation_seconds = operation_seconds
        self.ballots = ballots
        self.rng = rng
        self.requested_at = now

        self.phase = Phase.IDLE
        self.next_step_at = now
        self.scheduled_at = -inf  # owned by the participant's schedule
        self.ballot: Ballot | None = None
        self.prepare_attempts = 0  # of this ballot
        self.promised_by: set[str] = set()
        self.rejections: dict[str, float] = {}  # by acceptor: seconds until it may promise
        self.round_number = 0
        self.rounds: dict[int, ProposalRound] = {}
        self.can_renew = False  # no acceptor has rejected this ballot: a renewal takes one round
        self.consecutive_failures = 0

        self.token = 0  # fencing token: the number of the ballot that was first accepted
        self.expires_at = -inf
        self.lost = False
        self.released = False
        self.winding_down = False  # not renewed any more, and no operation begins
        self.last_known_holder = ""  # from the acceptors' answers
        self.answered_at: dict[str, float] = {}  # by acceptor; without the recovering ones

    # -- queries ----------------------------------------------------------------------------------

    def is_held(self, now: float) -> bool:
        """Return whether nobody else can hold the lease now."""
        return not self.is_over and now < self.expires_at

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended for good."""
        return self.lost or self.released

    def may_begin_operation(self, now: float) -> bool:
        """Return whether an operation begun now ends while nobody else can hold the lease."""
        has_time = covers_operation(now, self.expires_at, self.operation_seconds)
        return self.is_held(now) and has_time and not self.winding_down

    def remaining_seconds(self, now: float) -> float:
        """Return for how many seconds, at least, nobody else can hold the lease."""
        return max(self.expires_at - now, 0.0) if not self.is_over else 0.0

    def state(self, now: float) -> LeaseState:
        """Return what a task sees of the lease."""
        if self.released:
            return LeaseState.RELEASED
        if self.lost or self.has_expired(now):
            return LeaseState.LOST
        if not self.token:
            return LeaseState.ACQUIRING
        return held_state(
            may_begin_operation=self.may_begin_operation(now),
            renewing=self.phase is not Phase.IDLE,
        )

    def has_expired(self, now: float) -> bool:
        """Return whether the lease was granted and is lost by now."""
        return has_expired(now, self.expires_at, self.token)

    def next_tick_at(self) -> float:
        """Return when `tick` has something to do; infinity if never."""
        if self.is_over:
            return inf
        return min(self.next_step_at, self.expires_at) if self.token else self.next_step_at

    # -- timers -----------------------------------------------------------------------------------

    def tick(self, now: float) -> list[ProposerMessage]:
        """Take the step that is due; return the messages for all acceptors."""
        if self.is_over:
            return []
        if self.has_expired(now):
            return self.expire()
        if self.token and self.winding_down:
            self.next_step_at = inf
        if now < self.next_step_at:
            return []
        match self.phase:
            case Phase.PREPARING:
                return self.on_prepare_timeout(now)
            case Phase.PROPOSING:
                return self.on_propose_timeout(now)
            case Phase.IDLE:
                return self.on_idle_timeout(now)

    def on_idle_timeout(self, now: float) -> list[ProposerMessage]:
        """Renew the lease, or begin a new ballot."""
        if may_renew_with_ballot(self.token, can_renew=self.can_renew):
            return self.propose(now)
        return self.begin_ballot(now)

    def expire(self) -> list[ProposerMessage]:
        """End the attempt; its release saves the waiters the wait for the clock-drift margin."""
        self.lost = True
        return self.release_messages()

    def on_prepare_timeout(self, now: float) -> list[ProposerMessage]:
        """Repeat the ballot's prepare, some of which may have been lost, or back off."""
        if may_repeat_prepare(self.prepare_attempts, self.rejections):
            return self.send_prepare(now)
        return self.back_off(now)

    def on_propose_timeout(self, now: float) -> list[ProposerMessage]:
        """Repeat the proposal, with a new ballot if this one was rejected, or back off."""
        if gives_up_proposal(self.round_number, is_held=self.is_held(now)):
            return self.back_off(now)
        return self.propose(now) if self.can_renew else self.begin_ballot(now)

    def begin_ballot(self, now: float) -> list[ProposerMessage]:
        """Begin a new ballot."""
        self.ballot = Ballot(self.ballots.next_number(), self.proposer_id)
        self.promised_by = set()
        self.rejections = {}
        self.prepare_attempts = 0
        self.round_number = 0
        self.rounds = {}
        self.can_renew = False
        return self.send_prepare(now)

    def send_prepare(self, now: float) -> list[ProposerMessage]:
        """Request promises of the current ballot."""
        self.phase = Phase.PREPARING
        self.next_step_at = now + self.configuration.round_timeout_seconds
        self.prepare_attempts += 1
        waited_ms = min(int((now - self.requested_at) * 1000), MAX_DURATION_MS)
        return [Prepare(self.lease, self.current_ballot(), self.ttl_ms(), waited_ms)]

    def propose(self, now: float) -> list[ProposerMessage]:
        """Propose the lease under the current ballot, for the first time or as a renewal."""
        ballot = self.current_ballot()
        self.phase = Phase.PROPOSING
        self.next_step_at = now + self.configuration.round_timeout_seconds
        self.round_number += 1
        self.rounds[self.round_number] = ProposalRound(now)
        self.rounds.pop(self.round_number - MAX_OPEN_ROUNDS, None)
        self.can_renew = True
        token = self.token or ballot.number
        return [Propose(self.lease, ballot, self.round_number, token, self.ttl_ms())]

    def back_off(self, now: float) -> list[ProposerMessage]:
        """Wait for a random time, so that two proposers do not keep blocking each other."""
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_BACKOFF_DOUBLINGS)
        longest_seconds = longest_backoff_seconds(
            self.configuration.round_timeout_seconds,
            self.consecutive_failures,
            has_lease=self.token != 0,
        )
        self.phase = Phase.IDLE
        self.next_step_at = now + self.rng.uniform(*BACKOFF_FRACTIONS_OF_LONGEST) * longest_seconds
        self.can_renew = False
        return []

    def current_ballot(self) -> Ballot:
        """Return the current ballot; there is one after the first `begin_ballot`."""
        assert self.ballot is not None
        return self.ballot

    def ttl_ms(self) -> int:
        """Return the time to live for the wire."""
        return int(self.ttl_seconds * 1000)

    # -- acceptors' answers -----------------------------------------------------------------------

    def handle(self, now: float, member: str, message: Message) -> list[ProposerMessage]:
        """Take an acceptor's answer; return the messages for all acceptors that follow from it."""
        if self.is_over:
            return []
        if self.has_expired(now):
            return self.expire()
        match message:
            case Busy(token=seen_number) | StaleBallot(highest_number=seen_number):
                self.ballots.advance_past(seen_number)
            case LeaseAvailable() if message.ballot.proposer == self.proposer_id:
                return self.on_lease_available(now)
        if message.ballot != self.ballot or member not in self.configuration.all_acceptors:
            return []
        return self.on_ballot_answer(now, member, message)

    def on_ballot_answer(self, now: float, member: str, message: Message) -> list[ProposerMessage]:
        """Take an acceptor's answer about the current ballot."""
        if not isinstance(message, Recovering | ConfigurationMismatch):
            self.answered_at[member] = now
        match message:
            case Promise():
                return self.on_promise(now, member)
            case Accepted():
                self.on_accepted(now, member, message.round)
            case StaleBallot():
                return self.on_stale_ballot(now, member)
            case Busy():
                self.last_known_holder = message.holder or self.last_known_holder
                return self.on_rejection(now, member, message.remaining_ms / 1000)
            case Recovering():
                return self.on_rejection(now, member, message.remaining_ms / 1000)
            case ConfigurationMismatch():
                refresh_seconds = self.configuration.waiter_refresh_seconds()
                return self.on_rejection(now, member, refresh_seconds)
        return []

    def on_promise(self, now: float, member: str) -> list[ProposerMessage]:
        """Count a promise; propose once a quorum has promised."""
        if self.phase is not Phase.PREPARING:
            return []
        self.promised_by.add(member)
        return self.propose(now) if self.configuration.is_quorum(self.promised_by) else []

    def on_accepted(self, now: float, member: str, round_number: int) -> None:
        """Count an acceptance; the lease is held or extended once a quorum has accepted a round."""
        proposal = self.rounds.get(round_number)
        if proposal is None:
            return
        proposal.accepted_by.add(member)
        expires_at = proposal.sent_at + self.ttl_seconds
        if not extends_lease(
            now, proposal.accepted_by, expires_at, self.expires_at, self.configuration
        ):
            return
        self.token = self.token or self.current_ballot().number
        self.expires_at = expires_at
        self.consecutive_failures = 0
        self.phase = Phase.IDLE
        self.next_step_at = max(renewal_due_at(proposal.sent_at, self.ttl_seconds), now)

    def on_stale_ballot(self, now: float, member: str) -> list[ProposerMessage]:
        """Take a stale ballot's rejection.

        An acceptor that had promised has restarted, or has promised another ballot since. A lease
        that is held stays held, but its next renewal begins with a new ballot.
        """
        if self.phase is Phase.PROPOSING or self.token:
            self.can_renew = False
        if self.token:
            return []
        return self.on_rejection(now, member, 0.0)

    def on_rejection(
        self, now: float, member: str, retry_after_seconds: float
    ) -> list[ProposerMessage]:
        """Count an acceptor's rejection; back off once no quorum is possible."""
        self.rejections[member] = retry_after_seconds
        if self.phase is Phase.IDLE or is_quorum_possible(self.rejections, self.configuration):
            return []
        self.back_off(now)
        announced_seconds = min(self.rejections.values())
        if not self.token and announced_seconds > 0:
            self.wait_until_available(now, announced_seconds)
        return []

    def wait_until_available(self, now: float, announced_seconds: float) -> None:
        """Wait until the lease may be free, or until the place in the queue needs a refresh."""
        refresh_fraction = self.rng.uniform(*WAIT_FRACTIONS_OF_REFRESH)
        jitter_fraction = self.rng.uniform(*WAIT_JITTER_FRACTIONS_OF_ROUND)
        self.next_step_at = now + retry_wait_seconds(
            announced_seconds, jitter_fraction, refresh_fraction, self.configuration
        )

    def on_lease_available(self, now: float) -> list[ProposerMessage]:
        """Begin a ballot at once: an acceptor has notified this proposer as the next waiter."""
        if self.token or self.phase is not Phase.IDLE:
            return []
        self.consecutive_failures = 0
        return self.begin_ballot(now)

    # -- end --------------------------------------------------------------------------------------

    def release(self) -> list[ProposerMessage]:
        """Release the lease (the paper's "Releasing leases"); no operation may be under way.

        May be called any number of times.
        """
        if self.is_over:
            return []
        self.released = True
        return self.release_messages()

    def release_messages(self) -> list[ProposerMessage]:
        """Return the release of all that was granted; none if no ballot was begun."""
        return [Release(self.lease, self.ballot)] if self.ballot is not None else []
