"""The plan of a stop soak: which dispatcher is stopped when and how, and what else happens.

Equal seeds give equal plans. Times are seconds from the start of the run.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

FIRST_STOP_SECONDS = 1.0
MIN_INTERVAL_SECONDS = 1.0
MAX_INTERVAL_SECONDS = 2.5
MAX_RELOADS = 30
RELOAD_INTERVAL_SECONDS = 0.002
EXTRA_CONNECTIONS_PROBABILITY = 0.3
# What hostile clients send in runs with extra connections; none of it is a job.
CROWD_KINDS = (
    "unfinished-body",
    "unfinished-tiny-chunks",
    "endless-trailers",
    "many-fields",
    "readiness-checks",
    "notifications",
    "bytes-after-error",
)
MAINTENANCE_PROBABILITY = 0.5
MAX_PAUSE_SECONDS = 0.3


class StopKind(StrEnum):
    """How a dispatcher is stopped; the report of a failed soak prints the value."""

    SIGTERM = "sigterm"
    SECOND_SIGTERM = "sigterm twice"
    RELOADS_THEN_SIGTERM = "reloads, then sigterm"
    SIGTERM_THEN_RELOADS = "sigterm, then reloads"
    HOT_RESTART = "hot restart"
    TWO_HOT_RESTARTS = "two hot restarts"
    DRAIN = "drain and its end"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """One stop of a dispatcher.

    With `with_maintenance`, a worker goes into maintenance at the same time.
    """

    at_seconds: float
    dispatcher_index: int
    kind: StopKind
    reload_count: int
    with_maintenance: bool
    # Between two SIGTERMs, or from a hot restart's new process to the SIGTERM of the old one.
    pause_seconds: float


@dataclass(frozen=True, slots=True)
class StopPlan:
    """All stops of one run.

    With `has_extra_connections`, clients also hold connections that stay idle or never finish
    their first request, and hostile clients send `crowd_kind` (see `lab.load.hostile_traffic`).
    """

    stops: tuple[PlannedStop, ...]
    has_extra_connections: bool
    crowd_kind: str = ""  # empty: none


def generate_stop_plan(seed: int, dispatcher_count: int, seconds: float) -> StopPlan:
    """Draw the plan of a seed; a stop may begin while another dispatcher is still stopping."""
    rng = random.Random(seed)
    stops: list[PlannedStop] = []
    at_seconds = FIRST_STOP_SECONDS
    while at_seconds < seconds - MAX_INTERVAL_SECONDS:
        stop = PlannedStop(
            at_seconds,
            dispatcher_index=len(stops) % dispatcher_count,
            kind=rng.choice(tuple(StopKind)),
            reload_count=rng.randint(1, MAX_RELOADS),
            with_maintenance=rng.random() < MAINTENANCE_PROBABILITY,
            pause_seconds=rng.uniform(0.0, MAX_PAUSE_SECONDS),
        )
        stops.append(stop)
        at_seconds += rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
    has_extra_connections = rng.random() < EXTRA_CONNECTIONS_PROBABILITY
    crowd_kind = rng.choice(CROWD_KINDS) if has_extra_connections else ""
    return StopPlan(tuple(stops), has_extra_connections, crowd_kind)
