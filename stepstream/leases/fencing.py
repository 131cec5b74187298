"""The check of fencing tokens that a guarded resource makes for each operation. Free of I/O.

A lease alone cannot stop a holder that stalls between its check and its write. The resource can: it
keeps the highest token seen, and admits an operation as a whole or not at all.
Chubby calls the token a sequencer (Burrows 2006, section 2.4); "fencing token" is Kleppmann's term
("How to do distributed locking", 2016).

A guard belongs to its resource, whose owner serializes the calls.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.leases.errors import LeaseError


class FencedError(LeaseError):
    """An operation was rejected by its token.

    The token of the proposer's next grant must exceed `highest_token`.
    """

    def __init__(self, token: int, highest_token: int) -> None:
        super().__init__(f"token {token} is behind {highest_token}")
        self.token = token
        self.highest_token = highest_token


@dataclass
class FencingGuard:
    """The guard of one resource.

    `highest_token` must last as long as the resource: keep it with the resource's data.
    """

    highest_token: int = 0
    rejected_count: int = field(default=0, compare=False)

    def admit(self, token: int) -> None:
        """Check a token before the effect, in the same transaction.

        Raise `FencedError` and change nothing if the token is behind the highest one: a later
        holder has used the resource.
        """
        if token < self.highest_token:
            self.rejected_count += 1
            raise FencedError(token, self.highest_token)
        self.highest_token = token

    def apply(self, token: int, effect: Callable[[], None]) -> None:
        """Check the token and run the whole effect, for a resource that has one thread.

        If `effect` raises, the token counts as seen; `effect` must undo its own changes.
        """
        self.admit(token)
        effect()
