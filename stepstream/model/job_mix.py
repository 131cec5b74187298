"""Running statistics of the jobs that arrive: their priority weights and keys.

State: counts and running means of the jobs seen. Only the decision thread touches it.
"""

from zlib import crc32

from stepstream.model.estimators import NEWEST_JOB_WEIGHT

# The assumed fraction of priority jobs before any job is seen.
INITIAL_PRIORITY_FRACTION = 0.2
# With more jobs the counts are halved, so that old jobs weigh less.
MAX_JOBS_COUNTED = 1000
# Between two halvings; a job with another key is then counted without its key.
MAX_KEYS_COUNTED = 5_000


class JobMix:
    """Counts of the jobs by key, and means of their weights and of the priority fraction."""

    def __init__(self) -> None:
        self.jobs_seen = 0
        # By the CRC-32 of the key, which takes the same memory however long the key is.
        self.jobs_by_key: dict[int | None, int] = {}
        self.mean_weight = 0.0
        self.mean_ordinary_weight = 0.0
        self.priority_fraction = INITIAL_PRIORITY_FRACTION

    def record_arrival(self, key: str | None) -> None:
        """Count a job with this key, or without one."""
        self.jobs_seen += 1
        key_hash = _hash_of(key)
        if key_hash in self.jobs_by_key or len(self.jobs_by_key) < MAX_KEYS_COUNTED:
            self.jobs_by_key[key_hash] = self.jobs_by_key.get(key_hash, 0) + 1

    def record_weight(self, weight: float) -> None:
        """Include a job's weight in the mean of all jobs."""
        self.mean_weight = _update_mean(self.mean_weight, weight)

    def record_ordinary_weight(self, weight: float) -> None:
        """Include a job's weight in the mean of the ordinary jobs."""
        self.mean_ordinary_weight = _update_mean(self.mean_ordinary_weight, weight)

    def record_priority(self, *, priority: bool) -> None:
        """Count a job as a priority job or as an ordinary one."""
        self.priority_fraction += NEWEST_JOB_WEIGHT * (priority - self.priority_fraction)

    def key_fraction(self, key: str | None) -> float:
        """Return the fraction of recent jobs with this key, without the present job."""
        earlier_jobs = self.jobs_by_key.get(_hash_of(key), 1) - 1
        return earlier_jobs / (self.jobs_seen + 1 / NEWEST_JOB_WEIGHT)

    def forget_old_jobs(self) -> None:
        """Halve the counts if they include more than MAX_JOBS_COUNTED jobs."""
        if self.jobs_seen > MAX_JOBS_COUNTED:
            self.jobs_seen //= 2
            self.jobs_by_key = {
                key: count // 2 for key, count in self.jobs_by_key.items() if count > 1
            }


def _hash_of(key: str | None) -> int | None:
    return None if key is None else crc32(key.encode())


def _update_mean(mean: float, newest: float) -> float:
    """Return a running mean whose first value counts in full; 0 stands for no value yet."""
    return mean + NEWEST_JOB_WEIGHT * (newest - mean) if mean else mean + newest
