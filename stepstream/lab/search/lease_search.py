"""Search every order of events of a small configuration of leases: three acceptors, two proposers.

The acceptors and proposers are the program's own. Every message ever sent may be delivered at any
later time, any number of times, or never: that covers loss, unbounded delay, duplicates and every
order. Time moves on by steps; acceptors restart; proposers prepare (with the next ballot number or
one that skips a number), propose again and release whenever they could, however early or late.
Ballots, renewals, restarts and time are bounded. Answers that only move a proposer's next attempt
(Busy, StaleBallot, Recovering, LeaseAvailable) are left out, as every attempt is tried anyhow.

A `Search` owns its situations; only the thread that runs it may touch them.
"""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from stepstream.lab.search.lease_situation import (
    ACCEPTORS,
    LEASE,
    Situation,
    acceptor_state,
    copy_acceptor,
    copy_proposer,
)
from stepstream.leases.acceptor import Acceptor
from stepstream.leases.ballots import BallotSequence
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import (
    PROPOSER_MESSAGES,
    Accepted,
    Message,
    Prepare,
    Promise,
    ProposerMessage,
)
from stepstream.leases.proposer import Proposer

TTL_SECONDS = 2.0
OPERATION_SECONDS = TTL_SECONDS / 4
ROUND_TIMEOUT_SECONDS = TTL_SECONDS / 4
TIME_STEP_SECONDS = 1.0
PROPOSERS = ("a", "b")
# Of each proposer's clock, in units of the drift. The acceptors' is 1: a holder whose clock runs
# slow among acceptors whose clocks run fast is the dangerous case.
CLOCK_RATES = {"a": -1, "b": 0}
ACCEPTORS_STARTED_AT = -1e6  # so long ago that they answer at once
ANSWERS = (Promise, Accepted)  # those that are searched; as a tuple, quicker than a union

# The names of a path's events, as pairs of the path before and the last name: cheap to extend.
Path = tuple["Path", str] | tuple[()]


class TwoHoldersError(Exception):
    """Report that two proposers hold the lease; the text is the path of events that led there."""


@dataclass(frozen=True)
class Bounds:
    """Bound what a path may hold; `ballots` is by proposer."""

    ballots: tuple[int, int] = (1, 1)
    renewals: int = 1
    restarts: int = 1
    steps: int = 3  # of a second: how long a path may last
    drift: float = 0.125  # largest error of a clock's rate
    releases: bool = True


