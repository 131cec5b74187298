"""Whether a tenant is within its quota, by the mix of jobs."""

import pytest

from stepstream.model.tenant_usage import TenantUsage
from stepstream.policy.quotas import charge_quota


def played(usage, quotas, tenants):
    """The fraction of each tenant's jobs that were within its quota."""
    within = {tenant: [] for tenant in tenants}
    for number in range(600):
        tenant = tenants[number % len(tenants)]
        within[tenant].append(charge_quota(usage, tenant, quotas, number + 1))
    return {tenant: sum(answers) / len(answers) for tenant, answers in within.items()}


def test_tenants_that_use_their_quotas_alike_are_within_them():
    quotas = (10.0, 10.0)
    assert played(TenantUsage(quotas), quotas, [0, 1]) == {0: 1.0, 1: 1.0}


def test_a_tenant_far_past_its_quota_has_only_a_part_within_it():
    quotas = (10.0, 10.0, 10.0)
    parts = played(TenantUsage(quotas), quotas, [0, 0, 0, 0, 0, 0, 1, 2])
    assert parts[0] < 0.5
    assert parts[1] == parts[2] == 1.0


@pytest.mark.parametrize("tenant", [-1, 2])
def test_a_tenant_without_a_quota_is_always_within_it(tenant):
    usage = TenantUsage((10.0, 10.0))
    assert charge_quota(usage, tenant, (10.0, 10.0), 1)
    assert usage.job_fractions == [0.5, 0.5]
