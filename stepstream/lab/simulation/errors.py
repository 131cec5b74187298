"""Errors of simulated clusters and searches: an invariant of the protocol does not hold."""


class InvariantError(Exception):
    """An invariant does not hold: the text says which one, when and for which members."""


class TwoHoldersError(InvariantError):
    """Two proposers hold the same lease at the same time."""


class OperationOrderError(InvariantError):
    """A guarded resource admitted operations in an order that leases must prevent."""


class NotRecoveredError(InvariantError):
    """A cluster did not recover in time after the last fault."""


class NotRunningError(Exception):
    """A call needs a running process, but the process does not run."""

    def __init__(self, name: str) -> None:
        super().__init__(f"member {name} is not running")
