"""Simulate the resource that a lease guards, and check there what the lease must ensure.

The resource admits the beginning and the end of an operation only with a fencing token that its
guard accepts. Times are in seconds of the timeline.
"""

from dataclasses import dataclass, field
from math import inf

from stepstream.lab.simulation.errors import OperationOrderError
from stepstream.leases.fencing import FencingGuard

CLOCK_TOLERANCE_SECONDS = 1e-9
"""Allowed difference of two clocks through the rounding of float sums."""


@dataclass
class Operation:
    """One operation on a resource; `is_completed` if its beginning and its end were admitted."""

    token: int
    proposer_id: str
    begun_at: float
    ended_at: float = inf
    is_completed: bool = False


@dataclass
class GuardedResource:
    """A resource and all operations that it admitted; only completed ones changed the resource."""

    guard: FencingGuard = field(default_factory=FencingGuard)
    operations: list[Operation] = field(default_factory=list)

    def begin(self, now: float, token: int, proposer_id: str) -> Operation:
        """Admit the beginning of an operation.

        Raises:
            FencedError: the guard rejects the token.
            OperationOrderError: the guard admitted a token that is smaller than the one before.

        """
        self.guard.admit(token)
        self.check_tokens_never_decrease(now, token)
        operation = Operation(token, proposer_id, now)
        self.operations.append(operation)
        return operation

    def end(self, now: float, operation: Operation) -> None:
        """Admit the end of an operation.

        Raises:
            FencedError: the guard rejects the operation's token.
            OperationOrderError: the operation overlaps a completed one of another proposer.

        """
        self.guard.admit(operation.token)
        operation.ended_at = now
        operation.is_completed = True
        self.check_no_overlap(now, operation)

    def completed_operations(self) -> int:
        """Return how many operations were completed."""
        return sum(operation.is_completed for operation in self.operations)

    def check_tokens_never_decrease(self, now: float, token: int) -> None:
        """Check that a new operation's token is not below that of the operation before it.

        This guards against a guard that lets an earlier holder write after a later one.
        """
        if self.operations and token < self.operations[-1].token:
            raise OperationOrderError(
                f"{now:.3f} s: an operation with token {token} began after one with token"
                f" {self.operations[-1].token}"
            )

    def check_no_overlap(self, now: float, operation: Operation) -> None:
        """Check that a completed operation overlaps none that another proposer completed.

        This guards against two proposers that both change the resource because each holds the lease
        by its own clock.
        """
        for other in self.operations:
            if (
                other.is_completed
                and other.proposer_id != operation.proposer_id
                and other.ended_at > operation.begun_at + CLOCK_TOLERANCE_SECONDS
                and other.begun_at < operation.ended_at - CLOCK_TOLERANCE_SECONDS
            ):
                raise OperationOrderError(
                    f"{now:.3f} s: operations of {other.proposer_id} and"
                    f" {operation.proposer_id} overlap"
                )
