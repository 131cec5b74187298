"""What one acceptor knows of one lease; records without rules, owned by the acceptor.

All times are seconds of the acceptor's clock.
"""

from dataclasses import dataclass
from math import inf

from stepstream.leases.messages import Ballot
from stepstream.leases.wait_queue import WaitQueue


@dataclass(slots=True)
class Grant:
    """A proposal that this acceptor has accepted."""

    ballot: Ballot
    token: int
    expires_at: float


@dataclass(slots=True)
class LeaseRecord:
    """What an acceptor knows of one lease."""

    waiters: WaitQueue
    promised: Ballot | None = None
    promise_released: bool = False  # no proposal of the promised ballot is accepted any more
    grant: Grant | None = None
    free_since: float = -inf

    def promised_number(self) -> int:
        """Return the number of the ballot promised last; 0 if none."""
        return self.promised.number if self.promised is not None else 0
