"""The load of both pools, averaged over time, and the cap that is learned from it.

State: the two pools with their slot counts and averages, and the cap. Only the decision thread
touches it.
"""

from collections.abc import Sequence
from math import exp, inf

from stepstream.model.pools import Pool
from stepstream.model.worker_records import Worker

AVERAGING_TIME_CONSTANT_US = 1_000_000


class PoolLoad:
    """Both pools, and one cap for all their workers; the policy learns the cap."""

    def __init__(self, start_us: int) -> None:
        self.started_us = start_us
        self.averaged_at_us = start_us
        self.high_set = Pool()
        self.low_set = Pool()
        # How many slots of this dispatcher's attempts one worker may have; often less than one.
        self.worker_cap = inf
        # The headroom of each pool, measured at most once a round.
        self.headrooms: dict[Pool, float] = {}

    def advance(self, now_us: int) -> None:
        """Update the averages to the present time."""
        weight = 1 - exp(-(now_us - self.averaged_at_us) / AVERAGING_TIME_CONSTANT_US)
        self.averaged_at_us = now_us
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
