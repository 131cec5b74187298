"""Errors of simulated clusters and searches: an invariant of the protocol does not hold."""


class InvariantError(Exception):
    """Report an invariant that does not hold: which one, at what time and for which members."""


class TwoHoldersError(InvariantError):
    """Report two proposers that hold one lease at one instant."""


class OperationOrderError(InvariantError):
    """Report operations that a guarded resource admitted in an order that leases rule out."""


class NotRecoveredError(InvariantError):
    """Report a cluster that did not recover in time after the last fault."""


class NotRunningError(Exception):
    """Report a call that needs a running process, on one that does not run."""

    def __init__(self, name: str) -> None:
        super().__init__(f"member {name} is not running")
