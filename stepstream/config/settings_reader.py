"""The one reader of settings: dotted pairs from the simulator's wire, nested JSON from a deployment.

Both become `model.settings.Settings` by the same checks and defaults, so that a key means one thing.
"""

from math import inf

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields
from stepstream.model.settings import Effect, JobClass, Settings

REPORTS = {how: how for how in ("answers", "probe", "none")}


SCOPES = {scope: scope for scope in ("all", "zone", "cell")}


EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": Effect.NOT_IDEMPOTENT,
}


def read_settings(fields: SettingsFields) -> Settings:
    count = fields.integer_at_least("services.count", 1)
    try:
        kinds = [int(x) for x in fields.comma_separated("extra.class_kind")] or [-1] * count
        stretches = [float(x) for x in fields.comma_separated("extra.class_stretch")]
    except ValueError:
        raise ConfigurationError(
            "extra.class_kind or extra.class_stretch is not a list of numbers"
        ) from None
    stretches = stretches or [fields.number(f"services.{k}.aim_stretch", 0.0) for k in range(count)]
    if len(kinds) != count or len(stretches) != count:
        raise ConfigurationError(
            "extra.class_kind or extra.class_stretch does not match services.count"
        )

    def job_class(k: int) -> JobClass:
        at = f"services.{k}."
        deadline = fields.integer_at_least(at + "deadline_us", 1)
        effect = fields.choice(at + "effect", EFFECTS, "side_effect")
        keyed = effect is Effect.IDEMPOTENT_WITH_KEY  # to the others a scope means nothing
        scope = fields.choice(at + "key_scope", SCOPES, "cell") if keyed else "cell"
        return JobClass(
            latency_objective_us=fields.integer_at_least(at + "goal_time_us", 1, deadline),
            deadline_us=deadline,
            effect=effect,
            priority_weight=fields.number(at + "worth", 1.0),
            late_weight_fraction=fields.number(at + "late_worth", 0.0),
            objective_stretch=stretches[k],
            key_scope=scope,
            # Of 0: no repeat is inside it, and none is sent.
            idempotency_window_us=fields.integer_at_least(at + "window_us", 0, 0),
            worker_kind=kinds[k],
            name=fields.text(at + "name", ""),
        )

    names = fields.comma_separated("load_report.columns")
    columns = [report_name(fields, name) for name in names]
    for name, meaning in zip(names, columns, strict=True):
        if names.count(name) > 1 or columns.count(meaning) > 1:
            raise ConfigurationError(f"load_report.columns names {name} twice")
    return Settings(
        classes=tuple(job_class(k) for k in range(count)),
        quotas_per_s=tuple(
            fields.number(f"projects.{k}.quota_per_s", 0.0)
            for k in range(fields.integer("projects.count", 0))
        ),
        over_quota_weight_fraction=fields.number("over_share_worth", 1.0),
        dispatcher_count=fields.integer_at_least("fleet_size", 1, 1),
        zone=fields.integer("zone", 0),
        polls_endpoints=fields.text("discovery", "automatic") == "subscribe",
        endpoint_poll_interval_us=fields.integer_at_least("safety.must_ask_in_us", 0, 10_000_000),
        attempt_limit=fields.integer_at_least("limits.try_limit", 1, 1),
        may_check_health=fields.flag("limits.probing"),
        may_cancel=fields.flag("limits.cancelling"),
        may_hedge=fields.flag("limits.may_duplicate"),
        may_advise_retry=fields.flag("limits.retry_after"),
        max_retry_after_us=fields.integer_at_least("limits.max_retry_after_us", 0, 0),
        load_report_source=fields.choice("load_report.how", REPORTS, "none"),
        load_report_columns=tuple(columns),
        load_report_names=tuple(names),
        reports_start=fields.flag("extra.tells_start"),
        cross_zone_price=fields.number("deductions.cross_zone", 0.0),
        handshake_price=fields.number("deductions.handshake", 0.0),
        health_check_price=fields.number("deductions.probe", 0.0),
        drain_grace_us=fields.integer_at_least("safety.stop_sending_within_us", 0, 0),
        cold_capacity_fraction=fields.number_between("safety.cold_share", 0, 1, 1.0),
        slow_start_us=fields.integer_at_least("safety.warm_within_us", 0, 0),
        overload_multiple=fields.number_between(
            "safety.fall_multiple", 0, inf, 1.0
        ),  # of 0: nothing while it is cold
        overload_window_us=fields.integer_at_least("safety.tip_after_us", 0, 1_000_000),
        scheduling_quantum_us=fields.integer("quantum_us", 1_000),
        tenants=tuple(
            fields.text(f"projects.{k}.name", "") for k in range(fields.integer("projects.count", 0))
        ),
        zones=tuple(fields.comma_separated("zones")),
        worker_kinds=tuple(fields.comma_separated("kinds")),
        answer_grace_us=fields.integer_at_least("safety.grace_to_answer_us", 0, 0),
        worker_idle_timeout_us=fields.integer_at_least("limits.conn_idle_us", 0, 10_000_000),
        connect_timeout_us=fields.integer_at_least("limits.dial_timeout_us", 1, 250_000),
        max_open_requests=fields.integer_at_least("limits.max_open", 1, 20_000),
    )


def report_name(fields: SettingsFields, column: str) -> str:
    """The reports' x0 and x1 by the meaning the settings give them, worded as one name."""
    meaning = fields.text(f"extra.report_{column}", column) if column in ("x0", "x1") else column
    return "_".join(meaning.split()) or column
