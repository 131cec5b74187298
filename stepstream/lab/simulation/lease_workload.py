"""Provide what simulated leases are used for: tasks that want a lease, and the resource it guards.

The resource checks what the leases promise from its own side. A `LeaseCluster` owns the objects of
this module; only the thread that runs its timeline may touch them.
"""

from dataclasses import dataclass, field
from math import inf

from stepstream.leases.fencing import FencingGuard

CLOCK_TOLERANCE_SECONDS = 1e-9  # by which the float sums of two clocks may differ


class TwoHoldersError(Exception):
    """Report an invariant that does not hold: which one, at what time and for which proposers."""


@dataclass
class Act:
    """Record one operation on a resource; times are in seconds of the timeline."""

    token: int
    proposer: str
    begun: float
    ended: float = inf
    taken: bool = False  # the resource admitted its beginning and its end


@dataclass
class Resource:
    """Simulate a guarded resource; an operation counts only if neither end of it was fenced off."""

    guard: FencingGuard = field(default_factory=FencingGuard)
    acts: list[Act] = field(default_factory=list)

    def begin(self, now: float, token: int, proposer: str) -> Act:
        """Admit the beginning of an operation.

        FencedError if the guard rejects the token, TwoHoldersError if it admits a smaller one than
        before.
        """
        self.guard.admit(token)
        if self.acts and token < self.acts[-1].token:
            raise TwoHoldersError(
                f"{now:.3f} s: an act with token {token} after {self.acts[-1].token}"
            )
        act = Act(token, proposer, now)
        self.acts.append(act)
        return act

    def end(self, now: float, act: Act) -> None:
        """Admit the end of an operation.

        FencedError if the guard rejects its token, TwoHoldersError if it overlaps an operation of
        another proposer that was admitted.
        """
        self.guard.admit(act.token)
        act.ended = now
        act.taken = True
        for other in self.acts:
            if (
                other.taken
                and other.proposer != act.proposer
                and other.ended > act.begun + CLOCK_TOLERANCE_SECONDS
                and other.begun < act.ended - CLOCK_TOLERANCE_SECONDS
            ):
                raise TwoHoldersError(
                    f"{now:.3f} s: acts of {other.proposer} and {act.proposer} overlap"
                )


@dataclass(frozen=True)
class Task:
    """Describe a task that acquires a lease again and again, and operates while it holds it.

    All times are in seconds: `ttl`, the lease's time to live; `act`, the longest operation; `hold`,
    how long it keeps a lease; `think`, the mean pause until it wants the lease again.
    """

    lease: str
    ttl: float = 4.0
    act: float = 0.8
    hold: float = 3.0
    think: float = 1.0


@dataclass
class Grant:
    """Record that a proposer was first seen to hold a lease; `since` in seconds of the timeline."""

    lease: str
    proposer: str
    token: int
    since: float
