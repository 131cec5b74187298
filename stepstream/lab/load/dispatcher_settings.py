"""Derive the dispatcher's settings for a run from its scenario, with the platform's keys."""

from typing import Any

from stepstream.lab.emulator.clock import US_PER_MS
from stepstream.lab.load.scenario import Scenario
from stepstream.lab.load.site import EndpointSource, JobClassTable, LoadReports, Site

# These settings are the same for each site.
QUOTA_FACTOR = 1.5  # ratio of a tenant's quota to its expected request rate
OVER_QUOTA_WEIGHT = 0.2  # priority weight of a request beyond its tenant's share
MAX_RETRY_AFTER_US = 2_000_000
CONNECTION_IDLE_US = 10_000_000
CONNECT_TIMEOUT_US = 250_000
MAX_OPEN_REQUESTS = 20_000
MAX_POLL_INTERVAL_US = 10_000_000
ANSWER_GRACE_US = 16_000
QUANTUM_US = 4000


def dispatcher_settings(scenario: Scenario) -> dict[str, Any]:
    """Return the dispatcher's settings for a run, as nested JSON."""
    site = scenario.site
    is_polled = site.endpoint_source is EndpointSource.POLLED
    rate_per_second = len(scenario.requests) / scenario.seconds
    return {
        "services": [_service_settings(table) for table in site.job_classes],
        "extra": {
            "class_kind": [-1] * len(site.job_classes),
            "class_stretch": [table.stretch for table in site.job_classes],
            "tells_start": True,
            "report_x0": "free slots",
        },
        "projects": [
            {
                "name": tenant.name,
                "quota_per_s": round(QUOTA_FACTOR * rate_per_second * tenant.share, 1),
                "share": tenant.share,
            }
            for tenant in site.tenants
        ],
        "over_share_worth": OVER_QUOTA_WEIGHT,
        "fleet_size": 1,
        "zones": list(site.zones),
        "zone": 0,
        "kinds": [kind.name for kind in site.worker_kinds],
        "discovery": "subscribe" if is_polled else "automatic",
        "worth_by": site.weight_by.value,
        "limits": _limit_settings(site),
        "safety": _safety_settings(site),
        "load_report": {
            "how": site.load_reports.value,
            "columns": [] if site.load_reports is LoadReports.NONE else ["queue", "x0"],
        },
        "quantum_us": QUANTUM_US,
    }


def _service_settings(table: JobClassTable) -> dict[str, Any]:
    """Return the entry of a job class in the settings' `services`."""
    return {
        "name": table.name,
        "goal_time_us": int(table.latency_objective_ms * US_PER_MS),
        "deadline_us": int(table.deadline_ms * US_PER_MS),
        "effect": table.effect.value,
        "key_scope": "cell",
        "window_us": table.window_ms * US_PER_MS,
        "worth": table.priority_weight,
        "late_worth": 0.0,
    }


def _limit_settings(site: Site) -> dict[str, Any]:
    """Return the settings' `limits`."""
    return {
        "try_limit": site.max_attempts,
        "cancelling": True,
        "may_duplicate": site.may_hedge,
        "probing": site.load_reports is not LoadReports.NONE,
        "retry_after": True,
        "max_retry_after_us": MAX_RETRY_AFTER_US,
        "conn_idle_us": CONNECTION_IDLE_US,
        "dial_timeout_us": CONNECT_TIMEOUT_US,
        "max_open": MAX_OPEN_REQUESTS,
    }


def _safety_settings(site: Site) -> dict[str, Any]:
    """Return the settings' `safety`."""
    return {
        "stop_sending_within_us": site.drain_grace_ms * US_PER_MS,
        "cold_share": site.initial_capacity_fraction,
        "warm_within_us": site.slow_start_ms * US_PER_MS,
        "fall_multiple": site.overload_multiple,
        "tip_after_us": site.overload_window_ms * US_PER_MS,
        "must_ask_in_us": MAX_POLL_INTERVAL_US,
        "grace_to_answer_us": ANSWER_GRACE_US,
    }
