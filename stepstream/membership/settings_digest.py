"""The digest by which members compare the settings in force.

The digest covers the text that `repr` gave for the settings when the membership protocol was first
deployed. Members of different versions compare digests, so the names in that text must not change:
the tables below translate the current field names into those names.
"""

from dataclasses import fields, is_dataclass, replace
from enum import Enum
from hashlib import blake2b

from stepstream.model.settings import Effect, Settings

DIGEST_BYTES = 6

EFFECT_NAMES = {
    Effect.IDEMPOTENT: "SAFE",
    Effect.IDEMPOTENT_WITH_KEY: "KEYED",
    Effect.NOT_IDEMPOTENT: "UNSAFE",
}
FIELD_NAMES = {
    "latency_objective_us": "goal_us",
    "priority_weight": "worth",
    "late_weight_fraction": "late_worth",
    "objective_stretch": "stretch",
    "idempotency_window_us": "window_us",
    "worker_kind": "kind",
    "over_quota_weight_fraction": "over_share_worth",
    "dispatcher_count": "fleet_size",
    "polls_endpoints": "must_ask",
    "endpoint_poll_interval_us": "must_ask_us",
    "may_check_health": "may_probe",
    "may_hedge": "may_duplicate",
    "load_report_source": "reports",
    "load_report_columns": "report_columns",
    "load_report_names": "report_names",
    "reports_start": "tells_start",
    "health_check_price": "probe_price",
    "cold_capacity_fraction": "cold_share",
    "slow_start_us": "warm_within_us",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_span_us",
    "scheduling_quantum_us": "quantum_us",
    "answer_grace_us": "grace_us",
    "worker_idle_timeout_us": "conn_idle_us",
    "connect_timeout_us": "dial_timeout_us",
    "max_open_requests": "max_open",
    "worker_kinds": "kinds",
}


def settings_digest(settings: Settings) -> str:
    """Return the digest of the settings without those that differ between dispatchers."""
    shared_settings = replace(settings, dispatcher_count=1, zone=0)
    return blake2b(digest_text(shared_settings).encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_text(value: object) -> str:
    """Return the text that the digest covers for a settings value."""
    if isinstance(value, Effect):
        return f"<Effect.{EFFECT_NAMES[value]}: {value.value!r}>"
    if isinstance(value, Enum):
        return repr(value.value)
    if is_dataclass(value):
        parts = ", ".join(
            f"{FIELD_NAMES.get(field.name, field.name)}={digest_text(getattr(value, field.name))}"
            for field in fields(value)
        )
        return f"{type(value).__name__}({parts})"
    if isinstance(value, tuple):
        parts = ", ".join(digest_text(item) for item in value)
        return f"({parts},)" if len(value) == 1 else f"({parts})"
    return repr(value)
