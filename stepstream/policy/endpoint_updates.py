"""Endpoint updates: which workers there are, and which of them may get new jobs."""

from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.pools import Pool
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import slow_start


def apply_endpoint_list(state: PolicyState, endpoint_list: EndpointList) -> None:
    """Add, change and remove workers as an endpoint list says."""
    for endpoint in endpoint_list.endpoints:
        _apply_endpoint(state, endpoint)
    workers = state.workers
    if endpoint_list.kind is not EndpointListKind.CHANGES:
        listed_ids = {endpoint.worker_id for endpoint in endpoint_list.endpoints}
        for worker_id in [known_id for known_id in workers.by_id if known_id not in listed_ids]:
            _remove_worker(state, worker_id)
    workers.eligible = [
        worker
        for _, worker in sorted(workers.by_id.items())
        if worker.endpoint.state is EndpointState.ACTIVE
    ]
    workers.key_orders = {}
    workers.waiting_jobs_due = True
    slow_start.update_warm_worker_equivalents(state)


def _apply_endpoint(state: PolicyState, endpoint: Endpoint) -> None:
    """Add, change or remove one worker."""
    workers = state.workers.by_id
    if endpoint.state is EndpointState.REMOVED:
        _remove_worker(state, endpoint.worker_id)
        return
    known_worker = workers.get(endpoint.worker_id)
    if known_worker is None or endpoint.started_us > known_worker.endpoint.started_us:
        pool = known_worker.pool if known_worker is not None else state.pools.low_set
        _remove_worker(state, endpoint.worker_id)
        workers[endpoint.worker_id] = _new_worker(state, endpoint, pool)
    else:
        known_worker.endpoint = endpoint


def _remove_worker(state: PolicyState, worker_id: str) -> None:
    """Remove a worker, and take the slots of its open attempts off its pool now.

    The next recount of the pools leaves out the slots of a removed worker. The worker gets a pool
    of its own, because the ends of its attempts would otherwise take their slots off the old pool
    a second time.
    """
    worker = state.workers.by_id.pop(worker_id, None)
    if worker is not None:
        worker.pool.busy_slots -= worker.busy_slots
        worker.pool.running_slots -= worker.running_slots
        worker.pool = Pool()


def _new_worker(state: PolicyState, endpoint: Endpoint, pool: Pool) -> Worker:
    """Return the record of a process that has just appeared or was restarted.

    A restarted process is cold and healthy, and its old cap says nothing. Its weight in the round
    robin begins at random; otherwise all dispatchers would begin with the same worker.
    """
    # A process without a start time counts as warmed up.
    has_start_time = endpoint.started_us != 0
    slow_start_ends_us = endpoint.started_us + state.settings.slow_start_us if has_start_time else 0
    worker = Worker(endpoint, slow_start_ends_us, state.now_us, pool)
    worker.current_weight = -state.rng.random() * endpoint.weight
    return worker
