"""Commands from the core to fronts, carriers and endpoint sources.

`Dispatcher.handle` returns them in the order in which they must take effect. The node executes them
on the decision thread, so no handler of a command may wait. A command that fails does not change
the core's state: the outcome of a call comes back as an event.
"""

from stepstream.core.events import JobNotification
from stepstream.core.requests import Answer, Call, Outcome, Request
from stepstream.model.records import record

__all__ = [
    "Answer",
    "CheckWorkerHealth",
    "Command",
    "ForwardNotification",
    "LogMessage",
    "Outcome",
    "PollEndpoints",
    "Progress",
    "StartCall",
    "StopCall",
]


@record
class StartCall:
    """Send a call through the carrier of its worker."""

    call: Call


@record
class StopCall:
    """Tell the carrier to stop a call that the core has ended; its later reports are ignored."""

    call: Call


@record
class Progress:
    """Report to the client that `done` of `total` parts of the job are complete."""

    request: Request
    done: int
    total: int


@record
class CheckWorkerHealth:
    """Send a health check to a worker; its result comes back as the event `HealthChecked`."""

    worker_id: str


@record
class PollEndpoints:
    """Poll discovery for the endpoint list."""

    # True: watch for changes from now on. False: fetch the complete list once. The discovery client
    # of a dispatcher ignores this field, because it always watches.
    watch: bool


@record
class LogMessage:
    """Write a line of the policy to the log."""

    text: str


@record
class ForwardNotification:
    """Forward a notification of an unknown request to the sibling process of a hot restart."""

    notification: JobNotification


Command = (
    StartCall
    | StopCall
    | Answer
    | Progress
    | CheckWorkerHealth
    | PollEndpoints
    | LogMessage
    | ForwardNotification
)
