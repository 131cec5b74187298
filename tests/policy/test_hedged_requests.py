"""Hedged requests: a second attempt where the first does not start soon."""

from typing import NamedTuple

from stepstream.model.actions import CancelAttempt
from stepstream.model.events import AttemptResult, AttemptStarted
from tests.model.builders import IDEMPOTENT, NOT_IDEMPOTENT
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    first_worker,
    started_attempts,
    workers_of,
)

OVERDUE_US = 160_000  # after which a start is overdue


class StartedJob(NamedTuple):
    """A balancer, and a job whose first attempt has not started yet."""

    harness: PolicyHarness
    job_id: str
    worker_id: str


def start_job(job_class, headrooms=(3.0, 3.0, 3.0)):
    """Submit a job to a balancer with three workers."""
    harness = PolicyHarness(
        job_class,
        workers=3,
        reports_start=True,
        may_hedge=True,
        may_cancel=True,
        **WITH_LOAD_REPORTS,
    )
    harness.report_headrooms(headrooms)
    job_id, actions = harness.submit()
    return StartedJob(harness, job_id, first_worker(actions))


def test_an_attempt_that_does_not_start_soon_is_hedged_and_the_first_to_start_stays():
    # Late reports kept jobs behind long queues at workers that looked free.
    job = start_job(IDEMPOTENT)
    (hedged,) = started_attempts(job.harness.fire_timers(OVERDUE_US))
    assert hedged.job_id == job.job_id
    assert hedged.worker_id != job.worker_id
    assert not started_attempts(job.harness.fire_timers(10_000))
    started = AttemptStarted(job.job_id, 1, hedged.worker_id)
    assert job.harness.handle(started) == [CancelAttempt(job.job_id, 0)]
    assert not job.harness.end_attempt(
        job.job_id, job.worker_id, AttemptResult.CANCELLED, attempt=0
    )
    job.harness.end_attempt(job.job_id, hedged.worker_id, AttemptResult.OK, attempt=1)
    assert not job.harness.balancer.state.jobs.in_flight


def test_a_hedged_request_needs_an_idempotent_job_and_headroom():
    for job_class, headrooms in (
        (NOT_IDEMPOTENT, (3.0, 3.0, 3.0)),
        (IDEMPOTENT, (1.0, 0.0, 0.0)),
    ):
        job = start_job(job_class, headrooms)
        assert not started_attempts(job.harness.fire_timers(OVERDUE_US))
    job = start_job(IDEMPOTENT)
    job.harness.handle(AttemptStarted(job.job_id, 0, job.worker_id))
    assert not started_attempts(job.harness.fire_timers(OVERDUE_US))


def test_a_worker_with_an_overdue_start_has_no_headroom():
    job = start_job(NOT_IDEMPOTENT)
    job.harness.fire_timers(OVERDUE_US)
    for _ in range(4):
        assert job.worker_id not in workers_of(job.harness.advance(1000).submit()[1])


def test_a_hedged_request_in_flight_when_the_job_is_answered_is_cancelled():
    job = start_job(IDEMPOTENT)
    job.harness.fire_timers(OVERDUE_US)
    assert job.harness.end_attempt(job.job_id, job.worker_id, AttemptResult.OK) == [
        CancelAttempt(job.job_id, 1)
    ]
