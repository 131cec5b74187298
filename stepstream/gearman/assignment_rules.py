"""The rules for queueing calls for a worker and assigning them, as pure functions.

A call has certainly not run before it is assigned; after that it may have run.
"""

from collections.abc import Container

from stepstream.core.requests import Call
from stepstream.gearman.names import registered_name
from stepstream.gearman.peers import QueuedCall, Worker
from stepstream.model.events import AttemptResult


def reason_not_to_queue(
    worker: Worker, call: Call, class_name: str, tenant: str, queue_length: int
) -> AttemptResult | None:
    """Return None if a call may wait for its worker, otherwise the result that the call ends with.

    `queue_length` is how many calls may wait beyond the worker's slots.

    The result is NOT_SENT if the worker has not registered the function, or if it still holds an
    earlier attempt of the same request: the protocol cannot recall a job, and the worker would run
    it twice. The result is FULL if the queue is full, so that the policy sends the job elsewhere.
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

    A worker holds at most one job per slot. Further jobs would wait inside the worker, where the
    policy does not see them.
    """
    return len(worker.assigned) < worker.identity.slots


def is_wakeup_due(worker: Worker) -> bool:
    """Decide whether a worker is sent a NOOP: it sleeps, has a queued call and a free slot.

    A NOOP without work would only cost a round trip.
    """
    has_work = bool(worker.queue) and has_free_slot(worker)
    return worker.asleep and has_work


def function_to_assign(queued: QueuedCall, functions: Container[str], now_us: int) -> str | None:
    """Return the registered function under which a queued call is assigned at `now_us`.

    Return None if the call is not needed any more, it may not be written any more, or the worker
    has removed its function. This is the last check before the job is sent, with the same reasons
    as for HTTP workers (`http.outbound`): the answer, a client that has left, the deadline, and the
    end of the idempotency window, after which a repeat could run a second time.
    """
    call = queued.call
    is_needed = call.still_needed and now_us < call.deadline_us and not call.client_has_left
    if not is_needed:
        return None
    if call.write_deadline_us is not None and now_us > call.write_deadline_us:
        return None
    return registered_name(functions, queued.class_name, queued.tenant)


def has_waited_too_long(queued: QueuedCall, now_us: int, max_wait_us: int) -> bool:
    """Decide whether a queued call is returned to the policy because no GRAB_JOB came for it.

    Otherwise a busy or silent worker would keep the job while another worker is idle.
    """
    return now_us - queued.queued_at_us >= max_wait_us
