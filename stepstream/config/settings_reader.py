"""The reader of settings: dotted pairs from the simulator, nested JSON from a deployment.

Both become `model.settings.Settings` by the same checks and defaults, so that a key has the same
meaning in both. Only this module translates the platform's keys into the program's names. Each
section function reads the keys of its section and returns the settings with their values filled
in; for a faulty value it raises a `ConfigurationError` that names the key.

Some keys are accepted and checked but have no effect, because no rule reads their fields:
`deductions.probe`, `safety.stop_sending_within_us`, `safety.grace_to_answer_us`, and the classes'
`aim_stretch` and `extra.class_stretch`. They count only in the settings digest, by which members
compare their settings; `model.settings` names the fields.
"""

from dataclasses import replace
from math import inf

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields
from stepstream.model.settings import Effect, JobClass, KeyScope, LoadReportSource, Settings

# The platform's words for each choice, with the program's values for them.
EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": Effect.NOT_IDEMPOTENT,
}
KEY_SCOPES = {scope.value: scope for scope in KeyScope}
LOAD_REPORT_SOURCES = {source.value: source for source in LoadReportSource}

ANY_WORKER_KIND = -1
# Load report columns without a fixed meaning; `extra.report_x0` and `extra.report_x1` set it.
UNNAMED_COLUMNS = ("x0", "x1")

DEFAULT_POLL_INTERVAL_US = 10_000_000
DEFAULT_OVERLOAD_WINDOW_US = 1_000_000
DEFAULT_SCHEDULING_QUANTUM_US = 1_000
DEFAULT_WORKER_IDLE_TIMEOUT_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_MAX_OPEN_REQUESTS = 20_000


def read_settings(fields: SettingsFields) -> Settings:
    """Read all settings of a deployment; `ConfigurationError` names the first key at fault."""
    settings = Settings(classes=read_job_classes(fields))
    for read_section in (
        read_load_report,
        read_tenants,
        read_topology,
        read_discovery,
        read_retries,
        read_prices,
        read_safety,
        read_connection_limits,
    ):
        settings = read_section(fields, settings)
    return settings


# -- services -------------------------------------------------------------------------------------


def read_job_classes(fields: SettingsFields) -> tuple[JobClass, ...]:
    """Read `services`, the job classes, and the lists of `extra` with a value for each class."""
    count = fields.integer_at_least("services.count", 1)
    worker_kinds, stretches = read_class_columns(fields, count)
    return tuple(
        read_job_class(fields, f"services.{position}", worker_kind, stretch)
        for position, (worker_kind, stretch) in enumerate(zip(worker_kinds, stretches, strict=True))
    )


def read_class_columns(fields: SettingsFields, count: int) -> tuple[list[int], list[float]]:
    """Read the worker kind and the objective stretch of each of the `count` classes."""
    try:
        worker_kinds = [int(kind) for kind in fields.comma_separated("extra.class_kind")]
        stretches = [float(stretch) for stretch in fields.comma_separated("extra.class_stretch")]
    except ValueError:
        raise ConfigurationError(
            "extra.class_kind or extra.class_stretch is not a list of numbers"
        ) from None
    if not worker_kinds:
        worker_kinds = [ANY_WORKER_KIND] * count
    if not stretches:
        stretches = [
            fields.number(f"services.{position}.aim_stretch", 0.0) for position in range(count)
        ]
    if len(worker_kinds) != count or len(stretches) != count:
        raise ConfigurationError(
            "extra.class_kind or extra.class_stretch does not match services.count"
        )
    return worker_kinds, stretches


def read_job_class(
    fields: SettingsFields, path: str, worker_kind: int, objective_stretch: float
) -> JobClass:
    """Read the job class whose keys begin with `path`."""
    deadline_us = fields.integer_at_least(f"{path}.deadline_us", 1)
    effect = fields.choice(f"{path}.effect", EFFECTS, "side_effect")
    key_scope = KeyScope.CELL
    if effect is Effect.IDEMPOTENT_WITH_KEY:
        key_scope = fields.choice(f"{path}.key_scope", KEY_SCOPES, "cell")
    return JobClass(
        latency_objective_us=fields.integer_at_least(f"{path}.goal_time_us", 1, deadline_us),
        deadline_us=deadline_us,
        effect=effect,
        priority_weight=fields.number(f"{path}.worth", 1.0),
        late_weight_fraction=fields.number(f"{path}.late_worth", 0.0),
        objective_stretch=objective_stretch,
        key_scope=key_scope,
        # With a window of 0 no retry falls inside it, and none is sent.
        idempotency_window_us=fields.integer_at_least(f"{path}.window_us", 0, 0),
        worker_kind=worker_kind,
        name=fields.text(f"{path}.name", ""),
    )


# -- the other sections ---------------------------------------------------------------------------


