"""Selection of the worker for an attempt."""

from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import JobClass
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import (
    capacity,
    idempotency,
    key_affinity,
    outliers,
    pool_capacity,
    pools,
    priority,
    slow_start,
    unconfirmed_list,
    weighted_round_robin,
)

# On large fleets more candidates would only cost time.
MAX_CANDIDATES = 64
SLOTS_RESERVED_FROM_BEST_EFFORT = 1.0
MIN_FRACTION_OF_LARGEST_HEADROOM = 0.5
MIN_ENDPOINT_WEIGHT = 1e-6
ANY_WORKER_KIND = -1
# Free slots by worker, in the order of the candidates.
Headrooms = dict[Worker, float]


def choose_worker(state: PolicyState, job: InFlightJob) -> Worker | None:
    """Return the worker for the job's next attempt, or None if the job has to wait.

    The choice is among the workers with headroom. These are narrowed to the job's own pool if that
    pool has any, to the larger headrooms, and to the own zone. The round robin chooses among the
    rest.
    """
    candidates = _candidate_workers(state, job)
    headrooms = dict(zip(candidates, capacity.headrooms(state, candidates), strict=True))
    workers = _workers_of_own_pool_or_overflow(state, job, headrooms)
    if not workers:
        return None
    if job.request.key is not None and len(candidates) <= key_affinity.MIN_WORKERS_PER_KEY:
        return workers[0]
    workers = _workers_of_own_zone(state, _workers_with_large_headroom(workers, headrooms))
    return _choose_by_round_robin(state, workers)


def _candidate_workers(state: PolicyState, job: InFlightJob) -> list[Worker]:
    """Return the workers that may run the job, whatever their headroom.

    They depend on the job's class, tenant, key and earlier attempts, on the workers' slow start and
    ejections, and on the age of the endpoint list.
    """
    now_us = state.now_us
    workers = _sample_of_capable_workers(state, job)
    workers = [
        worker
        for worker in workers
        if now_us >= worker.slow_start_ends_us or slow_start.is_admitted(state, job, worker)
    ]
    workers = outliers.available_workers(state, workers, job.request.job_class)
    workers = unconfirmed_list.usable_workers(state, workers)
    if job.attempts:
        workers = _workers_for_repeat(job, workers)
    if job.request.key is None:
        return workers
    return key_affinity.workers_with_affinity(state, job, workers)


def _sample_of_capable_workers(state: PolicyState, job: InFlightJob) -> list[Worker]:
    """Return a bounded number of capable workers: drawn at random, or the first in key order."""
    key = job.request.key
    job_class = job.class_settings
    tenant = state.settings.tenant_name(job.request.tenant)
    workers = (
        state.workers.eligible if key is None else key_affinity.workers_in_key_order(state, key)
    )
    workers = capable_workers(workers, job_class, tenant)
    if key is None and len(workers) > MAX_CANDIDATES:
        workers = state.rng.sample(workers, MAX_CANDIDATES)
    return workers[:MAX_CANDIDATES]


def capable_workers(workers: list[Worker], job_class: JobClass, tenant: str) -> list[Worker]:
    """Return the workers that can run a tenant's jobs of the class.

    The worker's kind has to fit. Where its endpoint names the jobs that it supports, they have to
    include the class, or the class for this tenant.
    """
    if job_class.worker_kind != ANY_WORKER_KIND:
        workers = [
            worker for worker in workers if worker.endpoint.worker_kind == job_class.worker_kind
        ]
    return [
        worker
        for worker in workers
        if worker.endpoint.supported_jobs is None
        or _supports(worker.endpoint.supported_jobs, job_class, tenant)
    ]


def _supports(supported_jobs: frozenset[str], job_class: JobClass, tenant: str) -> bool:
    """Return whether the jobs that an endpoint names include a tenant's jobs of the class."""
    return job_class.name in supported_jobs or f"{tenant}/{job_class.name}" in supported_jobs


