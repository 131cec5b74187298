"""The plan of a soak of stops: which dispatcher is stopped when, how, and what happens beside it.

One seed draws one plan. Times are seconds from the start of the run.
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
MAINTENANCE_PROBABILITY = 0.5
MAX_PAUSE_SECONDS = 0.3  # between two signals of a series


class StopKind(StrEnum):
    """How a dispatcher is stopped; the value is what a failure prints."""

    SIGTERM = "sigterm"
    SECOND_SIGTERM = "sigterm twice"
    RELOADS_THEN_SIGTERM = "reloads, then sigterm"
    SIGTERM_THEN_RELOADS = "sigterm, then reloads"
    HOT_RESTART = "hot restart"
    HOT_RESTARTS = "two hot restarts"
    DRAIN = "drain and its end"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """One stop; `with_maintenance` takes a worker out of service at the same moment."""

    at_seconds: float
    dispatcher_index: int
    kind: StopKind
    reloads: int
    with_maintenance: bool
    pause_seconds: float  # between the signals of a series


@dataclass(frozen=True, slots=True)
class StopPlan:
    """All stops of one run.

    With `has_extra_connections`, clients also hold connections that stay idle or never finish
    their first request.
    """

    stops: tuple[PlannedStop, ...]
    has_extra_connections: bool


def generate_stop_plan(seed: int, dispatchers: int, seconds: float) -> StopPlan:
    """Draw the plan of a seed; a dispatcher may be stopped while another one still stops."""
    rng = random.Random(seed)
    stops: list[PlannedStop] = []
    at_seconds = FIRST_STOP_SECONDS
    while at_seconds < seconds - MAX_INTERVAL_SECONDS:
        stop = PlannedStop(
            at_seconds,
            dispatcher_index=len(stops) % dispatchers,
            kind=rng.choice(tuple(StopKind)),
            reloads=rng.randint(1, MAX_RELOADS),
            with_maintenance=rng.random() < MAINTENANCE_PROBABILITY,
            pause_seconds=rng.uniform(0.0, MAX_PAUSE_SECONDS),
        )
        stops.append(stop)
        at_seconds += rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
    return StopPlan(tuple(stops), rng.random() < EXTRA_CONNECTIONS_PROBABILITY)
