"""Attempts from their sending to their end: what each change does to the records.

A start, an overdue start and an end are evidence of a worker's capacity and health. They are passed
to the modules that learn from them.
"""

from stepstream.model.actions import CancelAttempt, StartAttempt
from stepstream.model.events import AttemptEnded, AttemptResult
from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import capacity, outliers, pool_capacity, slow_start, timers


def start_attempt(state: PolicyState, job: InFlightJob, worker: Worker) -> None:
    """Send the job to the worker."""
    attempt = Attempt(worker, state.now_us)
    job.attempts.append(attempt)
    capacity.change_busy_slots(state, worker, job.request.slots)
    slow_start.record_attempt(worker, state.now_us)
    outliers.postpone_next_probation(worker, job.request.job_class, state.now_us)
    state.actions.append(StartAttempt(job.request.job_id, worker.endpoint.worker_id))
    timers.await_start(state, job, attempt)


def cancel_attempts(state: PolicyState, job: InFlightJob, attempts: list[Attempt]) -> None:
    """Cancel those of the given attempts that are open, where the platform can cancel."""
    for number, attempt in enumerate(job.attempts):
        if state.settings.may_cancel and attempt.open and attempt in attempts:
            state.actions.append(CancelAttempt(job.request.job_id, number))


def end_job(state: PolicyState, job: InFlightJob) -> None:
    """Record that no answer is owed any more, and cancel the job's open attempts."""
    job.ended = True
    cancel_attempts(state, job, job.attempts)
    if not job.has_open_attempt:
        state.jobs.in_flight.pop(job.request.job_id, None)


def record_start(state: PolicyState, job: InFlightJob, attempt: Attempt) -> None:
    """Record that a worker has started an attempt; a start may be reported twice."""
    worker = attempt.worker
    if not attempt.started:
        _change_running_slots(worker, job.request.slots)
        outliers.shorten_class_ejection(worker, job.request.job_class)
        if not attempt.start_overdue and worker.pool is state.pools.low_set:
            pool_capacity.learn_from_low_set_start(state.pools, overdue=False)
        attempt.started_us = state.now_us
    capacity.learn_from_start(state, worker)


def record_overdue_start(state: PolicyState, attempt: Attempt) -> None:
    """Record that an attempt did not start by its due time: its worker has no headroom."""
    worker = attempt.worker
    attempt.start_overdue = True
    if worker.pool is state.pools.low_set:
        pool_capacity.learn_from_low_set_start(state.pools, overdue=True)
    capacity.learn_from_overdue_start(state, worker)


def record_end(state: PolicyState, job: InFlightJob, attempt: Attempt, ended: AttemptEnded) -> None:
    """Record that an attempt is over, and how long it took if its job was served."""
    attempt.open = False
    attempt.never_ran = ended.result.never_ran
    capacity.change_busy_slots(state, attempt.worker, -job.request.slots)
    if attempt.started:
        _change_running_slots(attempt.worker, -job.request.slots)
    if ended.result is AttemptResult.OK:
        _record_served(state, job, attempt, ended.elapsed_us)


def _record_served(state: PolicyState, job: InFlightJob, attempt: Attempt, elapsed_us: int) -> None:
    """Include a served job in the run times of its class and of its worker."""
    job_class = job.request.job_class
    state.measurements.run_times.record_served(state.now_us, job_class, elapsed_us)
    if attempt.started:
        run_us = state.now_us - attempt.started_us
        outliers.record_run(state, attempt.worker, job_class, run_us)


def _change_running_slots(worker: Worker, slots: float) -> None:
    worker.running_slots += slots
    worker.pool.running_slots += slots
