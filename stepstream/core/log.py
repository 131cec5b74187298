"""The log events of the core, as it is given them: it knows neither the log nor its form."""

from typing import Protocol


class CoreLog(Protocol):
    """Log events of the core, called by the decision thread; `runtime.log_events` has them."""

    def internal_fault(self, *, where: str, error: Exception) -> None:
        """Log an unexpected fault in a step of the core or the policy."""

    def worker_id_conflict(self, *, worker: str, source: str, owner: str) -> None:
        """Log that a source lists a worker id which another source, the owner, listed first."""
