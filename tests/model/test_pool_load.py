"""The load of both pools, averaged over time."""

import pytest

from stepstream.model.pool_load import AVERAGING_TIME_CONSTANT_US, PoolLoad
from stepstream.model.worker_records import Worker
from tests.model.builders import make_endpoint


def test_averages_follow_the_busy_slots_within_the_time_constant():
    pool_load = PoolLoad(0)
    pool_load.high_set.busy_slots, pool_load.high_set.running_slots = 10.0, 4.0
    pool_load.advance(AVERAGING_TIME_CONSTANT_US)
    assert pool_load.high_set.mean_busy_slots == pytest.approx(6.32, abs=0.01)
    assert pool_load.high_set.mean_running_slots == pytest.approx(2.53, abs=0.01)
    assert pool_load.low_set.mean_busy_slots == 0.0


def test_a_recount_gives_each_pool_the_slots_of_its_workers():
    pool_load = PoolLoad(0)
    workers = [
        Worker(make_endpoint(index), 0, 0, pool_load.high_set if index else pool_load.low_set)
        for index in range(3)
    ]
    for worker in workers:
        worker.busy_slots, worker.running_slots = 2.0, 1.0
    pool_load.recount(workers)
    assert (pool_load.high_set.worker_count, pool_load.low_set.worker_count) == (2, 1)
    assert (pool_load.high_set.busy_slots, pool_load.low_set.busy_slots) == (4.0, 2.0)
    assert (pool_load.high_set.running_slots, pool_load.low_set.running_slots) == (2.0, 1.0)
