"""Job admission: handles SUBMIT_JOB packets, from the access check to JOB_CREATED.

A submission joins the open job of the same function and unique id, or opens a new job.
`admission_rules` decides whether it is admitted. Reader threads call this module, under the lock of
the front that owns the service.
"""

import hashlib
from dataclasses import dataclass

from stepstream.core.events import RequestReceived
from stepstream.core.requests import Payload, Request
from stepstream.gearman import codec
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.admission_rules import (
    OpenJobUsage,
    check_client_usage,
    check_dispatcher_usage,
    check_shutdown,
    check_submission,
    idempotency_key,
)
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.errors import GearmanError
from stepstream.gearman.jobs import Job
from stepstream.gearman.names import (
    FunctionName,
    FunctionTarget,
    find_target,
    full_function_name,
    parse_function,
)
from stepstream.gearman.notifications import JobResponseSink
from stepstream.gearman.peers import Peer
from stepstream.gearman.state import SECOND_US, ServiceState
from stepstream.model.settings import Effect
from stepstream.ports.access_control import Authorization
from stepstream.runtime.byte_budget import ByteReservation

BACKGROUND_SUBMIT_KINDS = frozenset(
    (PacketKind.SUBMIT_JOB_BG, PacketKind.SUBMIT_JOB_HIGH_BG, PacketKind.SUBMIT_JOB_LOW_BG)
)
SUBMIT_JOB_KINDS = BACKGROUND_SUBMIT_KINDS | {
    PacketKind.SUBMIT_JOB,
    PacketKind.SUBMIT_JOB_HIGH,
    PacketKind.SUBMIT_JOB_LOW,
}
WORKLOAD_HASH_AS_UNIQUE_ID = b"-"  # a unique id of "-" means the hash of the workload


@dataclass(frozen=True, slots=True)
class Submission:
    """A SUBMIT_JOB packet of a client."""

    client: Peer
    function: FunctionName
    unique: bytes
    workload: bytes
    background: bool
    authorization: Authorization | None


class JobAdmission:
    """Admits submissions, and opens jobs in the core."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def submit(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Admit a submission of any priority; raise `RequestError` if that is not possible."""
        function_name, unique, workload = packet.args
        function = parse_function(function_name, self.state.settings)
        authorization = self.access.authorize_submission(peer, function)
        if unique == WORKLOAD_HASH_AS_UNIQUE_ID:
            unique = hashlib.sha256(workload).hexdigest().encode()
        background = packet.kind in BACKGROUND_SUBMIT_KINDS
        submission = Submission(peer, function, unique, workload, background, authorization)
        try:
            self._admit(now_us, submission)
        except GearmanError:
            if authorization is not None:
                authorization.release()
            raise

    def _admit(self, now_us: int, submission: Submission) -> None:
        state = self.state
        target = self._find_target(submission)
        self._check_submission(submission, target)
        function = full_function_name(state.settings, target.job_class, target.tenant)
        job = state.jobs.find_open(function, submission.unique)
        if job is None:
            job = self._open_job(now_us, function, submission, target)
        elif submission.authorization is not None:
            # A job counts once, against the limits of the caller that opened it.
            submission.authorization.release()
        self._add_submitter(job, submission)
        # The client must get the handle before the outcome, which may follow at once.
        state.output.send(
            submission.client, codec.encode_response(PacketKind.JOB_CREATED, job.handle)
        )

    def _find_target(self, submission: Submission) -> FunctionTarget:
        """Return the class and tenant of a submission; an identified caller sets the tenant."""
        state = self.state
        tenant = submission.function.tenant
        if submission.authorization is not None:
            tenant = submission.authorization.tenant
        if tenant is None:
            tenant = state.section.tenant
        return find_target(submission.function, state.settings, tenant)

    def _check_submission(self, submission: Submission, target: FunctionTarget) -> None:
        state = self.state
        check_submission(
            state.settings.classes[target.job_class],
            submission.unique,
            len(submission.workload),
            state.limits,
        )
        check_client_usage(
            state.jobs.submission_count(submission.client),
            state.section.jobs_a_connection,
            self._retry_after_seconds(),
        )

    def _add_submitter(self, job: Job, submission: Submission) -> None:
        """Add a submission's caller and client to its job."""
        if submission.authorization is not None:
            job.callers.add(submission.authorization.caller)
        job.background = job.background or submission.background
        if not submission.background:
            self.state.jobs.add_submission(job, submission.client)

    def _open_job(
        self, now_us: int, function: str, submission: Submission, target: FunctionTarget
    ) -> Job:
        self._check_dispatcher_usage(function, len(submission.workload))
        state = self.state
        job_class = state.settings.classes[target.job_class]
        job = Job(state.new_handle(), function, submission.unique, len(submission.workload))
        is_keyed = job_class.effect is Effect.IDEMPOTENT_WITH_KEY
        key = idempotency_key(submission.unique) if is_keyed else ""
        job.authorization = submission.authorization
        job.request = Request(
            id=state.host.new_request_id(),
            job_class=target.job_class,
            arrived_us=now_us,
            deadline_us=now_us + job_class.deadline_us,
            tenant=target.tenant,
            slots=target.slots,
            payload=Payload(f"/{job_class.name}", submission.workload, key),
            response_sink=JobResponseSink(job, state.host.on_answer, state.host.on_progress),
            settings=state.settings,
        )
        workload_bytes = len(submission.workload)
        job.request.reservation = ByteReservation(state.host.open_request_memory, workload_bytes)
        state.jobs.add(job)
        state.output.post(RequestReceived(job.request))
        return job

    def _check_dispatcher_usage(self, function: str, workload_bytes: int) -> None:
        """Raise `RequestError` if the dispatcher cannot open one more job."""
        state = self.state
        jobs = state.jobs
        check_shutdown(is_closing=state.host.is_closing())
        usage = OpenJobUsage(
            function=function,
            function_jobs=jobs.open_counts.get(function, 0),
            max_function_jobs=state.max_queue.get(function),
            jobs=jobs.open_count,
            workload_bytes=jobs.open_workload_bytes,
            core_is_full=state.host.is_overloaded()
            or not state.host.open_request_memory.has_room_for(workload_bytes),
        )
        check_dispatcher_usage(
            usage, workload_bytes, state.limits.gearman, self._retry_after_seconds()
        )

    def _retry_after_seconds(self) -> float:
        return self.state.settings.max_retry_after_us / SECOND_US
