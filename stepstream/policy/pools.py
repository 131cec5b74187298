"""The High Set and the Low Set: their headroom, and which workers are in which.

DynamicPart of Andreolini et al.; caps are learned, as no dispatcher knows them beforehand.
"""

from math import ceil, inf

from stepstream.model.pools import SAFETY_FACTOR, Pool
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import slow_start
from stepstream.policy.outliers import available_workers

LENDING_CAP_FRACTION = 0.25  # of a worker's cap; the High Set keeps it free where load is reported
WORKERS_PER_MOVE = 16  # one resizing moves one worker of so many


def worker_cap(state: PolicyState) -> float:
    """Return the cap of a worker whose own is not known, in slots."""
    if state.pool_load.is_many:
        return state.pool_load.cap
    return inf if state.common_cap is None else max(state.common_cap, 1.0)


def pool_headroom(state: PolicyState, pool: Pool) -> float:
    """Return the pool's summed caps less its summed busy slots, measured once a round."""
    if state.pool_load.is_many:
        return state.pool_load.headroom(pool)
    if pool not in state.pool_headrooms:
        members = [worker for worker in state.eligible_workers if worker.pool is pool]
        state.pool_headrooms[pool] = sum(map(state.headroom, available_workers(state, members)))
    return state.pool_headrooms[pool]


def lends(state: PolicyState) -> bool:
    """Return whether the High Set has so much headroom that an ordinary job may go to it."""
    fraction = LENDING_CAP_FRACTION if state.has_load_reports else 1.0
    return pool_headroom(state, state.high_set) > worker_cap(state) * fraction


def has_spare_capacity(state: PolicyState) -> bool:
    """Return whether both pools together have headroom for more than two workers' caps."""
    headroom = pool_headroom(state, state.high_set) + pool_headroom(state, state.low_set)
    return headroom > 2 * worker_cap(state)


def fill_empty_pool(state: PolicyState) -> None:
    """Give a pool without workers its first ones; both keep the same ids at all dispatchers."""
    workers = state.eligible_workers
    if not any(worker.pool is state.high_set for worker in workers):
        priority = state.job_mix.priority_fraction
        fraction = priority + (1 - priority) * (1 - SAFETY_FACTOR)
        for worker in workers[: ceil(fraction * len(workers))]:
            worker.pool = state.high_set
    if workers and all(worker.pool is state.high_set for worker in workers):
        workers[-1].pool = state.low_set


def resize(state: PolicyState) -> None:
    """Move workers to the High Set while it is over its caps, and back while it has spare ones."""
    state.common_cap = state.median_cap()
    state.headroom_changed = True
    slow_start.count_warm_workers(state)
    # Waiting jobs are load too: without them a full High Set would never look over its caps.
    headroom = pool_headroom(state, state.high_set) - sum(
        job.request.slots for job in state.waiting if job.priority and not job.ended
    )
    workers = state.eligible_workers
    least_high = 1.0
    known = sum(worker.has_valid_headroom(state.now_us) for worker in workers)
    if state.has_load_reports and 2 * known < len(workers):
        # Else dispatchers that know few headrooms all give back workers, down to the same one.
        least_high = max(state.job_mix.priority_fraction * len(workers), 1)
        workers = state.rng.sample(workers, len(workers))
    workers = available_workers(state, workers)
    state.pool_load.recount(workers)
    for _ in range(max(len(workers) // WORKERS_PER_MOVE, 1)):
        headroom += _move_one_worker(state, workers, headroom, least_high)
    state.pool_load.recount(workers)


def _move_one_worker(
    state: PolicyState, workers: list[Worker], headroom: float, least_high: float
) -> float:
    """Move a worker between the pools if need be; return what that adds to the High Set."""
    high = [worker for worker in workers if worker.pool is state.high_set]
    low = [worker for worker in workers if worker.pool is state.low_set]
    cap = worker_cap(state)
    if headroom < 0 and len(low) > 1:
        max(low, key=state.headroom).pool = state.high_set
        return cap
    if headroom > cap and len(high) > least_high:
        # Of equal headrooms the last id, so that the High Sets of many dispatchers stay the same.
        candidates = reversed(high) if state.pool_load.is_many else high
        max(candidates, key=state.headroom).pool = state.low_set
        return -cap
    return 0.0
