"""Invariants of leases in a simulated cluster.

- At most one proposer holds a lease: `check`, after every step of a process.
- A holder is rejected only for a later token: `check_fenced_by_a_later_token`, called by the tasks.
- Tokens never decrease, and operations of two holders do not overlap: `guarded_resource`, which
  checks both at the resource.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from stepstream.lab.simulation.errors import OperationOrderError, TwoHoldersError
from stepstream.lab.simulation.guarded_resource import CLOCK_TOLERANCE_SECONDS
from stepstream.lab.simulation.lease_process import LeaseProcess
from stepstream.leases.fencing import FencedError
from stepstream.leases.proposer import Proposer


@dataclass(frozen=True)
class ObservedGrant:
    """A proposer, and the time in seconds of the timeline when it was first seen with a lease."""

    lease: str
    proposer_id: str
    token: int
    observed_at: float


class LeaseInvariants:
    """All invariants of one cluster of processes, and the grants that were observed."""

    def __init__(self, processes: Iterable[LeaseProcess]) -> None:
        self.grants: list[ObservedGrant] = []
        self._processes = tuple(processes)
        self._last_holders: dict[str, str] = {}  # by lease, the proposer last seen to hold it

    def proposers(self) -> Iterator[tuple[LeaseProcess, Proposer]]:
        """Yield the proposers of all running processes."""
        for process in self._processes:
            if process.participant is not None:
                for proposer in process.participant.proposers.values():
                    yield process, proposer

    def holders(self, now: float, lease: str) -> list[Proposer]:
        """Return the proposers that hold the lease now by their own clocks.

        Proposers of stalled processes are included: such a process may resume in the middle of an
        operation.
        """
        expired_at = now + CLOCK_TOLERANCE_SECONDS
        return [
            proposer
            for process, proposer in self.proposers()
            if proposer.lease == lease
            and proposer.token
            and not proposer.is_over
            and process.to_timeline(proposer.expires_at) > expired_at
        ]

    def check(self, now: float) -> None:
        """Check every lease, and record a new holder; TwoHoldersError if a lease has two."""
        for lease in {proposer.lease for _, proposer in self.proposers()}:
            holders = self.holders(now, lease)
            check_one_holder(now, lease, holders)
            if holders:
                self._record_grant(now, holders[0])

    def _record_grant(self, now: float, holder: Proposer) -> None:
        """Record a grant if the holder of a lease has changed."""
        lease = holder.lease
        if self._last_holders.get(lease) == holder.proposer_id:
            return
        self._last_holders[lease] = holder.proposer_id
        self.grants.append(ObservedGrant(lease, holder.proposer_id, holder.token, now))


def check_one_holder(now: float, lease: str, holders: list[Proposer]) -> None:
    """Check that a lease has one holder at most; TwoHoldersError if it has more.

    This guards against clocks that drift apart, acceptors that forget a grant, and quorums that
    share no acceptor.
    """
    if len(holders) > 1:
        names = " and ".join(holder.proposer_id for holder in holders)
        raise TwoHoldersError(f"{now:.3f} s: {lease} is held by {names}")


def check_fenced_by_a_later_token(now: float, proposer_id: str, error: FencedError) -> None:
    """Check that an operation was rejected because of a greater token than its own.

    This detects a guard that rejects the present holder.
    """
    if error.highest_token == error.token:
        raise OperationOrderError(f"{now:.3f} s: {proposer_id} was rejected for its own token")
