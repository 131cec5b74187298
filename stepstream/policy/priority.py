"""Priority: which jobs the High Set serves, and which ordinary jobs come first or last."""

from stepstream.model.job_mix import JobMix
from stepstream.model.job_records import InFlightJob

# Rounding must not decide between equal weights.
WEIGHT_TOLERANCE = 1e-6


def is_priority_weight(job_mix: JobMix, weight: float) -> bool:
    """Return whether a job of this weight is a priority job: the weight is at least the mean."""
    return weight >= job_mix.mean_weight * (1 - WEIGHT_TOLERANCE)


def is_heavy_ordinary_weight(job_mix: JobMix, weight: float) -> bool:
    """Return whether an ordinary job's weight is above the mean of ordinary jobs."""
    return weight > job_mix.mean_ordinary_weight


def is_best_effort(job: InFlightJob) -> bool:
    """Return whether a job comes after all others: it is over quota, or a stale retry.

    Such a job is not retried. It does not wait if the pools are full on its arrival, and it leaves
    a slot of its worker free. It may still be hedged.

    A job over its tenant's quota must not take workers from tenants within their quotas. A stale
    retry can hardly be in time any more.
    """
    return job.over_quota or job.stale_retry
