"""The choice of a worker for one attempt."""

import pytest

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy.key_affinity import workers_in_key_order
from stepstream.policy.selection import choose_worker
from tests.model.builders import IDEMPOTENT, make_endpoint

NOW_US = 10_000_000


def state_with_workers(worker_count, **settings):
    """Return a state with this many workers, all in the Low Set."""
    state = PolicyState(Settings(classes=(IDEMPOTENT,), **settings), 1, NOW_US)
    state.workers.eligible = [
        Worker(make_endpoint(index), 0, 0, state.pools.low_set) for index in range(worker_count)
    ]
    return state


def new_job(*, priority):
    return InFlightJob(JobSubmitted("a", 0, 1), IDEMPOTENT, 0, 0, priority, 1.0)


def test_a_repeat_goes_to_a_worker_that_was_not_tried():
    state = state_with_workers(3)
    tried = state.workers.eligible[1]
    tried.current_weight = 10.0  # round robin alone would choose this worker
    job = new_job(priority=False)
    assert choose_worker(state, job) is tried
    tried.current_weight = 10.0
    job.attempts.append(Attempt(tried, NOW_US, open=False, never_ran=True))
    assert choose_worker(state, job) is not tried


def test_a_repeat_goes_to_a_tried_worker_where_there_is_no_other():
    state = state_with_workers(1)
    job = new_job(priority=False)
    job.attempts.append(Attempt(state.workers.eligible[0], NOW_US, open=False, never_ran=True))
    assert choose_worker(state, job) is state.workers.eligible[0]


@pytest.mark.parametrize("priority", [True, False])
def test_a_cap_without_a_valid_measurement_holds_up_only_ordinary_jobs(priority):
    state = state_with_workers(1, load_report_source=LoadReportSource.ANSWERS)
    state.measurements.common_cap = 2.0
    (worker,) = state.workers.eligible
    worker.busy_slots = 3.0
    chosen = choose_worker(state, new_job(priority=priority))
    assert (chosen is worker) == priority


def test_a_valid_measurement_holds_up_priority_jobs_too():
    state = state_with_workers(1, load_report_source=LoadReportSource.ANSWERS)
    (worker,) = state.workers.eligible
    worker.headroom = 0.0
    worker.headroom_at_us = NOW_US
    assert choose_worker(state, new_job(priority=True)) is None


@pytest.mark.parametrize("priority", [True, False])
def test_a_job_goes_to_its_own_pool_while_that_has_headroom(priority):
    state = state_with_workers(4)
    for worker in state.workers.eligible[:2]:
        worker.pool = state.pools.high_set
        worker.current_weight = 0.0 if priority else 10.0  # round robin would take the other pool
    for worker in state.workers.eligible[2:]:
        worker.current_weight = 10.0 if priority else 0.0
    own_pool = state.pools.high_set if priority else state.pools.low_set
    assert choose_worker(state, new_job(priority=priority)).pool is own_pool


def test_the_number_of_stored_key_orders_is_bounded_by_the_open_requests():
    state = state_with_workers(1)
    limit = state.settings.max_open_requests  # no more keys than this can be in use at once
    for number in range(limit + 1):
        workers_in_key_order(state, f"key-{number}")
    assert len(state.workers.key_orders) <= limit
