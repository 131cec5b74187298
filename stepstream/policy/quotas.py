"""Quotas: which jobs are over their tenant's quota."""

from stepstream.model.tenant_usage import TenantUsage

# A tenant is over its quota at more than this many times the usage of the median tenant.
MAX_USAGE_RATIO = 1.5


def charge_quota(
    usage: TenantUsage, tenant: int, quotas_per_s: tuple[float, ...], jobs_seen: int
) -> bool:
    """Count a tenant's job; return whether it is within the quota.

    `jobs_seen` is the number of all jobs with this one. Quotas are in jobs a second for all
    dispatchers together. One dispatcher's rates say nothing of all dispatchers' rates, but its mix
    of jobs is like theirs. So a tenant's usage is the ratio of its fraction of the jobs to its
    quota, and it is compared with the usage of the median tenant. A tenant is
    entitled to MAX_USAGE_RATIO times the median usage. If it uses more, only the entitled fraction
    of its jobs counts as within the quota.
    """
    if tenant not in range(len(quotas_per_s)):
        return True
    usage.record_job(tenant, jobs_seen)
    max_usage = MAX_USAGE_RATIO * _median_usage(usage, quotas_per_s)
    entitled_fraction = max_usage * quotas_per_s[tenant] / usage.job_fractions[tenant]
    usage.credit_jobs[tenant] += min(entitled_fraction, 1.0)
    if usage.credit_jobs[tenant] < 1.0:
        return False
    usage.credit_jobs[tenant] -= 1.0
    return True


def _median_usage(usage: TenantUsage, quotas_per_s: tuple[float, ...]) -> float:
    """Return the lower median of the usages of the tenants that have a quota, or 0 for none."""
    usages = sorted(
        fraction / quota
        for fraction, quota in zip(usage.job_fractions, quotas_per_s, strict=True)
        if quota > 0
    )
    return usages[(len(usages) - 1) // 2] if usages else 0.0
