"""Endpoints: the workers that discovery or another source lists."""

from enum import Enum

from stepstream.model.records import record


class EndpointState(Enum):
    """Whether a worker may get new jobs. The values follow the simulator's terms."""

    ACTIVE = "in"
    DRAINING = "draining"
    REMOVED = "out"


class EndpointListKind(Enum):
    """What an endpoint list says about workers that it does not name."""

    CHANGES = "changes"  # they stay as they are
    COMPLETE = "complete"  # they are removed
    PERSISTED = "persisted"  # they are removed; the list was saved before a restart, maybe outdated
    FAILED = "failed"  # they stay as they are; the call for the list failed, so it has no endpoints


@record
class Endpoint:
    """One worker process as the endpoint list names it."""

    worker_id: str
    zone: int = 0
    worker_kind: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.ACTIVE
    weight: float = 1.0
    started_us: int = 0  # 0: unknown or long ago
    # Names, as CLASS or TENANT/CLASS; None: every class that its worker kind runs.
    supported_jobs: frozenset[str] | None = None


@record
class EndpointList:
    """An endpoint list, or a failed call for one."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
