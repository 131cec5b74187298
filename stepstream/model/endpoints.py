"""Endpoints: the workers that a source of endpoints lists."""

from dataclasses import dataclass
from enum import Enum

from stepstream.model.settings import JobClass


class EndpointState(Enum):
    ACTIVE = "in"
    DRAINING = "draining"
    REMOVED = "out"


class EndpointListKind(Enum):
    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # whoever is missing is gone
    PERSISTED = "persisted"  # the list kept from before a restart; may be old
    FAILED = "failed"  # a call for the list failed, or the watch broke; no entries


@dataclass(frozen=True)
class Endpoint:
    worker_id: str
    zone: int = 0
    worker_kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.ACTIVE
    weight: float = 1.0
    started_us: int = 0  # 0: long ago
    supported_jobs: frozenset[str] | None = (
        None  # CLASS or TENANT/CLASS by name; None: whatever its kind allows
    )

    def can_run(self, kind: JobClass, tenant: str) -> bool:
        """Whether it runs a tenant's job of this class; a worker may have named what it runs."""
        if kind.worker_kind not in (-1, self.worker_kind):
            return False
        return (
            self.supported_jobs is None
            or kind.name in self.supported_jobs
            or f"{tenant}/{kind.name}" in self.supported_jobs
        )


@dataclass(frozen=True)
class EndpointList:
    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
