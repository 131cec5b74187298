"""The stop soak: equal seeds give equal plans, no request is lost, and a lost one is reported."""

import asyncio

import pytest

from stepstream.lab.faults.stop_plan import PlannedStop, StopKind, StopPlan, generate_stop_plan
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.stop_soak import StopSoak
from stepstream.lab.reports.stop_soak import play_seed

SOAK_SECONDS = 8
TWO_SIGTERMS = StopPlan(
    tuple(PlannedStop(1.0 + index, index, StopKind.SIGTERM, 0, False, 0.0) for index in range(2)),
    has_extra_connections=False,
)


def test_the_same_seed_draws_the_same_plan_and_some_seeds_draw_each_kind_of_stop():
    assert generate_stop_plan(5, 3, 10.0) == generate_stop_plan(5, 3, 10.0)
    plans = [generate_stop_plan(seed, 3, 10.0) for seed in range(20)]
    assert {stop.kind for plan in plans for stop in plan.stops} == set(StopKind)
    assert {plan.has_extra_connections for plan in plans} == {True, False}


@pytest.mark.parametrize("seed", [1, 2, 31])
def test_a_stop_soak_loses_no_request(seed, tmp_path):
    result = play_seed(seed, SOAK_SECONDS, tmp_path)
    assert result.breaches == ()
    assert result.job_count > 0


class EarlyKillSoak(StopSoak):
    """A soak whose platform kills a process immediately after SIGTERM."""

    kill_after_seconds = 0.0


def test_a_stop_soak_reports_requests_that_are_lost_by_a_kill_right_after_sigterm():
    # Guards against a soak that always passes because it does not notice lost requests.
    scenario = generate_scenario(read_site(), 1, 4, "http")

    async def play_soak():
        soak = EarlyKillSoak(scenario, 1, dispatcher_count=2, plan=TWO_SIGTERMS)
        async with soak:
            await soak.play_plan()
        return soak.verifier.breaches

    assert any("lost: " in breach for breach in asyncio.run(play_soak()))
