"""Events: what the dispatcher notifies the policy of."""

from enum import Enum

from stepstream.model.endpoints import EndpointList
from stepstream.model.records import record
from stepstream.model.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended. The last three prove that the job never ran on that worker."""

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
        """Return whether this result proves that the job never ran on that worker."""
        return self in (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)

    @property
    def reflects_health(self) -> bool:
        """Return whether this result says anything about the worker's health."""
        neutral = (AttemptResult.FULL, AttemptResult.NOT_SENT, AttemptResult.CANCELLED)
        return self not in neutral


@record
class JobSubmitted:
    """A job has arrived."""

    job_id: str
    job_class: int
    budget_us: int  # time left before the client gives up
    tenant: int = 0
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False


@record
class AttemptEnded:
    """An attempt is over."""

    job_id: str
    attempt_number: int
    worker_id: str
    result: AttemptResult
    elapsed_us: int = 0
    job_answered: bool = False  # the client has its answer, from this attempt or an earlier one
    load_report: dict[str, float] | None = None


@record
class AttemptStarted:
    """The job has begun to run on the worker."""

    job_id: str
    attempt_number: int
    worker_id: str


@record
class HealthChecked:
    """A health check of a worker has ended, with or without an answer."""

    worker_id: str
    healthy: bool
    elapsed_us: int = 0
    load_report: dict[str, float] | None = None


@record
class JobAbandoned:
    """The policy need not answer the job any more.

    The job's client has disconnected, or the dispatcher has answered the job itself.
    """

    job_id: str


@record
class AnswerDue:
    """The job has to be answered now to meet its deadline; no attempt of the job is open."""

    job_id: str


@record
class EndpointCallFailed:
    """A call for the endpoint list has failed, so the list may be outdated."""

    unconfirmed_us: int = 0  # for how long before the failure the list may have been outdated


@record
class EndpointListConfirmed:
    """A call for the endpoint list was answered: the list is current, changed or not."""


@record
class ConnectionRefused:
    """A worker's machine has refused a connection, so the worker's process has ended."""

    worker_id: str


@record
class TimerFired:
    """A timer that the policy had set has fired."""

    token: int  # the TimerToken that it was set with


@record
class SettingsChanged:
    """The settings were replaced; what was learned of classes and tenants is kept by name."""

    settings: Settings


PolicyEvent = (
    EndpointList
    | JobSubmitted
    | AttemptEnded
    | AttemptStarted
    | HealthChecked
    | JobAbandoned
    | AnswerDue
    | EndpointCallFailed
    | EndpointListConfirmed
    | ConnectionRefused
    | TimerFired
    | SettingsChanged
)
