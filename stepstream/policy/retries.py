"""Retries: the next attempt of a job, at once or when a worker has headroom."""

from stepstream.model.actions import TimerToken
from stepstream.model.events import AttemptEnded, AttemptResult
from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.state import PolicyState
from stepstream.policy import attempts, outliers
from stepstream.policy.selection import choose_worker

WAIT_PATIENCE = 0.8  # fraction of the latency objective that a job may wait for headroom
NEITHER_SUCCESS_NOR_FAILURE = (AttemptResult.NOT_SENT, AttemptResult.CANCELLED)


def attempt_or_wait(state: PolicyState, job: InFlightJob, *, defer: bool = False) -> bool:
    """Start the job's next attempt or give it up; return False if it has to wait, as deferred."""
    limit = 1 if job.excess else state.settings.attempt_limit
    if (
        len(job.attempts) >= limit
        or state.now_us >= latest_start_us(state, job)
        or not job.may_repeat(state.now_us)
    ):
        attempts.give_up(state, job)
        return True
    worker = None if defer else choose_worker(state, job)
    if worker is not None:
        attempts.start_attempt(state, job, worker)
        return True
    state.waiting.append(job)
    if not job.wait_timer_set:
        state.set_timer(TimerToken.WAIT_EXPIRED, latest_start_us(state, job))
        job.wait_timer_set = True
    return False


def latest_start_us(state: PolicyState, job: InFlightJob) -> int:
    """Return until when an attempt is worth starting: later it would hardly be in time."""
    patience_us = int(WAIT_PATIENCE * job.class_settings.latency_objective_us)
    quantum_us = state.settings.scheduling_quantum_us
    return min(job.arrived_us + patience_us, job.deadline_us - quantum_us)


def retry_waiting_jobs(state: PolicyState) -> None:
    """Give new headroom to waiting jobs, priority jobs first; give up those that are too late."""
    headroom_changed = state.headroom_changed
    state.headroom_changed = False
    if not state.waiting:
        return
    waiting = [job for job in state.waiting if not job.ended]
    waiting.sort(key=lambda job: not job.priority)
    state.waiting = []
    stuck = set()  # sorts of jobs for which no worker has headroom
    for job in waiting:
        sort = (job.priority, job.request.job_class)
        worth_a_try = headroom_changed and sort not in stuck
        if not worth_a_try and state.now_us < latest_start_us(state, job):
            state.waiting.append(job)
        elif not attempt_or_wait(state, job):
            stuck.add(sort)


def on_attempt_ended(state: PolicyState, event: AttemptEnded) -> None:
    """Learn from an attempt's end and retry the job if its answer is still owed."""
    job = state.jobs.get(event.job_id)
    attempt = job.attempt_at(event.attempt_number) if job is not None else None
    if job is None or attempt is None or not attempt.open:
        return
    busy_slots = attempt.worker.busy_slots
    state.record_end(job, attempt)
    outliers.on_load_report(state, attempt.worker, event.load_report)
    attempt.never_ran = event.result.never_ran
    full = event.result is AttemptResult.FULL
    if full:
        state.record_full(attempt.worker, busy_slots)
    else:
        _learn_from_outcome(state, job, attempt, event)
    if event.job_answered or job.ended:
        attempts.end_job(state, job)
    elif not job.has_open_attempt:
        # Half of the attempts are kept for when headroom has changed: else they are soon gone.
        half_used = 2 * len(job.attempts) >= state.settings.attempt_limit
        attempt_or_wait(state, job, defer=full and half_used)


def _learn_from_outcome(
    state: PolicyState, job: InFlightJob, attempt: Attempt, event: AttemptEnded
) -> None:
    if event.result is AttemptResult.OK:
        outliers.on_outcome(state, attempt.worker, failed=False)
        state.record_served(job, attempt, event.elapsed_us)
    elif event.result not in NEITHER_SUCCESS_NOR_FAILURE:
        outliers.on_outcome(state, attempt.worker, failed=True)
