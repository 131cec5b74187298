"""Endpoints: the workers that a source of endpoints lists."""

from dataclasses import dataclass
from enum import Enum

from stepstream.model.settings import JobClass


class EndpointState(Enum):
    """Whether a worker may get new jobs."""

    ACTIVE = "in"
    DRAINING = "draining"
    REMOVED = "out"


class EndpointListKind(Enum):
    """What an endpoint list says of workers that it does not name."""

    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # whoever is missing is gone
    PERSISTED = "persisted"  # the list kept from before a restart; may be old
    FAILED = "failed"  # a call for the list failed, or the watch broke; no entries


@dataclass(frozen=True)
class Endpoint:
    """One worker process as the endpoint list names it."""

    worker_id: str
    zone: int = 0
    worker_kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.ACTIVE
    weight: float = 1.0
    started_us: int = 0  # 0: long ago
    # CLASS or TENANT/CLASS by name; None: whatever its kind allows.
    supported_jobs: frozenset[str] | None = None

    def can_run(self, kind: JobClass, tenant: str) -> bool:
        """Return whether it runs a tenant's job of the class, by its kind and what it has named."""
        if kind.worker_kind not in (-1, self.worker_kind):
            return False
        return (
            self.supported_jobs is None
            or kind.name in self.supported_jobs
            or f"{tenant}/{kind.name}" in self.supported_jobs
        )


@dataclass(frozen=True)
class EndpointList:
    """An endpoint list, or a failed call for one."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
