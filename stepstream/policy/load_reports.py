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
    """Learn from a worker's load report, in an answer or a health check, if it gives free slots."""
    if not report or FREE_SLOTS not in report:
        return
    reported_headroom = report[FREE_SLOTS] - report.get(QUEUED_JOBS, 0.0)
    capacity.learn_from_load_report(state, worker, reported_headroom)
    if reported_headroom >= MIN_IDLE_SLOTS and _shows_empty_queue(report):
        lost_attempts.presume_lost(state, worker)


def _shows_empty_queue(report: dict[str, float]) -> bool:
    """Return whether a report says that no job is queued; False without the queue's column."""
    return QUEUED_JOBS in report and report[QUEUED_JOBS] < 1


def credit_health_checks(state: PolicyState) -> None:
    """Add one job's credit for health checks.

    So the number of checks follows the number of our jobs, not the number of workers.
    """
    state.measurements.health_check_credit += HEALTH_CHECKS_PER_JOB


def check_silent_workers(state: PolicyState, silence_us: int) -> None:
    """Check the health of workers without a recent measurement of headroom: they may be stuck.

    A worker is silent if its headroom was measured `silence_us` ago or earlier. As many of the
    silent workers are drawn at random as the credit allows.
    """
    if not state.has_load_reports or not state.settings.may_check_health:
        return
    silent_workers = [
        worker
        for worker in state.workers.eligible
        if state.now_us - worker.headroom_at_us >= silence_us
    ]
    count = min(ceil(state.measurements.health_check_credit), len(silent_workers))
    for worker in state.rng.sample(silent_workers, count):
        state.actions.append(CheckHealth(worker.endpoint.worker_id))
    state.measurements.health_check_credit = 0.0
