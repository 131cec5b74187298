"""Records of jobs in flight and their attempts.

The policy's state owns the records; only the decision thread touches them.
"""

from dataclasses import dataclass, field, replace

from stepstream.model.events import JobSubmitted
from stepstream.model.settings import Effect, JobClass, KeyScope
from stepstream.model.worker_records import Worker


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a job on a worker."""

    worker: Worker
    sent_us: int
    open: bool = True
    started_us: int = 0  # 0: not yet, as far as we were notified
    late: bool = False  # it had not started when it should have
    lost: bool = False  # it never will, by its worker's load report
    never_ran: bool = False  # proven

    @property
    def started(self) -> bool:
        """Return whether the worker is known to have started it."""
        return self.started_us > 0

    @property
    def start_missing(self) -> bool:
        """Return whether it is late, still open and not yet known to be lost."""
        return self.late and self.open and not self.started and not self.lost


@dataclass(eq=False, slots=True)
class InFlightJob:
    """A job whose final answer is still owed, or whose attempts are still open."""

    request: JobSubmitted
    class_settings: JobClass  # as they were when the job arrived
    wait_until_us: int  # so long it may wait for headroom
    deadline_us: int  # when its client gives up
    priority: bool  # served by the High Set
    priority_weight: float
    excess: bool = False  # past its tenant's quota, or a stale retry: one attempt, last in line
    stale_retry: bool = False
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

    def reclassify(self, class_names: tuple[str, ...]) -> None:
        """Find its class among replaced settings by name; -1 stands for a class that is gone."""
        name = self.class_settings.name
        index = class_names.index(name) if name in class_names else -1
        self.request = replace(self.request, job_class=index)

    @property
    def repeats_are_harmless(self) -> bool:
        """Return whether its client may submit it again without a second effect."""
        terms = self.class_settings
        keyed = terms.effect is Effect.IDEMPOTENT_WITH_KEY and terms.key_scope == KeyScope.ALL
        return terms.effect is Effect.IDEMPOTENT or keyed or self.first_possible_run() is None

    def attempt_at(self, number: int) -> Attempt | None:
        """Return the attempt of this number, or None if there was none."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def may_attempt(self, attempt_limit: int, now_us: int) -> bool:
        """Return whether its answer is owed and the rules allow another attempt."""
        if self.ended or len(self.attempts) >= attempt_limit:
            return False
        return not self.attempts or self.may_repeat(now_us)

    def may_repeat(self, now_us: int) -> bool:
        """Return whether its effect allows another attempt, within its key scope."""
        first = self.first_possible_run()
        if first is None or self.class_settings.effect is Effect.IDEMPOTENT:
            return True
        return (
            self.class_settings.effect is Effect.IDEMPOTENT_WITH_KEY
            and now_us <= first.sent_us + self.class_settings.idempotency_window_us
        )

    def workers_in_key_scope(self, workers: list[Worker]) -> list[Worker]:
        """Return those of the workers where a repeat would be dropped, if it may have run."""
        first = self.first_possible_run()
        scope = self.class_settings.key_scope
        unbound = self.class_settings.effect is Effect.IDEMPOTENT or scope == KeyScope.ALL
        if first is None or unbound:
            return workers
        place = first.worker.endpoint
        if scope == KeyScope.ZONE:
            return [worker for worker in workers if worker.endpoint.zone == place.zone]
        return [worker for worker in workers if worker.endpoint.cell == place.cell]

    def first_possible_run(self) -> Attempt | None:
        """Return the first attempt that may have had its effect: repeats are bound to it."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


@dataclass(eq=False, slots=True)
class AwaitedStart:
    """An attempt that should have started by a certain time."""

    due_us: int
    job: InFlightJob
    attempt: Attempt
