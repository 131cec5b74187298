"""Actions: what the policy instructs the dispatcher to do."""

from enum import IntEnum

from stepstream.model.records import record


class TimerToken(IntEnum):
    """What a timer is for. The simulator's wire carries these numbers."""

    PERIODIC_TASKS = 0
    POLL_ENDPOINTS = 1
    WAIT_EXPIRED = 2  # a job has waited for headroom for as long as it may
    START_DUE = 3  # an attempt should have started by now


@record
class StartAttempt:
    """Send a job to a worker; a job's attempts are numbered 0, 1, 2 ... in the order of sending."""

    job_id: str
    worker_id: str
    timeout_us: int = 0  # 0: until the client gives up


@record
class Reject:
    """Reject a job as its final answer: it never ran, or another run is harmless."""

    job_id: str
    retry_after_us: int = 0


@record
class Fail:
    """Fail a job as its final answer: it may have run, and another run may do harm."""

    job_id: str


@record
class CancelAttempt:
    """Cancel a waiting or running attempt; the attempt's end is reported in any case."""

    job_id: str
    attempt_number: int


@record
class CheckHealth:
    """Ask a worker for its health and load."""

    worker_id: str


@record
class SetTimer:
    """Set a timer: the dispatcher notifies the policy at this time by `TimerFired`."""

    token: TimerToken
    at_us: int


@record
class WatchEndpoints:
    """Poll for changes of the endpoint list."""

    active: bool = True


@record
class FetchEndpoints:
    """Fetch the complete endpoint list once. The simulator's wire has it; no rule uses it."""


@record
class WriteLog:
    """Write a line to the log. The simulator's wire has it; no rule uses it."""

    text: str


PolicyAction = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | CheckHealth
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | WriteLog
)
