"""The events of a small configuration of leases: three acceptors, two proposers.

The acceptors and proposers are the program's own. An event is one of these:

- a delivery: every message ever sent may arrive at any later time, any number of times, or never,
  which covers loss, unbounded delay, duplicates and every order;
- a step of time, after which leases expire at acceptors and proposers;
- the restart of an acceptor, which loses all state;
- a proposer that prepares (with the next ballot number or with one that skips a number), proposes
  again or releases: whenever the protocol allows it, however early or late.

`Bounds` limits ballots, renewals, restarts and time. Answers that only change the time of a
proposer's next attempt (Busy, StaleBallot, Recovering, LeaseAvailable) are left out, because the
search tries an attempt at every time anyway.
"""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stepstream.lab.search.lease_state import (
    ACCEPTORS,
    LEASE,
    LeaseState,
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

CLOCK_ERRORS = {"a": -1, "b": 0}
"""Error of the rate of each proposer's clock, in units of `Bounds.max_clock_drift`.

The error of the acceptors' clocks is 1. The dangerous case is a holder whose clock runs slow
while the acceptors' clocks run fast: for the acceptors the lease expires before it does for the
holder.
"""

ACCEPTORS_STARTED_AT = -1e6
"""Local time of the acceptors' start: they have recovered long ago and answer at once."""

SEARCHED_ANSWERS = (Promise, Accepted)  # isinstance is faster with a tuple than with a union


@dataclass(frozen=True)
class Bounds:
    """Bound the events of a path.

    Attributes:
        ballots: number of ballots of each proposer, in the order of `PROPOSERS`.
        renewals: proposals after the first one, of both proposers together.
        restarts: restarts of acceptors, all together.
        time_steps: how long a path may last, in steps of `TIME_STEP_SECONDS`.
        max_clock_drift: largest error of a clock's rate, as a fraction.
        releases: whether proposers may release.

    """

    ballots: tuple[int, int] = (1, 1)
    renewals: int = 1
    restarts: int = 1
    time_steps: int = 3
    max_clock_drift: float = 0.125
    releases: bool = True


class RoutedMessage(NamedTuple):
    """A message between a proposer, by its index, and any acceptor."""

    proposer_index: int
    message: Message


class LeaseModel:
    """Generate the events of a state and the states after them, within the bounds.

    Attributes:
        bounds: what bounds every path.
        messages: every message ever sent, in both directions; states hold indexes into this list.

    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.messages: list[RoutedMessage] = []
        self._message_numbers: dict[RoutedMessage, int] = {}  # indexes of `messages`

    def initial_state(self) -> LeaseState:
        """Return the state in which no message has been sent."""
        configuration = LeaseConfiguration(
            ACCEPTORS,
            max_clock_drift=self.bounds.max_clock_drift,
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
        return LeaseState(0.0, acceptors, dict.fromkeys(ACCEPTORS, frozenset()), proposers)

    def proposer_clock(self, state: LeaseState, proposer_index: int) -> float:
        """Return what a proposer's clock shows, in seconds."""
        clock_error = self.bounds.max_clock_drift * CLOCK_ERRORS[PROPOSERS[proposer_index]]
        return state.now * (1.0 + clock_error)

    def holders(self, state: LeaseState) -> list[str]:
        """Return the proposers that hold the lease, each by its own clock."""
        return [
            PROPOSERS[proposer_index]
            for proposer_index, proposer in enumerate(state.proposers)
            if proposer.is_held(self.proposer_clock(state, proposer_index))
        ]

    def acceptor_clock(self, state: LeaseState) -> float:
        """Return what every acceptor's clock shows, in seconds."""
        return state.now * (1.0 + self.bounds.max_clock_drift)

    # -- events -----------------------------------------------------------------------------------

    def successors(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Yield each event that may come next, by name, and the state after it."""
        if state.now < self.bounds.time_steps:
            yield "time", self.after_time_step(state)
        for acceptor_name in ACCEPTORS:
            for message_number in state.mailboxes[acceptor_name]:
                proposer_index, message = self.messages[message_number]
                successor = self.after_delivery(state, acceptor_name, proposer_index, message)
                if successor is not None:
                    yield (
                        f"{type(message).__name__} {acceptor_name} {PROPOSERS[proposer_index]}",
                        successor,
                    )
            if state.restarts < self.bounds.restarts:
                yield f"{acceptor_name} restarts", self.after_restart(state, acceptor_name)
        for proposer_index, proposer in enumerate(state.proposers):
            if not proposer.is_over:
                yield from self.proposer_events(state, proposer_index, proposer)

    def proposer_events(
        self, state: LeaseState, proposer_index: int, proposer: Proposer
    ) -> Iterator[tuple[str, LeaseState]]:
        """Yield each event that a proposer may start without a message, and the state after it."""
        bounds = self.bounds
        name = PROPOSERS[proposer_index]
        if state.ballots_begun[proposer_index] < bounds.ballots[proposer_index]:
            for skipped_numbers in (0, 1):
                ballot_number, successor = self.after_prepare(
                    state, proposer_index, skipped_numbers
                )
                yield f"{name} prepares {ballot_number}", successor
        may_propose = proposer.rounds and proposer.configuration.is_quorum(proposer.promised_by)
        if may_propose and state.renewals < bounds.renewals:
            yield f"{name} proposes again", self.after_renewal(state, proposer_index)
        if bounds.releases and proposer.token:
            yield f"{name} releases", self.after_release(state, proposer_index)

    def after_prepare(
        self, state: LeaseState, proposer_index: int, skipped_numbers: int
    ) -> tuple[int, LeaseState]:
        """Return the number of a proposer's next ballot, and the state after it was prepared."""
        successor, changed = self.with_copied_proposer(state, proposer_index)
        changed.ballots.highest += skipped_numbers
        ballots_begun = list(state.ballots_begun)
        ballots_begun[proposer_index] += 1
        successor.ballots_begun = tuple(ballots_begun)
        now = self.proposer_clock(successor, proposer_index)
        self.send(successor, proposer_index, changed.begin_ballot(now))
        return changed.current_ballot().number, successor

    def after_renewal(self, state: LeaseState, proposer_index: int) -> LeaseState:
        """Return the state after a proposer proposed once more in its ballot."""
        successor, changed = self.with_copied_proposer(state, proposer_index)
        successor.renewals += 1
        self.send(
            successor,
            proposer_index,
            changed.propose(self.proposer_clock(successor, proposer_index)),
        )
        return successor

    def after_release(self, state: LeaseState, proposer_index: int) -> LeaseState:
        """Return the state after a proposer released the lease."""
        successor, changed = self.with_copied_proposer(state, proposer_index)
        self.send(successor, proposer_index, changed.release())
        return successor

    def with_copied_proposer(
        self, state: LeaseState, proposer_index: int
    ) -> tuple[LeaseState, Proposer]:
        """Return a copy of a state, and a proposer in it that is copied too and may be changed."""
        successor = state.copy()
        changed = copy_proposer(state.proposers[proposer_index])
        proposers = list(state.proposers)
        proposers[proposer_index] = changed
        successor.proposers = tuple(proposers)
        return successor, changed

    def after_time_step(self, state: LeaseState) -> LeaseState:
        """Return the state a step of time later; leases expire at acceptors and proposers."""
        successor = state.copy()
        successor.now += TIME_STEP_SECONDS
        for proposer_index in range(len(PROPOSERS)):
            proposer = successor.proposers[proposer_index]
            now = self.proposer_clock(successor, proposer_index)
            if proposer.token and not proposer.is_over and now >= proposer.expires_at:
                successor, changed = self.with_copied_proposer(successor, proposer_index)
                self.send(successor, proposer_index, changed.tick(now))
        successor.acceptors = {
            name: copy_acceptor(acceptor) for name, acceptor in successor.acceptors.items()
        }
        for acceptor in successor.acceptors.values():
            acceptor.tick(self.acceptor_clock(successor))
        return successor

    def after_restart(self, state: LeaseState, acceptor_name: str) -> LeaseState:
        """Return the state after an acceptor lost all state."""
        successor = state.copy()
        successor.restarts += 1
        configuration = state.acceptors[acceptor_name].configuration
        restarted = Acceptor(configuration, self.acceptor_clock(state))
        successor.acceptors = {**state.acceptors, acceptor_name: restarted}
        return successor

    # -- messages ---------------------------------------------------------------------------------

    def after_delivery(
        self, state: LeaseState, acceptor_name: str, proposer_index: int, message: Message
    ) -> LeaseState | None:
        """Return the state after a message between an acceptor and a proposer was delivered.

        Return None if the delivery changes nothing.
        """
        if isinstance(message, SEARCHED_ANSWERS):
            return self.after_answer(state, acceptor_name, proposer_index, message)
        if isinstance(message, PROPOSER_MESSAGES):
            return self.after_request(state, acceptor_name, proposer_index, message)
        raise TypeError(f"{type(message).__name__} is not searched")

    def after_request(
        self, state: LeaseState, acceptor_name: str, proposer_index: int, message: ProposerMessage
    ) -> LeaseState | None:
        """Return the state after an acceptor received a request; None if it changes nothing."""
        before = state.acceptors[acceptor_name]
        acceptor = copy_acceptor(before)
        answers = acceptor.handle(self.acceptor_clock(state), PROPOSERS[proposer_index], message)
        mailbox = state.mailboxes[acceptor_name] | {
            self.message_number(proposer_index, answer)
            for _, answer in answers
            if isinstance(answer, SEARCHED_ANSWERS)
        }
        is_same_state = acceptor_state(acceptor) == acceptor_state(before)
        if is_same_state and mailbox == state.mailboxes[acceptor_name]:
            return None
        successor = state.copy()
        successor.acceptors = {**state.acceptors, acceptor_name: acceptor}
        successor.mailboxes = {**state.mailboxes, acceptor_name: mailbox}
        return successor

    def after_answer(
        self, state: LeaseState, acceptor_name: str, proposer_index: int, answer: Promise | Accepted
    ) -> LeaseState | None:
        """Return the state after a proposer received an answer; None if it ignores it."""
        proposer = state.proposers[proposer_index]
        if proposer.is_over or answer.ballot != proposer.ballot:
            return None
        if isinstance(answer, Promise) and acceptor_name in proposer.promised_by:
            return None
        successor, changed = self.with_copied_proposer(state, proposer_index)
        now = self.proposer_clock(successor, proposer_index)
        self.send(successor, proposer_index, changed.handle(now, acceptor_name, answer))
        return successor

    def message_number(self, proposer_index: int, message: Message) -> int:
        """Return a message's number, a new one for a message that was never sent before."""
        key = RoutedMessage(proposer_index, message)
        if key not in self._message_numbers:
            self._message_numbers[key] = len(self.messages)
            self.messages.append(key)
        return self._message_numbers[key]

    def send(
        self, state: LeaseState, proposer_index: int, messages: Sequence[ProposerMessage]
    ) -> None:
        """Put a proposer's messages into every acceptor's mailbox."""
        if messages:
            sent = {
                self.message_number(proposer_index, without_wait(message)) for message in messages
            }
            state.mailboxes = {name: mailbox | sent for name, mailbox in state.mailboxes.items()}


def without_wait(message: ProposerMessage) -> ProposerMessage:
    """Return a message without the time that its proposer has waited.

    That time only affects fairness, and would multiply the number of different states.
    """
    if isinstance(message, Prepare):
        return Prepare(message.lease, message.ballot, message.ttl_ms, 0)
    return message
