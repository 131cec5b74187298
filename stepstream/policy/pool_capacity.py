"""Capacity of whole pools: their headroom, and the cap that each of many dispatchers applies.

With many dispatchers each one seldom has a job on a given worker, so its jobs there do not show the
worker's cap. Its jobs on a whole pool do. The cap of one worker is then the mean number of this
dispatcher's slots per worker at which starts begin to be overdue; it is often below one.
"""

from math import inf

from stepstream.model.pool_load import PoolLoad
from stepstream.model.pools import Pool
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.policy import capacity, outliers

# With more dispatchers than this, caps are learned for whole pools.
MAX_FEW_DISPATCHERS = 8
# The averages of a dispatcher that has just started are too low.
AVERAGES_SETTLE_US = 2_000_000
# A pool with a smaller cap would never be tried again.
MIN_POOL_CAP_SLOTS = 1.5
OVERDUE_START_FRACTION_AT_CAP = 0.4
CAP_DECREASE_FRACTION = 0.1
# Decreases and increases cancel out while OVERDUE_START_FRACTION_AT_CAP of the starts are overdue.
CAP_INCREASE_FRACTION = (
    CAP_DECREASE_FRACTION * OVERDUE_START_FRACTION_AT_CAP / (1 - OVERDUE_START_FRACTION_AT_CAP)
)
MAX_CAP_TO_RUNNING_SLOTS_RATIO = 2
# Starts in time do not raise a larger cap: they do not test a cap far above the load.
MAX_CAP_TO_BUSY_SLOTS_RATIO = 3


def has_many_dispatchers(settings: Settings) -> bool:
    """Return whether there are so many dispatchers that caps are learned for whole pools."""
    return settings.dispatcher_count > MAX_FEW_DISPATCHERS


def pool_headroom(state: PolicyState, pool: Pool) -> float:
    """Return the pool's summed caps less its summed busy slots, measured once a round."""
    if has_many_dispatchers(state.settings):
        return mean_pool_headroom(state.pools, pool)
    headrooms = state.pools.headrooms
    if pool not in headrooms:
        members = [worker for worker in state.workers.eligible if worker.pool is pool]
        members = outliers.available_workers(state, members, outliers.ANY_CLASS)
        headrooms[pool] = sum(capacity.headrooms(state, members))
    return headrooms[pool]


def mean_pool_headroom(pool_load: PoolLoad, pool: Pool) -> float:
    """Return the pool's summed caps less its mean busy slots, for one of many dispatchers."""
    if pool_load.worker_cap == inf:
        return inf
    return summed_caps(pool_load, pool) - pool.mean_busy_slots


def summed_caps(pool_load: PoolLoad, pool: Pool) -> float:
    """Return the slots that a pool may be loaded with, for one of many dispatchers.

    Priority jobs have to meet their latency objectives, so the High Set is loaded less.
    """
    safety_factor = capacity.SAFETY_FACTOR if pool is pool_load.high_set else 1.0
    return pool_load.worker_cap * safety_factor * pool.worker_count


def typical_cap(state: PolicyState) -> float:
    """Return the cap in slots of a worker whose own cap is not known; inf while none is known."""
    if has_many_dispatchers(state.settings):
        return state.pools.worker_cap
    common_cap = state.measurements.common_cap
    return inf if common_cap is None else max(common_cap, capacity.MIN_CAP_SLOTS)


def learn_from_low_set_start(pool_load: PoolLoad, *, overdue: bool) -> None:
    """Adjust the cap by one start in the Low Set, which was overdue or in time.

    The cap settles where OVERDUE_START_FRACTION_AT_CAP of the starts are overdue.
    """
    if pool_load.averaged_at_us < pool_load.started_us + AVERAGES_SETTLE_US:
        return
    worker_count = max(pool_load.low_set.worker_count, 1)
    busy_slots = pool_load.low_set.mean_busy_slots / worker_count
    running_slots = pool_load.low_set.mean_running_slots / worker_count
    if overdue and running_slots:
        _lower_cap(pool_load, busy_slots, running_slots)
    elif not overdue and pool_load.worker_cap < MAX_CAP_TO_BUSY_SLOTS_RATIO * busy_slots:
        pool_load.worker_cap *= 1 + CAP_INCREASE_FRACTION
    pool_load.worker_cap = max(pool_load.worker_cap, MIN_POOL_CAP_SLOTS / worker_count)


def _lower_cap(pool_load: PoolLoad, busy_slots: float, running_slots: float) -> None:
    """Lower the cap after an overdue start.

    `busy_slots` and `running_slots` are this dispatcher's mean busy and running slots per worker.
    Where jobs wait for their start, all slots of the workers run jobs. The running slots of this
    dispatcher therefore show its share of the workers' slots. While the load is over the cap,
    overdue starts are expected, and the cap is not lowered further. Otherwise it would fall
    together with the load, which the rejections reduce.
    """
    pool_load.worker_cap = min(pool_load.worker_cap, MAX_CAP_TO_RUNNING_SLOTS_RATIO * running_slots)
    if busy_slots <= pool_load.worker_cap:
        pool_load.worker_cap *= 1 - CAP_DECREASE_FRACTION
