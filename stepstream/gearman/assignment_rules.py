"""Which calls wait for a worker and which are assigned to it, as pure functions.

Up to the assignment a call has provably never run; from then on it may have.
"""

from collections.abc import Container

from stepstream.core.requests import Call
from stepstream.gearman.names import registered_name
from stepstream.gearman.peers import QueuedCall, Worker
from stepstream.model.events import AttemptResult


def reason_not_to_queue(
    worker: Worker, call: Call, class_name: str, tenant: str, queue_length: int
) -> AttemptResult | None:
    """Decide whether a call may wait for its worker; return how it ends if not.

    `queue_length` is how many calls may wait beyond the worker's slots. NOT_SENT where the worker
    has not registered the function, or still holds an earlier attempt of the same request: the
    protocol cannot recall a job, and the worker would run it twice. FULL beyond the queue, so that
    the policy sends the job elsewhere.
    """
    if registered_name(worker.timeouts_us, class_name, tenant) is None:
        return AttemptResult.NOT_SENT
    if any(assigned.call.request is call.request for assigned in worker.assigned.values()):
        return AttemptResult.NOT_SENT
    call_count = len(worker.queue) + len(worker.assigned)
    if call_count >= worker.identity.slots + queue_length:
        return AttemptResult.FULL
    return None


def has_free_slot(worker: Worker) -> bool:
    """Decide whether a worker may be assigned one more job.

    It holds at most its slots: further jobs would wait inside the worker, unseen by the policy.
    """
    return len(worker.assigned) < worker.identity.slots


def is_wakeup_due(worker: Worker) -> bool:
    """Decide whether a worker that sleeps is sent a NOOP.

    Only if a call waits that it may be assigned; a NOOP without work costs a round trip.
    """
    has_work = bool(worker.queue) and has_free_slot(worker)
    return worker.asleep and has_work


def function_to_assign(queued: QueuedCall, functions: Container[str], now_us: int) -> str | None:
    """Return the registered function under which a queued call is assigned at `now_us`.

    None for a call that the core has given up, whose deadline has passed, or whose function the
    worker has removed: it would run for nothing. This is the last check before the job is sent.
    """
    call = queued.call
    is_needed = call.open and now_us < call.deadline_us
    if not is_needed:
        return None
    return registered_name(functions, queued.class_name, queued.tenant)


def has_waited_too_long(queued: QueuedCall, now_us: int, max_wait_us: int) -> bool:
    """Decide whether a call that no GRAB_JOB came for is given back to the policy.

    A worker that is busy or silent would keep the job while another one is idle.
    """
    return now_us - queued.queued_at_us >= max_wait_us
