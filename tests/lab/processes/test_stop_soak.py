"""The soak of stops: one seed draws one plan, two short soaks hold, and an early kill is found."""

import asyncio

import pytest

from stepstream.lab.faults.stop_plan import PlannedStop, StopKind, StopPlan, generate_stop_plan
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.stop_soak import StopSoak
from stepstream.lab.reports.stop_soak import play_seed

SECONDS = 8
EARLY_KILL = StopPlan(
    tuple(PlannedStop(1.0 + index, index, StopKind.SIGTERM, 0, False, 0.0) for index in range(2)),
    has_extra_connections=False,
)


def test_a_seed_draws_one_plan():
    assert generate_stop_plan(5, 3, 10.0) == generate_stop_plan(5, 3, 10.0)
    plans = [generate_stop_plan(seed, 3, 10.0) for seed in range(20)]
    assert {stop.kind for plan in plans for stop in plan.stops} == set(StopKind)
    assert {plan.has_extra_connections for plan in plans} == {True, False}


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_in_a_soak_of_stops(seed, tmp_path):
    result = play_seed(seed, SECONDS, tmp_path)
    assert result.breaches == ()
    assert result.requests > 0


class EarlyKillSoak(StopSoak):
    """A platform that kills a process as soon as it has sent SIGTERM."""

    kill_after_seconds = 0.0


def test_a_soak_finds_the_requests_that_an_early_kill_loses():
    # Guards against a harness that cannot see what it is there for.
    scenario = generate_scenario(read_site(), 1, 4, "http")

    async def play():
        soak = EarlyKillSoak(scenario, 1, dispatcher_count=2, plan=EARLY_KILL)
        async with soak:
            await soak.play_plan()
        return soak.verifier.breaches

    assert any("lost: " in breach for breach in asyncio.run(play()))
