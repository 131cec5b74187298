"""Events: what the policy is told."""

from dataclasses import dataclass
from enum import Enum

from stepstream.model.endpoints import EndpointList
from stepstream.model.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended. The last three prove that the job never ran there."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        return self in (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


@dataclass(frozen=True)
class JobSubmitted:
    job_id: str
    job_class: int
    budget_us: int  # time left before the client gives up
    tenant: int = 0
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False


@dataclass(frozen=True)
class AttemptEnded:
    job_id: str
    attempt_number: int
    worker_id: str
    result: AttemptResult
    elapsed_us: int = 0
    job_answered: bool = False  # the client has its answer, by this attempt or before it
    load_report: dict[str, float] | None = None


@dataclass(frozen=True)
class AttemptStarted:
    """The job has begun to run on the worker."""

    job_id: str
    attempt_number: int
    worker_id: str


@dataclass(frozen=True)
class HealthChecked:
    worker_id: str
    healthy: bool
    elapsed_us: int = 0
    load_report: dict[str, float] | None = None


@dataclass(frozen=True)
class JobAbandoned:
    """No answer is owed any more."""

    job_id: str


@dataclass(frozen=True)
class TimerFired:
    token: int


@dataclass(frozen=True)
class SettingsChanged:
    """The settings were replaced: what was learned stays, by the names of classes and tenants."""

    settings: Settings


PolicyEvent = (
    EndpointList
    | JobSubmitted
    | AttemptEnded
    | AttemptStarted
    | HealthChecked
    | JobAbandoned
    | TimerFired
    | SettingsChanged
)
