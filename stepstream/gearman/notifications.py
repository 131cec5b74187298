"""The packets that clients get about their jobs: WORK_* and responses to status requests.

The decision thread passes the core's answers and progress; reader threads pass status requests. All
of them hold the lock of the front that owns the service.
"""

from collections.abc import Callable
from dataclasses import dataclass

from stepstream.core.commands import Answer
from stepstream.core.events import ClientDisconnected
from stepstream.core.job_results import ChunkedResult, result_bytes
from stepstream.gearman import codec
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.errors import RequestError
from stepstream.gearman.jobs import UNKNOWN_JOB_STATUS, Job, JobStage, StatusFields
from stepstream.gearman.peers import Peer
from stepstream.gearman.state import SECOND_US, ServiceState


@dataclass(slots=True)
class JobResponseSink:
    """A `ports.ResponseSink` that passes the core's answer to a job on to the front."""

    job: Job
    on_answer: Callable[[Job, Answer], None]
    on_progress: Callable[[Job, int, int], None]

    def answer(self, answer: Answer) -> None:
        """Pass on the final answer."""
        self.on_answer(self.job, answer)

    def has_peer_left(self) -> bool:
        """Return whether every client that waits for the job has closed its connection."""
        if self.job.background:
            return False
        return all(client.has_left() for client in tuple(self.job.clients))

    def progress(self, done: int, total: int) -> None:
        """Pass on the job's progress."""
        self.on_progress(self.job, done, total)


class ClientNotifier:
    """Ends jobs and notifies the clients that wait for them."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def send_outcome(self, now_us: int, job: Job, answer: Answer) -> None:
        """End a job with the core's answer; send the outcome once per waiting submission."""
        clients = self.state.jobs.end_with_answer(job, answer, now_us)
        self._notify_outcome(clients, job, answer.result)

    def send_progress(self, job: Job, numerator: int, denominator: int) -> None:
        """Send an open job's progress, once to each client."""
        if job.stage is not JobStage.OPEN:
            return
        job.numerator = numerator
        job.denominator = denominator
        for peer in dict.fromkeys(job.clients):
            self.state.output.send(
                peer,
                codec.encode_response(PacketKind.WORK_STATUS, job.handle, numerator, denominator),
            )

    def cancel(self, now_us: int, job: Job) -> None:
        """Cancel a job for an operator: notify its clients of a failure and cancel its calls."""
        job.exception = b"cancelled by an operator"
        self._notify_outcome(self._end_cancelled(job, now_us), job, None)

    def remove_client(self, peer: Peer) -> None:
        """Remove a disconnected client; cancel the jobs that nobody waits for any more."""
        for job in self.state.jobs.remove_client(peer):
            self._end_cancelled(job, 0)  # the time is unused: these jobs are not retained

    def send_status(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Answer GET_STATUS with the status of a job handle."""
        (handle,) = packet.args
        require_no_nul("handle", handle)
        job = self.state.jobs.by_handle.get(handle.decode("ascii", "replace"))
        self.access.check_job_access(peer, job)
        self.state.output.send(
            peer, codec.encode_response(PacketKind.STATUS_RES, handle, *status_of(job))
        )

    def send_status_by_unique(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Answer GET_STATUS_UNIQUE with the status of the latest job of a unique id."""
        (unique,) = packet.args
        require_no_nul("unique", unique)
        job = self.state.jobs.latest_by_unique.get(unique)
        self.access.check_job_access(peer, job)
        client_count = len(job.clients) if job else 0
        self.state.output.send(
            peer,
            codec.encode_response(
                PacketKind.STATUS_RES_UNIQUE, unique, *status_of(job), client_count
            ),
        )

    def _end_cancelled(self, job: Job, now_us: int) -> list[Peer]:
        request = job.request
        clients = self.state.jobs.end(job, JobStage.FAILED, now_us)
        if request is not None:
            # The core abandons the request, as if its only client had disconnected.
            self.state.output.post(ClientDisconnected(request))
        return clients

    def _notify_outcome(self, clients: list[Peer], job: Job, result: object) -> None:
        for peer in clients:
            for data in outcome_packets(
                job, result, exceptions_enabled=peer.session.exceptions_enabled
            ):
                self.state.output.send(peer, data)


def require_no_nul(name: str, argument: bytes) -> None:
    """Raise `RequestError` for an argument with a NUL: the response could not repeat it."""
    if b"\0" in argument:
        raise RequestError("BAD_ARGUMENTS", f"the {name} holds a NUL")


def outcome_packets(job: Job, result: object, *, exceptions_enabled: bool) -> list[bytes]:
    """Return the packets of an ended job's outcome, as docs/gearman.md lists under "Outcomes".

    `exceptions_enabled`: the client has switched on WORK_EXCEPTION.
    """
    if job.stage is JobStage.SERVED:
        return _result_packets(job.handle, result)
    if job.stage is JobStage.REJECTED:
        reason = f"refused retry-after={job.retry_after_us / SECOND_US:.3f}".encode()
    else:
        reason = b"failed " + job.exception if job.exception else b"failed"
    kind = PacketKind.WORK_EXCEPTION if exceptions_enabled else PacketKind.WORK_WARNING
    return [
        codec.encode_response(kind, job.handle, reason),
        codec.encode_response(PacketKind.WORK_FAIL, job.handle),
    ]


def _result_packets(handle: str, result: object) -> list[bytes]:
    if not isinstance(result, ChunkedResult):
        return [codec.encode_response(PacketKind.WORK_COMPLETE, handle, result_bytes(result))]
    packets = []
    for chunk in result.chunks:
        kind = PacketKind.WORK_WARNING if chunk.warning else PacketKind.WORK_DATA
        packets.append(codec.encode_response(kind, handle, chunk.data))
    packets.append(codec.encode_response(PacketKind.WORK_COMPLETE, handle, result.final_data))
    return packets


def status_of(job: Job | None) -> StatusFields:
    """Return the status of a job; None stands for an unknown job."""
    return UNKNOWN_JOB_STATUS if job is None else job.status()
