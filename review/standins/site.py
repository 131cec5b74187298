"""The settings of a small deployment: those of the site bratislava-nav, for one dispatcher.

The figures are those that the site's pages state; where they give a range, one within it.
"""

from typing import Any

DEADLINE_SECONDS = 5.0


def job_class(
    name: str, goal_time_us: int, effect: str, worth: float, window_us: int
) -> dict[str, Any]:
    """Return one entry of `services`."""
    return {
        "name": name,
        "deadline_us": int(DEADLINE_SECONDS * 1e6),
        "goal_time_us": goal_time_us,
        "effect": effect,
        "key_scope": "cell",
        "window_us": window_us,
        "worth": worth,
        "late_worth": 0.0,
        "stream": False,
    }


def settings(fleet_size: int = 1) -> dict[str, Any]:
    """Return the object that the platform gives a dispatcher of the site."""
    return {
        "services": [
            job_class("revalue", 200_000, "pure", 1.0, 5_000_000),
            job_class("price-check", 120_000, "pure", 3.0, 5_000_000),
            job_class("nav-publish", 120_000, "token", 10.0, 7_500_000),
        ],
        "projects": [
            {"name": "tatra-invest", "quota_per_s": 92.0, "share": 0.66},
            {"name": "hron-asset", "quota_per_s": 47.0, "share": 0.34},
        ],
        "over_share_worth": 0.2,
        "fleet_size": fleet_size,
        "self_index": 0,
        "zones": ["ruzinov", "petrzalka"],
        "zone": 0,
        "kinds": ["new-blade", "std-blade", "old-blade"],
        "discovery": "subscribe",
        "extra": {
            "class_kind": [-1, -1, -1],
            "class_stretch": [2.0, 2.0, 2.0],
            "tells_start": True,
            "progress_us": 2_000_000,
            "queue_order": "fifo",
        },
        "limits": {
            "try_limit": 4,
            "cancelling": True,
            "may_duplicate": True,
            "probing": True,
            "retry_after": True,
            "max_retry_after_us": 2_000_000,
            "conn_idle_us": 10_000_000,
            "dial_timeout_us": 250_000,
            "max_open": 20_000,
        },
        "safety": {
            "grace_to_answer_us": 16_000,
            "must_ask_in_us": 10_000_000,
            "cold_share": 0.31,
            "warm_within_us": 8_900_000,
            "stop_sending_within_us": 500_000,
            "fall_multiple": 4.0,
            "tip_after_us": 2_000_000,
        },
        "deductions": {"cross_zone": 0.03, "probe": 0.002, "waste": 0.2, "late_fail": 0.05},
        "load_report": {"how": "none", "columns": []},
        "quantum_us": 4000,
    }
