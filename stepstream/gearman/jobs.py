"""Clients' jobs: who waits for which, how they ended, and for how long that is kept; free of I/O.

A job is one request of the core, however many clients submitted it. It is given up when the last
client that waits for it disconnects, unless one of them submitted it as a background job.

The service owns the table; all access is under the lock of its front.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from stepstream.core.commands import Answer, Outcome
from stepstream.core.requests import Request
from stepstream.gearman.names import MILLISECOND_US
from stepstream.gearman.peers import Peer
from stepstream.ports.access_control import Authorization


class JobStage(Enum):
    """How far a job is. The values are the words of the text command `show jobs`."""

    OPEN = "open"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


STAGE_BY_OUTCOME = {
    Outcome.SERVED: JobStage.SERVED,
    Outcome.REJECTED: JobStage.REJECTED,
    Outcome.FAILED: JobStage.FAILED,
}


@dataclass(eq=False, slots=True)
class Job:
    """A job by its handle, open or ended.

    `clients` holds one entry a submission: each JOB_CREATED is owed an outcome of its own.
    """

    handle: str
    function: str  # TENANT/CLASS, or CLASS where the settings name no tenants
    unique: bytes
    workload_bytes: int
    background: bool = False  # some client submitted it in the background
    clients: list[Peer] = field(default_factory=list)
    request: Request | None = None  # None once it has ended
    stage: JobStage = JobStage.OPEN
    numerator: int = 0  # of its progress
    denominator: int = 0
    retry_after_us: int = 0
    exception: bytes = b""  # the worker's, of the latest attempt that failed
    ended_us: int = 0
    authorization: Authorization | None = None  # of the caller who opened it
    callers: set[str] = field(default_factory=set)  # all who submitted it, where they are known

    @property
    def running(self) -> bool:
        """Whether a worker has it, as far as is known."""
        return self.request is not None and self.request.has_open_calls

    def status(self) -> tuple[int, int, int, int]:
        """Return known, running, numerator and denominator, as STATUS_RES has them.

        See docs/gearman.md, "Status".
        """
        if self.stage is JobStage.OPEN:
            return (1, 1, self.numerator, self.denominator) if self.running else (1, 0, 0, 0)
        if self.stage is JobStage.SERVED:
            return 1, 0, self.denominator or 1, self.denominator or 1
        if self.stage is JobStage.REJECTED:
            return 1, 0, max(self.retry_after_us // MILLISECOND_US, 1), 0
        return 1, 0, 0, 1


class JobTable:
    """All open jobs, and the ended background jobs whose outcome clients may still ask for."""

    def __init__(self, retention_us: int, max_retained: int) -> None:
        """`retention_us`, `max_retained`: for how long, and how many, outcomes are kept."""
        self.retention_us = retention_us
        self.max_retained = max_retained
        self.by_handle: dict[str, Job] = {}  # open or retained
        self.open_by_unique: dict[tuple[str, bytes], Job] = {}  # by function and unique id
        # By unique id alone, as GET_STATUS_UNIQUE asks.
        self.latest_by_unique: dict[bytes, Job] = {}
        self.retained: OrderedDict[str, Job] = OrderedDict()  # ended ones, oldest first
        self.open_counts: dict[str, int] = {}  # open jobs by function
        self.open_workload_bytes = 0
        # By client: its open foreground jobs, and how many submissions it made of each.
        self.submissions: dict[Peer, dict[Job, int]] = {}

    @property
    def open_count(self) -> int:
        """How many jobs are open."""
        return sum(self.open_counts.values())

    def find_open(self, function: str, unique: bytes) -> Job | None:
        """Return the open job that a submission coalesces with; None without a unique id."""
        return self.open_by_unique.get((function, unique)) if unique else None

    def add(self, job: Job) -> None:
        """Enter a new open job."""
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
        """Return how many outcomes a client is owed."""
        return sum(self.submissions.get(client, {}).values())

    def remove_client(self, client: Peer) -> list[Job]:
        """Forget a client that has disconnected; return the jobs that nobody waits for any more."""
        submissions = self.submissions.pop(client, {})
        for job in submissions:
            job.clients = [other for other in job.clients if other is not client]
        return [job for job in submissions if not job.clients and not job.background]

    def finish(self, job: Job, answer: Answer, now_us: int) -> list[Peer]:
        """End a job by the core's answer; return as `end` does."""
        return self.end(job, STAGE_BY_OUTCOME[answer.outcome], now_us, answer.retry_after_us)

    def end(self, job: Job, stage: JobStage, now_us: int, retry_after_us: int = 0) -> list[Peer]:
        """End an open job; return the clients that are owed the outcome, one entry a submission.

        A background job is retained, any other forgotten. An ended job stays as it is.
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
        """Forget ended jobs beyond the retention; guards memory."""
        while self.retained:
            oldest = next(iter(self.retained.values()))
            is_recent = now_us - oldest.ended_us < self.retention_us
            if len(self.retained) <= self.max_retained and is_recent:
                return
            del self.retained[oldest.handle]
            self._forget(oldest)

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
