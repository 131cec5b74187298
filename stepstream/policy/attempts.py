"""Start and cancellation of attempts, and the final answer of a job."""

from stepstream.model.actions import (
    CancelAttempt,
    Fail,
    Reject,
    StartAttempt,
    TimerToken,
)
from stepstream.model.job_records import Attempt, AwaitedStart, InFlightJob
from stepstream.model.settings import Effect, KeyScope
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

START_PATIENCE = 0.4  # fraction of the latency objective within which an attempt should start
START_PATIENCE_MANY = 0.2  # the same of many dispatchers, whose caps are told by it


def start_attempt(state: PolicyState, job: InFlightJob, worker: Worker) -> None:
    """Send the job to the worker and, where starts are reported, watch for its start."""
    attempt = state.record_attempt(job, worker)
    state.actions.append(StartAttempt(job.request.job_id, worker.endpoint.worker_id))
    if state.settings.reports_start:
        patience = START_PATIENCE_MANY if state.pool_load.is_many else START_PATIENCE
        due_us = state.now_us + int(patience * job.class_settings.latency_objective_us)
        state.awaited_starts.append(AwaitedStart(due_us, job, attempt))
        state.set_timer(TimerToken.START_DUE, due_us)


def cancel_attempts(state: PolicyState, job: InFlightJob, attempts: list[Attempt]) -> None:
    """Cancel those of the job's attempts that are open, where the platform can cancel."""
    for number, attempt in enumerate(job.attempts):
        if state.settings.may_cancel and attempt.open and attempt in attempts:
            state.actions.append(CancelAttempt(job.request.job_id, number))


def give_up(state: PolicyState, job: InFlightJob) -> None:
    """Answer a job that has no good attempt left; a rejection says that a retry is harmless."""
    effect = job.class_settings.effect
    all_know_key = job.class_settings.key_scope == KeyScope.ALL
    if (
        effect is Effect.IDEMPOTENT
        or (effect is Effect.IDEMPOTENT_WITH_KEY and all_know_key)
        or job.first_possible_run() is None
    ):
        advises = state.settings.may_advise_retry and not job.priority
        retry_after_us = state.settings.max_retry_after_us if advises else 0
        state.actions.append(Reject(job.request.job_id, retry_after_us))
    else:
        state.actions.append(Fail(job.request.job_id))
    end_job(state, job)


def end_job(state: PolicyState, job: InFlightJob) -> None:
    """Note that no answer is owed any more, and cancel attempts that now serve nobody."""
    job.ended = True
    cancel_attempts(state, job, job.attempts)
    if not job.has_open_attempt:
        state.jobs.pop(job.request.job_id, None)
