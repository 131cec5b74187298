"""Job admission: what becomes of SUBMIT_JOB packets, from the access check to JOB_CREATED.

A submission coalesces with the open job of its function and unique id, or opens a job within the
limits. Reader threads call it, under the lock of the front that owns the service.
"""

import hashlib
import re
from dataclasses import dataclass

from stepstream.core.events import RequestReceived
from stepstream.core.requests import Payload, Request
from stepstream.gearman import codec
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.codec import Kind, Packet
from stepstream.gearman.errors import GearmanError, JobQueueFullError, RequestError
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
from stepstream.model.settings import Effect, JobClass
from stepstream.ports.access_control import Authorization

BACKGROUND_SUBMISSIONS = frozenset(
    (Kind.SUBMIT_JOB_BG, Kind.SUBMIT_JOB_HIGH_BG, Kind.SUBMIT_JOB_LOW_BG)
)
SUBMISSIONS = BACKGROUND_SUBMISSIONS | {
    Kind.SUBMIT_JOB,
    Kind.SUBMIT_JOB_HIGH,
    Kind.SUBMIT_JOB_LOW,
}
UNIQUE_OF_WORKLOAD = b"-"  # the protocol's unique id for: by the workload's content
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,128}")


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
    """Takes submissions, and opens jobs in the core."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def submit(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Take a submission of any priority; raise `RequestError` if it cannot be admitted."""
        function_name, unique, workload = packet.args
        function = parse_function(function_name, self.state.settings)
        authorization = self.access.authorize_submission(peer, function)
        if unique == UNIQUE_OF_WORKLOAD:
            unique = hashlib.sha256(workload).hexdigest().encode()
        background = packet.kind in BACKGROUND_SUBMISSIONS
        submission = Submission(peer, function, unique, workload, background, authorization)
        try:
            self._admit(now_us, submission)
        except GearmanError:
            if authorization is not None:
                authorization.release()
            raise

    def _admit(self, now_us: int, submission: Submission) -> None:
        state = self.state
        authorization = submission.authorization
        tenant = submission.function.tenant if authorization is None else authorization.tenant
        target = find_target(
            submission.function,
            state.settings,
            state.section.tenant if tenant is None else tenant,
        )
        self._check_limits(submission, state.settings.classes[target.job_class])
        function = full_function_name(state.settings, target.job_class, target.tenant)
        job = state.jobs.find_open(function, submission.unique)
        if job is None:
            job = self._open_job(now_us, function, submission, target)
        elif authorization is not None:
            authorization.release()  # the job counts once, for the caller who opened it
        if authorization is not None:
            job.callers.add(authorization.caller)
        job.background = job.background or submission.background
        if not submission.background:
            state.jobs.add_submission(job, submission.client)
        # The handle first: an outcome may follow at once.
        state.output.send(submission.client, codec.answer(Kind.JOB_CREATED, job.handle))

    def _check_limits(self, submission: Submission, job_class: JobClass) -> None:
        limits = self.state.limits
        is_keyed = job_class.effect is Effect.IDEMPOTENT_WITH_KEY
        if is_keyed and not IDEMPOTENCY_KEY.fullmatch(submission.unique):
            raise RequestError(
                "BAD_UNIQUE", f"{job_class.name} needs a unique id of 1 to 128 printable characters"
            )
        if len(submission.unique) > limits.gearman.unique_id_bytes:
            raise RequestError(
                "BAD_UNIQUE", f"a unique id has at most {limits.gearman.unique_id_bytes} bytes"
            )
        if len(submission.workload) > limits.sizes.body_bytes:
            raise RequestError(
                "WORKLOAD_TOO_LARGE", f"a workload has at most {limits.sizes.body_bytes} bytes"
            )
        open_count = self.state.jobs.submission_count(submission.client)
        if open_count >= self.state.section.jobs_a_connection:
            raise self._queue_full("this connection has too many open jobs")

    def _open_job(
        self, now_us: int, function: str, submission: Submission, target: FunctionTarget
    ) -> Job:
        self._check_capacity(function, len(submission.workload))
        state = self.state
        job_class = state.settings.classes[target.job_class]
        job = Job(state.new_handle(), function, submission.unique, len(submission.workload))
        is_keyed = job_class.effect is Effect.IDEMPOTENT_WITH_KEY
        idempotency_key = submission.unique.decode("ascii") if is_keyed else ""
        job.authorization = submission.authorization
        job.request = Request(
            id=state.host.new_request_id(),
            job_class=target.job_class,
            arrived_us=now_us,
            deadline_us=now_us + job_class.deadline_us,
            tenant=target.tenant,
            slots=target.slots,
            payload=Payload(f"/{job_class.name}", submission.workload, idempotency_key),
            response_sink=JobResponseSink(job, state.host.on_answer, state.host.on_progress),
            settings=state.settings,
        )
        state.jobs.add(job)
        state.output.post(RequestReceived(job.request))
        return job

    def _check_capacity(self, function: str, workload_bytes: int) -> None:
        state = self.state
        jobs = state.jobs
        limits = state.limits.gearman
        if state.host.is_closing():
            raise RequestError("SHUTTING_DOWN", "no new jobs are taken; another server may")
        max_queue = state.max_queue.get(function)
        if max_queue is not None and jobs.open_counts.get(function, 0) >= max_queue:
            raise self._queue_full(f"{function} has as many jobs as maxqueue allows")
        is_full = state.host.is_overloaded() or jobs.open_count >= limits.open_jobs
        if is_full or jobs.open_workload_bytes + workload_bytes > limits.in_flight_workload_bytes:
            raise self._queue_full("too many jobs are open here")

    def _queue_full(self, reason: str) -> JobQueueFullError:
        return JobQueueFullError(reason, self.state.settings.max_retry_after_us / SECOND_US)
