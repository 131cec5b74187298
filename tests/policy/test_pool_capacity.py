"""The cap of a worker in fractions of a slot, and the headroom of whole pools."""

import pytest

from stepstream.model.pool_load import PoolLoad
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy.capacity import SAFETY_FACTOR
from stepstream.policy.outliers import eject
from stepstream.policy.pool_capacity import (
    AVERAGES_SETTLE_US,
    MAX_CAP_TO_BUSY_SLOTS_RATIO,
    MAX_CAP_TO_RUNNING_SLOTS_RATIO,
    MAX_FEW_DISPATCHERS,
    has_many_dispatchers,
    learn_from_low_set_start,
    mean_pool_headroom,
    pool_headroom,
    summed_caps,
)
from tests.model.builders import IDEMPOTENT, make_endpoint

DISPATCHER_COUNT = 40


def settled_load(busy_slots=2.0, running_slots=2.0, worker_count=20):
    load = PoolLoad(0)
    load.low_set.worker_count = worker_count
    load.low_set.mean_busy_slots = busy_slots
    load.low_set.mean_running_slots = running_slots
    load.averaged_at_us = AVERAGES_SETTLE_US
    return load


def test_an_overdue_start_bounds_the_cap_by_our_running_slots_and_not_by_our_busy_slots():
    load = settled_load(busy_slots=16.0, running_slots=2.0)
    # Before an overdue start the cap, and so the headroom, is unlimited.
    assert mean_pool_headroom(load, load.low_set) == float("inf")
    learn_from_low_set_start(load, overdue=True)
    assert load.worker_cap <= MAX_CAP_TO_RUNNING_SLOTS_RATIO * 2.0 / 20
    assert mean_pool_headroom(load, load.low_set) < -10


def test_overdue_starts_lower_the_cap_to_the_load_and_starts_in_time_raise_it():
    load = settled_load()
    for _ in range(100):
        learn_from_low_set_start(load, overdue=True)
    assert 0.08 < load.worker_cap < 0.1  # just below the load of 0.1 slots a worker
    load.low_set.mean_busy_slots = 4.0
    for _ in range(100):
        learn_from_low_set_start(load, overdue=False)
    assert load.worker_cap == pytest.approx(MAX_CAP_TO_BUSY_SLOTS_RATIO * 4.0 / 20, rel=0.1)


def test_a_pool_keeps_a_cap_of_at_least_one_slot_after_many_overdue_starts():
    load = settled_load()
    for _ in range(200):
        learn_from_low_set_start(load, overdue=True)
        load.low_set.mean_busy_slots *= 0.9
        load.low_set.mean_running_slots *= 0.9
    assert load.worker_cap * load.low_set.worker_count >= 1


def test_a_new_dispatcher_learns_no_cap_and_few_dispatchers_use_caps_of_single_workers():
    load = settled_load()
    load.averaged_at_us = AVERAGES_SETTLE_US - 1
    learn_from_low_set_start(load, overdue=True)
    assert load.worker_cap == float("inf")
    assert has_many_dispatchers(Settings(classes=(IDEMPOTENT,), dispatcher_count=DISPATCHER_COUNT))
    assert not has_many_dispatchers(
        Settings(classes=(IDEMPOTENT,), dispatcher_count=MAX_FEW_DISPATCHERS)
    )


def test_the_high_set_is_loaded_to_the_safety_factor_of_its_caps():
    load = settled_load()
    load.worker_cap = 0.5
    load.high_set.worker_count = load.low_set.worker_count = 10
    assert summed_caps(load, load.low_set) == 5.0
    assert summed_caps(load, load.high_set) == pytest.approx(5.0 * SAFETY_FACTOR)


def test_the_headroom_of_a_pool_is_measured_once_a_round_without_ejected_workers():
    state = PolicyState(Settings(classes=(IDEMPOTENT,)), 1, 0)
    low_set = state.pools.low_set
    state.workers.eligible = [Worker(make_endpoint(index), 0, 0, low_set) for index in range(4)]
    for worker in state.workers.eligible:
        worker.cap = 3.0
    eject(state.workers.eligible[0], 1_000_000, 0)
    state.begin_round(1)
    assert pool_headroom(state, low_set) == 9.0
    state.workers.eligible[1].busy_slots = 2.0
    assert pool_headroom(state, low_set) == 9.0
    state.begin_round(2)
    assert pool_headroom(state, low_set) == 7.0
