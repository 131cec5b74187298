"""Lost attempts: those that a worker has accepted but will never start."""

from stepstream.model.job_records import REMOVED_CLASS, Attempt
from stepstream.model.settings import Effect
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import MAX_REPORT_LAG_US, Worker
from stepstream.policy import attempts, outliers


def presume_lost(state: PolicyState, worker: Worker) -> None:
    """Presume the overdue attempts on a worker lost, as it reports free slots and no queue.

    The job's class is ejected from the worker, unless a reload has removed the class. An attempt of
    an idempotent job is cancelled, and the next attempt is made when its end is reported.
    """
    # The report may be from before an attempt that was sent later.
    sent_before_us = state.now_us - MAX_REPORT_LAG_US
    lost = [
        (job, attempt)
        for job in state.jobs.in_flight.values()
        for attempt in job.attempts
        if attempt.worker is worker
        and attempt.sent_us < sent_before_us
        and _is_start_missing(attempt)
    ]
    for job, attempt in lost:
        attempt.presumed_lost = True
        if job.request.job_class != REMOVED_CLASS:
            outliers.eject_class(worker, job.request.job_class, attempt.sent_us, state.now_us)
        if job.class_settings.effect is Effect.IDEMPOTENT and not job.ended:
            attempts.cancel_attempts(state, job, [attempt])


def _is_start_missing(attempt: Attempt) -> bool:
    """Return whether the start of an open attempt is overdue, and it is not yet presumed lost."""
    is_unstarted = attempt.open and not attempt.started
    return is_unstarted and attempt.start_overdue and not attempt.presumed_lost
