"""The High Set and the Low Set of DynamicPart: which workers are in which, and overflow.

The High Set serves priority jobs, the Low Set ordinary ones. After Andreolini et al.
"""

from math import ceil

from stepstream.model.job_records import InFlightJob
from stepstream.model.pools import Pool
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import capacity, outliers, waiting
from stepstream.policy.capacity import SAFETY_FACTOR
from stepstream.policy.pool_capacity import has_many_dispatchers, pool_headroom, typical_cap

# Headrooms, in caps of one worker. Without load reports caps are estimates, so more must be free.
MIN_OVERFLOW_HEADROOM_CAPS = 1.0
MIN_OVERFLOW_HEADROOM_CAPS_WITH_REPORTS = 0.25
MIN_SPARE_HEADROOM_CAPS = 2
# One resizing may move one worker for each full group of this many available workers, and one
# worker in a smaller fleet.
WORKERS_PER_MOVED_WORKER = 16


def own_pool(state: PolicyState, job: InFlightJob) -> Pool:
    """Return the pool that serves jobs of this kind."""
    return state.pools.high_set if job.priority else state.pools.low_set


def high_set_takes_overflow(state: PolicyState) -> bool:
    """Return whether the High Set has enough headroom to take an ordinary job."""
    min_caps = MIN_OVERFLOW_HEADROOM_CAPS
    if state.has_load_reports:
        min_caps = MIN_OVERFLOW_HEADROOM_CAPS_WITH_REPORTS
    return pool_headroom(state, state.pools.high_set) > typical_cap(state) * min_caps


def has_spare_capacity(state: PolicyState) -> bool:
    """Return whether both pools together have headroom for more than two workers' caps."""
    high_set_headroom = pool_headroom(state, state.pools.high_set)
    low_set_headroom = pool_headroom(state, state.pools.low_set)
    return high_set_headroom + low_set_headroom > MIN_SPARE_HEADROOM_CAPS * typical_cap(state)


def fill_empty_pool(state: PolicyState) -> None:
    """Give a pool without workers its first ones.

    The High Set begins with the expected fraction of priority jobs and a safety margin. It takes
    the workers with the first ids, so that dispatchers agree without communicating.
    """
    workers = state.workers.eligible
    high_set = state.pools.high_set
    if not any(worker.pool is high_set for worker in workers):
        priority_fraction = state.measurements.job_mix.priority_fraction
        fraction = priority_fraction + (1 - priority_fraction) * (1 - SAFETY_FACTOR)
        for worker in workers[: ceil(fraction * len(workers))]:
            worker.pool = high_set
    if workers and all(worker.pool is high_set for worker in workers):
        workers[-1].pool = state.pools.low_set


def resize(state: PolicyState) -> None:
    """Move workers to the High Set while it is over its caps, and back while it has spare caps.

    Waiting priority jobs count as load. Otherwise a full High Set would never be over its caps.
    """
    waiting_slots = waiting.waiting_priority_slots(state)
    headroom = pool_headroom(state, state.pools.high_set) - waiting_slots
    workers = state.workers.eligible
    min_high_set_size = 1.0
    if _knows_few_headrooms(state):
        # Without this minimum every dispatcher would keep only one worker in its High Set, and this
        # worker would be the same at all dispatchers.
        min_high_set_size = max(state.measurements.job_mix.priority_fraction * len(workers), 1)
        workers = state.rng.sample(workers, len(workers))
    workers = outliers.available_workers(state, workers, outliers.ANY_CLASS)
    state.pools.recount(workers)
    for _ in range(max(len(workers) // WORKERS_PER_MOVED_WORKER, 1)):
        headroom += _move_one_worker(state, workers, headroom, min_high_set_size)
    state.pools.recount(workers)


def _knows_few_headrooms(state: PolicyState) -> bool:
    """Return whether load is reported, but fewer than half of the workers' headrooms are valid."""
    if not state.has_load_reports:
        return False
    return 2 * capacity.valid_headroom_count(state) < len(state.workers.eligible)


def _move_one_worker(
    state: PolicyState, workers: list[Worker], headroom: float, min_high_set_size: float
) -> float:
    """Move a worker between the pools if necessary; return the slots that the High Set gains."""
    high_set = [worker for worker in workers if worker.pool is state.pools.high_set]
    low_set = [worker for worker in workers if worker.pool is state.pools.low_set]
    cap = typical_cap(state)
    if headroom < 0 and len(low_set) > 1:
        _least_loaded(state, low_set).pool = state.pools.high_set
        return cap
    if headroom > cap and len(high_set) > min_high_set_size:
        if has_many_dispatchers(state.settings):
            # Of workers with equal headrooms, the one with the last id is moved, so that all
            # dispatchers keep the same workers in their High Sets.
            high_set.reverse()
        _least_loaded(state, high_set).pool = state.pools.low_set
        return -cap
    return 0.0


def _least_loaded(state: PolicyState, workers: list[Worker]) -> Worker:
    """Return the worker with the largest headroom, the first one if several have it."""
    return max(workers, key=lambda worker: capacity.headroom(state, worker))
