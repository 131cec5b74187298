"""Clients' jobs: who hangs on which, what became of them, and for how long it is told; free of I/O.

A job is one request of the core, however many clients submitted it. It is given up when the last client
that hangs on it leaves, unless one of them submitted it as a background job.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from stepstream.core.commands import Answer, Outcome
from stepstream.core.requests import Request
from stepstream.ports.access_control import Authorization


class Stage(Enum):
    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


STAGES = {
    Outcome.SERVED: Stage.SERVED,
    Outcome.REJECTED: Stage.REFUSED,
    Outcome.FAILED: Stage.FAILED,
}


@dataclass(eq=False, slots=True)
class Job:
    """`clients` holds one entry a submission: each JOB_CREATED is owed an outcome of its own."""

    handle: str
    function: str  # TENANT/CLASS
    unique: bytes
    size: int  # bytes of its workload
    background: bool = False
    clients: list[object] = field(default_factory=list)
    request: Request | None = None  # until it has ended
    stage: Stage = Stage.OPEN
    done: int = 0
    of: int = 0
    pause_us: int = 0
    exception: bytes = b""  # a worker's, of the latest run that failed
    ended_us: int = 0
    listener: object = None  # whom the core answers; a ports.Origin
    visa: Authorization | None = None  # of the caller whose job it is
    callers: set[str] = field(
        default_factory=set
    )  # all that hang on it or did, where callers are known

    @property
    def running(self) -> bool:
        """A worker has it, as far as is known."""
        return self.request is not None and any(call.open for call in self.request.calls)

    def status(self) -> tuple[int, int, int, int]:
        """Known, running, numerator and denominator, as STATUS_RES has them; docs/gearman.md, 'Status'."""
        if self.stage is Stage.OPEN:
            return (1, 1, self.done, self.of) if self.running else (1, 0, 0, 0)
        if self.stage is Stage.SERVED:
            return 1, 0, self.of or 1, self.of or 1
        if self.stage is Stage.REFUSED:
            return 1, 0, max(self.pause_us // 1000, 1), 0
        return 1, 0, 0, 1


class JobTable:
    def __init__(self, keep_us: int, keep_most: int) -> None:
        self.keep_us, self.keep_most = keep_us, keep_most
        self.by_handle: dict[str, Job] = {}  # open, or ended and kept
        self.open_unique: dict[tuple[str, bytes], Job] = {}
        self.latest: dict[bytes, Job] = {}  # by unique alone, as GET_STATUS_UNIQUE asks
        self.kept: OrderedDict[str, Job] = OrderedDict()  # ended ones, oldest first
        self.open: dict[str, int] = {}  # jobs by function
        self.held = 0  # bytes of open jobs' workloads
        self.hanging: dict[
            object, dict[Job, int]
        ] = {}  # by client: its open jobs, and submissions of each

    def joinable(self, function: str, unique: bytes) -> Job | None:
        return self.open_unique.get((function, unique)) if unique else None

    def add(self, job: Job) -> None:
        self.by_handle[job.handle] = job
        self.open[job.function] = self.open.get(job.function, 0) + 1
        self.held += job.size
        if job.unique:
            self.open_unique[job.function, job.unique] = job
            self.latest[job.unique] = job

    def hang(self, job: Job, client: object) -> None:
        """One more submission of a foreground job."""
        job.clients.append(client)
        mine = self.hanging.setdefault(client, {})
        mine[job] = mine.get(job, 0) + 1

    def count_of(self, client: object) -> int:
        return sum(self.hanging.get(client, {}).values())

    def leave(self, client: object) -> list[Job]:
        """The client has gone; the jobs that nobody waits for any more."""
        mine = self.hanging.pop(client, {})
        for job in mine:
            job.clients = [other for other in job.clients if other is not client]
        return [job for job in mine if not job.clients and not job.background]

    def end(self, job: Job, stage: Stage, now_us: int, pause_us: int = 0) -> list[object]:
        """The final outcome; the clients that are owed it. A background job is kept to be asked for."""
        if job.stage is not Stage.OPEN:
            return []
        job.stage, job.pause_us, job.ended_us, job.request = stage, pause_us, now_us, None
        if job.visa is not None:
            job.visa.release()
        owed, job.clients = job.clients, []
        for client in owed:
            mine = self.hanging.get(client)
            if mine is not None:
                mine.pop(job, None)
                if not mine:
                    del self.hanging[client]
        self.held -= job.size
        self.open[job.function] -= 1
        if not self.open[job.function]:
            del self.open[job.function]
        if self.open_unique.get((job.function, job.unique)) is job:
            del self.open_unique[job.function, job.unique]
        if job.background:
            self.kept[job.handle] = job
            self.expire(now_us)
        else:
            self.drop(job)
        return owed

    def finish(self, job: Job, answer: Answer, now_us: int) -> list[object]:
        return self.end(job, STAGES[answer.outcome], now_us, answer.retry_after_us)

    def expire(self, now_us: int) -> None:
        """Guards memory: outcomes are kept for a while, and only so many."""
        while self.kept:
            oldest = next(iter(self.kept.values()))
            if len(self.kept) <= self.keep_most and now_us - oldest.ended_us < self.keep_us:
                return
            del self.kept[oldest.handle]
            self.drop(oldest)

    def drop(self, job: Job) -> None:
        self.by_handle.pop(job.handle, None)
        if self.latest.get(job.unique) is job:
            del self.latest[job.unique]
