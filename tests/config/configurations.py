"""Configuration, policy settings and limits that tests share."""

from stepstream.config.limits import Limits
from stepstream.model.settings import Effect, JobClass, Settings

SETTINGS_SECTION = {
    "services": [
        {
            "name": "revalue",
            "deadline_us": 5000000,
            "goal_time_us": 200000,
            "effect": "pure",
            "worth": 1.0,
        },
        {"name": "nav-publish", "deadline_us": 5000000, "effect": "token", "window_us": 7500000},
    ],
    "extra": {"class_kind": [-1, -1], "class_stretch": [2.0, 1.5], "tells_start": True},
    "projects": [{"name": "tatra-invest", "quota_per_s": 92.0}],
    "zones": ["ruzinov", "petrzalka"],
    "zone": 1,
    "discovery": "subscribe",
    "limits": {"try_limit": 4, "cancelling": True, "conn_idle_us": 8000000},
    "load_report": {"how": "none", "columns": []},
}

CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS_SECTION,
}

POLICY_SETTINGS = Settings(
    classes=(
        JobClass(
            latency_objective_us=200_000,
            deadline_us=5_000_000,
            effect=Effect.IDEMPOTENT,
            name="revalue",
        ),
        JobClass(
            latency_objective_us=120_000,
            deadline_us=5_000_000,
            effect=Effect.IDEMPOTENT_WITH_KEY,
            priority_weight=10.0,
            idempotency_window_us=7_500_000,
            name="nav-publish",
        ),
    ),
    attempt_limit=4,
    may_cancel=True,
    may_hedge=True,
    may_advise_retry=True,
    max_retry_after_us=2_000_000,
    reports_start=True,
    polls_endpoints=True,
    tenants=("tatra-invest", "hron-asset"),
    quotas_per_s=(92.0, 47.0),
    zones=("ruzinov", "petrzalka"),
    worker_kinds=("new-blade", "old-blade"),
)
LIMITS = Limits()
# Settings under which load reports come with health checks.
HEALTH_CHECK_LOAD_REPORTS = {
    "load_report_source": "probe",
    "load_report_names": ("queue", "x0"),
    "load_report_columns": ("queue", "free_slots"),
}
