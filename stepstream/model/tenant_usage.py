"""Running statistics of each tenant's fraction of the jobs.

State: each tenant's fraction of the jobs and its credit. Only the decision thread touches it.
"""

from stepstream.model.estimators import NEWEST_JOB_WEIGHT, reorder_by_name

# The first estimate weighs as much as this many jobs.
PRIOR_JOBS = 10


class TenantUsage:
    """Each tenant's fraction of the jobs seen here, and the jobs left in its quota."""

    def __init__(self, quotas_per_s: tuple[float, ...]) -> None:
        total = sum(quotas_per_s) or 1.0
        # By tenant; before any job is seen the fractions follow the quotas.
        self.job_fractions = [quota / total for quota in quotas_per_s]
        self.credit_jobs = [1.0] * len(quotas_per_s)

    def record_job(self, tenant: int, jobs_seen: int) -> None:
        """Count a job of the tenant; `jobs_seen` is the number of all jobs with this one."""
        weight = max(NEWEST_JOB_WEIGHT, 1 / (jobs_seen + PRIOR_JOBS))
        self.job_fractions = [
            fraction + weight * ((index == tenant) - fraction)
            for index, fraction in enumerate(self.job_fractions)
        ]

    def carry_over(self, old_names: tuple[str, ...], new_names: tuple[str, ...]) -> None:
        """Keep what was learned of the tenants that the new settings still name."""
        self.job_fractions = reorder_by_name(old_names, new_names, self.job_fractions, 0.0)
        self.credit_jobs = reorder_by_name(old_names, new_names, self.credit_jobs, 1.0)
