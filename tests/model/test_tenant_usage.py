"""Each tenant's fraction of the jobs and its credit."""

from stepstream.model.tenant_usage import TenantUsage


def test_a_reload_keeps_the_statistics_of_a_tenant_by_its_name():
    usage = TenantUsage((30.0, 10.0))
    usage.credit_jobs = [0.25, 0.5]
    usage.carry_over(("a", "b"), ("b", "new"))
    assert usage.job_fractions == [0.25, 0.0]
    assert usage.credit_jobs == [0.5, 1.0]
