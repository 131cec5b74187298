"""Load reports: what a worker's report shows, and which workers are asked for one."""

from math import ceil

from stepstream.model.actions import CheckHealth
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import capacity, lost_attempts

# Columns of a load report by their meanings, in slots and in jobs.
FREE_SLOTS = "free_slots"
QUEUED_JOBS = "queue"
HEALTH_CHECKS_PER_JOB = 1.0
MIN_IDLE_SLOTS = 1


def on_load_report(state: PolicyState, worker: Worker, report: dict[str, float] | None) -> None:
    """Take a worker's load report, from an answer or a health check, if it holds free slots."""
    if not report or FREE_SLOTS not in report:
        return
    reported_headroom = report[FREE_SLOTS] - report.get(QUEUED_JOBS, 0.0)
    capacity.learn_from_load_report(state, worker, reported_headroom)
    if reported_headroom >= MIN_IDLE_SLOTS and _shows_empty_queue(report):
        lost_attempts.presume_lost(state, worker)


def _shows_empty_queue(report: dict[str, float]) -> bool:
    """Return whether a report says that no job waits; a report without the queue does not."""
    return QUEUED_JOBS in report and report[QUEUED_JOBS] < 1


def credit_health_checks(state: PolicyState) -> None:
    """Allow for health checks by one job: they are bounded by our jobs, not by the workers."""
    state.measurements.health_check_credit += HEALTH_CHECKS_PER_JOB


def check_silent_workers(state: PolicyState, silence_us: int) -> None:
    """Check the health of workers without a recent measurement of headroom: they may be jammed.

    Workers are silent after `silence_us`. Of them as many are drawn at random as the credit allows.
    """
    if not state.has_load_reports or not state.settings.may_check_health:
        return
    silent = [
        worker
        for worker in state.workers.eligible
        if state.now_us - worker.headroom_at_us >= silence_us
    ]
    count = min(ceil(state.measurements.health_check_credit), len(silent))
    for worker in state.rng.sample(silent, count):
        state.actions.append(CheckHealth(worker.endpoint.worker_id))
    state.measurements.health_check_credit = 0.0
