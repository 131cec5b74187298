"""Estimator of the mix of jobs that arrive: their priority weights and keys.

State: counts and running means of the jobs seen. Only the decision thread touches it.
"""

from stepstream.model.estimators import NEWEST_JOB_WEIGHT

START_PRIORITY_FRACTION = 0.2  # expected fraction of priority jobs before any is seen
COUNTING_HORIZON = 1000  # jobs by which the fractions of keys are told
WEIGHT_TOLERANCE = 1e-6  # with equal weights rounding must not decide


class JobMix:
    """Which jobs arrive: how many of each key, of what weight, and how many are priority jobs."""

    def __init__(self) -> None:
        self.jobs_seen = 0
        self.jobs_by_key: dict[str | None, int] = {}
        self.mean_weight = 0.0
        self.mean_ordinary_weight = 0.0
        self.priority_fraction = START_PRIORITY_FRACTION

    def record_arrival(self, key: str | None) -> None:
        """Count a job with this key, or without one."""
        self.jobs_seen += 1
        self.jobs_by_key[key] = self.jobs_by_key.get(key, 0) + 1

    def record_weight(self, weight: float) -> bool:
        """Count a job's weight; return whether it is a priority job: at least of mean weight."""
        self.mean_weight = _mean(self.mean_weight, weight)
        priority = weight >= self.mean_weight * (1 - WEIGHT_TOLERANCE)
        self.priority_fraction += NEWEST_JOB_WEIGHT * (priority - self.priority_fraction)
        return priority

    def record_ordinary_weight(self, weight: float) -> bool:
        """Count an ordinary job's weight; return whether it is above their mean."""
        self.mean_ordinary_weight = _mean(self.mean_ordinary_weight, weight)
        return weight > self.mean_ordinary_weight

    def key_fraction(self, key: str | None) -> float:
        """Return the fraction of recent jobs with this key, the present one left out."""
        others = self.jobs_by_key.get(key, 1) - 1
        return others / (self.jobs_seen + 1 / NEWEST_JOB_WEIGHT)

    def forget_old_jobs(self) -> None:
        """Halve the counts once they reach past the horizon."""
        if self.jobs_seen > COUNTING_HORIZON:
            self.jobs_seen //= 2
            self.jobs_by_key = {
                key: count // 2 for key, count in self.jobs_by_key.items() if count > 1
            }


def _mean(mean: float, newest: float) -> float:
    """Return a running mean whose first value counts in full; 0 stands for none so far."""
    return mean + NEWEST_JOB_WEIGHT * (newest - mean) if mean else mean + newest
