"""Records of jobs in flight and their attempts.

The policy's state owns the records; only the decision thread touches them.
"""

from dataclasses import dataclass, field, replace

from stepstream.model.events import JobSubmitted
from stepstream.model.settings import JobClass
from stepstream.model.worker_records import Worker

# The index of a job class that the settings no longer name.
REMOVED_CLASS = -1


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a job on a worker."""

    worker: Worker
    sent_us: int
    open: bool = True
    started_us: int = 0  # 0: no start was reported
    start_overdue: bool = False  # it had not started when its start was due
    presumed_lost: bool = False  # a load report of its worker shows that it will never start
    never_ran: bool = False  # its result proves that the job did not run

    @property
    def started(self) -> bool:
        """Return whether the worker is known to have started it."""
        return self.started_us > 0


@dataclass(eq=False, slots=True)
class InFlightJob:
    """A job whose final answer is still owed, or whose attempts are still open."""

    request: JobSubmitted
    class_settings: JobClass  # as they were when the job arrived
    wait_until_us: int  # until when it may wait for headroom
    deadline_us: int  # when its client gives up
    priority: bool  # served by the High Set
    priority_weight: float
    over_quota: bool = False  # its tenant was over its quota when it arrived
    stale_retry: bool = False  # a client's retry that has already missed its latency objective
    attempts: list[Attempt] = field(default_factory=list)
    wait_timer_set: bool = False
    ended: bool = False  # the final answer was given, or is no longer owed

    @property
    def has_open_attempt(self) -> bool:
        """Return whether an attempt has not ended yet."""
        return any(attempt.open for attempt in self.attempts)

    @property
    def tried_workers(self) -> list[Worker]:
        """Return the workers of the job's attempts, in the order of the attempts."""
        return [attempt.worker for attempt in self.attempts]

    def attempt_at(self, attempt_number: int) -> Attempt | None:
        """Return the attempt with this number, or None if there is none."""
        return self.attempts[attempt_number] if 0 <= attempt_number < len(self.attempts) else None

    def reclassify(self, class_names: tuple[str, ...]) -> None:
        """Set the index of the job's class by its name in new settings, or to `REMOVED_CLASS`."""
        name = self.class_settings.name
        index = class_names.index(name) if name in class_names else REMOVED_CLASS
        self.request = replace(self.request, job_class=index)


@dataclass(eq=False, slots=True)
class AwaitedStart:
    """An attempt and the time by which it should have started."""

    due_us: int
    job: InFlightJob
    attempt: Attempt
