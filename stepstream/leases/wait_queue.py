"""The queue of proposers that wait for one lease at one acceptor. Free of I/O.

The waiters of a lease that becomes free get it in the order in which they began to want it. Safety
does not depend on this order.

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

    `waiting_since` follows from the waiting time that the proposer states; `notified` says whether
    it was notified that it is eligible.
    """

    member: str
    ballot: Ballot
    waiting_since: float
    last_refresh_at: float
    notified: bool = False


class EligibleWaiters(NamedTuple):
    """The waiters that have become eligible, and when the next one does; infinity if none waits."""

    waiters: list[Waiter]
    next_at: float


def wait_order(waiter: Waiter) -> tuple[float, str]:
    """Return the sort key of the queue: who has waited longest goes first."""
    return waiter.waiting_since, waiter.ballot.proposer


def eligible_at(free_since: float, place: int, head_start_seconds: float) -> float:
    """Return when the waiter at a place of the queue, 0 for the first, may try to get the lease.

    Each waiter has one head start before the next: a hundred ballots at once would all fail.
    """
    return free_since + place * head_start_seconds


def is_silent(waiter: Waiter, now: float, refresh_seconds: float) -> bool:
    """Return whether a waiter is forgotten: its refreshes, at least so often, have stopped.

    A waiter that is gone must not keep its place before the others.
    """
    return waiter.last_refresh_at < now - MAX_MISSED_REFRESHES * refresh_seconds


class WaitQueue:
    """The waiters of one lease, in the order in which they began to want it."""

    __slots__ = ("configuration", "waiters")

    def __init__(self, configuration: LeaseConfiguration) -> None:
        self.configuration = configuration
        self.waiters: dict[str, Waiter] = {}  # by proposer

    def __len__(self) -> int:
        return len(self.waiters)

    def enlist(self, now: float, member: str, prepare: Prepare) -> bool:
        """Add or refresh a waiter; return False if the queue is full.

        A prepare that was delayed does not cost the waiter its place.
        """
        proposer = prepare.ballot.proposer
        waiting_since = now - prepare.waited_ms / 1000
        known = self.waiters.get(proposer)
        if known is None:
            if not self.has_capacity(now):
                return False
            self.waiters[proposer] = Waiter(member, prepare.ballot, waiting_since, now)
            return True
        waiting_since = min(waiting_since, known.waiting_since)
        self.waiters[proposer] = Waiter(
            member, prepare.ballot, waiting_since, now, notified=known.notified
        )
        return True

    def remove(self, proposer: str) -> None:
        """Forget a proposer that waits no more."""
        self.waiters.pop(proposer, None)

    def has_capacity(self, now: float) -> bool:
        """Return whether one more fits, after the silent ones were dropped."""
        if len(self.waiters) >= self.configuration.max_waiters:
            self.drop_silent(now)
        return len(self.waiters) < self.configuration.max_waiters

    def drop_silent(self, now: float) -> None:
        """Forget the waiters whose refreshes have stopped."""
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
        """Return the time until a proposer may try; zero or less if it may now."""
        ahead = 0
        for waiter in self.in_order(now):
            if waiter.ballot.proposer == proposer:
                break
            ahead += 1
        return eligible_at(free_since, ahead, self.configuration.head_start_seconds) - now

    def take_eligible(self, now: float, free_since: float) -> EligibleWaiters:
        """Return the waiters that have become eligible, and note that they are notified."""
        called: list[Waiter] = []
        for place, waiter in enumerate(self.in_order(now)):
            due_at = eligible_at(free_since, place, self.configuration.head_start_seconds)
            if due_at > now:
                return EligibleWaiters(called, due_at)
            if not waiter.notified:
                waiter.notified = True
                called.append(waiter)
        return EligibleWaiters(called, inf)
