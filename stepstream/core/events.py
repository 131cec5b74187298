"""Events: what fronts, carriers, endpoint sources and subsystems report to the core.

Any thread may create one and post it to the node's event queue; none is changed afterwards. The
decision thread takes them from the queue and hands them to `Dispatcher.handle` in their order.
Events that the core does not handle itself pass to the policy as they are. Times are microseconds
on the node's clock.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.requests import Call, Request
from stepstream.model.events import AttemptResult, HealthChecked, SettingsChanged

if TYPE_CHECKING:  # loaded only where there are operators
    from stepstream.core.maintenance import MaintenanceState


class JobStatus(Enum):
    """The status of a job in a worker's notification; the values are the platform's words."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # the worker gave the job back without having run it
    LOST = "lost"  # the worker has lost the job; it may have run


# How a call ends by a notification that the job ended without a result.
RESULT_BY_STATUS = {
    JobStatus.FAILED: AttemptResult.ERROR,
    JobStatus.RETURNED: AttemptResult.FULL,
    JobStatus.LOST: AttemptResult.RESET,
}


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A front has read a complete request; sent by the thread of its connection."""

    request: Request


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected or withdrawn the job; sent by the thread of its front."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestFaulted:
    """A front failed on this request and will not answer it; sent by the thread that failed."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended without its worker taking the job; sent by the carrier's thread."""

    call: Call
    result: AttemptResult
    load_report: dict[str, float] | None = None  # the worker's load by name, if its answer has it


@dataclass(frozen=True, slots=True)
class CallTimeoutSet:
    """A worker has set a time limit to a call that it has begun; sent by the carrier's thread."""

    call: Call
    at_us: int  # past it the call has timed out


@dataclass(frozen=True, slots=True)
class JobNotification:
    """A worker's notification of a job; sent by the thread that received it.

    It may come before the worker's response to the call, more than once, or from before a restart.
    """

    request_id: str
    worker_id: str
    status: JobStatus
    result: object = None  # of DONE: JSON value or `ports.payload.ChunkedResult`
    progress: tuple[int, int] | None = None  # of RUNNING: parts complete, parts in all
    forwarded: bool = False  # came from the sibling process of a hot restart
    load_report: dict[str, float] | None = None  # the worker's load by name, where it ends a call


@dataclass(frozen=True, slots=True)
class MaintenanceChanged:
    """Operators have changed the maintenance state; sent by the admin listener's thread."""

    state: "MaintenanceState"  # the complete new state


@dataclass(frozen=True, slots=True)
class SiblingProcessChanged:
    """A sibling process of a hot restart has come or gone; sent by the admin listener's thread.

    While there is one, notifications of requests unknown here are forwarded to it.
    """

    present: bool


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends soon; sent by the main thread.

    Every request that is open or still comes is answered by the deadline.
    """

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
