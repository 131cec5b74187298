"""Whether a tenant is within its quota, by its fraction of the jobs."""

import pytest

from stepstream.model.tenant_usage import TenantUsage
from stepstream.policy.quotas import charge_quota


def fractions_within_quota(usage, quotas, tenants):
    """Charge 600 jobs of these tenants in turn; return each tenant's fraction within its quota."""
    within = {tenant: [] for tenant in tenants}
    for number in range(600):
        tenant = tenants[number % len(tenants)]
        within[tenant].append(charge_quota(usage, tenant, quotas, number + 1))
    return {tenant: sum(answers) / len(answers) for tenant, answers in within.items()}


def test_tenants_with_equal_usage_are_within_their_quotas():
    quotas = (10.0, 10.0)
    assert fractions_within_quota(TenantUsage(quotas), quotas, [0, 1]) == {0: 1.0, 1: 1.0}


def test_only_a_part_of_the_jobs_of_a_tenant_far_over_its_quota_is_within_it():
    quotas = (10.0, 10.0, 10.0)
    fractions = fractions_within_quota(TenantUsage(quotas), quotas, [0, 0, 0, 0, 0, 0, 1, 2])
    assert fractions[0] < 0.5
    assert fractions[1] == fractions[2] == 1.0


@pytest.mark.parametrize("tenant", [-1, 2])
def test_a_tenant_without_a_quota_is_always_within_it(tenant):
    usage = TenantUsage((10.0, 10.0))
    assert charge_quota(usage, tenant, (10.0, 10.0), 1)
    assert usage.job_fractions == [0.5, 0.5]
