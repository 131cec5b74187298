"""Events: what fronts, carriers and endpoint sources tell the core."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.model.events import AttemptResult, HealthChecked, SettingsChanged

if TYPE_CHECKING:
    from stepstream.core.maintenance import MaintenanceState
from stepstream.core.requests import Call, Request


class JobStatus(Enum):
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


RESULT_BY_STATUS = {
    JobStatus.FAILED: AttemptResult.ERROR,
    JobStatus.RETURNED: AttemptResult.FULL,
    JobStatus.LOST: AttemptResult.RESET,
}


@dataclass(frozen=True, slots=True)
class RequestReceived:
    request: Request


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has closed its connection."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The exchange for a call ended without the worker taking the job."""

    call: Call
    result: AttemptResult
    load_report: dict[str, float] | None = None  # the worker's load, if its answer told


@dataclass(frozen=True, slots=True)
class MaintenanceChanged:
    """The operators' bans, whole."""

    state: "MaintenanceState"


@dataclass(frozen=True, slots=True)
class JobNotification:
    """A worker's news of a job."""

    request_id: str
    worker_id: str
    status: JobStatus
    result: object = None
    progress: tuple[int, int] | None = None  # with News.RUNNING: so much of so much is done
    forwarded: bool = False  # passed on by the process beside this one in a hot restart
    load_report: dict[str, float] | None = None  # the worker's load, with news that ends a call


@dataclass(frozen=True, slots=True)
class SiblingProcessChanged:
    """Whether a process beside this one shares the clients' address: news it does not know goes there."""

    present: bool


@dataclass(frozen=True, slots=True)
class CallTimeoutSet:
    """The worker's own bound on a call that has begun: past it the call has timed out."""

    call: Call
    at_us: int


@dataclass(frozen=True, slots=True)
class RequestFaulted:
    """A thread of the front failed on this request: it must be answered all the same."""

    request: Request


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends soon: whatever is open or still comes is answered by then."""

    deadline_us: int


Event = (
    RequestReceived
    | ClientDisconnected
    | CallEnded
    | JobNotification
    | CallTimeoutSet
    | RequestFaulted
    | EndpointsUpdated
    | MaintenanceChanged
    | SiblingProcessChanged
    | HealthChecked
    | SettingsChanged
    | ShutdownStarted
)
