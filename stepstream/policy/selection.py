"""Selection of the worker for an attempt."""

from stepstream.model.job_records import InFlightJob
from stepstream.model.rotation import take_next
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import HEADROOM_VALID_US, Worker
from stepstream.policy import outliers, pools, slow_start

MOST_CANDIDATES = 64  # workers that a choice looks at; more would only cost more on large fleets
WORKERS_PER_KEY = 2  # that a key's jobs keep to; a hot key's, so many more for each it could fill
EXCESS_HEADROOM = 1.0  # slots of a worker that an excess job leaves free
HEADROOM_FRACTION = 0.5  # rotation keeps to workers with at least this fraction of the best one's
LEAST_WEIGHT = 1e-6  # of a worker in rotation
Headrooms = dict[Worker, float]  # free slots by worker, in the order of the candidates


def choose_worker(state: PolicyState, job: InFlightJob) -> Worker | None:
    """Return the worker for the job's next attempt, or None if the job has to wait."""
    candidates = _candidates(state, job)
    headrooms = {worker: state.headroom(worker) for worker in candidates}
    workers = _own_or_borrowed(state, job, headrooms)
    if not workers:
        return None
    if job.request.key is not None and len(candidates) <= WORKERS_PER_KEY:
        return workers[0]
    # Of stale and noisy counts the larger half is worth more than the rest: rotate there.
    best = max(headrooms[worker] for worker in workers)
    if best > 0:
        workers = [w for w in workers if headrooms[w] >= HEADROOM_FRACTION * best]
    return _next_in_rotation(state, _in_own_zone(state, workers))


def _candidates(state: PolicyState, job: InFlightJob) -> list[Worker]:
    """Return the workers that may run the job, by ejections, slow start, key and past attempts."""
    key = job.request.key
    kind = job.class_settings
    tenant = state.settings.tenant_name(job.request.tenant)
    workers = state.eligible_workers if key is None else state.workers_for_key(key)
    workers = [worker for worker in workers if worker.endpoint.can_run(kind, tenant)]
    if key is None and len(workers) > MOST_CANDIDATES:
        workers = state.rng.sample(workers, MOST_CANDIDATES)
    workers = [
        worker
        for worker in workers[:MOST_CANDIDATES]
        if state.now_us >= worker.slow_start_ends_us or slow_start.is_admitted(state, job, worker)
    ]
    workers = outliers.available_workers(state, workers, job.request.job_class)
    if job.attempts:
        workers = job.workers_in_key_scope(workers)
        tried = job.tried_workers
        workers = [worker for worker in workers if worker not in tried] or workers
    return workers if key is None else _nearest_for_key(state, job, workers)


def _nearest_for_key(state: PolicyState, job: InFlightJob, workers: list[Worker]) -> list[Worker]:
    """Keep to the first workers in the key's order, of the job's own pool if it has any."""
    pool = state.high_set if job.priority else state.low_set
    workers = [worker for worker in workers if worker.pool is pool] or workers
    # A hot key's share of the work is more than two workers of a large fleet can do.
    fraction = state.job_mix.key_fraction(job.request.key)
    return workers[: WORKERS_PER_KEY + int(WORKERS_PER_KEY * fraction * len(workers))]


def _own_or_borrowed(state: PolicyState, job: InFlightJob, headrooms: Headrooms) -> list[Worker]:
    """Return workers with headroom of the job's own pool, else of the other one if it lends."""
    free = _with_headroom(state, job, headrooms)
    pool = state.high_set if job.priority else state.low_set
    own = [worker for worker in free if worker.pool is pool]
    if own:
        return own
    only_high = all(worker.pool is state.high_set for worker in headrooms)
    return free if job.priority or pools.lends(state) or only_high else []


def _with_headroom(state: PolicyState, job: InFlightJob, headrooms: Headrooms) -> list[Worker]:
    """Return the workers with headroom for the job, of both pools."""
    needed = job.request.slots + (EXCESS_HEADROOM if job.excess else 0.0)
    valid_since_us = state.now_us - HEADROOM_VALID_US
    priority = job.priority  # a cap alone never holds up a priority job
    # Many dispatchers keep a pool's caps at admission: none of our jobs on a worker is headroom.
    is_many = state.pool_load.has_many_dispatchers
    return [
        worker
        for worker, headroom in headrooms.items()
        if headroom >= needed
        or (
            worker.headroom_at_us < valid_since_us
            and (priority or (is_many and not worker.busy_slots))
        )
    ]


def _in_own_zone(state: PolicyState, workers: list[Worker]) -> list[Worker]:
    """Keep to the own zone if it has headroom and crossing has a price, but for slow starts."""
    if not state.settings.cross_zone_price:
        return workers
    zone = state.settings.zone
    # One back from a restart or maintenance must warm up before it is needed.
    near = [w for w in workers if w.endpoint.zone == zone or state.now_us < w.slow_start_ends_us]
    return near or workers


def _next_in_rotation(state: PolicyState, workers: list[Worker]) -> Worker:
    """Return the worker whose turn it is; slow start scales the weight."""
    weights = [max(w.endpoint.weight, LEAST_WEIGHT) * state.slow_start_factor(w) for w in workers]
    return take_next(workers, weights)
