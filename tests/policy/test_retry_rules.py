"""Which jobs may be retried, where, and whether they end as rejected or as failed."""

import pytest

from stepstream.model.actions import CancelAttempt, Fail, Reject
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from tests.model.builders import (
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    WITH_KEY,
    WITH_KEY_IN_ZONE,
    make_endpoint,
)
from tests.policy.harness import (
    PolicyHarness,
    attempt_worker_ids,
    final_actions,
    first_worker_id,
    started_attempts,
)

MAY_HAVE_RUN = [
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
]
NEVER_RAN = [AttemptResult.FULL, AttemptResult.CONNECT_FAILED]


def test_every_job_gets_one_final_answer_when_workers_are_unknown():
    harness = PolicyHarness(IDEMPOTENT, NOT_IDEMPOTENT, workers=0)
    for job_class in (0, 1):
        job_id, actions = harness.submit(job_class)
        actions += [action for _ in range(12) for action in harness.fire_timers()]
        assert [action.job_id for action in final_actions(actions)] == [job_id]


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_not_idempotent_job_that_may_have_run_is_failed_and_not_rejected_or_retried(result):
    harness = PolicyHarness(NOT_IDEMPOTENT)
    job_id, actions = harness.submit()
    assert harness.end_attempt(job_id, first_worker_id(actions), result) == [Fail(job_id)]


@pytest.mark.parametrize("result", NEVER_RAN)
def test_a_not_idempotent_job_proven_not_to_have_run_is_retried_on_another_worker(result):
    harness = PolicyHarness(NOT_IDEMPOTENT)
    job_id, actions = harness.submit()
    first = first_worker_id(actions)
    (second,) = attempt_worker_ids(harness.end_attempt(job_id, first, result))
    assert second != first


def test_a_not_idempotent_job_is_failed_once_one_of_several_attempts_may_have_run():
    harness = PolicyHarness(NOT_IDEMPOTENT)
    job_id, actions = harness.submit()
    second = first_worker_id(
        harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    )
    answer = harness.end_attempt(job_id, second, AttemptResult.RESET, attempt=1)
    assert answer == [Fail(job_id)]


def test_a_job_with_a_key_is_retried_only_in_its_zone_and_window():
    endpoints = [make_endpoint(number, zone=number % 2) for number in range(6)]
    zones = {endpoint.worker_id: endpoint.zone for endpoint in endpoints}
    for is_late in (False, True):
        harness = PolicyHarness(WITH_KEY_IN_ZONE, endpoints=endpoints)
        job_id, actions = harness.submit()
        first = first_worker_id(actions)
        harness.advance(2_000_001 if is_late else 10_000)
        answer = harness.end_attempt(job_id, first, AttemptResult.ERROR)
        if is_late:
            assert answer == [Fail(job_id)]
        else:
            assert [zones[worker_id] for worker_id in attempt_worker_ids(answer)] == [zones[first]]


def test_a_job_with_a_key_and_no_worker_left_in_its_zone_is_failed_and_not_rejected():
    endpoints = [make_endpoint(0, zone=0), make_endpoint(1, zone=1)]
    harness = PolicyHarness(WITH_KEY_IN_ZONE, endpoints=endpoints, attempt_limit=1)
    job_id, actions = harness.submit()
    answer = harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.RESET)
    assert answer == [Fail(job_id)]


def test_a_job_whose_key_is_known_everywhere_may_be_rejected():
    harness = PolicyHarness(WITH_KEY, attempt_limit=1)
    job_id, actions = harness.submit()
    answer = harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.RESET)
    assert [type(action) for action in final_actions(answer)] == [Reject]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
@pytest.mark.parametrize("kind", [EndpointListKind.CHANGES, EndpointListKind.COMPLETE])
def test_no_attempt_goes_to_a_draining_or_removed_worker(state, kind):
    harness = PolicyHarness(IDEMPOTENT, workers=3)
    endpoints = (make_endpoint(0, state=state), make_endpoint(1), make_endpoint(2))
    if kind is EndpointListKind.CHANGES:
        endpoints = endpoints[:1]
    harness.handle(EndpointList(kind, endpoints))
    worker_ids = [
        worker_id for _ in range(20) for worker_id in attempt_worker_ids(harness.submit()[1])
    ]
    assert len(worker_ids) == 20
    assert make_endpoint(0).worker_id not in worker_ids


def test_jobs_on_a_worker_missing_from_a_complete_list_are_not_cancelled():
    harness = PolicyHarness(IDEMPOTENT, workers=1)
    job_id, actions = harness.submit()
    answer = harness.handle(EndpointList(EndpointListKind.COMPLETE, (make_endpoint(7),)))
    assert not final_actions(answer)
    assert not [action for action in answer if isinstance(action, CancelAttempt)]
    ended = harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.OK)
    assert not final_actions(ended)
    assert first_worker_id(harness.submit()[1]) == make_endpoint(7).worker_id


def attempts_on_restarted_worker(started_after_us, result):
    """Return how many attempts a restarted worker gets in five seconds with 20 jobs a second.

    The worker ends each attempt with `result`. `started_after_us` is the time from now to the
    worker's start; it may be negative.
    """
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=4,
        dispatcher_count=1,
        cold_capacity_fraction=0.1,
        slow_start_us=20_000_000,
        overload_multiple=3.0,
    )
    for _ in range(200):
        harness.serve(50_000)
    restarted = make_endpoint(0, started_us=harness.now_us + started_after_us)
    harness.handle(EndpointList(EndpointListKind.CHANGES, (restarted,)))
    count = 0
    for _ in range(100):
        job_id, actions = harness.advance(50_000).submit()
        attempt = 0
        while started_attempts(actions):
            worker_id = first_worker_id(actions)
            is_restarted = worker_id == restarted.worker_id
            count += is_restarted
            attempt_result = result if is_restarted else AttemptResult.OK
            actions = harness.end_attempt(job_id, worker_id, attempt_result, attempt)
            attempt += 1
    return count


def test_a_restarted_worker_gets_no_more_than_its_slow_start_allows():
    # A warm worker gets 5 jobs a second, 25 in five seconds. A worker at a tenth to a third of its
    # capacity may get about 8, rejected ones included. A worker that has warmed up is not limited.
    for result in (AttemptResult.OK, AttemptResult.FULL):
        assert 1 <= attempts_on_restarted_worker(0, result) <= 8
    assert attempts_on_restarted_worker(-30_000_000, AttemptResult.OK) > 8
