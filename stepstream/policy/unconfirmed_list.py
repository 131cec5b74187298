"""Which workers are still used while nothing confirms the endpoint list.

Each answer of discovery confirms the list. While its calls fail, changes are missed: a worker may
have been removed, and a new process at its address accepts connections again. The platform allows
attempts on a removed worker for 6 s after discovery had the change. A draining worker cannot be
recognized, but a worker whose machine has refused a connection has ended.

The rule takes effect on dispatchers alone: the simulator's wire does not report refused
connections.
"""

from stepstream.model.events import ConnectionRefused, EndpointCallFailed
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

# The platform's 6 s less the 2 s for which discovery lets a call wait before it fails the call.
MAX_UNCONFIRMED_US = 4_000_000
# Discovery reports the end of a process after this time at the latest.
MAX_REPORT_DELAY_US = 5_000_000


def usable_workers(state: PolicyState, workers: list[Worker]) -> list[Worker]:
    """Return the workers that may be used with an endpoint list of this age, or all if none may.

    Once the list has been unconfirmed for too long, a worker that refused a connection is not used
    until discovery's next answer, even if the worker accepts connections again.
    """
    unconfirmed_since_us = state.workers.unconfirmed_since_us
    if unconfirmed_since_us is None:
        return workers
    if state.now_us - unconfirmed_since_us < MAX_UNCONFIRMED_US:
        return workers
    unreported_since_us = unconfirmed_since_us - MAX_REPORT_DELAY_US
    usable = [worker for worker in workers if worker.refused_at_us < unreported_since_us]
    return usable or workers


def on_call_failed(state: PolicyState, event: EndpointCallFailed) -> None:
    """Record since when the list is not confirmed; later failures do not change the time."""
    if state.workers.unconfirmed_since_us is None:
        state.workers.unconfirmed_since_us = state.now_us - event.unconfirmed_us


def on_list_confirmed(state: PolicyState) -> None:
    """Record that the list is current, and try the waiting jobs again."""
    state.workers.unconfirmed_since_us = None
    state.workers.waiting_jobs_due = True


def on_connection_refused(state: PolicyState, event: ConnectionRefused) -> None:
    """Record that a worker's machine refused a connection: the worker's process has ended.

    The worker's next process gets a new record without this time.
    """
    worker = state.workers.by_id.get(event.worker_id)
    if worker is not None:
        worker.refused_at_us = state.now_us
