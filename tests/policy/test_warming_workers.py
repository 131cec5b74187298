"""Workers that warm up after a start, as seen in the load balancer's attempts."""

import pytest

from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import AttemptResult
from tests.model.builders import IDEMPOTENT, make_endpoint
from tests.policy.harness import PolicyHarness, attempt_worker_ids, started_attempts

SLOW_START = {
    "cold_capacity_fraction": 0.2,
    "slow_start_us": 20_000_000,
    "overload_multiple": 3.0,
}
FIRST_WORKER = make_endpoint(0).worker_id


def restart(harness, *endpoints):
    """Send a list change that names these workers with their new start times."""
    harness.handle(EndpointList(EndpointListKind.CHANGES, endpoints))


def harness_with_restarted_worker(seed, gap_us, workers=4):
    """Return a harness that served a job every `gap_us` and whose first worker just restarted."""
    harness = PolicyHarness(IDEMPOTENT, workers=workers, seed=seed, **SLOW_START)
    for _ in range(100):
        harness.serve(gap_us)
    restart(harness, make_endpoint(0, started_us=harness.now_us))
    return harness


def jobs_until_first_attempt(harness):
    """Return how many jobs go to other workers before one goes to the restarted worker.

    Return None if none of 60 jobs goes to it.
    """
    for count in range(60):
        if harness.serve(300_000) == FIRST_WORKER:
            return count
    return None


def test_first_attempts_on_a_worker_that_warms_up_come_at_random_times():
    # Guards against equal waits after a worker's start: all dispatchers learn of the start at the
    # same time, so their first attempts reached the worker together.
    waits = {
        jobs_until_first_attempt(harness_with_restarted_worker(seed, 500_000)) for seed in range(8)
    }
    assert len(waits - {None}) >= 4


def test_unused_attempts_on_a_worker_that_warms_up_do_not_accumulate():
    # Guards against saving unused attempts: 67 dispatchers had each saved one for a worker that had
    # started 16 s before, and sent the saved attempts together in a burst of jobs.
    attempts = 0
    for seed in range(60):
        harness = harness_with_restarted_worker(seed, 500_000, workers=20)
        harness.advance(12_000_000)
        for _ in range(25):  # a burst: more jobs in one moment than there are workers
            attempts += attempt_worker_ids(harness.advance(1000).submit()[1]).count(FIRST_WORKER)
    assert attempts <= 15  # a warm worker gets 60 x 2 / 20 = 6 jobs a second from 60 dispatchers


@pytest.mark.parametrize("name", ["overload_multiple", "cold_capacity_fraction", "slow_start_us"])
def test_no_job_is_lost_with_a_slow_start_setting_of_zero(name):
    harness = PolicyHarness(IDEMPOTENT, workers=4, **{**SLOW_START, name: 0})
    never_warms_up = name == "slow_start_us"
    # Without a slow start only a worker whose start time is in the future is cold. This happens if
    # its clock is ahead.
    started_us = harness.now_us + 1000 if never_warms_up else harness.now_us
    restart(harness, make_endpoint(0, started_us=started_us))
    worker_ids = [attempt_worker_ids(harness.submit()[1])[0] for _ in range(20)]
    assert FIRST_WORKER not in worker_ids or never_warms_up


def test_cold_workers_get_jobs_even_if_most_workers_are_cold():
    # Guards against computing the budget from the number of jobs served per worker: cold workers
    # served few jobs, so the budget shrank, and cold workers got no more jobs.
    harness = PolicyHarness(IDEMPOTENT, workers=8, **SLOW_START)
    for _ in range(200):
        harness.serve(20_000)
    cold = [make_endpoint(number, started_us=harness.now_us) for number in range(6)]
    restart(harness, *cold)
    cold_ids = {endpoint.worker_id for endpoint in cold}
    served = 0
    for _ in range(200):
        job_id, actions = harness.advance(20_000).submit()
        for attempt in started_attempts(actions):
            served += attempt.worker_id in cold_ids
            harness.end_attempt(job_id, attempt.worker_id, AttemptResult.OK)
    assert served >= 20


def test_a_worker_of_another_zone_gets_jobs_while_it_warms_up():
    # The worker must be warm before it is needed, so it gets jobs although the dispatcher's own
    # zone has headroom.
    endpoints = [make_endpoint(number, zone=number % 2) for number in range(6)]
    harness = PolicyHarness(
        IDEMPOTENT, endpoints=endpoints, zone=0, cross_zone_price=0.05, **SLOW_START
    )
    for _ in range(100):
        harness.serve(100_000)
    restarted = make_endpoint(1, zone=1, started_us=harness.now_us)
    restart(harness, restarted)
    worker_ids = [harness.serve(100_000) for _ in range(50)]
    zones = {endpoint.worker_id: endpoint.zone for endpoint in endpoints}
    assert restarted.worker_id in worker_ids
    # The warm workers of the other zone get no jobs.
    others = [worker_id for worker_id in worker_ids if worker_id != restarted.worker_id]
    assert {zones[worker_id] for worker_id in others} == {0}
