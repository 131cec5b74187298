"""Endpoints: the workers that a source of endpoints lists."""

from enum import Enum

from stepstream.model.records import record


class EndpointState(Enum):
    """Whether a worker may get new jobs. The values are the simulator's words."""

    ACTIVE = "in"
    DRAINING = "draining"
    REMOVED = "out"


class EndpointListKind(Enum):
    """What an endpoint list says about workers that it does not name."""

    CHANGES = "changes"  # they stay as they are
    COMPLETE = "complete"  # they are removed
    PERSISTED = "persisted"  # they are removed; the list is from before a restart, maybe old
    FAILED = "failed"  # they stay; a call for the list has failed, and it has no endpoints


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
    # Names, as CLASS or TENANT/CLASS; None: every class of its kind.
    supported_jobs: frozenset[str] | None = None


@record
class EndpointList:
    """An endpoint list, or a failed call for one."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
