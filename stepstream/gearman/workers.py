"""The table of Gearman's workers, with their queued and assigned calls; free of I/O.

The policy sends calls to workers, while Gearman's workers request jobs: a call waits here for its
worker's next GRAB_JOB. `assignment_rules` decides which calls wait and which are assigned.

The service owns the table; all access is under the lock of the front that owns the service. Methods
that end calls return the events to post to the core.
"""

from collections import deque

from stepstream.core.events import CallEnded
from stepstream.core.job_results import ResultChunk
from stepstream.core.requests import Call
from stepstream.gearman.assignment_rules import (
    function_to_assign,
    has_free_slot,
    has_waited_too_long,
    is_wakeup_due,
    reason_not_to_queue,
)
from stepstream.gearman.errors import RequestError
from stepstream.gearman.names import WorkerIdentity, registered_name
from stepstream.gearman.peers import AssignedCall, Peer, QueuedCall, Worker
from stepstream.model.events import AttemptResult
from stepstream.runtime.byte_budget import ByteBudget, ByteReservation

# A late report is ignored if it concerns one of the worker's latest ended jobs; otherwise it is an
# error.
MAX_ENDED_HANDLES_PER_WORKER = 64
CHUNK_RECORD_BYTES = 128  # of a chunk, beside its data


class WorkerTable:
    """All connected workers; a call is either queued or assigned, never both."""

    def __init__(
        self,
        queue_length: int,
        queue_wait_us: int,
        max_chunk_bytes: int,
        chunk_memory: ByteBudget,
    ) -> None:
        """Create an empty table.

        `queue_length`: how many calls may wait beyond a worker's slots. `queue_wait_us`: how long a
        call may wait, in microseconds. `max_chunk_bytes`: limit of one job's chunks together.
        `chunk_memory`: the budget for the chunks of all jobs.
        """
        self.queue_length = queue_length
        self.queue_wait_us = queue_wait_us
        self.max_chunk_bytes = max_chunk_bytes
        self.chunk_memory = chunk_memory
        self.by_id: dict[str, Worker] = {}

    # -- registration -----------------------------------------------------------------------------

    def add(self, peer: Peer, identity: WorkerIdentity) -> Worker:
        """Add a connection as a worker."""
        worker = Worker(peer, self._unused_id(identity.name), identity)
        self.by_id[worker.worker_id] = worker
        return worker

    def _unused_id(self, name: str) -> str:
        """Return an unused id; two connections with the same name are two workers."""
        worker_id = f"gearman:{name}"
        suffix = 1
        while worker_id in self.by_id:
            suffix += 1
            worker_id = f"gearman:{name}~{suffix}"
        return worker_id

    def remove(self, worker: Worker) -> list[CallEnded]:
        """Remove a worker and end its calls; only assigned calls may have run."""
        self.by_id.pop(worker.worker_id, None)
        ended = [CallEnded(queued.call, AttemptResult.NOT_SENT) for queued in worker.queue]
        ended.extend(
            CallEnded(assigned.call, AttemptResult.RESET) for assigned in worker.assigned.values()
        )
        for assigned in worker.assigned.values():
            release_chunks(assigned)
        worker.queue.clear()
        worker.assigned.clear()
        return ended

    def add_function(self, worker: Worker, function: str, timeout_us: int) -> None:
        """Register a function of a worker; a `timeout_us` of 0 means no timeout."""
        worker.timeouts_us[function] = timeout_us

    def remove_functions(self, worker: Worker, function: str | None) -> list[CallEnded]:
        """Remove one function, or all for None; end their queued calls, not the assigned ones."""
        if function is None:
            worker.timeouts_us.clear()
        else:
            worker.timeouts_us.pop(function, None)
        remaining: deque[QueuedCall] = deque()
        ended = []
        for queued in worker.queue:
            if registered_name(worker.timeouts_us, queued.class_name, queued.tenant) is None:
                ended.append(CallEnded(queued.call, AttemptResult.NOT_SENT))
            else:
                remaining.append(queued)
        worker.queue = remaining
        return ended

    # -- calls ------------------------------------------------------------------------------------

    def enqueue(self, now_us: int, call: Call, class_name: str, tenant: str) -> list[CallEnded]:
        """Queue a call for its worker, or end it at once if the worker cannot take it."""
        worker = self.by_id.get(call.worker_id)
        if worker is None:
            return [CallEnded(call, AttemptResult.NOT_SENT)]
        result = reason_not_to_queue(worker, call, class_name, tenant, self.queue_length)
        if result is not None:
            return [CallEnded(call, result)]
        worker.queue.append(QueuedCall(call, class_name, tenant, now_us))
        return []

    def take_wakeup(self, worker: Worker) -> bool:
        """Return whether to send a worker a NOOP now; if so, mark the worker as awake."""
        if not is_wakeup_due(worker):
            return False
        worker.asleep = False
        return True

    def assign(
        self, now_us: int, worker: Worker, handle: str
    ) -> tuple[AssignedCall | None, list[CallEnded]]:
        """Assign a worker its next queued call under a job handle; None if there is none.

        Queued calls that must not be assigned any more (see `function_to_assign`) are dropped; the
        second part of the result ends them.
        """
        worker.asleep = False
        dropped: list[CallEnded] = []
        if not has_free_slot(worker):
            return None, dropped
        while worker.queue:
            queued = worker.queue.popleft()
            function = function_to_assign(queued, worker.timeouts_us, now_us)
            if function is not None:
                assigned = AssignedCall(queued.call, handle, function)
                worker.assigned[handle] = assigned
                return assigned, dropped
            dropped.append(CallEnded(queued.call, AttemptResult.NOT_SENT))
        return None, dropped

    def stop(self, call: Call) -> None:
        """Drop a call that the core has given up if it is queued; an assigned one goes on."""
        worker = self.by_id.get(call.worker_id)
        if worker is not None:
            worker.queue = deque(queued for queued in worker.queue if queued.call is not call)

    def expire_queued(self, now_us: int) -> list[CallEnded]:
        """End the calls that have waited too long for a GRAB_JOB; none of them has run."""
        ended = []
        for worker in self.by_id.values():
            while worker.queue and has_waited_too_long(worker.queue[0], now_us, self.queue_wait_us):
                ended.append(CallEnded(worker.queue.popleft().call, AttemptResult.FULL))
        return ended

    # -- reports on assigned jobs -----------------------------------------------------------------

    def find_assigned(self, worker: Worker, handle: bytes) -> AssignedCall | None:
        """Return the call of a worker's job handle; None if its job has ended.

        Raise `RequestError` for a handle that was never this connection's.
        """
        handle_text = handle.decode("ascii", "replace")
        if handle_text in worker.assigned:
            return worker.assigned[handle_text]
        if handle_text in worker.ended_handles:
            return None
        raise RequestError("JOB_NOT_FOUND", "this connection holds no job of that handle")

    def end_assigned(self, worker: Worker, assigned: AssignedCall) -> None:
        """Free the slot of an assigned call; keep its handle to recognize late reports."""
        del worker.assigned[assigned.handle]
        release_chunks(assigned)
        worker.ended_handles[assigned.handle] = None
        while len(worker.ended_handles) > MAX_ENDED_HANDLES_PER_WORKER:
            worker.ended_handles.popitem(last=False)

    def add_chunk(self, assigned: AssignedCall, chunk: ResultChunk) -> bool:
        """Add a chunk to a result; return False if the job's chunks exceed the limit together.

        All jobs' chunks have one budget, against which a chunk counts with its record: many small
        ones take many times their bytes.
        """
        assigned.chunk_bytes += len(chunk.data)
        is_too_large = assigned.chunk_bytes > self.max_chunk_bytes
        if is_too_large or not self.chunk_memory.has_room_for(len(chunk.data) + CHUNK_RECORD_BYTES):
            return False
        assigned.chunks.append(chunk)
        if assigned.reservation is None:
            assigned.reservation = ByteReservation(self.chunk_memory)
        record_bytes = len(assigned.chunks) * CHUNK_RECORD_BYTES
        assigned.reservation.resize(assigned.chunk_bytes + record_bytes)
        return True


def release_chunks(assigned: AssignedCall) -> None:
    """Return the memory of an ended job's chunks to the budget."""
    if assigned.reservation is not None:
        assigned.reservation.release()