def read_load_report(fields: SettingsFields, settings: Settings) -> Settings:
    """Read `load_report`: where workers' load reports come from and what their columns mean."""
    names = fields.comma_separated("load_report.columns")
    meanings = [column_meaning(fields, name) for name in names]
    for name, meaning in zip(names, meanings, strict=True):
        if names.count(name) > 1 or meanings.count(meaning) > 1:
            raise ConfigurationError(f"load_report.columns names {name} twice")
    return replace(
        settings,
        load_report_source=fields.choice("load_report.how", LOAD_REPORT_SOURCES, "none"),
        load_report_columns=tuple(meanings),
        load_report_names=tuple(names),
        reports_start=fields.flag("extra.tells_start"),
    )


def column_meaning(fields: SettingsFields, column: str) -> str:
    """Return the meaning that the settings assign to a column, its words joined by underscores."""
    meaning = column
    if column in UNNAMED_COLUMNS:
        meaning = fields.text(f"extra.report_{column}", column)
    return "_".join(meaning.split()) or column


def read_tenants(fields: SettingsFields, settings: Settings) -> Settings:
    """Read `projects`: the tenants and their quotas, in jobs a second."""
    paths = [f"projects.{position}" for position in range(fields.integer("projects.count", 0))]
    return replace(
        settings,
        quotas_per_s=tuple(fields.number(f"{path}.quota_per_s", 0.0) for path in paths),
        over_quota_weight_fraction=fields.number("over_share_worth", 1.0),
        tenants=tuple(fields.text(f"{path}.name", "") for path in paths),
    )


def read_topology(fields: SettingsFields, settings: Settings) -> Settings:
    """Read the count of dispatchers, this one's zone, and the names of zones and worker kinds."""
    return replace(
        settings,
        dispatcher_count=fields.integer_at_least("fleet_size", 1, 1),
        zone=fields.integer("zone", 0),
        zones=tuple(fields.comma_separated("zones")),
        worker_kinds=tuple(fields.comma_separated("kinds")),
    )


def read_discovery(fields: SettingsFields, settings: Settings) -> Settings:
    """Read `discovery` and how often the endpoint list must be polled."""
    return replace(
        settings,
        polls_endpoints=fields.text("discovery", "automatic") == "subscribe",
        endpoint_poll_interval_us=fields.integer_at_least(
            "safety.must_ask_in_us", 0, DEFAULT_POLL_INTERVAL_US
        ),
    )


def read_retries(fields: SettingsFields, settings: Settings) -> Settings:
    """Read the keys of `limits` that say what the policy may do with one job."""
    return replace(
        settings,
        attempt_limit=fields.integer_at_least("limits.try_limit", 1, 1),
        may_check_health=fields.flag("limits.probing"),
        may_cancel=fields.flag("limits.cancelling"),
        may_hedge=fields.flag("limits.may_duplicate"),
        may_advise_retry=fields.flag("limits.retry_after"),
        max_retry_after_us=fields.integer_at_least("limits.max_retry_after_us", 0, 0),
    )


def read_prices(fields: SettingsFields, settings: Settings) -> Settings:
    """Read `deductions`: what decisions deduct from a job's weight."""
    return replace(
        settings,
        cross_zone_price=fields.number("deductions.cross_zone", 0.0),
        handshake_price=fields.number("deductions.handshake", 0.0),
        health_check_price=fields.number("deductions.probe", 0.0),
    )


def read_safety(fields: SettingsFields, settings: Settings) -> Settings:
    """Read `safety`, the bounds on draining, slow start and overload, and `quantum_us`."""
    return replace(
        settings,
        drain_grace_us=fields.integer_at_least("safety.stop_sending_within_us", 0, 0),
        cold_capacity_fraction=fields.number_between("safety.cold_share", 0, 1, 1.0),
        slow_start_us=fields.integer_at_least("safety.warm_within_us", 0, 0),
        # With a multiple of 0 a worker gets no job while it is warming up.
        overload_multiple=fields.number_between("safety.fall_multiple", 0, inf, 1.0),
        overload_window_us=fields.integer_at_least(
            "safety.tip_after_us", 0, DEFAULT_OVERLOAD_WINDOW_US
        ),
        answer_grace_us=fields.integer_at_least("safety.grace_to_answer_us", 0, 0),
        scheduling_quantum_us=fields.integer("quantum_us", DEFAULT_SCHEDULING_QUANTUM_US),
    )


def read_connection_limits(fields: SettingsFields, settings: Settings) -> Settings:
    """Read the keys of `limits` on connections and requests, which the simulator does not need."""
    return replace(
        settings,
        worker_idle_timeout_us=fields.integer_at_least(
            "limits.conn_idle_us", 0, DEFAULT_WORKER_IDLE_TIMEOUT_US
        ),
        connect_timeout_us=fields.integer_at_least(
            "limits.dial_timeout_us", 1, DEFAULT_CONNECT_TIMEOUT_US
        ),
        max_open_requests=fields.integer_at_least("limits.max_open", 1, DEFAULT_MAX_OPEN_REQUESTS),
    )
