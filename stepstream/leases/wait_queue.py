"""The queue of proposers that wait for one lease at one acceptor. Free of I/O.

When a lease becomes free, its waiters may try to get it in the order in which they began to wait.
Safety does not depend on this order.

Each queue belongs to an acceptor's record of a lease. All times are seconds of the acceptor's
clock.
"""

from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import Ballot, Prepare

MAX_MISSED_REFRESHES = 3


@dataclass(slots=True)
class Waiter:
    """A proposer that waits.

    `waiting_since` is computed from the waiting time in the proposer's message; `notified` says
    whether the proposer was notified that it is eligible.
    """

    member: str
    ballot: Ballot
    waiting_since: float
    last_refresh_at: float
    notified: bool = False


class EligibleWaiters(NamedTuple):
    """The waiters to notify, and when the next one becomes eligible; infinity if there is none."""

    waiters: list[Waiter]
    next_at: float


def wait_order(waiter: Waiter) -> tuple[float, str]:
    """Return the sort key of the queue: the proposer that has waited longest is first."""
    return waiter.waiting_since, waiter.ballot.proposer


def eligible_at(free_since: float, position: int, head_start_seconds: float) -> float:
    """Return when the waiter at a position of the queue, from 0, may try to get the lease.

    Each waiter has one head start before the next, since a hundred ballots at once would all fail.
    """
    return free_since + position * head_start_seconds


def is_silent(waiter: Waiter, now: float, refresh_seconds: float) -> bool:
    """Return whether a waiter is dropped: it sent no prepare for MAX_MISSED_REFRESHES intervals.

    A waiter that no longer exists must not keep its place before the others.
    """
    return waiter.last_refresh_at < now - MAX_MISSED_REFRESHES * refresh_seconds


class WaitQueue:
    """The waiters of one lease, in the order in which they began to wait."""

    __slots__ = ("configuration", "waiters")

    def __init__(self, configuration: LeaseConfiguration) -> None:
        self.configuration = configuration
        self.waiters: dict[str, Waiter] = {}  # by proposer

    def __len__(self) -> int:
        return len(self.waiters)

    def add_or_refresh(self, now: float, member: str, prepare: Prepare) -> bool:
        """Add or refresh a waiter; return False if the queue is full.

        The waiter keeps its place if a prepare is delayed.
        """
        proposer = prepare.ballot.proposer
        waiting_since = now - prepare.waited_ms / 1000
        earlier_entry = self.waiters.get(proposer)
        if earlier_entry is None:
            if not self.has_capacity(now):
                return False
            self.waiters[proposer] = Waiter(member, prepare.ballot, waiting_since, now)
            return True
        waiting_since = min(waiting_since, earlier_entry.waiting_since)
        self.waiters[proposer] = Waiter(
            member, prepare.ballot, waiting_since, now, notified=earlier_entry.notified
        )
        return True

    def remove(self, proposer: str) -> None:
        """Remove a proposer that no longer waits."""
        self.waiters.pop(proposer, None)

    def has_capacity(self, now: float) -> bool:
        """Return whether one more waiter fits; if the queue is full, first drop the silent ones."""
        if len(self.waiters) >= self.configuration.max_waiters:
            self.drop_silent(now)
        return len(self.waiters) < self.configuration.max_waiters

    def drop_silent(self, now: float) -> None:
        """Drop the waiters whose refreshes have stopped."""
        refresh_seconds = self.configuration.waiter_refresh_seconds()
        self.waiters = {
            proposer: waiter
            for proposer, waiter in self.waiters.items()
            if not is_silent(waiter, now, refresh_seconds)
        }

    def in_order(self, now: float) -> list[Waiter]:
        """Return the waiters that keep refreshing, the longest waiting first."""
        self.drop_silent(now)
        return sorted(self.waiters.values(), key=wait_order)

    def seconds_until_eligible(self, now: float, free_since: float, proposer: str) -> float:
        """Return the time until a proposer may try to get the lease; zero or less if it may now."""
        waiters_ahead = 0
        for waiter in self.in_order(now):
            if waiter.ballot.proposer == proposer:
                break
            waiters_ahead += 1
        return eligible_at(free_since, waiters_ahead, self.configuration.head_start_seconds) - now

    def take_eligible(self, now: float, free_since: float) -> EligibleWaiters:
        """Return the waiters that have become eligible, and mark them as notified."""
        newly_eligible: list[Waiter] = []
        for position, waiter in enumerate(self.in_order(now)):
            due_at = eligible_at(free_since, position, self.configuration.head_start_seconds)
            if due_at > now:
                return EligibleWaiters(newly_eligible, due_at)
            if not waiter.notified:
                waiter.notified = True
                newly_eligible.append(waiter)
        return EligibleWaiters(newly_eligible, inf)
