"""The interface through which the core logs; it depends on no log and no line format."""

from typing import Protocol


class CoreLog(Protocol):
    """The core's log events; implemented by `runtime.log_events`, called by the decision thread."""

    def internal_fault(self, *, where: str, error: Exception) -> None:
        """Log an unexpected fault in a step of the core or the policy."""

    def worker_id_conflict(self, *, worker: str, source: str, owner: str) -> None:
        """Log that a source lists a worker id which another source, the owner, listed first."""
