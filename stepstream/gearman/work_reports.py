"""Work reports: the WORK_* packets of workers about their assigned jobs.

Data and warnings are buffered until the job ends, so that a client gets only those of the attempt
that served it. Reader threads call this module, under the lock of the front that owns the service.
"""

from stepstream.core.events import CallEnded, JobNotification, JobStatus
from stepstream.core.job_results import ChunkedResult, ResultChunk
from stepstream.gearman.codec import Packet, PacketKind, parse_number_argument
from stepstream.gearman.errors import RequestError
from stepstream.gearman.job_assignment import JobAssignment
from stepstream.gearman.notifications import JobResponseSink
from stepstream.gearman.peers import AssignedCall, Peer, Worker
from stepstream.gearman.state import ServiceState
from stepstream.model.events import AttemptResult

WORK_REPORT_KINDS = frozenset(
    (
        PacketKind.WORK_STATUS,
        PacketKind.WORK_DATA,
        PacketKind.WORK_WARNING,
        PacketKind.WORK_COMPLETE,
        PacketKind.WORK_FAIL,
        PacketKind.WORK_EXCEPTION,
    )
)


class WorkReports:
    """Handles the WORK_* packets of workers, and notifies the core about their calls."""

    def __init__(self, state: ServiceState, assignment: JobAssignment) -> None:
        self.state = state
        self.assignment = assignment

    def handle_report(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Handle a report on an assigned job; ignore one on a job that has ended."""
        worker = peer.worker
        if worker is None:
            raise RequestError(
                "JOB_NOT_FOUND", "this connection is no worker: it has said no CAN_DO"
            )
        handle, *args = packet.args
        assigned = self.state.workers.find_assigned(worker, handle)
        if assigned is None:
            return  # a repeated report, or a WORK_FAIL after WORK_EXCEPTION
        match packet.kind:
            case PacketKind.WORK_STATUS:
                self._report_progress(assigned, *args)
            case PacketKind.WORK_DATA | PacketKind.WORK_WARNING:
                chunk = ResultChunk(args[0], warning=packet.kind is PacketKind.WORK_WARNING)
                self._add_chunk(worker, assigned, chunk)
            case PacketKind.WORK_COMPLETE:
                self._complete(worker, assigned, args[0])
            case _:
                self._fail(worker, assigned, args[0] if args else b"")
        self.assignment.wake(worker)

    def _report_progress(
        self, assigned: AssignedCall, numerator: bytes, denominator: bytes
    ) -> None:
        progress = (
            parse_number_argument("numerator", numerator),
            parse_number_argument("denominator", denominator),
        )
        call = assigned.call
        self.state.output.post(
            JobNotification(call.request.id, call.worker_id, JobStatus.RUNNING, progress=progress)
        )

    def _add_chunk(self, worker: Worker, assigned: AssignedCall, chunk: ResultChunk) -> None:
        if self.state.workers.add_chunk(assigned, chunk):
            return
        self._fail(worker, assigned, b"its pieces are too large")
        max_bytes = self.state.limits.gearman.partial_result_bytes
        raise RequestError("RESULT_TOO_LARGE", f"a job's pieces have at most {max_bytes} bytes")

    def _complete(self, worker: Worker, assigned: AssignedCall, last: bytes) -> None:
        self.state.workers.end_assigned(worker, assigned)
        call = assigned.call
        result = ChunkedResult(tuple(assigned.chunks), last)
        self.state.output.post(
            JobNotification(call.request.id, call.worker_id, JobStatus.DONE, result)
        )

    def _fail(self, worker: Worker, assigned: AssignedCall, exception: bytes) -> None:
        sink = assigned.call.request.response_sink
        if exception and isinstance(sink, JobResponseSink):
            sink.job.exception = exception
        self.state.workers.end_assigned(worker, assigned)
        self.state.output.post(CallEnded(assigned.call, AttemptResult.ERROR))
