"""Job assignment: a call of the core waits for its worker's GRAB_JOB, which assigns it.

`assignment_rules` decides which calls wait and which are assigned. The decision thread starts and
stops calls; reader threads pass the workers' packets. All of them hold the lock of the front that
owns the service.
"""

from stepstream.core.events import CallEnded, CallTimeoutSet, JobNotification, JobStatus
from stepstream.core.requests import Call, Payload
from stepstream.gearman import codec
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.peers import AssignedCall, Peer, Worker
from stepstream.gearman.state import ServiceState
from stepstream.model.events import AttemptResult

GRAB_JOB_KINDS = frozenset((PacketKind.GRAB_JOB, PacketKind.GRAB_JOB_UNIQ, PacketKind.GRAB_JOB_ALL))
NO_REDUCER = ""


class JobAssignment:
    """Queues calls for workers, wakes sleeping workers, and assigns jobs on GRAB_JOB."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def start(self, now_us: int, call: Call) -> None:
        """Queue a call for its worker, and wake the worker if it sleeps."""
        request = call.request
        settings = request.settings or self.state.settings  # the class index refers to these
        class_name = settings.classes[request.job_class].name
        tenant = settings.tenant_name(request.tenant)
        ended = self.state.workers.enqueue(now_us, call, class_name, tenant)
        self.state.output.post_all(ended)
        if not ended:
            self.wake(self.state.workers.by_id[call.worker_id])

    def stop(self, call: Call) -> None:
        """Drop a call that the core has given up; a worker that holds it already finishes it."""
        self.state.workers.stop(call)

    def pre_sleep(self, _now_us: int, peer: Peer, _packet: Packet) -> None:
        """Handle PRE_SLEEP: the worker sleeps until a NOOP; send it at once if there is work."""
        if peer.worker is not None:
            peer.worker.asleep = True
            self.wake(peer.worker)

    def grab_job(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Answer any form of GRAB_JOB with a JOB_ASSIGN or NO_JOB packet."""
        worker = peer.worker
        if worker is None:
            self.state.output.send(peer, codec.encode_response(PacketKind.NO_JOB))
            return
        self.access.check_worker(now_us, worker)
        assigned, dropped = self.state.workers.assign(now_us, worker, self.state.new_handle())
        self.state.output.post_all(dropped)
        if assigned is None:
            self.state.output.send(peer, codec.encode_response(PacketKind.NO_JOB))
            return
        call = assigned.call
        payload = call.request.payload
        if payload is None:
            # The answer has released it since the last check.
            self.state.workers.end_assigned(worker, assigned)
            self.state.output.post(CallEnded(call, AttemptResult.NOT_SENT))
            self.state.output.send(peer, codec.encode_response(PacketKind.NO_JOB))
            return
        self.state.output.send(peer, assignment_packet(assigned, payload, packet.kind))
        self.state.output.post(JobNotification(call.request.id, call.worker_id, JobStatus.STARTED))
        timeout_us = worker.timeouts_us.get(assigned.function, 0)
        if timeout_us:
            self.state.output.post(CallTimeoutSet(call, now_us + timeout_us))

    def wake(self, worker: Worker) -> None:
        """Send one worker a NOOP if it sleeps and has work."""
        if self.state.workers.take_wakeup(worker):
            self.state.output.send(worker.peer, codec.encode_response(PacketKind.NOOP))

    def expire_queued(self, now_us: int) -> None:
        """End the calls that have waited too long for a GRAB_JOB."""
        self.state.output.post_all(self.state.workers.expire_queued(now_us))


def assignment_packet(assigned: AssignedCall, payload: Payload, grab_kind: PacketKind) -> bytes:
    """Return the JOB_ASSIGN packet that answers this form of GRAB_JOB."""
    request = assigned.call.request
    unique = payload.idempotency_key or request.id
    handle = assigned.handle
    function = assigned.function
    match grab_kind:
        case PacketKind.GRAB_JOB_UNIQ:
            return codec.encode_response(
                PacketKind.JOB_ASSIGN_UNIQ, handle, function, unique, payload.body
            )
        case PacketKind.GRAB_JOB_ALL:
            return codec.encode_response(
                PacketKind.JOB_ASSIGN_ALL, handle, function, unique, NO_REDUCER, payload.body
            )
    return codec.encode_response(PacketKind.JOB_ASSIGN, handle, function, payload.body)
