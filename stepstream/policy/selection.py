"""Selection of the worker for an attempt."""

from zlib import crc32

from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Effect, KeyScope
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import HEADROOM_VALID_US, Worker
from stepstream.policy import pools
from stepstream.policy.outliers import available_workers
from stepstream.policy.slow_start import is_admitted, slow_start_factor

MOST_CANDIDATES = 64  # workers that a choice looks at; more would only cost more on large fleets
WORKERS_PER_KEY = 2  # that a key's jobs keep to; a hot key's, so many more for each it could fill
EXCESS_HEADROOM = 1.0  # slots of a worker that an excess job leaves free
HEADROOM_FRACTION = 0.5  # rotation keeps to workers with at least this fraction of the best one's
LEAST_WEIGHT = 1e-6  # of a worker in rotation
HASH_FACTOR = 0x9E3779B1  # spreads the bits of a 32-bit hash (Knuth's multiplicative method)


def choose_worker(state: PolicyState, job: InFlightJob) -> Worker | None:
    """Return the worker for the job's next attempt, or None if the job has to wait."""
    candidates = _candidates(state, job)
    headrooms = {worker: state.headroom(worker) for worker in candidates}
    workers = _with_headroom(state, job, headrooms)
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
    workers = state.eligible_workers if key is None else _ranked_for_key(state, key)
    workers = [worker for worker in workers if worker.endpoint.can_run(kind, tenant)]
    if len(workers) > MOST_CANDIDATES:
        first = workers[:MOST_CANDIDATES]
        workers = state.rng.sample(workers, MOST_CANDIDATES) if key is None else first
    now_us = state.now_us
    workers = [w for w in workers if now_us >= w.slow_start_ends_us or is_admitted(state, job, w)]
    workers = available_workers(state, workers, job.request.job_class)
    if job.attempts:
        workers = _in_key_scope(job, workers)
        tried = job.tried_workers
        workers = [worker for worker in workers if worker not in tried] or workers
    return workers if key is None else _nearest_for_key(state, job, key, workers)


def _ranked_for_key(state: PolicyState, key: str) -> list[Worker]:
    """Return the eligible workers in the key's order, which is the same at every dispatcher."""
    if key not in state.workers_by_key:
        key_hash = crc32(key.encode())
        state.workers_by_key[key] = sorted(
            state.eligible_workers,
            key=lambda worker: (worker.id_hash ^ key_hash) * HASH_FACTOR % 2**32,
        )
    return state.workers_by_key[key]


def _nearest_for_key(
    state: PolicyState, job: InFlightJob, key: str, workers: list[Worker]
) -> list[Worker]:
    """Keep to the first workers in the key's order, of the job's own pool if it has any."""
    pool = state.high_set if job.priority else state.low_set
    workers = [worker for worker in workers if worker.pool is pool] or workers
    # A hot key's share of the work is more than two workers of a large fleet can do.
    more = int(WORKERS_PER_KEY * state.job_mix.key_fraction(key) * len(workers))
    return workers[: WORKERS_PER_KEY + more]


def _in_key_scope(job: InFlightJob, workers: list[Worker]) -> list[Worker]:
    """Keep to the workers where a repeat of the job would be dropped, if it may have run."""
    first = job.first_possible_run()
    scope = job.class_settings.key_scope
    if first is None or job.class_settings.effect is Effect.IDEMPOTENT or scope == KeyScope.ALL:
        return workers
    place = first.worker.endpoint
    if scope == KeyScope.ZONE:
        return [worker for worker in workers if worker.endpoint.zone == place.zone]
    return [worker for worker in workers if worker.endpoint.cell == place.cell]


def _with_headroom(
    state: PolicyState, job: InFlightJob, headrooms: dict[Worker, float]
) -> list[Worker]:
    """Return the workers with headroom for the job, of its own pool or of the other if it lends."""
    needed = job.request.slots + (EXCESS_HEADROOM if job.excess else 0.0)
    valid_since_us = state.now_us - HEADROOM_VALID_US
    priority = job.priority  # a cap alone never holds up a priority job
    # Many dispatchers keep a pool's caps at admission: none of our jobs on a worker is headroom.
    is_many = state.pool_load.is_many
    workers = [
        worker
        for worker, headroom in headrooms.items()
        if headroom >= needed
        or (
            worker.headroom_at_us < valid_since_us
            and (priority or (is_many and not worker.busy_slots))
        )
    ]
    pool = state.high_set if priority else state.low_set
    own = [worker for worker in workers if worker.pool is pool]
    if own:
        return own
    # The Low Set lends to one job; the High Set does if it has a worker to give back.
    borrows = priority or pools.lends(state) or all(w.pool is state.high_set for w in headrooms)
    return workers if borrows else []


def _in_own_zone(state: PolicyState, workers: list[Worker]) -> list[Worker]:
    """Keep to the own zone if it has headroom and crossing has a price, but for slow starts.

    A worker back from a restart or maintenance must warm up before it is needed.
    """
    if not state.settings.cross_zone_price:
        return workers
    zone = state.settings.zone
    now_us = state.now_us
    near = [w for w in workers if w.endpoint.zone == zone or now_us < w.slow_start_ends_us]
    return near or workers


def _next_in_rotation(state: PolicyState, workers: list[Worker]) -> Worker:
    """Return the next worker by smooth weighted round robin; slow start scales the weight."""
    total = 0.0
    for worker in workers:
        weight = max(worker.endpoint.weight, LEAST_WEIGHT) * slow_start_factor(state, worker)
        worker.current_weight += weight
        total += weight
    chosen = max(workers, key=lambda worker: worker.current_weight)
    chosen.current_weight -= total
    return chosen
