"""Key affinity: jobs with the same key go to the same few workers, which have its data cached."""

from zlib import crc32

from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import pools

MIN_WORKERS_PER_KEY = 2
# Spreads the bits of a 32-bit hash: Knuth's multiplicative method.
HASH_MULTIPLIER = 0x9E3779B1


def workers_in_key_order(state: PolicyState, key: str) -> list[Worker]:
    """Return the eligible workers in the key's order, which is the same at every dispatcher.

    At most as many orders are kept as there may be open requests; a new one replaces the oldest.
    """
    orders = state.workers.key_orders
    if key not in orders:
        if len(orders) >= max(state.settings.max_open_requests, 1):
            del orders[next(iter(orders))]
        key_hash = crc32(key.encode())
        orders[key] = sorted(
            state.workers.eligible,
            key=lambda worker: (worker.id_hash ^ key_hash) * HASH_MULTIPLIER % 2**32,
        )
    return orders[key]


def workers_with_affinity(
    state: PolicyState, job: InFlightJob, workers: list[Worker]
) -> list[Worker]:
    """Return the first of the workers in the key's order, from the job's own pool if it has any.

    A frequent key gets more than MIN_WORKERS_PER_KEY workers, as these few could not run all of its
    jobs in a large fleet.
    """
    own_pool = pools.own_pool(state, job)
    workers = [worker for worker in workers if worker.pool is own_pool] or workers
    key_fraction = state.measurements.job_mix.key_fraction(job.request.key)
    additional_count = int(MIN_WORKERS_PER_KEY * key_fraction * len(workers))
    return workers[: MIN_WORKERS_PER_KEY + additional_count]
