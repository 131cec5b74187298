"""Outlier ejection: workers that fail, run slowly or lose jobs leave their pools for a while."""

from stepstream.model.ejections import next_ejection_time_us
from stepstream.model.settings import Effect
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import LONGEST_REPORT_LAG_US, Worker
from stepstream.policy import attempts

FAILURE_RATE_LIMIT = 0.6  # of recent outcomes; three failures in a row pass it
SLOWNESS_LIMIT = 1.1  # logarithm of how much longer than usual a worker's runs take
SLOW_EJECTION_US = 3_000_000  # before each probation attempt of a slow worker
ANY_CLASS = -1


def available_workers(
    state: PolicyState, workers: list[Worker], job_class: int = ANY_CLASS
) -> list[Worker]:
    """Return the workers that are not ejected; all of them if most are: it is not the workers."""
    now_us = state.now_us
    available = [worker for worker in workers if worker.accepts(job_class, now_us)]
    return available if 2 * len(available) >= len(workers) else workers


def on_outcome(state: PolicyState, worker: Worker, *, failed: bool) -> None:
    """Eject a worker that fails steadily, and return it once a probation attempt succeeds."""
    state.record_outcome(worker, failed=failed)
    if not failed and worker.slowness_with_open_runs <= SLOWNESS_LIMIT:
        worker.ejection_time_us = 0
    elif worker.failure_rate > FAILURE_RATE_LIMIT and state.now_us >= worker.next_probation_us:
        worker.ejection_time_us = next_ejection_time_us(worker.ejection_time_us)
        worker.next_probation_us = state.now_us + worker.ejection_time_us


def eject_slow_workers(state: PolicyState, *, spare_capacity: bool) -> None:
    """Eject slow workers while the others have spare capacity; else all of them are needed."""
    state.measure_open_runs()
    for worker in state.eligible_workers:
        slow = worker.slowness_with_open_runs > SLOWNESS_LIMIT
        ejected = worker.ejection_time_us > 0
        if slow and worker.failure_rate <= FAILURE_RATE_LIMIT and ejected != spare_capacity:
            worker.ejection_time_us = SLOW_EJECTION_US if spare_capacity else 0
            worker.next_probation_us = state.now_us + SLOW_EJECTION_US


def on_load_report(state: PolicyState, worker: Worker, report: dict[str, float] | None) -> None:
    """Take a load report; one of headroom and no queue shows which of our jobs are lost."""
    if report and "free_slots" in report:
        headroom = report["free_slots"] - report.get("queue", 0.0)
        state.record_load_report(worker, headroom)
        if headroom >= 1 and report.get("queue", 1.0) < 1:
            _eject_classes_of_lost_jobs(state, worker)


def _eject_classes_of_lost_jobs(state: PolicyState, worker: Worker) -> None:
    """Eject classes whose jobs should have started before the worker's report: they never will."""
    sent_before_us = state.now_us - LONGEST_REPORT_LAG_US
    for job in state.jobs.values():
        for attempt in job.attempts:
            if attempt.worker is not worker or not attempt.start_missing:
                continue
            if attempt.sent_us < sent_before_us:
                attempt.lost = True
                worker.eject_class(job.request.job_class, attempt.sent_us, state.now_us)
                if job.class_settings.effect is Effect.IDEMPOTENT and not job.ended:
                    # Its end brings the next attempt.
                    attempts.cancel_attempts(state, job, [attempt])
