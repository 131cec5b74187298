"""Running means, and estimators of run times.

State: the means. Only the decision thread touches it.
"""

from collections.abc import Sequence
from math import log

NEWEST_JOB_WEIGHT = 0.02
# Shorter runs count as this long: their exact length says nothing about their worker.
MIN_RUN_US = 1_000
# Index of the mean over all classes, behind those of the classes.
ALL_CLASSES = -1


def running_mean(mean: float, newest: float, weight: float) -> float:
    """Return a running mean with the newest value included; 0 stands for no value yet."""
    return mean + weight * (newest - mean) if mean else max(newest, 1.0)


def reorder_by_name(
    old_names: tuple[str, ...],
    new_names: tuple[str, ...],
    values: Sequence[float],
    default: float,
) -> list[float]:
    """Return the values, which follow the old names, in the order of the new names.

    A name that is new gets the default.
    """
    value_by_name = dict(zip(old_names, values, strict=False))
    return [value_by_name.get(name, default) for name in new_names]


class RunTimeEstimator:
    """How long jobs have taken, in running means by class."""

    def __init__(self, class_count: int, start_us: int) -> None:
        # Mean times of served jobs from the sending of the attempt to its end, by class. The last
        # mean is of all classes.
        self.mean_elapsed_us = [0.0] * (class_count + 1)
        # Mean logarithms of the times from start to end, by class. The logarithms keep a few
        # long jobs from dominating the mean.
        self.mean_log_run_us = [0.0] * class_count
        self.served_interval_us = 0.0  # mean time between two served jobs
        self.last_served_us = start_us

    def record_served(self, now_us: int, job_class: int, elapsed_us: int) -> None:
        """Count a served job, with the time since its attempt was sent."""
        if job_class >= 0:  # below 0: a class that a reload has removed
            self._record_mean(job_class, elapsed_us)
        self._record_mean(ALL_CLASSES, elapsed_us)
        self.served_interval_us = running_mean(
            self.served_interval_us, now_us - self.last_served_us, NEWEST_JOB_WEIGHT
        )
        self.last_served_us = now_us

    def _record_mean(self, index: int, elapsed_us: int) -> None:
        self.mean_elapsed_us[index] = running_mean(
            self.mean_elapsed_us[index], elapsed_us, NEWEST_JOB_WEIGHT
        )

    def slowness(self, job_class: int, run_us: int) -> float:
        """Return the logarithm of the ratio of a run to the usual run of its class.

        It is 0 while no run of the class is known.
        """
        is_current_class = 0 <= job_class < len(self.mean_log_run_us)
        usual_log_us = self.mean_log_run_us[job_class] if is_current_class else 0.0
        return log(max(run_us, MIN_RUN_US)) - usual_log_us if usual_log_us else 0.0

    def record_run(self, job_class: int, run_us: int) -> float:
        """Count a run and return its `slowness`."""
        if 0 <= job_class < len(self.mean_log_run_us):
            run_log_us = log(max(run_us, MIN_RUN_US))
            mean_log_us = self.mean_log_run_us[job_class]
            self.mean_log_run_us[job_class] = running_mean(
                mean_log_us, run_log_us, NEWEST_JOB_WEIGHT
            )
        return self.slowness(job_class, run_us)

    def carry_over(self, old_names: tuple[str, ...], new_names: tuple[str, ...]) -> None:
        """Keep what was learned of the classes that the new settings still name."""
        self.mean_elapsed_us[:-1] = reorder_by_name(old_names, new_names, self.mean_elapsed_us, 0.0)
        self.mean_log_run_us = reorder_by_name(old_names, new_names, self.mean_log_run_us, 0.0)
