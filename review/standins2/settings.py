"""The configuration of one dispatcher of a small deployment."""

from standins2.case import HOST

SAFETY = {
    "stop_sending_within_us": 500_000,
    "grace_to_answer_us": 16_000,
    "must_ask_in_us": 10_000_000,
    "cold_share": 0.31,
    "warm_within_us": 8_900_000,
    "fall_multiple": 4.0,
    "tip_after_us": 2_000_000,
}


def service(name: str, effect: str, **more: object) -> dict[str, object]:
    """Return a class: given up after 5 s, wanted within 200 ms unless `more` says otherwise."""
    fields = {"deadline_us": 5_000_000, "goal_time_us": 200_000, "worth": 1.0, "effect": effect}
    return {"name": name, **fields, **more}


def configuration(
    listen: int,
    discovery: int,
    services: list[dict[str, object]],
    *,
    operator: int = 0,
    name: str = "n1",
    **limits: object,
) -> dict[str, object]:
    """Return the configuration; `limits` are added to those of the settings."""
    settings = {
        "services": services,
        "projects": [
            {"name": "tatra-invest", "quota_per_s": 92.0},
            {"name": "hron-asset", "quota_per_s": 47.0},
        ],
        "discovery": "subscribe",
        "fleet_size": 1,
        "zones": ["a"],
        "kinds": ["m"],
        "quantum_us": 4000,
        "safety": SAFETY,
        "limits": {"try_limit": 4, "cancelling": True, **limits},
    }
    config: dict[str, object] = {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    }
    if operator:
        config["operator"] = f"{HOST}:{operator}"
    return config
