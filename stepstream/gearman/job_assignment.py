"""Job assignment: calls of the core wait for their worker and are assigned by its GRAB_JOB.

`assignment_rules` decides what waits and what is assigned. The decision thread starts and stops
calls, reader threads pass the workers' packets, all under the lock of the front that owns the
service.
"""

from stepstream.core.events import CallTimeoutSet, JobNotification, JobStatus
from stepstream.core.requests import Call
from stepstream.gearman import codec
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.peers import AssignedCall, Peer, Worker
from stepstream.gearman.state import ServiceState

GRABS = frozenset((PacketKind.GRAB_JOB, PacketKind.GRAB_JOB_UNIQ, PacketKind.GRAB_JOB_ALL))
NO_REDUCER = ""


class JobAssignment:
    """Queues calls for workers, wakes sleeping workers, and assigns jobs on GRAB_JOB."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def start(self, now_us: int, call: Call) -> None:
        """Queue a call for its worker, and wake the worker if it sleeps."""
        request = call.request
        settings = request.settings or self.state.settings  # those that the class index belongs to
        class_name = settings.classes[request.job_class].name
        tenant = settings.tenant_name(request.tenant)
        ended = self.state.workers.enqueue(now_us, call, class_name, tenant)
        self.state.output.post_all(ended)
        if not ended:
            self.wake(self.state.workers.by_id[call.worker_id])

    def stop(self, call: Call) -> None:
        """Drop a call that the core gave up; its worker ends one that is assigned already."""
        self.state.workers.stop(call)

    def pre_sleep(self, _now_us: int, peer: Peer, _packet: Packet) -> None:
        """Handle PRE_SLEEP: the worker waits for a NOOP, which it gets at once if it has work."""
        if peer.worker is not None:
            peer.worker.asleep = True
            self.wake(peer.worker)

    def grab(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Answer GRAB_JOB in any of its forms by a JOB_ASSIGN or NO_JOB."""
        worker = peer.worker
        if worker is None:
            self.state.output.send(peer, codec.encode_response(PacketKind.NO_JOB))
            return
        self.access.check_worker(now_us, worker)
        assigned = self.state.workers.assign(now_us, worker, self.state.new_handle())
        if assigned is None:
            self.state.output.send(peer, codec.encode_response(PacketKind.NO_JOB))
            return
        call = assigned.call
        self.state.output.send(peer, assignment_packet(assigned, packet.kind))
        self.state.output.post(JobNotification(call.request.id, call.worker_id, JobStatus.STARTED))
        timeout_us = worker.timeouts_us.get(assigned.function, 0)
        if timeout_us:
            self.state.output.post(CallTimeoutSet(call, now_us + timeout_us))

    def wake(self, worker: Worker) -> None:
        """Send a worker a NOOP if it sleeps and has work; other workers stay asleep."""
        if self.state.workers.take_wakeup(worker):
            self.state.output.send(worker.peer, codec.encode_response(PacketKind.NOOP))

    def expire_queued(self, now_us: int) -> None:
        """End the calls that have waited too long for a GRAB_JOB."""
        self.state.output.post_all(self.state.workers.expire_queued(now_us))


def assignment_packet(assigned: AssignedCall, grab: PacketKind) -> bytes:
    """Return the JOB_ASSIGN packet that answers this form of GRAB_JOB."""
    request = assigned.call.request
    payload = request.payload
    unique = payload.idempotency_key or request.id
    handle = assigned.handle
    function = assigned.function
    match grab:
        case PacketKind.GRAB_JOB_UNIQ:
            return codec.encode_response(
                PacketKind.JOB_ASSIGN_UNIQ, handle, function, unique, payload.body
            )
        case PacketKind.GRAB_JOB_ALL:
            return codec.encode_response(
                PacketKind.JOB_ASSIGN_ALL, handle, function, unique, NO_REDUCER, payload.body
            )
    return codec.encode_response(PacketKind.JOB_ASSIGN, handle, function, payload.body)
