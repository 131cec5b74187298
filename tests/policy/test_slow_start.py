"""How often a worker that is warming up gets a job of one dispatcher."""

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy.slow_start import is_admitted, warm_worker_interval_us
from tests.model.builders import IDEMPOTENT, make_endpoint

START_US = 10_000_000
HOUR_US = 3_600_000_000


def test_frequent_attempts_on_a_cold_worker_are_spaced():
    settings = Settings(
        classes=(IDEMPOTENT,),
        cold_capacity_fraction=0.5,
        slow_start_us=HOUR_US,
        overload_multiple=2.0,
        overload_window_us=1_000_000,
    )
    state = PolicyState(settings, 1, START_US)
    state.measurements.run_times.served_interval_us = 100_000.0
    state.workers.warm_worker_equivalents = 2.0
    endpoint = make_endpoint(0, started_us=START_US)
    worker = Worker(endpoint, START_US + HOUR_US, START_US, state.pools.low_set)
    job = InFlightJob(JobSubmitted("a", 0, 1), IDEMPOTENT, 0, 0, False, 1.0)
    # A warm worker serves a job every 200 ms; the cold one gets 0.6 x 2 x 0.5 of that rate.
    state.now_us = START_US + 330_000
    assert not is_admitted(state, job, worker)
    state.now_us = START_US + 334_000
    assert is_admitted(state, job, worker)


def test_the_interval_of_a_warm_workers_jobs_follows_capacity_and_run_time():
    settings = Settings(
        classes=(IDEMPOTENT, IDEMPOTENT), dispatcher_count=3, overload_window_us=1_000_000
    )
    state = PolicyState(settings, 1, START_US)
    state.workers.eligible = [
        Worker(make_endpoint(index), 0, 0, state.pools.low_set) for index in range(4)
    ]
    state.workers.warm_worker_equivalents = 2.5  # less than 4: some are warming up
    # Until a job is served, all dispatchers together are assumed to get one job in a window.
    assert warm_worker_interval_us(state, 0) == 3 * 1_000_000 * 2.5
    run_times = state.measurements.run_times
    run_times.served_interval_us = 100_000.0
    assert warm_worker_interval_us(state, 0) == 100_000 * 2.5
    run_times.mean_elapsed_us = [100_000.0, 400_000.0, 200_000.0]
    assert warm_worker_interval_us(state, 0) == 50_000 * 2.5
    assert warm_worker_interval_us(state, 1) == 200_000 * 2.5
