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
    presumed_lost: bool = False  # by a load report of its worker
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
    wait_until_us: int  # the end of its wait for headroom
    deadline_us: int  # when its client gives up
    priority: bool  # served by the High Set
    priority_weight: float
    over_quota: bool = False  # its tenant is over its quota
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
        """Return the workers of its attempts, in their order."""
        return [attempt.worker for attempt in self.attempts]

    def attempt_at(self, number: int) -> Attempt | None:
        """Return the attempt of this number, or None if there was none."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def reclassify(self, class_names: tuple[str, ...]) -> None:
        """Find its class in new settings by name, `REMOVED_CLASS` if they lack it."""
        name = self.class_settings.name
        index = class_names.index(name) if name in class_names else REMOVED_CLASS
        self.request = replace(self.request, job_class=index)


@dataclass(eq=False, slots=True)
class AwaitedStart:
    """An attempt and the time by which it should have started."""

    due_us: int
    job: InFlightJob
    attempt: Attempt
