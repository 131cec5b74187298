"""The settings of the site auckland-main, for its one dispatcher.

The figures are those that the site's pages state; where they give a range, one within it.
"""

from typing import Any

from review.standins.site import job_class


def settings() -> dict[str, Any]:
    """Return the object that the platform gives a dispatcher of the site."""
    return {
        "services": [
            job_class("report-view", 100_000, "pure", 3.0, 5_000_000),
            job_class("score-check", 100_000, "pure", 5.0, 5_000_000),
            job_class("new-submission", 300_000, "side_effect", 10.0, 0),
        ],
        "projects": [],
        "fleet_size": 1,
        "self_index": 0,
        "zones": ["akl-1"],
        "zone": 0,
        "kinds": ["fast-4core", "std-4core"],
        "discovery": "automatic",
        "worth_by": "work",
        "clients": {"marks_retry": True},
        "extra": {
            "class_kind": [-1, -1, -1],
            "class_stretch": [2.0, 2.5, 1.75],
            "tells_start": True,
            "progress_us": 1_000_000,
            "queue_order": "fifo",
            "report_x0": "free slots",
        },
        "limits": {
            "try_limit": 3,
            "cancelling": True,
            "may_duplicate": False,
            "probing": True,
            "retry_after": True,
            "max_retry_after_us": 2_000_000,
            "conn_idle_us": 5_000_000,
            "dial_timeout_us": 250_000,
            "max_open": 20_000,
        },
        "safety": {
            "grace_to_answer_us": 16_000,
            "must_ask_in_us": 10_000_000,
            "cold_share": 0.13,
            "warm_within_us": 23_000_000,
            "stop_sending_within_us": 2_000_000,
            "fall_multiple": 4.0,
            "tip_after_us": 1_500_000,
        },
        "deductions": {"probe": 0.01, "waste": 0.068, "late_fail": 0.03},
        "load_report": {"how": "probe", "columns": ["queue", "x0"]},
        "quantum_us": 2000,
    }
