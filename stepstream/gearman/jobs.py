"""The table of clients' jobs, with the clients that wait and the retained outcomes; free of I/O.

A job is one request of the core, even if several clients submitted it. It is cancelled when the
last client that waits for it disconnects, unless a client submitted it as a background job.

The service owns the table; all access is under the lock of the front that owns the service.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from stepstream.core.commands import Answer, Outcome
from stepstream.core.requests import Request
from stepstream.gearman.names import MILLISECOND_US
from stepstream.gearman.peers import Peer
from stepstream.ports.access_control import Authorization


class JobStage(Enum):
    """The stage of a job; the values appear in the output of the text command `show jobs`."""

    OPEN = "open"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


STAGE_BY_OUTCOME = {
    Outcome.SERVED: JobStage.SERVED,
    Outcome.REJECTED: JobStage.REJECTED,
    Outcome.FAILED: JobStage.FAILED,
}


class StatusFields(NamedTuple):
    """The fields of STATUS_RES that follow the handle; see docs/gearman.md, "Status"."""

    known: int
    running: int
    numerator: int
    denominator: int


UNKNOWN_JOB_STATUS = StatusFields(0, 0, 0, 0)


@dataclass(eq=False, slots=True)
class Job:
    """An open or ended job.

    `clients` holds one entry per foreground submission: each one gets an outcome of its own.
    """

    handle: str
    function: str  # TENANT/CLASS, or CLASS where the settings name no tenants
    unique: bytes
    workload_bytes: int
    background: bool = False  # at least one client submitted it in the background
    clients: list[Peer] = field(default_factory=list)
    request: Request | None = None  # None after the job has ended
    stage: JobStage = JobStage.OPEN
    numerator: int = 0  # its progress, over `denominator`
    denominator: int = 0
    retry_after_us: int = 0
    exception: bytes = b""  # reported by the worker of the latest failed attempt
    ended_us: int = 0
    authorization: Authorization | None = None  # of the caller that opened the job
    callers: set[str] = field(default_factory=set)  # identified callers that submitted the job

    @property
    def running(self) -> bool:
        """Whether a worker holds the job, as far as this dispatcher knows."""
        return self.request is not None and self.request.has_open_calls

    def status(self) -> StatusFields:
        """Return the job's status as STATUS_RES encodes it."""
        if self.stage is JobStage.OPEN:
            if self.running:
                return StatusFields(1, 1, self.numerator, self.denominator)
            return StatusFields(1, 0, 0, 0)
        if self.stage is JobStage.SERVED:
            steps = self.denominator or 1
            return StatusFields(1, 0, steps, steps)
        if self.stage is JobStage.REJECTED:
            retry_after_ms = max(self.retry_after_us // MILLISECOND_US, 1)
            return StatusFields(1, 0, retry_after_ms, 0)
        return StatusFields(1, 0, 0, 1)


def is_abandoned(job: Job) -> bool:
    """Decide whether an open job is cancelled because no client waits for it.

    A background job goes on, because its outcome is retained. A foreground job would occupy a
    worker's slot for a result that nobody receives.
    """
    return not job.clients and not job.background


class JobTable:
    """All open jobs, and the ended background jobs whose outcome clients may still ask for."""

    def __init__(self, retention_us: int, max_retained: int) -> None:
        """Create an empty table.

        `retention_us`: how long the outcome of a background job is retained, in microseconds.
        `max_retained`: how many outcomes are retained.
        """
        self.retention_us = retention_us
        self.max_retained = max_retained
        self.by_handle: dict[str, Job] = {}  # open or retained
        self.open_by_unique: dict[tuple[str, bytes], Job] = {}  # by function and unique id
        # By unique id alone, for GET_STATUS_UNIQUE.
        self.latest_by_unique: dict[bytes, Job] = {}
        self.retained: OrderedDict[str, Job] = OrderedDict()  # ended jobs by handle, oldest first
        self.open_counts: dict[str, int] = {}  # open jobs by function
        self.open_workload_bytes = 0
        # By client: its open foreground jobs, each with the number of its submissions.
        self.submissions: dict[Peer, dict[Job, int]] = {}

    @property
    def open_count(self) -> int:
        """How many jobs are open."""
        return sum(self.open_counts.values())

    def find_open(self, function: str, unique: bytes) -> Job | None:
        """Return the open job that a submission coalesces with; None without a unique id."""
        return self.open_by_unique.get((function, unique)) if unique else None

    def add(self, job: Job) -> None:
        """Add a new open job."""
        self.by_handle[job.handle] = job
        self.open_counts[job.function] = self.open_counts.get(job.function, 0) + 1
        self.open_workload_bytes += job.workload_bytes
        if job.unique:
            self.open_by_unique[job.function, job.unique] = job
            self.latest_by_unique[job.unique] = job

    def add_submission(self, job: Job, client: Peer) -> None:
        """Count one more foreground submission of an open job."""
        job.clients.append(client)
        submissions = self.submissions.setdefault(client, {})
        submissions[job] = submissions.get(job, 0) + 1

    def submission_count(self, client: Peer) -> int:
        """Return how many outcomes a client waits for."""
        return sum(self.submissions.get(client, {}).values())

    def remove_client(self, client: Peer) -> list[Job]:
        """Remove a disconnected client; return the jobs that nobody waits for any more."""
        submissions = self.submissions.pop(client, {})
        for job in submissions:
            job.clients = [other for other in job.clients if other is not client]
        return [job for job in submissions if is_abandoned(job)]

    def end_with_answer(self, job: Job, answer: Answer, now_us: int) -> list[Peer]:
        """End a job with the core's answer; return the same as `end`."""
        return self.end(job, STAGE_BY_OUTCOME[answer.outcome], now_us, answer.retry_after_us)

    def end(self, job: Job, stage: JobStage, now_us: int, retry_after_us: int = 0) -> list[Peer]:
        """End an open job; return the clients to notify, one entry per submission.

        The outcome of a background job is retained; any other job is removed. A job that has ended
        already is not changed.
        """
        if job.stage is not JobStage.OPEN:
            return []
        job.stage = stage
        job.retry_after_us = retry_after_us
        job.ended_us = now_us
        job.request = None
        if job.authorization is not None:
            job.authorization.release()
        clients = job.clients
        job.clients = []
        for client in clients:
            self._remove_submissions(client, job)
        self._remove_open(job)
        if job.background:
            self.retained[job.handle] = job
            self.expire_outcomes(now_us)
        else:
            self._forget(job)
        return clients

    def expire_outcomes(self, now_us: int) -> None:
        """Drop retained outcomes that are too old, or the oldest if there are too many."""
        while self.retained:
            oldest = next(iter(self.retained.values()))
            if not self._must_drop(oldest, now_us):
                return
            del self.retained[oldest.handle]
            self._forget(oldest)

    def _must_drop(self, oldest: Job, now_us: int) -> bool:
        """Decide whether the oldest retained outcome is dropped, to limit memory."""
        has_too_many = len(self.retained) > self.max_retained
        return has_too_many or now_us - oldest.ended_us >= self.retention_us

    def _remove_submissions(self, client: Peer, job: Job) -> None:
        submissions = self.submissions.get(client)
        if submissions is None:
            return
        submissions.pop(job, None)
        if not submissions:
            del self.submissions[client]

    def _remove_open(self, job: Job) -> None:
        self.open_workload_bytes -= job.workload_bytes
        self.open_counts[job.function] -= 1
        if not self.open_counts[job.function]:
            del self.open_counts[job.function]
        if self.open_by_unique.get((job.function, job.unique)) is job:
            del self.open_by_unique[job.function, job.unique]

    def _forget(self, job: Job) -> None:
        self.by_handle.pop(job.handle, None)
        if self.latest_by_unique.get(job.unique) is job:
            del self.latest_by_unique[job.unique]