@dataclass
class Search:
    """Search all paths within the bounds; `most`: states after which it gives up, unfinished."""

    bounds: Bounds
    most: int = 10_000_000
    seen: set[int] = field(default_factory=set)  # keys of situations
    held: int = 0  # states in which somebody holds the lease
    # Every message ever sent, in both directions, with its proposer's index.
    messages: list[tuple[int, Message]] = field(default_factory=list)
    numbers: dict[tuple[int, Message], int] = field(default_factory=dict)  # indexes of `messages`

    @property
    def states(self) -> int:
        """Return how many different states were seen."""
        return len(self.seen)

    def run(self) -> bool:
        """Search depth first; return whether everything was tried.

        TwoHoldersError with the path to it if two proposers hold the lease at one instant.
        """
        pending: list[tuple[Situation, Path]] = [(self.first(), ())]
        while pending:
            situation, path = pending.pop()
            for name, successor in self.successors(situation):
                key = successor.key()
                if key in self.seen:
                    continue
                self.seen.add(key)
                if len(self.seen) >= self.most:
                    return False
                holders = sum(
                    proposer.is_held(self.proposer_clock(successor, index))
                    for index, proposer in enumerate(successor.proposers)
                )
                if holders > 0:
                    self.held += 1
                if holders > 1:
                    raise TwoHoldersError(" / ".join(event_names((path, name))))
                pending.append((successor, (path, name)))
        return True

    def first(self) -> Situation:
        """Return the situation in which nothing was sent yet."""
        configuration = LeaseConfiguration(
            ACCEPTORS,
            max_clock_drift=self.bounds.drift,
            max_ttl_seconds=TTL_SECONDS,
            round_timeout_seconds=ROUND_TIMEOUT_SECONDS,
            head_start_seconds=0.0,
        )
        proposers = tuple(
            Proposer(
                configuration,
                LEASE,
                name,
                TTL_SECONDS,
                OPERATION_SECONDS,
                BallotSequence(0),
                random.Random(1),
                0.0,
            )
            for name in PROPOSERS
        )
        acceptors = {name: Acceptor(configuration, ACCEPTORS_STARTED_AT) for name in ACCEPTORS}
        return Situation(0.0, acceptors, dict.fromkeys(ACCEPTORS, frozenset()), proposers)

    def proposer_clock(self, situation: Situation, index: int) -> float:
        """Return what a proposer's clock shows, in seconds."""
        return situation.now * (1.0 + self.bounds.drift * CLOCK_RATES[PROPOSERS[index]])

    def acceptor_clock(self, situation: Situation) -> float:
        """Return what every acceptor's clock shows, in seconds."""
        return situation.now * (1.0 + self.bounds.drift)

    # -- events -----------------------------------------------------------------------------------

    def successors(self, situation: Situation) -> Iterator[tuple[str, Situation]]:
        """Yield each event that may come next, by name, and the situation after it."""
        if situation.now < self.bounds.steps:
            yield "time", self.after_time_step(situation)
        for name in ACCEPTORS:
            for number in situation.mailboxes[name]:
                index, message = self.messages[number]
                successor = self.after_delivery(situation, name, index, message)
                if successor is not None:
                    yield f"{type(message).__name__} {name} {PROPOSERS[index]}", successor
            if situation.restarts < self.bounds.restarts:
                yield f"{name} restarts", self.after_restart(situation, name)
        for index, proposer in enumerate(situation.proposers):
            if not proposer.is_over:
                yield from self.proposer_events(situation, index, proposer)

    def proposer_events(
        self, situation: Situation, index: int, proposer: Proposer
    ) -> Iterator[tuple[str, Situation]]:
        """Yield what a proposer may do next of its own accord, and the situation after it."""
        bounds = self.bounds
        name = PROPOSERS[index]
        if situation.ballots_begun[index] < bounds.ballots[index]:
            for skipped_numbers in (0, 1):
                successor, changed = self.with_own_proposer(situation, index)
                changed.ballots.highest += skipped_numbers
                begun = list(situation.ballots_begun)
                begun[index] += 1
                successor.ballots_begun = tuple(begun)
                now = self.proposer_clock(successor, index)
                self.send(successor, index, changed.begin_ballot(now))
                yield f"{name} prepares {changed.current_ballot().number}", successor
        if (
            proposer.rounds
            and proposer.configuration.is_quorum(proposer.promised_by)
            and situation.renewals < bounds.renewals
        ):
            successor, changed = self.with_own_proposer(situation, index)
            successor.renewals += 1
            self.send(successor, index, changed.propose(self.proposer_clock(successor, index)))
            yield f"{name} proposes again", successor
        if bounds.releases and proposer.token:
            successor, changed = self.with_own_proposer(situation, index)
            self.send(successor, index, changed.release())
            yield f"{name} releases", successor

    def with_own_proposer(self, situation: Situation, index: int) -> tuple[Situation, Proposer]:
        """Return a copy of a situation, and the one proposer in it that may be changed."""
        successor = situation.copy()
        changed = copy_proposer(situation.proposers[index])
        proposers = list(situation.proposers)
        proposers[index] = changed
        successor.proposers = tuple(proposers)
        return successor, changed

    def after_time_step(self, situation: Situation) -> Situation:
        """Return the situation a step of time later: leases expire on either side."""
        successor = situation.copy()
        successor.now += TIME_STEP_SECONDS
        for index in range(len(PROPOSERS)):
            proposer = successor.proposers[index]
            now = self.proposer_clock(successor, index)
            if proposer.token and not proposer.is_over and now >= proposer.expires_at:
                successor, changed = self.with_own_proposer(successor, index)
                self.send(successor, index, changed.tick(now))
        successor.acceptors = {
            name: copy_acceptor(acceptor) for name, acceptor in successor.acceptors.items()
        }
        for acceptor in successor.acceptors.values():
            acceptor.tick(self.acceptor_clock(successor))
        return successor

    def after_restart(self, situation: Situation, name: str) -> Situation:
        """Return the situation after an acceptor lost all state."""
        successor = situation.copy()
        successor.restarts += 1
        configuration = situation.acceptors[name].configuration
        restarted = Acceptor(configuration, self.acceptor_clock(situation))
        successor.acceptors = {**situation.acceptors, name: restarted}
        return successor

    # -- messages ---------------------------------------------------------------------------------

    def after_delivery(
        self, situation: Situation, name: str, index: int, message: Message
    ) -> Situation | None:
        """Return the situation after a message between an acceptor and a proposer was delivered.

        None if it changes nothing.
        """
        if isinstance(message, ANSWERS):
            return self.after_answer(situation, name, index, message)
        if isinstance(message, PROPOSER_MESSAGES):
            return self.after_request(situation, name, index, message)
        raise TypeError(f"{type(message).__name__} is not searched")

    def after_request(
        self, situation: Situation, name: str, index: int, message: ProposerMessage
    ) -> Situation | None:
        """Return the situation after an acceptor received a request; None if it changes nothing."""
        before = situation.acceptors[name]
        acceptor = copy_acceptor(before)
        answers = acceptor.handle(self.acceptor_clock(situation), PROPOSERS[index], message)
        mailbox = situation.mailboxes[name] | {
            self.message_number(index, answer)
            for _, answer in answers
            if isinstance(answer, ANSWERS)
        }
        is_same_state = acceptor_state(acceptor) == acceptor_state(before)
        if is_same_state and mailbox == situation.mailboxes[name]:
            return None
        successor = situation.copy()
        successor.acceptors = {**situation.acceptors, name: acceptor}
        successor.mailboxes = {**situation.mailboxes, name: mailbox}
        return successor

    def after_answer(
        self, situation: Situation, name: str, index: int, answer: Promise | Accepted
    ) -> Situation | None:
        """Return the situation after a proposer received an answer; None if it ignores it."""
        proposer = situation.proposers[index]
        if proposer.is_over or answer.ballot != proposer.ballot:
            return None
        if isinstance(answer, Promise) and name in proposer.promised_by:
            return None
        successor, changed = self.with_own_proposer(situation, index)
        now = self.proposer_clock(successor, index)
        self.send(successor, index, changed.handle(now, name, answer))
        return successor

    def message_number(self, index: int, message: Message) -> int:
        """Return a message's number, a new one for a message that was never sent before."""
        key = (index, message)
        if key not in self.numbers:
            self.numbers[key] = len(self.messages)
            self.messages.append(key)
        return self.numbers[key]

    def send(self, situation: Situation, index: int, messages: Sequence[ProposerMessage]) -> None:
        """Put a proposer's messages into every acceptor's mailbox."""
        if messages:
            sent = {self.message_number(index, without_wait(message)) for message in messages}
            situation.mailboxes = {
                name: mailbox | sent for name, mailbox in situation.mailboxes.items()
            }


def without_wait(message: ProposerMessage) -> ProposerMessage:
    """Return a message without the time waited: that serves fairness, and would split states."""
    if isinstance(message, Prepare):
        return Prepare(message.lease, message.ballot, message.ttl_ms, 0)
    return message


def event_names(path: Path) -> list[str]:
    """Return the names of a path's events, first to last."""
    names: list[str] = []
    while path:
        path, name = path
        names.append(name)
    return names[::-1]
