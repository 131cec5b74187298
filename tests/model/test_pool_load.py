"""The cap of a worker in parts of a slot, and the load of both pools."""

import pytest
from helpers import entry

from stepstream.model.pool_load import (
    AVERAGING_US,
    MANY_DISPATCHERS,
    MOST_CAP_OVER_LOAD,
    MOST_CAP_OVER_RUNNING,
    SETTLED_US,
    PoolLoadEstimator,
)
from stepstream.model.pools import SAFETY_FACTOR
from stepstream.model.worker_records import Worker

FLEET = 40


def settled_load(level=2.0, running=2.0, workers=20):
    load = PoolLoadEstimator(0, FLEET)
    load.low_set.worker_count = workers
    load.low_set.mean_busy_slots = level
    load.low_set.mean_running_slots = running
    load.now_us = SETTLED_US
    return load


def test_a_late_start_bounds_the_cap_by_what_runs_of_ours_and_not_by_what_waits():
    load = settled_load(level=16.0, running=2.0)
    assert load.headroom(load.low_set) == float("inf")  # until a late start pools stay as they are
    load.record_low_set_start(late=True)
    assert load.cap <= MOST_CAP_OVER_RUNNING * 2.0 / 20
    assert load.headroom(load.low_set) < -10


def test_the_cap_sinks_with_late_starts_only_while_it_is_kept_and_comes_back():
    load = settled_load()
    for _ in range(100):
        load.record_low_set_start(late=True)
    assert 0.08 < load.cap < 0.1  # just below the load at which they were late
    load.low_set.mean_busy_slots = 4.0
    for _ in range(100):
        load.record_low_set_start(late=False)
    assert load.cap == pytest.approx(MOST_CAP_OVER_LOAD * 4.0 / 20, rel=0.1)


def test_a_pool_whose_jobs_were_all_refused_is_tried_again():
    load = settled_load()
    for _ in range(200):
        load.record_low_set_start(late=True)
        load.low_set.mean_busy_slots *= 0.9
        load.low_set.mean_running_slots *= 0.9
    assert load.cap * load.low_set.worker_count >= 1


def test_early_starts_set_no_cap_and_a_small_fleet_goes_by_whole_slots():
    load = settled_load()
    load.now_us = SETTLED_US - 1
    load.record_low_set_start(late=True)
    assert load.cap == float("inf")
    assert load.has_many_dispatchers
    assert not PoolLoadEstimator(0, MANY_DISPATCHERS).has_many_dispatchers


def test_averages_follow_the_busy_slots_within_the_time_constant():
    load = PoolLoadEstimator(0, FLEET)
    load.high_set.busy_slots, load.high_set.running_slots = 10.0, 4.0
    load.advance(AVERAGING_US)
    assert load.high_set.mean_busy_slots == pytest.approx(6.32, abs=0.01)
    assert load.high_set.mean_running_slots == pytest.approx(2.53, abs=0.01)
    assert load.low_set.mean_busy_slots == 0.0


def test_a_recount_gives_each_pool_the_slots_of_its_workers():
    load = PoolLoadEstimator(0, FLEET)
    workers = [Worker(entry(k), 0, 0, load.high_set if k else load.low_set) for k in range(3)]
    for worker in workers:
        worker.busy_slots, worker.running_slots = 2.0, 1.0
    load.recount(workers)
    assert (load.high_set.worker_count, load.low_set.worker_count) == (2, 1)
    assert (load.high_set.busy_slots, load.low_set.busy_slots) == (4.0, 2.0)
    assert (load.high_set.running_slots, load.low_set.running_slots) == (2.0, 1.0)


def test_the_high_set_is_loaded_to_the_safety_factor_of_its_caps():
    load = settled_load()
    load.cap = 0.5
    load.high_set.worker_count = load.low_set.worker_count = 10
    assert load.summed_caps(load.low_set) == 5.0
    assert load.summed_caps(load.high_set) == pytest.approx(5.0 * SAFETY_FACTOR)
