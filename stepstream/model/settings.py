"""Settings of one deployment, as the policy and the dispatcher read them.

Times are whole microseconds on the caller's monotonic clock.

Four fields have no effect: `JobClass.objective_stretch`, `Settings.health_check_price`,
`Settings.drain_grace_us` and `Settings.answer_grace_us`. Their keys are valid and checked, and
members compare their values by the settings digest, but no decision reads them. The order of the
fields is part of the digest too.
"""

from enum import Enum, StrEnum

from stepstream.model.records import record


class Effect(Enum):
    """Whether a job of a class may run more than once."""

    IDEMPOTENT = "safe"  # may be repeated freely
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats are dropped inside the key's scope and window
    NOT_IDEMPOTENT = "unsafe"  # must never run twice


class KeyScope(StrEnum):
    """Where workers recognize an idempotency key: they drop repeats inside this scope."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(StrEnum):
    """Where workers' load reports come from."""

    ANSWERS = "answers"  # in answers and health checks
    PROBE = "probe"  # in health checks only
    NONE = "none"


@record
class JobClass:
    """Settings of one job class."""

    latency_objective_us: int  # an answer within it earns the full weight
    deadline_us: int
    effect: Effect = Effect.NOT_IDEMPOTENT
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0  # fraction earned after the objective and before the deadline
    objective_stretch: float = 0.0  # no effect
    key_scope: KeyScope = KeyScope.CELL  # only where idempotent with a key
    idempotency_window_us: int = 0  # from the first attempt; only where idempotent with a key
    worker_kind: int = -1  # the only worker kind that runs it; -1: any kind
    name: str = ""


@record
class Settings:
    """Settings of one deployment; counts, prices and permissions as its platform states them."""

    classes: tuple[JobClass, ...]
    quotas_per_s: tuple[float, ...] = ()  # by tenant, for all dispatchers together
    over_quota_weight_fraction: float = 1.0
    dispatcher_count: int = 1  # dispatchers that share the workers, this one included
    zone: int = 0
    polls_endpoints: bool = False  # False: the endpoint list is pushed
    endpoint_poll_interval_us: int = 10_000_000
    attempt_limit: int = 1  # attempts of one job, the first one included
    may_check_health: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    may_advise_retry: bool = False
    max_retry_after_us: int = 0
    load_report_source: LoadReportSource = LoadReportSource.NONE
    load_report_columns: tuple[str, ...] = ()  # by meaning: "queue", "free_slots"
    reports_start: bool = False
    cross_zone_price: float = 0.0
    health_check_price: float = 0.0  # no effect
    handshake_price: float = 0.0
    drain_grace_us: int = 0  # no effect
    cold_capacity_fraction: float = 1.0  # of a worker that has just started
    slow_start_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    scheduling_quantum_us: int = 1_000
    # The policy does not read the fields from here on.
    load_report_names: tuple[str, ...] = ()  # the columns' names in load reports
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    worker_kinds: tuple[str, ...] = ()
    answer_grace_us: int = 0  # no effect
    worker_idle_timeout_us: int = 10_000_000  # after it a worker closes an idle connection
    connect_timeout_us: int = 250_000
    max_open_requests: int = 20_000

    def tenant_name(self, tenant: int) -> str:
        """Return the tenant's name, or "" for one that the settings do not name."""
        return self.tenants[tenant] if 0 <= tenant < len(self.tenants) else ""

    @property
    def class_names(self) -> tuple[str, ...]:
        """Return the names of the classes in their order."""
        return tuple(job_class.name for job_class in self.classes)
