"""The mix of jobs by weight and key."""

import pytest

from stepstream.model.job_mix import COUNTING_HORIZON, START_PRIORITY_FRACTION, JobMix


def test_equal_weights_are_all_priority_whatever_rounding_does():
    mix = JobMix()
    assert all(mix.record_weight(0.1) for _ in range(1000))
    assert mix.priority_fraction > START_PRIORITY_FRACTION


def test_jobs_of_mean_weight_and_above_are_priority_jobs():
    mix = JobMix()
    for _ in range(200):
        mix.record_weight(1.0)
        mix.record_weight(10.0)
    assert not mix.record_weight(1.0)
    assert mix.record_weight(10.0)
    assert mix.priority_fraction == pytest.approx(0.5, abs=0.02)


def test_a_job_is_heavy_above_the_mean_of_ordinary_ones():
    mix = JobMix()
    assert not mix.record_ordinary_weight(1.0)
    assert mix.record_ordinary_weight(2.0)
    assert not mix.record_ordinary_weight(0.5)


def test_the_present_job_is_left_out_of_its_keys_fraction():
    mix = JobMix()
    mix.record_arrival("a")
    assert mix.key_fraction("a") == 0.0
    for _ in range(49):
        mix.record_arrival("a")
    assert mix.key_fraction("a") == 49 / (50 + 50)
    assert mix.key_fraction("never seen") == 0.0


def test_counts_are_halved_past_the_horizon_and_rare_keys_forgotten():
    mix = JobMix()
    for _ in range(COUNTING_HORIZON - 1):
        mix.record_arrival("hot")
    mix.record_arrival("rare")
    mix.forget_old_jobs()
    assert mix.jobs_seen == COUNTING_HORIZON
    mix.record_arrival(None)
    mix.forget_old_jobs()
    assert mix.jobs_seen == COUNTING_HORIZON // 2
    assert mix.jobs_by_key == {"hot": (COUNTING_HORIZON - 1) // 2}
