"""The queue of proposers that wait for one lease at one acceptor. Free of I/O.

A courtesy: who has waited longest goes first when the lease becomes free, and each head start
later one more may try. Nothing about safety rests on it.

Each queue belongs to an acceptor's record of a lease. All times are seconds of the acceptor's
clock.
"""

from dataclasses import dataclass

from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import Ballot, Prepare

MISSED_REFRESHES = 3  # after which a waiter is forgotten


@dataclass(slots=True)
class Waiter:
    """A proposer that waits."""

    member: str
    ballot: Ballot
    waiting_since: float  # by the proposer's own account
    last_refresh_at: float
    notified: bool = False  # that it is eligible


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

        A waiter whose prepare was long on its way does not lose its place.
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
        """Tell whether one more fits, after dropping those that have gone silent."""
        if len(self.waiters) >= self.configuration.max_waiters:
            self.drop_silent(now)
        return len(self.waiters) < self.configuration.max_waiters

    def drop_silent(self, now: float) -> None:
        """Forget those that have missed their refreshes."""
        oldest = now - MISSED_REFRESHES * self.configuration.waiter_refresh_seconds()
        self.waiters = {
            proposer: waiter
            for proposer, waiter in self.waiters.items()
            if waiter.last_refresh_at >= oldest
        }

    def in_order(self, now: float) -> list[Waiter]:
        """Return the waiters that keep refreshing, the longest waiting first."""
        self.drop_silent(now)
        return sorted(
            self.waiters.values(),
            key=lambda waiter: (waiter.waiting_since, waiter.ballot.proposer),
        )

    def seconds_until_eligible(self, now: float, free_since: float, proposer: str) -> float:
        """Return the time until a proposer may try; zero or less if it may now."""
        ahead = 0
        for waiter in self.in_order(now):
            if waiter.ballot.proposer == proposer:
                break
            ahead += 1
        return free_since + ahead * self.configuration.head_start_seconds - now

    def take_eligible(self, now: float, free_since: float) -> tuple[list[Waiter], float | None]:
        """Return the waiters that have become eligible, and when the next one does."""
        called: list[Waiter] = []
        for place, waiter in enumerate(self.in_order(now)):
            eligible_at = free_since + place * self.configuration.head_start_seconds
            if eligible_at > now:
                return called, eligible_at
            if not waiter.notified:
                waiter.notified = True
                called.append(waiter)
        return called, None
