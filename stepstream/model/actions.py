"""Actions: what the policy instructs the dispatcher to do."""

from enum import IntEnum

from stepstream.model.records import record


class TimerToken(IntEnum):
    """What a timer is for. The simulator's wire carries these numbers."""

    PERIODIC_TASKS = 0
    POLL_ENDPOINTS = 1
    WAIT_EXPIRED = 2  # the wait of a job for headroom has ended
    START_DUE = 3  # an attempt should have started by now


@record
class StartAttempt:
    """Start an attempt; attempts of a job count 0, 1, 2 ... in the order of their starts."""

    job_id: str
    worker_id: str
    timeout_us: int = 0  # 0: until the client gives up


@record
class Reject:
    """A final answer that promises: the job never ran, or a repeat is harmless."""

    job_id: str
    retry_after_us: int = 0


@record
class Fail:
    """A final answer that promises nothing."""

    job_id: str


@record
class CancelAttempt:
    """Cancel an attempt, whether it waits or runs; its end is reported in any case."""

    job_id: str
    attempt_number: int


@record
class CheckHealth:
    """Ask a worker for its health and load."""

    worker_id: str


@record
class SetTimer:
    """Report at this time that a timer has fired."""

    token: TimerToken
    at_us: int


@record
class WatchEndpoints:
    """Poll for changes of the endpoint list."""

    active: bool = True


@record
class FetchEndpoints:
    """Call for the complete endpoint list once. The wire has it; no rule uses it yet."""


@record
class WriteLog:
    """Write a line to the log. The wire has it; no rule uses it yet."""

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