def _workers_for_repeat(job: InFlightJob, workers: list[Worker]) -> list[Worker]:
    """Return the workers that may repeat the job, without those that were tried if others exist."""
    workers = idempotency.workers_in_idempotency_scope(job, workers)
    tried_workers = job.tried_workers
    return [worker for worker in workers if worker not in tried_workers] or workers


def _workers_of_own_pool_or_overflow(
    state: PolicyState, job: InFlightJob, headrooms: Headrooms
) -> list[Worker]:
    """Return workers with headroom in the job's own pool; if none, in any pool that it may use."""
    workers = _workers_with_headroom(state, job, headrooms)
    own_pool = pools.own_pool(state, job)
    own_workers = [worker for worker in workers if worker.pool is own_pool]
    if own_workers:
        return own_workers
    return workers if _may_overflow(state, job, headrooms) else []


def _may_overflow(state: PolicyState, job: InFlightJob, headrooms: Headrooms) -> bool:
    """Return whether a job may go to the pool that is not its own.

    A priority job always may. An ordinary job may if the High Set takes overflow, or if all
    candidates are in the High Set.
    """
    if job.priority or pools.high_set_takes_overflow(state):
        return True
    high_set = state.pools.high_set
    return all(worker.pool is high_set for worker in headrooms)


def _workers_with_headroom(
    state: PolicyState, job: InFlightJob, headrooms: Headrooms
) -> list[Worker]:
    """Return the workers of both pools that have enough headroom for the job.

    A cap is an estimate. A worker whose headroom has no valid measurement is therefore returned for
    every priority job. With many dispatchers it is also returned for an ordinary job if this
    dispatcher has no attempts on it, because admission has already applied the pools' caps.
    """
    needed_slots = job.request.slots
    if priority.is_best_effort(job):
        needed_slots += SLOTS_RESERVED_FROM_BEST_EFFORT
    valid_since_us = state.now_us - capacity.HEADROOM_VALID_US
    if job.priority:
        return [
            worker
            for worker, headroom in headrooms.items()
            if headroom >= needed_slots or worker.headroom_at_us < valid_since_us
        ]
    if pool_capacity.has_many_dispatchers(state.settings):
        return [
            worker
            for worker, headroom in headrooms.items()
            if headroom >= needed_slots
            or (worker.headroom_at_us < valid_since_us and not worker.busy_slots)
        ]
    return [worker for worker, headroom in headrooms.items() if headroom >= needed_slots]


def _workers_with_large_headroom(workers: list[Worker], headrooms: Headrooms) -> list[Worker]:
    """Return the workers with at least half of the largest headroom.

    Headrooms are old and inexact when they are used, so not only the best worker gets jobs.
    """
    largest_headroom = max([headrooms[worker] for worker in workers])
    if largest_headroom <= 0:
        return workers
    min_headroom = MIN_FRACTION_OF_LARGEST_HEADROOM * largest_headroom
    return [worker for worker in workers if headrooms[worker] >= min_headroom]


def _workers_of_own_zone(state: PolicyState, workers: list[Worker]) -> list[Worker]:
    """Return the workers of the own zone, if it has any and crossing zones has a price.

    A worker that is warming up counts as one of the own zone: it must be warm before it is needed.
    """
    if not state.settings.cross_zone_price:
        return workers
    zone = state.settings.zone
    workers_of_zone = [
        worker
        for worker in workers
        if worker.endpoint.zone == zone or state.now_us < worker.slow_start_ends_us
    ]
    return workers_of_zone or workers


def _choose_by_round_robin(state: PolicyState, workers: list[Worker]) -> Worker:
    """Return the worker whose turn it is, by the endpoints' weights and slow start."""
    weights = [
        max(worker.endpoint.weight, MIN_ENDPOINT_WEIGHT)
        * slow_start.slow_start_factor(state, worker)
        for worker in workers
    ]
    return weighted_round_robin.choose_next(workers, weights)
