"""Read messages of the simulator's wire as events and endpoints. The module keeps no state.

Only this module translates the names of incoming messages, pairs and values into the program's
names.
"""

from collections.abc import Callable

from stepstream.config.fields import SettingsFields
from stepstream.model.endpoints import Endpoint, EndpointListKind, EndpointState
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.simulator_adapter.errors import WireError

ATTEMPT_RESULTS = {
    "OK": AttemptResult.OK,
    "INTERNAL": AttemptResult.ERROR,
    "RESOURCE_EXHAUSTED": AttemptResult.FULL,
    "DEADLINE_EXCEEDED": AttemptResult.TIMEOUT,
    "UNAVAILABLE": AttemptResult.CONNECT_FAILED,
    "ABORTED": AttemptResult.RESET,
    "CANCELLED": AttemptResult.CANCELLED,
    "TOO_LATE": AttemptResult.NOT_SENT,
}
ENDPOINT_STATES = {
    "IN": EndpointState.ACTIVE,
    "LAME": EndpointState.DRAINING,
    "OUT": EndpointState.REMOVED,
}
LIST_KINDS = {
    "Partial": EndpointListKind.CHANGES,
    "Complete": EndpointListKind.COMPLETE,
    "Persisted": EndpointListKind.PERSISTED,
    "Error": EndpointListKind.FAILED,
}
HEALTHY = "OK"
PROGRESS_STARTED = 1  # the `kind` of a PROGRESS message that reports the start of a job


class Message:
    """One line: the message's name and its name=value pairs, which `fields` splits."""

    __slots__ = ("name", "pairs")

    def __init__(self, line: str) -> None:
        self.name, *self.pairs = line.split(" ")

    def fields(self) -> SettingsFields:
        """Split the pairs; raise ConfigurationError for one that is not name=value."""
        return SettingsFields(self.pairs)


EventReader = Callable[[SettingsFields, Settings], PolicyEvent | None]


def read_event(message: Message, settings: Settings) -> PolicyEvent | None:
    """Read an event of an instance with these settings; return None if the policy ignores it.

    Raise WireError for an unknown message and ConfigurationError for a faulty one.
    """
    fields = message.fields()
    event_reader = EVENT_READERS.get(message.name)
    if event_reader is None:
        raise WireError(f"message {message.name} is not known")
    return event_reader(fields, settings)


def read_job_submitted(fields: SettingsFields, settings: Settings) -> JobSubmitted:
    """Read a REQUEST message."""
    job_class = fields.integer("type")
    if not 0 <= job_class < len(settings.classes):
        raise WireError(f"type={job_class} is not in services")
    return JobSubmitted(
        job_id=fields.text("msg_id"),
        job_class=job_class,
        budget_us=fields.integer("budget_us"),
        tenant=fields.integer("tenant", 0),
        key=fields.values.get("path_key"),
        slots=fields.number("cores_needed", 1.0),
        memory=fields.number("ram_units", 0.0),
        client_retry=fields.flag("again_by_client"),
    )


def read_attempt_ended(fields: SettingsFields, settings: Settings) -> AttemptEnded:
    """Read an ANSWER message."""
    return AttemptEnded(
        job_id=fields.text("msg_id"),
        attempt_number=fields.integer("n", 0),
        worker_id=fields.text("runner"),
        result=fields.choice("state_code", ATTEMPT_RESULTS),
        elapsed_us=fields.integer("spent_us", 0),
        job_answered=fields.flag("finished"),
        load_report=read_load_report(fields, settings),
    )


def read_attempt_started(fields: SettingsFields, _settings: Settings) -> AttemptStarted | None:
    """Read a PROGRESS message; return None unless it reports the start of a job."""
    if fields.integer("kind", 0) != PROGRESS_STARTED:
        return None
    return AttemptStarted(
        job_id=fields.text("msg_id"),
        attempt_number=fields.integer("n", 0),
        worker_id=fields.text("runner"),
    )


def read_health_checked(fields: SettingsFields, settings: Settings) -> HealthChecked:
    """Read a SAMPLED message, the result of a health check."""
    return HealthChecked(
        worker_id=fields.text("runner"),
        healthy=fields.text("state_code", HEALTHY) == HEALTHY,
        elapsed_us=fields.integer("spent_us", 0),
        load_report=read_load_report(fields, settings),
    )


def read_job_abandoned(fields: SettingsFields, _settings: Settings) -> JobAbandoned:
    """Read a CANCELLED_BY_CLIENT message."""
    return JobAbandoned(fields.text("msg_id"))


def read_timer_fired(fields: SettingsFields, _settings: Settings) -> TimerFired:
    """Read a WAKE message."""
    return TimerFired(fields.integer("ctx"))


def ignore_event(_fields: SettingsFields, _settings: Settings) -> None:
    """Ignore a message that the policy does not use."""


EVENT_READERS: dict[str, EventReader] = {
    "REQUEST": read_job_submitted,
    "ANSWER": read_attempt_ended,
    "PROGRESS": read_attempt_started,
    "SAMPLED": read_health_checked,
    "CANCELLED_BY_CLIENT": read_job_abandoned,
    "WAKE": read_timer_fired,
    "STREAMING": ignore_event,
    "PEER": ignore_event,
}


def read_load_report(fields: SettingsFields, settings: Settings) -> dict[str, float] | None:
    """Read `gauge`: a load report's values, in the order of the settings' load report columns.

    Return None if there is no report. A column with an empty value is left out. Raise WireError if
    a value is not a number, or if there are not as many values as columns.
    """
    values = fields.comma_separated("gauge")
    if not values:
        return None
    columns = settings.load_report_columns
    if len(values) != len(columns):
        raise WireError("gauge does not match load_report.columns")
    try:
        return {
            column: float(value) for column, value in zip(columns, values, strict=True) if value
        }
    except ValueError as error:
        raise WireError("gauge is not a list of numbers") from error


def read_endpoint(message: Message) -> Endpoint:
    """Read a RUNNER message, one line of an endpoint table; raise WireError for any other."""
    if message.name != "RUNNER":
        raise WireError("a TABLE has fewer RUNNER lines than it announces")
    fields = message.fields()
    return Endpoint(
        worker_id=fields.text("runner"),
        zone=fields.integer("campus", 0),
        worker_kind=fields.integer("type", 0),
        cell=fields.integer("cluster", 0),
        state=fields.choice("mode", ENDPOINT_STATES, "IN"),
        weight=fields.number("weight", 1.0),
        started_us=fields.integer("ready_at_us", 0),
    )
