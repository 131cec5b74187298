"""How the load balancer treats jobs of tenants within and over their quotas."""

from stepstream.model.actions import Reject
from stepstream.model.events import AttemptResult
from tests.model.builders import IDEMPOTENT
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    final_actions,
    first_worker_id,
    started_attempts,
)

OVER_QUOTA = 0  # the tenant that is over its quota
WITHIN_QUOTA = 1  # the tenant that is within its quota


def test_a_tenant_within_its_quota_is_recognized_by_its_fraction_of_the_jobs():
    # Guards against comparing a tenant's rate at one dispatcher with that dispatcher's share of the
    # quota. The share is less than one job a second, so every tenant seemed to be over its quota.
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=6,
        dispatcher_count=170,
        quotas_per_s=(40.0, 13.0, 13.0),
        over_quota_weight_fraction=0.05,
    )
    priorities = {0: [], 1: [], 2: []}
    for number in range(400):
        # The first tenant sends 8 jobs in 10. Its usage, 0.8 / 40, is 2.6 times the median
        # tenant's, 0.1 / 13. A tenant above 1.5 times the median is over its quota.
        tenant = 1 + number % 2 if number % 10 < 2 else 0
        job_id, actions = harness.advance(10_000).submit(tenant=tenant)
        for attempt in started_attempts(actions):
            priorities[tenant].append(harness.balancer.state.jobs.in_flight[job_id].priority)
            harness.end_attempt(job_id, attempt.worker_id, AttemptResult.OK)
    within = priorities[1][20:] + priorities[2][20:]
    over = priorities[0][100:]
    assert sum(within) >= 0.95 * len(within)
    assert 0.3 <= sum(over) / len(over) <= 0.75


def harness_with_tenant_over_quota(headrooms):
    """Return a harness, and the id and the actions of a job of the tenant that is over quota."""
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=len(headrooms),
        quotas_per_s=(1.0, 1000.0),
        over_quota_weight_fraction=0.05,
        **WITH_LOAD_REPORTS,
    )
    for number in range(60):
        job_id, actions = harness.advance(1000).submit(tenant=number % 2)
        for attempt in started_attempts(actions):
            harness.end_attempt(job_id, attempt.worker_id, AttemptResult.OK)
    harness.advance(400_000)
    harness.report_headrooms(headrooms)
    return harness, *harness.submit(tenant=OVER_QUOTA)


def test_a_job_over_quota_gets_one_attempt():
    # Guards against many retries of jobs over quota: the retries occupied workers that tenants
    # within their quotas needed.
    harness, job_id, actions = harness_with_tenant_over_quota([3.0] * 6)
    after_full = harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    assert final_actions(after_full) == [Reject(job_id)]
    job_id, actions = harness.submit(tenant=WITHIN_QUOTA)
    after_full = harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.FULL)
    assert started_attempts(after_full)


def test_a_job_over_quota_does_not_take_the_last_free_slot():
    harness, _, actions = harness_with_tenant_over_quota([1.0] * 6)
    assert not started_attempts(actions)
    assert started_attempts(harness.submit(tenant=WITHIN_QUOTA)[1])
