"""The High Set and the Low Set, as seen in the load balancer's actions and state."""

import pytest

from stepstream.model.actions import Reject
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from stepstream.model.settings import Effect, JobClass
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    PolicyHarness,
    attempt_worker_ids,
    final_actions,
    first_worker_id,
    started_attempts,
)

OVER_QUOTA = 0  # a tenant that is nearly always over its quota
WITHIN_QUOTA = 1  # a tenant that is always within its quota
QUOTAS = {"quotas_per_s": (0.5, 1000.0), "over_quota_weight_fraction": 0.05}
START_PRIORITY_FRACTION = 0.2


def serve_both_tenants(harness, count=40):
    """Serve jobs of both tenants in turn, so that the mean weight is between their weights."""
    for number in range(count):
        job_id, actions = harness.advance(1000).submit(tenant=number % 2)
        for attempt in started_attempts(actions):
            harness.end_attempt(job_id, attempt.worker_id, AttemptResult.OK)


def harness_with_both_tenants(workers):
    """Return a harness that has served jobs of both tenants."""
    harness = PolicyHarness(IDEMPOTENT, workers=workers, **QUOTAS)
    serve_both_tenants(harness)
    return harness


def workers_of_tenant(harness, tenant, count=60):
    """Serve jobs of a tenant; return the ids of their workers."""
    worker_ids = set()
    for _ in range(count):
        job_id, actions = harness.advance(1000).submit(tenant=tenant)
        for attempt in started_attempts(actions):
            worker_ids.add(attempt.worker_id)
            harness.end_attempt(job_id, attempt.worker_id, AttemptResult.OK)
    return worker_ids


def test_the_first_high_set_holds_the_lowest_ids_in_the_number_of_the_formula():
    harness = harness_with_both_tenants(workers=10)
    # ceil(0.2 * 10 + 10 * 0.8 * (1 - 18 / 26)) = 5
    worker_ids = sorted(make_endpoint(number).worker_id for number in range(10))
    assert workers_of_tenant(harness, WITHIN_QUOTA) == set(worker_ids[:5])
    assert workers_of_tenant(harness, OVER_QUOTA) == set(worker_ids[5:])


def test_no_job_is_rejected_before_the_first_answer_full():
    harness = harness_with_both_tenants(workers=4)
    for _ in range(300):
        actions = harness.advance(1000).submit(tenant=OVER_QUOTA)[1]
        assert started_attempts(actions)
        assert not final_actions(actions)


def test_ordinary_jobs_are_rejected_over_the_low_sets_caps_and_priority_jobs_are_not():
    harness = harness_with_both_tenants(workers=4)
    job_id, actions = harness.submit(tenant=OVER_QUOTA)
    # Caps are unknown until this answer 'full'.
    harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    ordinary = [harness.advance(1000).submit(tenant=OVER_QUOTA)[1] for _ in range(30)]
    assert any(final_actions(actions) for actions in ordinary)
    priority = [harness.advance(1000).submit(tenant=WITHIN_QUOTA)[1] for _ in range(5)]
    assert all(started_attempts(actions) for actions in priority)
    assert any(isinstance(action, Reject) for actions in ordinary for action in actions)


def test_the_high_set_borrows_workers_when_over_its_caps_and_returns_them_when_idle():
    harness = harness_with_both_tenants(workers=6)
    before = workers_of_tenant(harness, WITHIN_QUOTA)
    job_id, actions = harness.submit(tenant=WITHIN_QUOTA)
    harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    submitted = [harness.submit(tenant=WITHIN_QUOTA) for _ in range(40)]
    for _ in range(3):
        harness.fire_timers()
    for job_id, actions in submitted:
        for worker_id in attempt_worker_ids(actions):
            harness.end_attempt(job_id, worker_id, AttemptResult.OK)
    grown_set = workers_of_tenant(harness, WITHIN_QUOTA)
    assert len(before) < len(grown_set) < 6  # at least one worker stays in the Low Set
    for _ in range(10):
        harness.fire_timers()
    assert len(workers_of_tenant(harness, WITHIN_QUOTA)) < len(grown_set)


