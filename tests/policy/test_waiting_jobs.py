"""Jobs that wait for headroom, as seen in the load balancer's actions."""

from stepstream.model.actions import Reject, SetTimer
from stepstream.model.events import AttemptResult
from tests.model.builders import IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    attempt_worker_ids,
    final_actions,
    first_worker_id,
    started_attempts,
)


def harness_without_headroom():
    """Return a harness whose three workers report no free slot."""
    harness = PolicyHarness(IDEMPOTENT, workers=3, **WITH_LOAD_REPORTS)
    harness.report_headrooms([0.0, 0.0, 0.0])
    return harness


def test_a_job_waits_without_headroom_and_starts_where_headroom_is_first_reported():
    harness = PolicyHarness(IDEMPOTENT, workers=3, **WITH_LOAD_REPORTS)
    harness.report_headrooms([0.0, 0.0, -2.0])
    job_id, actions = harness.submit()
    assert not started_attempts(actions)
    assert not final_actions(actions)
    harness.advance(50_000)
    started = started_attempts(harness.report_headroom(2, 3.0))
    assert [(attempt.job_id, attempt.worker_id) for attempt in started] == [
        (job_id, make_endpoint(2).worker_id)
    ]


def test_a_job_that_waited_too_long_to_be_in_time_is_rejected_once():
    harness = harness_without_headroom()
    harness.submit()
    actions = [action for _ in range(10) for action in harness.fire_timers(40_000)]
    assert [type(action) for action in final_actions(actions)] == [Reject]
    assert not harness.balancer.state.jobs.in_flight


def test_a_waiting_job_has_a_timer_of_its_own_and_is_answered_before_its_client_disconnects():
    for budget_us, answered_after_us in ((5_000_000, 320_000), (100_000, 99_000)):
        harness = harness_without_headroom()
        job_id, actions = harness.submit(budget_us=budget_us)
        timers = [action for action in actions if isinstance(action, SetTimer)]
        assert [timer.at_us - harness.now_us for timer in timers] == [answered_after_us]
        answers = final_actions(harness.fire_timers(answered_after_us))
        assert [answer.job_id for answer in answers] == [job_id]


def test_a_priority_job_does_not_wait_because_of_old_load_reports():
    harness = harness_without_headroom()
    harness.advance(2_100_000)
    assert started_attempts(harness.submit()[1])


def test_half_of_the_attempts_wait_until_headroom_has_changed():
    # Guards against using up all attempts of a job within milliseconds: while capacity was short,
    # each attempt ended as full.
    harness = PolicyHarness(IDEMPOTENT, workers=8, attempt_limit=4)
    job_id, actions = harness.submit()
    second = attempt_worker_ids(
        harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    )
    assert second
    third = harness.end_attempt(job_id, second[0], AttemptResult.FULL, attempt=1)
    assert not started_attempts(third)
    deferred = [
        attempt for _ in range(3) for attempt in started_attempts(harness.finish_period().handle())
    ] or started_attempts(harness.actions)[2:]
    assert len(deferred) <= 1
