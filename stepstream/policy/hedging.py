"""Hedged requests: a second attempt where the first does not start soon.

An attempt that does not start soon proves that its worker has no headroom, whatever a late load
report says.
"""

from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Effect
from stepstream.model.state import PolicyState
from stepstream.policy import attempts
from stepstream.policy.selection import choose_worker


def on_attempt_started(state: PolicyState, job: InFlightJob, number: int) -> None:
    """Keep the attempt that has started and cancel those that have not."""
    attempt = job.attempt_at(number)
    if attempt is not None:
        state.record_start(job, attempt)
        attempts.cancel_attempts(state, job, [other for other in job.attempts if not other.started])


def on_starts_due(state: PolicyState) -> None:
    """Hedge attempts that should have started by now."""
    for start in state.take_due_starts():
        if not start.attempt.started and start.attempt.open:
            state.record_late_start(start.attempt)
            if _may_hedge(state, start.job):
                _hedge(state, start.job)


def _may_hedge(state: PolicyState, job: InFlightJob) -> bool:
    return (
        state.settings.may_hedge
        and job.class_settings.effect is not Effect.NOT_IDEMPOTENT
        and not job.ended
        and len(job.attempts) < state.settings.attempt_limit
        and job.may_repeat(state.now_us)
    )


def _hedge(state: PolicyState, job: InFlightJob) -> None:
    worker = choose_worker(state, job)
    if (
        worker is not None
        and worker not in job.tried_workers
        and state.headroom(worker) >= job.request.slots
    ):
        attempts.start_attempt(state, job, worker)