def test_a_job_goes_to_the_other_pool_if_only_a_worker_there_can_run_it():
    only_kind_1 = JobClass(400_000, 5_000_000, Effect.IDEMPOTENT, worker_kind=1)
    for capable_number in (0, 3):
        endpoints = [
            make_endpoint(number, worker_kind=int(number == capable_number)) for number in range(4)
        ]
        harness = PolicyHarness(only_kind_1, endpoints=endpoints, **QUOTAS)
        for tenant in (0, 1):
            for _ in range(10):
                actions = harness.advance(1000).submit(tenant=tenant)[1]
                assert first_worker_id(actions) == make_endpoint(capable_number).worker_id


def test_the_low_set_gets_a_worker_when_all_of_its_workers_are_removed():
    harness = PolicyHarness(IDEMPOTENT, workers=6, **QUOTAS)
    state = harness.balancer.state
    high_set = state.pools.high_set
    removed = tuple(
        make_endpoint(number, state=EndpointState.REMOVED)
        for number in range(6)
        if state.workers.by_id[make_endpoint(number).worker_id].pool is not high_set
    )
    assert removed
    harness.handle(EndpointList(EndpointListKind.CHANGES, removed))
    assert sum(worker.pool is not high_set for worker in state.workers.eligible) == 1


def test_jobs_of_equal_weight_count_as_priority_jobs():
    harness = PolicyHarness(IDEMPOTENT, IDEMPOTENT, workers=4)
    for number in range(50):
        assert started_attempts(harness.advance(1000).submit(number % 2)[1])
    job_mix = harness.balancer.state.measurements.job_mix
    assert job_mix.priority_fraction > START_PRIORITY_FRACTION


def test_classes_of_higher_and_lower_weight_are_served_by_different_workers():
    harness = PolicyHarness(IDEMPOTENT, HIGH_PRIORITY, workers=10)
    worker_ids = {0: set(), 1: set()}  # by class
    for number in range(200):
        worker_id = harness.serve(job_class=number % 2)
        if number > 100:
            worker_ids[number % 2].add(worker_id)
    assert not worker_ids[0] & worker_ids[1]


def test_the_round_robin_follows_the_endpoints_weights():
    endpoints = [
        make_endpoint(0, weight=1.0),
        make_endpoint(1, weight=3.0),
        make_endpoint(2, weight=1.0),
    ]
    weights = {endpoint.worker_id: endpoint.weight for endpoint in endpoints}
    harness = PolicyHarness(IDEMPOTENT, NOT_IDEMPOTENT, endpoints=endpoints)
    worker_ids = [harness.serve() for _ in range(80)]
    total = sum(weights[worker_id] for worker_id in set(worker_ids))
    for worker_id in set(worker_ids):
        expected = 80 * weights[worker_id] / total
        assert abs(worker_ids.count(worker_id) - expected) <= 1


@pytest.mark.parametrize("change", ["removed", "restarted"])
def test_the_slots_of_attempts_on_an_ended_process_leave_their_pool_once(change):
    # Guards against subtracting the slots twice, in the recount and at the attempt's end: the pool
    # looked emptier than it was.
    harness = PolicyHarness(workers=4)
    job_id, actions = harness.submit()
    worker_id = first_worker_id(actions)
    pool = harness.balancer.state.workers.by_id[worker_id].pool
    before = pool.busy_slots
    state = EndpointState.REMOVED if change == "removed" else EndpointState.ACTIVE
    gone = Endpoint(worker_id, state=state, started_us=harness.now_us)
    harness.handle(EndpointList(EndpointListKind.CHANGES, (gone,)))
    harness.finish_period()  # recounts the pools' busy slots
    assert pool.busy_slots == before - 1.0
    harness.end_attempt(job_id, worker_id, AttemptResult.RESET, job_ended=True)
    assert pool.busy_slots == before - 1.0
