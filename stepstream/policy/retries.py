"""Retries: a job's next attempt, its wait for one, or its answer if there is no further attempt."""

from stepstream.model.actions import Fail, Reject
from stepstream.model.events import AttemptEnded, AttemptResult
from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.state import PolicyState
from stepstream.policy import (
    attempts,
    capacity,
    idempotency,
    load_reports,
    outliers,
    priority,
    waiting,
)
from stepstream.policy.selection import choose_worker

BEST_EFFORT_ATTEMPT_LIMIT = 1
# The fraction of a job's attempt limit that may be used without a pause. Each further attempt waits
# until headroom has changed. Otherwise a job on a full fleet would use up all of its attempts at
# once.
IMMEDIATE_RETRY_FRACTION = 0.5


def attempt_or_wait(state: PolicyState, job: InFlightJob, *, defer: bool = False) -> bool:
    """Start the job's next attempt, give the job up, or let it wait; return False if it waits.

    With `defer` the job waits until headroom has changed, even if a worker has headroom now.
    """
    too_late = state.now_us >= waiting.latest_start_us(state, job)
    if too_late or not may_attempt(job, attempt_limit(state, job), state.now_us):
        give_up(state, job)
        return True
    worker = None if defer else choose_worker(state, job)
    if worker is not None:
        attempts.start_attempt(state, job, worker)
        return True
    waiting.add_waiting_job(state, job)
    return False


def attempt_limit(state: PolicyState, job: InFlightJob) -> int:
    """Return the number of attempts that a job may have, the first one included."""
    if priority.is_best_effort(job):
        return BEST_EFFORT_ATTEMPT_LIMIT
    return state.settings.attempt_limit


def may_attempt(job: InFlightJob, limit: int, now_us: int) -> bool:
    """Return whether the job's answer is owed and its limit and effect allow another attempt."""
    if job.ended or len(job.attempts) >= limit:
        return False
    return not job.attempts or idempotency.may_repeat(job, now_us)


def give_up(state: PolicyState, job: InFlightJob) -> None:
    """Reject a job that gets no further attempt, or fail it if a client's retry may do harm."""
    if idempotency.is_client_retry_harmless(job):
        retry_after_us = _retry_after_us(state, job)
        state.actions.append(Reject(job.request.job_id, retry_after_us))
    else:
        state.actions.append(Fail(job.request.job_id))
    attempts.end_job(state, job)


def _retry_after_us(state: PolicyState, job: InFlightJob) -> int:
    """Return how long the client should wait before its retry; priority jobs need not wait."""
    advises_wait = state.settings.may_advise_retry and not job.priority
    return state.settings.max_retry_after_us if advises_wait else 0


def retry_waiting_jobs(state: PolicyState) -> None:
    """Give new headroom to waiting jobs, priority jobs first; give up those that are too late."""
    is_due = waiting.take_waiting_jobs_due(state)
    # Pairs of priority and class: for such jobs no worker has headroom in this round.
    categories_without_headroom = set()
    for job in waiting.take_waiting_jobs(state):
        category = (job.priority, job.request.job_class)
        may_start = is_due and category not in categories_without_headroom
        if not may_start and state.now_us < waiting.latest_start_us(state, job):
            state.jobs.waiting_for_headroom.append(job)
        elif not attempt_or_wait(state, job):
            categories_without_headroom.add(category)


def on_attempt_started(state: PolicyState, job: InFlightJob, attempt_number: int) -> None:
    """Record an attempt's start, and cancel the job's attempts that have not started."""
    attempt = job.attempt_at(attempt_number)
    if attempt is not None:
        attempts.record_start(state, job, attempt)
        not_started = [other for other in job.attempts if not other.started]
        attempts.cancel_attempts(state, job, not_started)


def on_attempt_ended(state: PolicyState, event: AttemptEnded) -> None:
    """Learn from an attempt's end and retry the job if its answer is still owed."""
    job = state.jobs.in_flight.get(event.job_id)
    attempt = job.attempt_at(event.attempt_number) if job is not None else None
    if job is None or attempt is None or not attempt.open:
        return
    _learn_from_end(state, job, attempt, event)
    if event.job_answered or job.ended:
        attempts.end_job(state, job)
    elif not job.has_open_attempt:
        full = event.result is AttemptResult.FULL
        attempt_or_wait(state, job, defer=full and _has_used_immediate_retries(state, job))


def _learn_from_end(
    state: PolicyState, job: InFlightJob, attempt: Attempt, event: AttemptEnded
) -> None:
    """Learn from an attempt's end about its worker's load, cap and health."""
    worker = attempt.worker
    busy_slots = worker.busy_slots  # with the slots of this attempt
    attempts.record_end(state, job, attempt, event)
    load_reports.on_load_report(state, worker, event.load_report)
    if event.result is AttemptResult.FULL:
        capacity.learn_from_full(state, worker, busy_slots)
    elif event.result.reflects_health:
        outliers.on_outcome(state, worker, failed=event.result is not AttemptResult.OK)


def _has_used_immediate_retries(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether further attempts should wait for a change of headroom."""
    return len(job.attempts) >= IMMEDIATE_RETRY_FRACTION * state.settings.attempt_limit
