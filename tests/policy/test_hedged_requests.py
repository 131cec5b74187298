"""Hedged requests: a second attempt if the first one does not start in time."""

from typing import NamedTuple

from stepstream.model.actions import CancelAttempt
from stepstream.model.events import AttemptResult, AttemptStarted
from tests.model.builders import IDEMPOTENT, NOT_IDEMPOTENT
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    attempt_worker_ids,
    first_worker_id,
    started_attempts,
)

START_DUE_US = 160_000  # a start is overdue after this time


class SubmittedJob(NamedTuple):
    """A harness, and a job whose first attempt was sent and has not started yet."""

    harness: PolicyHarness
    job_id: str
    worker_id: str


def submit_job(job_class, headrooms=(3.0, 3.0, 3.0)):
    """Submit a job to a load balancer with three workers."""
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
    return SubmittedJob(harness, job_id, first_worker_id(actions))


def test_an_overdue_attempt_is_hedged_and_is_cancelled_when_the_other_one_starts():
    # Guards against jobs that stay in long queues because old load reports show free slots on
    # their workers.
    job = submit_job(IDEMPOTENT)
    (hedged,) = started_attempts(job.harness.fire_timers(START_DUE_US))
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
        job = submit_job(job_class, headrooms)
        assert not started_attempts(job.harness.fire_timers(START_DUE_US))
    job = submit_job(IDEMPOTENT)
    job.harness.handle(AttemptStarted(job.job_id, 0, job.worker_id))
    assert not started_attempts(job.harness.fire_timers(START_DUE_US))


def test_a_worker_with_an_overdue_start_gets_no_further_job():
    job = submit_job(NOT_IDEMPOTENT)
    job.harness.fire_timers(START_DUE_US)
    for _ in range(4):
        assert job.worker_id not in attempt_worker_ids(job.harness.advance(1000).submit()[1])


def test_a_hedged_request_in_flight_when_the_job_is_answered_is_cancelled():
    job = submit_job(IDEMPOTENT)
    job.harness.fire_timers(START_DUE_US)
    assert job.harness.end_attempt(job.job_id, job.worker_id, AttemptResult.OK) == [
        CancelAttempt(job.job_id, 1)
    ]
