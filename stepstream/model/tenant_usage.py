"""Estimator of how much of its quota each tenant uses.

State: each tenant's fraction of the jobs and its credit. Only the decision thread touches it.
"""

from stepstream.model.estimators import NEWEST_JOB_WEIGHT, carry_over

QUOTA_SLACK = 1.5  # past its quota: it uses so many times what the middle tenant does of its own
FIRST_JOBS = 10  # jobs that the first estimate counts as


class TenantUsage:
    """Tenants' fractions of the jobs seen here, against their fractions of all quotas.

    One dispatcher's rates say nothing of those of all dispatchers, the mix of jobs does.
    """

    def __init__(self, quotas_per_s: tuple[float, ...]) -> None:
        total = sum(quotas_per_s) or 1.0
        self.fractions = [quota / total for quota in quotas_per_s]  # of the jobs, by tenant
        self.credits = [1.0] * len(quotas_per_s)  # jobs that a tenant may still send, by tenant

    def record_job(self, tenant: int, quotas_per_s: tuple[float, ...], jobs_seen: int) -> bool:
        """Count a job, the `jobs_seen`th; return whether its tenant is within its quota."""
        if tenant not in range(len(quotas_per_s)):
            return True
        weight = max(NEWEST_JOB_WEIGHT, 1 / (jobs_seen + FIRST_JOBS))
        self.fractions = [
            fraction + weight * ((index == tenant) - fraction)
            for index, fraction in enumerate(self.fractions)
        ]
        usages = sorted(
            fraction / quota
            for fraction, quota in zip(self.fractions, quotas_per_s, strict=True)
            if quota > 0
        )
        middle = usages[(len(usages) - 1) // 2] if usages else 0.0
        entitled = QUOTA_SLACK * middle * quotas_per_s[tenant] / self.fractions[tenant]
        self.credits[tenant] += min(entitled, 1.0)
        if self.credits[tenant] < 1.0:
            return False
        self.credits[tenant] -= 1.0
        return True

    def carry_over(self, old_names: tuple[str, ...], new_names: tuple[str, ...]) -> None:
        """Keep what was learned of the tenants that replaced settings still name."""
        self.fractions = carry_over(old_names, new_names, self.fractions, 0.0)
        self.credits = carry_over(old_names, new_names, self.credits, 1.0)
