"""Priority jobs, and heavy ordinary jobs, by the weights of the jobs seen."""

import pytest

from stepstream.model.job_mix import INITIAL_PRIORITY_FRACTION, JobMix
from stepstream.policy.priority import is_heavy_ordinary_weight, is_priority_weight


def record_weight(job_mix, weight):
    """Count a job as admission does; return whether it is a priority job."""
    job_mix.record_weight(weight)
    priority = is_priority_weight(job_mix, weight)
    job_mix.record_priority(priority=priority)
    return priority


def record_ordinary_weight(job_mix, weight):
    """Count an ordinary job; return whether it is a heavy one."""
    job_mix.record_ordinary_weight(weight)
    return is_heavy_ordinary_weight(job_mix, weight)


def test_jobs_of_equal_weight_are_all_priority_jobs_despite_rounding():
    job_mix = JobMix()
    assert all(record_weight(job_mix, 0.1) for _ in range(1000))
    assert job_mix.priority_fraction > INITIAL_PRIORITY_FRACTION


def test_jobs_of_mean_weight_and_above_are_priority_jobs():
    job_mix = JobMix()
    for _ in range(200):
        record_weight(job_mix, 1.0)
        record_weight(job_mix, 10.0)
    assert not record_weight(job_mix, 1.0)
    assert record_weight(job_mix, 10.0)
    assert job_mix.priority_fraction == pytest.approx(0.5, abs=0.02)


def test_a_job_is_heavy_above_the_mean_of_ordinary_ones():
    job_mix = JobMix()
    assert not record_ordinary_weight(job_mix, 1.0)
    assert record_ordinary_weight(job_mix, 2.0)
    assert not record_ordinary_weight(job_mix, 0.5)
