"""Hedged requests: a second attempt beside one whose start is overdue.

As soon as one of the two starts, the other is cancelled, see `policy.retries`.
"""

from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.policy import attempts, capacity, retries, timers
from stepstream.policy.selection import choose_worker


def on_starts_due(state: PolicyState) -> None:
    """Record the attempts that should have started by now, and hedge their jobs where allowed."""
    for awaited_start in timers.take_overdue_starts(state):
        attempts.record_overdue_start(state, awaited_start.attempt)
        if _may_hedge(state, awaited_start.job):
            _hedge(state, awaited_start.job)


def _may_hedge(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the platform and the job's attempts allow a hedged request.

    The overdue attempt may still run, so a job that is not idempotent may not be sent again.
    """
    if not state.settings.may_hedge:
        return False
    return retries.may_attempt(job, state.settings.attempt_limit, state.now_us)


def _hedge(state: PolicyState, job: InFlightJob) -> None:
    """Send the job to a worker that was not tried and has the slots for it, if one is found."""
    worker = choose_worker(state, job)
    if worker is None or worker in job.tried_workers:
        return
    if capacity.headroom(state, worker) >= job.request.slots:
        attempts.start_attempt(state, job, worker)
