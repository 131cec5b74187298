"""Priority jobs, and heavy ones among the ordinary, by the weights of the jobs seen."""

import pytest

from stepstream.model.job_mix import INITIAL_PRIORITY_FRACTION, JobMix
from stepstream.policy.priority import is_heavy_ordinary_weight, is_priority_weight


def record_weight(mix, weight):
    """Count a job as admission does; whether it is a priority job."""
    mix.record_weight(weight)
    priority = is_priority_weight(mix, weight)
    mix.record_priority(priority=priority)
    return priority


def record_ordinary_weight(mix, weight):
    """Count an ordinary job; whether it is a heavy one."""
    mix.record_ordinary_weight(weight)
    return is_heavy_ordinary_weight(mix, weight)


def test_equal_weights_are_all_priority_whatever_rounding_does():
    mix = JobMix()
    assert all(record_weight(mix, 0.1) for _ in range(1000))
    assert mix.priority_fraction > INITIAL_PRIORITY_FRACTION


def test_jobs_of_mean_weight_and_above_are_priority_jobs():
    mix = JobMix()
    for _ in range(200):
        record_weight(mix, 1.0)
        record_weight(mix, 10.0)
    assert not record_weight(mix, 1.0)
    assert record_weight(mix, 10.0)
    assert mix.priority_fraction == pytest.approx(0.5, abs=0.02)


def test_a_job_is_heavy_above_the_mean_of_ordinary_ones():
    mix = JobMix()
    assert not record_ordinary_weight(mix, 1.0)
    assert record_ordinary_weight(mix, 2.0)
    assert not record_ordinary_weight(mix, 0.5)
