"""Key affinity: jobs with the same key go to the same few workers, which have its data cached."""

from zlib import crc32

from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import pools

MIN_WORKERS_PER_KEY = 2
# All kept orders together may refer to this many workers, 8 bytes each, whatever keys clients send.
MAX_KEPT_REFERENCES = 100_000
REFERENCES_PER_ORDER = 32  # what an order costs beside its references, in references
# Spreads the bits of a 32-bit hash: Knuth's multiplicative method.
HASH_MULTIPLIER = 0x9E3779B1


def workers_in_key_order(state: PolicyState, key: str) -> list[Worker]:
    """Return the eligible workers in the key's order, which is the same at every dispatcher.

    At most as many orders are kept as there may be open requests, and as `MAX_KEPT_REFERENCES`
    allows; a new one replaces the oldest. The keys themselves are not kept: clients choose them.
    """
    orders = state.workers.key_orders
    key_hash = crc32(key.encode())
    if key_hash not in orders:
        if len(orders) >= max_kept_orders(state):
            del orders[next(iter(orders))]
        orders[key_hash] = sorted(
            state.workers.eligible,
            key=lambda worker: (worker.id_hash ^ key_hash) * HASH_MULTIPLIER % 2**32,
        )
    return orders[key_hash]


def max_kept_orders(state: PolicyState) -> int:
    """Return for how many keys the order of the workers is kept; one at least."""
    references = REFERENCES_PER_ORDER + len(state.workers.eligible)
    within_memory = MAX_KEPT_REFERENCES // references
    return max(min(state.settings.max_open_requests, within_memory), 1)


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
