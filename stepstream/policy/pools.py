"""The High Set and the Low Set: their headroom, and which workers are in which.

DynamicPart of Andreolini et al.; caps are learned, as no dispatcher knows them beforehand.
"""

from math import ceil

from stepstream.model.pools import SAFETY_FACTOR, Pool
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import ANY_CLASS, Worker
from stepstream.policy import outliers

LENDING_CAP_FRACTION = 0.25  # of a worker's cap; the High Set keeps it free where load is reported
WORKERS_PER_MOVE = 16  # one resizing moves one worker of so many


def pool_headroom(state: PolicyState, pool: Pool) -> float:
    """Return the pool's summed caps less its summed busy slots, measured once a round."""
    if state.pool_load.has_many_dispatchers:
        return state.pool_load.headroom(pool)
    if pool not in state.pool_headrooms:
        members = [worker for worker in state.eligible_workers if worker.pool is pool]
        members = outliers.available_workers(state, members, ANY_CLASS)
        state.pool_headrooms[pool] = sum(map(state.headroom, members))
    return state.pool_headrooms[pool]


def lends(state: PolicyState) -> bool:
    """Return whether the High Set has so much headroom that an ordinary job may go to it."""
    fraction = LENDING_CAP_FRACTION if state.has_load_reports else 1.0
    return pool_headroom(state, state.high_set) > state.worker_cap * fraction


def has_spare_capacity(state: PolicyState) -> bool:
    """Return whether both pools together have headroom for more than two workers' caps."""
    headroom = pool_headroom(state, state.high_set) + pool_headroom(state, state.low_set)
    return headroom > 2 * state.worker_cap


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
    # Waiting jobs are load too: without them a full High Set would never look over its caps.
    headroom = pool_headroom(state, state.high_set) - state.waiting_priority_slots()
    workers = state.eligible_workers
    least_high = 1.0
    if state.has_load_reports and 2 * state.known_headroom_count() < len(workers):
        # Else dispatchers that know few headrooms all give back workers, down to the same one.
        least_high = max(state.job_mix.priority_fraction * len(workers), 1)
        workers = state.rng.sample(workers, len(workers))
    workers = outliers.available_workers(state, workers, ANY_CLASS)
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
    cap = state.worker_cap
    if headroom < 0 and len(low) > 1:
        max(low, key=state.headroom).pool = state.high_set
        return cap
    if headroom > cap and len(high) > least_high:
        # Of equal headrooms the last id, so that the High Sets of many dispatchers stay the same.
        candidates = reversed(high) if state.pool_load.has_many_dispatchers else high
        max(candidates, key=state.headroom).pool = state.low_set
        return -cap
    return 0.0
