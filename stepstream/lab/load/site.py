"""Read a site file: the ranges and settings of the workers, the load and the faults of a run.

The keys of a site file, and the values of its enumerations, have the platform's spelling. Each
class below is one table of the file; `name=` gives the key of a field whose name differs from it.
`scenario.generate_scenario` generates a run from a `Site`, and `dispatcher_settings` derives what
the dispatcher reads.
"""

import tomllib
from enum import Enum
from importlib.resources import files
from pathlib import Path
from typing import Annotated

import msgspec

from stepstream.config.errors import ConfigurationError

BUNDLED_SITES = ("small", "probed")  # the site files that come with the program

Range = tuple[float, float]  # low and high end of a uniform draw
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class JobEffect(Enum):
    """Whether a job may run more than once."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"  # for one key, in the class's window and one cell
    NOT_IDEMPOTENT = "side_effect"


class WorkerFaultKind(Enum):
    """A kind of fault of a worker."""

    CRASH = "crash"  # the process ends at once, and restarts at the end of the fault
    DRAIN = "drain"  # the process drains and ends, and restarts after the fault's duration
    SLOW = "slow"  # the worker works more slowly
    ERRORS = "errors"  # a fraction of the tasks fails as soon as the worker receives them


class EndpointSource(Enum):
    """Where the dispatcher gets its endpoint list."""

    POLLED = "asked"  # the dispatcher polls discovery
    PUSHED = "pushed"  # an agent on the dispatcher's machine keeps the list up to date


class LoadReports(Enum):
    """Where workers report their load."""

    NONE = "none"
    HEALTH_CHECKS = "probe"
    RESPONSES = "answers"


class WeightBasis(Enum):
    """The unit to which the priority weight of a job class applies."""

    REQUEST = "request"  # each request counts the same
    WORK = "work"  # each request counts in proportion to its work


class SiteTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables of a site file."""


class WorkerKindTable(SiteTable, frozen=True, kw_only=True):
    """A kind of worker, drawn with a probability in proportion to `share`."""

    name: str
    share: Positive
    cores: Annotated[int, msgspec.Meta(ge=1)]
    speed: Range  # of a core, relative to the reference core's 1
    queue_capacity: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(name="queue")


class JobClassTable(SiteTable, frozen=True, kw_only=True):
    """A job class: its share of the load, its work, and its settings at the dispatcher.

    The latency objective of a job is `latency_objective_ms` plus `stretch` times its own work.
    """

    name: str
    share: Positive
    work_ms: Positive  # mean, on a core of speed 1
    cv: Positive  # coefficient of variation of the lognormal work
    latency_objective_ms: Positive = msgspec.field(name="aim_ms")
    stretch: float = 0.0
    deadline_ms: Positive
    priority_weight: Positive = msgspec.field(name="worth")
    effect: JobEffect
    window_ms: int = 0  # how long workers remember an idempotency key
    two_slots_fraction: Fraction = msgspec.field(default=0.0, name="two_slots")


class TenantTable(SiteTable, frozen=True, kw_only=True):
    """A tenant and its share of the load."""

    name: str
    share: Fraction


class WorkerFaultTable(SiteTable, frozen=True, kw_only=True):
    """A fault that hits a random part of the workers at a given time."""

    kind: WorkerFaultKind
    start_fraction: Fraction = msgspec.field(name="at")  # of the run
    duration_fraction: Fraction = msgspec.field(name="length")  # of the run
    worker_fraction: Fraction = msgspec.field(name="part")
    size: float = 1.0  # SLOW: factor of slowness; ERRORS: fraction of tasks that fail


class Site(SiteTable, frozen=True, kw_only=True):
    """A whole site file."""

    worker_count: Annotated[int, msgspec.Meta(ge=2, le=1024)] = msgspec.field(name="nodes")
    cell_size: Annotated[int, msgspec.Meta(ge=1)]  # workers in a cell
    zones: tuple[str, ...]
    load: Positive  # ratio of the requested work to the workers' capacity
    discovery_delay_ms: Range = msgspec.field(name="notice_ms")  # until a change is listed
    # Capacity of a worker that has just started, as a fraction of its full capacity.
    initial_capacity_fraction: Fraction = msgspec.field(name="cold_share")
    slow_start_ms: int = msgspec.field(name="warm_ms")  # from a start to full capacity
    # A worker in slow start fails if the work offered within the window exceeds this multiple of
    # what it can do in that time.
    overload_multiple: Positive = msgspec.field(name="fall_multiple")
    overload_window_ms: int = msgspec.field(name="fall_span_ms")
    drain_grace_ms: int
    error_rate: Fraction  # fraction of the jobs that fail at their end
    retries: int  # of one request by its client, at most
    backoff_ms: float  # how long the client waits before a retry, at least
    worker_kinds: tuple[WorkerKindTable, ...] = msgspec.field(name="kind")
    job_classes: tuple[JobClassTable, ...] = msgspec.field(name="job")
    tenants: tuple[TenantTable, ...] = msgspec.field(name="tenant")
    faults: tuple[WorkerFaultTable, ...] = msgspec.field(default=(), name="fault")
    endpoint_source: EndpointSource = msgspec.field(default=EndpointSource.POLLED, name="lists")
    load_reports: LoadReports = msgspec.field(default=LoadReports.NONE, name="reports")
    load_report_interval_ms: NonNegative = msgspec.field(default=50.0, name="report_ms")
    # Work of a health check, on a core of speed 1.
    health_check_work_ms: NonNegative = msgspec.field(default=0.0, name="probe_work_ms")
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(default=4, name="attempts")
    may_hedge: bool = msgspec.field(default=True, name="second_copies")
    marks_retries: bool = False  # whether clients send Client-Retry with a retry
    weight_by: WeightBasis = msgspec.field(default=WeightBasis.REQUEST, name="worth_by")


def read_site(path: str | None = None, name: str = BUNDLED_SITES[0]) -> Site:
    """Read the site file at `path` or, without one, the bundled site called `name`.

    Raises ConfigurationError, naming the file and the key, if the name is unknown or the file is
    missing or malformed.
    """
    if name not in BUNDLED_SITES:
        raise ConfigurationError(f"--site={name} is none of {', '.join(BUNDLED_SITES)}")
    source = path or f"{name}.toml"
    try:
        file = Path(path) if path else files(__package__) / source
        return msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Site)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"site file {source}: {error}") from error
