"""A configuration that the tests share."""

SETTINGS = {
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


CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
}
