"""Retries and hedged requests: a job's next attempt, or its answer where no attempt is good.

A retry follows an attempt that has ended, a hedged request stands beside one that does not start.
"""

from stepstream.model.actions import Fail, Reject
from stepstream.model.events import AttemptEnded, AttemptResult
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Effect
from stepstream.model.state import PolicyState
from stepstream.policy import outliers
from stepstream.policy.selection import choose_worker


def attempt_or_wait(state: PolicyState, job: InFlightJob, *, defer: bool = False) -> bool:
    """Start the job's next attempt or give it up; return False if it waits, as `defer` demands."""
    limit = 1 if job.excess else state.settings.attempt_limit
    too_late = state.now_us >= latest_start_us(state, job)
    if too_late or not job.may_attempt(limit, state.now_us):
        give_up(state, job)
        return True
    worker = None if defer else choose_worker(state, job)
    if worker is not None:
        state.start_attempt(job, worker)
        return True
    state.add_waiting_job(job, latest_start_us(state, job))
    return False


def latest_start_us(state: PolicyState, job: InFlightJob) -> int:
    """Return until when an attempt is worth starting: later it would hardly be in time."""
    return min(job.wait_until_us, job.deadline_us - state.settings.scheduling_quantum_us)


def give_up(state: PolicyState, job: InFlightJob) -> None:
    """Answer a job that has no good attempt left; a rejection says that a retry is harmless."""
    if job.repeats_are_harmless:
        advises = state.settings.may_advise_retry and not job.priority
        retry_after_us = state.settings.max_retry_after_us if advises else 0
        state.actions.append(Reject(job.request.job_id, retry_after_us))
    else:
        state.actions.append(Fail(job.request.job_id))
    state.end_job(job)


def retry_waiting_jobs(state: PolicyState) -> None:
    """Give new headroom to waiting jobs, priority jobs first; give up those that are too late."""
    headroom_changed = state.take_headroom_change()
    stuck = set()  # sorts of jobs for which no worker has headroom
    for job in state.take_waiting_jobs():
        sort = (job.priority, job.request.job_class)
        may_start = headroom_changed and sort not in stuck
        if not may_start and state.now_us < latest_start_us(state, job):
            state.waiting.append(job)
        elif not attempt_or_wait(state, job):
            stuck.add(sort)


def on_attempt_started(state: PolicyState, job: InFlightJob, number: int) -> None:
    """Keep the attempt that has started and cancel those that have not."""
    attempt = job.attempt_at(number)
    if attempt is not None:
        state.record_start(job, attempt)
        state.cancel_attempts(job, [other for other in job.attempts if not other.started])


def on_attempt_ended(state: PolicyState, event: AttemptEnded) -> None:
    """Learn from an attempt's end and retry the job if its answer is still owed."""
    job = state.jobs.get(event.job_id)
    attempt = job.attempt_at(event.attempt_number) if job is not None else None
    if job is None or attempt is None or not attempt.open:
        return
    busy_slots = attempt.worker.busy_slots
    full = event.result is AttemptResult.FULL
    state.record_end(job, attempt, event)
    outliers.on_load_report(state, attempt.worker, event.load_report)
    if full:
        state.record_full(attempt.worker, busy_slots)
    elif event.result.reflects_health:
        failed = event.result is not AttemptResult.OK
        outliers.on_outcome(state, attempt.worker, failed=failed)
    if event.job_answered or job.ended:
        state.end_job(job)
    elif not job.has_open_attempt:
        # Half of the attempts are kept for when headroom has changed: else they are soon gone.
        half_used = 2 * len(job.attempts) >= state.settings.attempt_limit
        attempt_or_wait(state, job, defer=full and half_used)


def on_starts_due(state: PolicyState) -> None:
    """Hedge attempts that should have started by now: their workers have no headroom."""
    for start in state.take_due_starts():
        state.record_late_start(start.attempt)
        _hedge(state, start.job)


def _hedge(state: PolicyState, job: InFlightJob) -> None:
    allowed = state.settings.may_hedge and job.class_settings.effect is not Effect.NOT_IDEMPOTENT
    if not allowed or not job.may_attempt(state.settings.attempt_limit, state.now_us):
        return
    worker = choose_worker(state, job)
    if worker is None or worker in job.tried_workers:
        return
    if state.headroom(worker) >= job.request.slots:
        state.start_attempt(job, worker)
