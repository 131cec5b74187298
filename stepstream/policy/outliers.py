"""Outlier ejection: workers that fail, run slowly or lose jobs leave their pools for a while."""

from math import ceil

from stepstream.model.actions import CheckHealth
from stepstream.model.ejections import next_ejection_time_us
from stepstream.model.settings import Effect
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker, accepting_workers

FAILURE_RATE_LIMIT = 0.6  # of recent outcomes; three failures in a row pass it
SLOWNESS_LIMIT = 1.1  # logarithm of how much longer than usual a worker's runs take
SLOW_EJECTION_US = 3_000_000  # before each probation attempt of a slow worker


def available_workers(state: PolicyState, workers: list[Worker], job_class: int) -> list[Worker]:
    """Return the workers that are not ejected; all of them if most are: it is not the workers."""
    available = accepting_workers(workers, job_class, state.now_us)
    return available if 2 * len(available) >= len(workers) else workers


def on_outcome(state: PolicyState, worker: Worker, *, failed: bool) -> None:
    """Eject a worker that fails steadily, and return it once a probation attempt succeeds."""
    state.record_outcome(worker, failed=failed)
    if not failed and worker.slowness_with_open_runs <= SLOWNESS_LIMIT:
        worker.ejection_time_us = 0
    elif worker.failure_rate > FAILURE_RATE_LIMIT and state.now_us >= worker.next_probation_us:
        worker.eject(next_ejection_time_us(worker.ejection_time_us), state.now_us)


def update_slow_ejections(state: PolicyState, *, spare_capacity: bool) -> None:
    """Eject slow workers while the others have spare capacity; else take them back in."""
    state.measure_open_runs()
    for worker in state.eligible_workers:
        slow = worker.slowness_with_open_runs > SLOWNESS_LIMIT
        ejected = worker.ejection_time_us > 0
        if slow and worker.failure_rate <= FAILURE_RATE_LIMIT and ejected != spare_capacity:
            worker.eject(SLOW_EJECTION_US, state.now_us)
            if not spare_capacity:
                worker.ejection_time_us = 0  # its failures eject it again only after that time


def on_load_report(state: PolicyState, worker: Worker, report: dict[str, float] | None) -> None:
    """Take a load report; one of headroom and no queue shows which of our jobs are lost."""
    if not state.record_load_report(worker, report):
        return
    for job, attempt in state.find_lost_attempts(worker):
        attempt.lost = True
        worker.eject_class(job.request.job_class, attempt.sent_us, state.now_us)
        if job.class_settings.effect is Effect.IDEMPOTENT and not job.ended:
            state.cancel_attempts(job, [attempt])  # its end brings the next attempt


def check_silent_workers(state: PolicyState, silent_us: int) -> None:
    """Check the health of some workers without a report for so long: they may be jammed."""
    if not state.has_load_reports or not state.settings.may_check_health:
        return
    silent = state.silent_workers(silent_us)
    # Bounded by the dispatcher's own jobs, whatever the number of workers.
    count = min(ceil(state.health_check_credit), len(silent))
    for worker in state.rng.sample(silent, count):
        state.actions.append(CheckHealth(worker.endpoint.worker_id))
    state.health_check_credit = 0.0
