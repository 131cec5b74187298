"""Hedged requests: a second attempt where the first does not start soon."""

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


def harness_with_attempt(job_class, headrooms=(3.0, 3.0, 3.0)):
    """Return a balancer, and the id and the worker of a job that has not started yet."""
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
    return harness, job_id, first_worker(actions)


def test_an_attempt_that_does_not_start_soon_is_hedged_and_the_first_to_start_stays():
    # Late reports kept jobs behind long queues at workers that looked free.
    harness, job_id, first = harness_with_attempt(IDEMPOTENT)
    (hedged,) = started_attempts(harness.fire_timers(OVERDUE_US))
    assert hedged.job_id == job_id
    assert hedged.worker_id != first
    assert not started_attempts(harness.fire_timers(10_000))
    started = AttemptStarted(job_id, 1, hedged.worker_id)
    assert harness.handle(started) == [CancelAttempt(job_id, 0)]
    assert not harness.end_attempt(job_id, first, AttemptResult.CANCELLED, attempt=0)
    harness.end_attempt(job_id, hedged.worker_id, AttemptResult.OK, attempt=1)
    assert not harness.balancer.state.jobs.in_flight


def test_a_hedged_request_needs_an_idempotent_job_and_headroom():
    for job_class, headrooms in (
        (NOT_IDEMPOTENT, (3.0, 3.0, 3.0)),
        (IDEMPOTENT, (1.0, 0.0, 0.0)),
    ):
        harness, _, _ = harness_with_attempt(job_class, headrooms)
        assert not started_attempts(harness.fire_timers(OVERDUE_US))
    harness, job_id, first = harness_with_attempt(IDEMPOTENT)
    harness.handle(AttemptStarted(job_id, 0, first))
    assert not started_attempts(harness.fire_timers(OVERDUE_US))


def test_a_worker_with_an_overdue_start_has_no_headroom():
    harness, _, overdue = harness_with_attempt(NOT_IDEMPOTENT)
    harness.fire_timers(OVERDUE_US)
    for _ in range(4):
        assert overdue not in workers_of(harness.advance(1000).submit()[1])


def test_a_hedged_request_in_flight_when_the_job_is_answered_is_cancelled():
    harness, job_id, first = harness_with_attempt(IDEMPOTENT)
    harness.fire_timers(OVERDUE_US)
    assert harness.end_attempt(job_id, first, AttemptResult.OK) == [CancelAttempt(job_id, 1)]
