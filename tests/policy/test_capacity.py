"""The caps and the headroom of single workers."""

import pytest

from stepstream.model.load_report_lag import CANDIDATE_LAGS_US
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import capacity
from tests.model.builders import IDEMPOTENT, make_endpoint

START_US = 10_000_000


def state_with_one_worker(**settings):
    """Return the state of a dispatcher with one worker, and the worker."""
    state = PolicyState(Settings(classes=(IDEMPOTENT,), **settings), 1, START_US)
    worker = Worker(make_endpoint(0), 0, 0, state.pools.low_set)
    state.workers.eligible.append(worker)
    return state, worker


def test_a_measured_headroom_counts_until_it_is_too_old():
    state, worker = state_with_one_worker()
    worker.cap = 8.0
    worker.headroom = 3.0
    worker.headroom_at_us = START_US
    state.now_us = START_US + capacity.HEADROOM_VALID_US
    assert capacity.headroom(state, worker) == 3.0
    state.now_us += 1
    assert capacity.headroom(state, worker) == 8.0


def test_an_answer_full_sets_the_cap_below_the_busy_slots():
    state, worker = state_with_one_worker()
    capacity.learn_from_full(state, worker, 13.0)
    assert worker.cap == pytest.approx(9.0)  # 18/26 of the busy slots
    capacity.learn_from_full(state, worker, 0.5)
    assert worker.cap == 1.0  # a smaller cap would block all jobs


def test_attempts_within_the_lag_of_a_report_are_taken_off_its_headroom():
    state, worker = state_with_one_worker(load_report_source=LoadReportSource.ANSWERS)
    capacity.change_busy_slots(state, worker, 2.0)
    state.now_us += CANDIDATE_LAGS_US[0]
    capacity.change_busy_slots(state, worker, 1.0)
    state.now_us += 1
    # The report includes the first change and not the second one.
    capacity.learn_from_load_report(state, worker, 5.0)
    assert capacity.headroom(state, worker) == 4.0


def test_a_common_cap_of_zero_counts_as_a_known_cap():
    # Guards against treating a full fleet as one whose caps are unknown.
    state, worker = state_with_one_worker()
    state.measurements.common_cap = 0.0
    worker.cap = 5.0
    capacity.measure_missing_common_cap(state)
    assert state.measurements.common_cap == 0.0
    capacity.learn_from_start(state, worker)
    assert list(state.measurements.observed_caps) == [1.0]
