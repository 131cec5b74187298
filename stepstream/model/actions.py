"""Actions: what the policy asks the dispatcher to do."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class StartAttempt:
    """Start an attempt; attempts of a job count 0, 1, 2 ... in the order of their pushes."""

    job_id: str
    worker_id: str
    timeout_us: int = 0  # 0: until the client gives up


@dataclass(frozen=True)
class Reject:
    """A final answer that promises the job never ran (or may be repeated without harm)."""

    job_id: str
    retry_after_us: int = 0


@dataclass(frozen=True)
class Fail:
    """A final answer that promises nothing."""

    job_id: str


@dataclass(frozen=True)
class CancelAttempt:
    job_id: str
    attempt_number: int


@dataclass(frozen=True)
class CheckHealth:
    worker_id: str


@dataclass(frozen=True)
class SetTimer:
    token: int
    at_us: int


@dataclass(frozen=True)
class WatchEndpoints:
    """Ask for the worker list's changes from here on."""

    active: bool = field(default=True)


@dataclass(frozen=True)
class FetchEndpoints:
    """Ask for the complete worker list once."""


@dataclass(frozen=True)
class WriteLog:
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
