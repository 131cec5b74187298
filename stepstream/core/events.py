"""Events: the reports of fronts, carriers, endpoint sources and subsystems to the core.

Any thread may create an event and post it to the node's event queue. An event never changes
afterwards. The decision thread passes events to `Dispatcher.handle` in the order of the queue. The
core forwards events that it does not handle itself to the policy. Times are microseconds on the
node's clock.
"""

from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.requests import Call, MemoryReservation, Request
from stepstream.model.events import (
    AttemptResult,
    ConnectionRefused,
    EndpointCallFailed,
    EndpointListConfirmed,
    HealthChecked,
    SettingsChanged,
)
from stepstream.model.records import record

if TYPE_CHECKING:  # loaded only where there are operators
    from stepstream.core.maintenance import MaintenanceState


class JobStatus(Enum):
    """The status of a job in a worker's notification; the values are the wire names."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # the worker has returned the job without running it
    LOST = "lost"  # the worker has lost the job; it may have run


# The result of a call whose job ended without a result, by the status in the notification.
RESULT_BY_STATUS = {
    JobStatus.FAILED: AttemptResult.ERROR,
    JobStatus.RETURNED: AttemptResult.FULL,
    JobStatus.LOST: AttemptResult.RESET,
}


@record
class RequestReceived:
    """A front has read a complete request; sent by the thread of its connection."""

    request: Request


@record
class ClientDisconnected:
    """The client has disconnected or withdrawn the job; sent by the thread of its front."""

    request: Request


@record
class RequestFaulted:
    """A front failed on this request and will not answer it; sent by the thread that failed."""

    request: Request


@record
class CallEnded:
    """A call ended without a result of its worker; sent by the carrier's thread."""

    call: Call
    result: AttemptResult
    load_report: dict[str, float] | None = None  # the worker's load by name, if it reported it


@record
class CallTimeoutSet:
    """A worker has set a timeout for a call that it has begun; sent by the carrier's thread."""

    call: Call
    at_us: int  # when the call times out


@record
class JobNotification:
    """A worker's notification of a job; sent by the thread that received it.

    It may arrive before the worker's response to the call, more than once, or after a restart of
    this process.
    """

    request_id: str
    worker_id: str
    status: JobStatus
    result: object = None  # for DONE: JSON value or `core.job_results.ChunkedResult`
    progress: tuple[int, int] | None = None  # for RUNNING: complete parts, all parts
    forwarded: bool = False  # received from the sibling process of a hot restart
    load_report: dict[str, float] | None = None  # the worker's load by name, if it ends a call
    # Of the result, while it waits; set by the front and released with the notification.
    reservation: MemoryReservation | None = field(default=None, compare=False)


@record
class MaintenanceChanged:
    """Operators have changed the maintenance state; sent by the admin listener's thread."""

    state: "MaintenanceState"  # the complete new state


@record
class SiblingProcessChanged:
    """A sibling process of a hot restart has started or ended.

    Sent by the admin listener's thread. While a sibling process is present, notifications of
    unknown requests are forwarded to it.
    """

    present: bool


@record
class ShutdownStarted:
    """The process is about to end; sent by the main thread.

    Every request that is open or arrives later is answered by the deadline.
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
    | EndpointCallFailed
    | EndpointListConfirmed
    | ConnectionRefused
    | MaintenanceChanged
    | SiblingProcessChanged
    | HealthChecked
    | SettingsChanged
    | ShutdownStarted
)
