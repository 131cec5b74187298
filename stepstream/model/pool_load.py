"""Estimator of a worker's cap as one of many dispatchers sees it, and the load of both pools.

State: the two pools with their slot counts and averages, and the cap. Only the decision thread
touches it.
"""

from collections.abc import Sequence
from math import exp, inf

from stepstream.model.pools import SAFETY_FACTOR, Pool
from stepstream.model.worker_records import Worker

MANY_DISPATCHERS = 8  # of more than these, each seldom has a job of its own on a worker
AVERAGING_US = 1_000_000  # time constant of a pool's averages
SETTLED_US = 2_000_000  # after a start the averages are those of a running dispatcher
LEAST_POOL_CAP = 1.5  # slots that a pool's caps make up at least, or it would never be tried again
LATE_FRACTION_AT_CAP = 0.4  # fraction of late starts at which a pool is at its caps
CAP_STEP = 0.1  # fraction that one late start takes off the cap
MOST_CAP_OVER_RUNNING = 2  # a cap is at most so many times our running slots where jobs wait
MOST_CAP_OVER_LOAD = 3  # a cap so many times the present load is not raised by starts in time


class PoolLoadEstimator:
    """The cap of a worker in slots of our own, often a fraction of one slot.

    It is how many slots of ours stand on a worker on average when jobs begin to start late there.
    Where this dispatcher seldom has a job on a worker, its jobs there say nothing of that; those on
    a whole pool do.
    """

    def __init__(self, now_us: int, dispatcher_count: int) -> None:
        self.has_many_dispatchers = dispatcher_count > MANY_DISPATCHERS
        self.cap = inf
        self.now_us = now_us
        self.begun_us = now_us
        self.high_set = Pool(cap_fraction=SAFETY_FACTOR)
        self.low_set = Pool(cap_fraction=1.0)

    def advance(self, now_us: int) -> None:
        """Bring the averages up to the present."""
        weight = 1 - exp(-(now_us - self.now_us) / AVERAGING_US)
        self.now_us = now_us
        for pool in (self.high_set, self.low_set):
            pool.mean_busy_slots += weight * (pool.busy_slots - pool.mean_busy_slots)
            pool.mean_running_slots += weight * (pool.running_slots - pool.mean_running_slots)

    def recount(self, workers: Sequence[Worker]) -> None:
        """Count workers and slots of both pools anew, after workers have changed pools."""
        for pool in (self.high_set, self.low_set):
            members = [worker for worker in workers if worker.pool is pool]
            pool.busy_slots = sum(worker.busy_slots for worker in members)
            pool.running_slots = sum(worker.running_slots for worker in members)
            pool.worker_count = len(members)

    def record_low_set_start(self, *, late: bool) -> None:
        """Move the cap by a start in the Low Set: it settles where LATE_FRACTION_AT_CAP are late.

        Only what contradicts it moves it: while the pool is over its caps late starts are no news,
        or the cap would sink with the load that the rejections take away.
        """
        if self.now_us < self.begun_us + SETTLED_US:
            return
        workers = max(self.low_set.worker_count, 1)
        busy = self.low_set.mean_busy_slots / workers
        running = self.low_set.mean_running_slots / workers
        if late and running:
            # Where jobs wait the slots are taken: our running ones are our part of them.
            self.cap = min(self.cap, MOST_CAP_OVER_RUNNING * running)
            if busy <= self.cap:
                self.cap *= 1 - CAP_STEP
        elif not late and self.cap < MOST_CAP_OVER_LOAD * busy:
            self.cap *= 1 + CAP_STEP * LATE_FRACTION_AT_CAP / (1 - LATE_FRACTION_AT_CAP)
        self.cap = max(self.cap, LEAST_POOL_CAP / workers)

    def headroom(self, pool: Pool) -> float:
        """Return the pool's summed caps less its average busy slots."""
        if self.cap == inf:
            return inf
        return self.summed_caps(pool) - pool.mean_busy_slots

    def summed_caps(self, pool: Pool) -> float:
        """Return the slots that the pool's workers may be loaded with."""
        return self.cap * pool.cap_fraction * pool.worker_count
