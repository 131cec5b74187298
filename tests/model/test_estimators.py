"""Running means, and estimators of run times."""

from math import exp, log

import pytest

from stepstream.model.estimators import (
    MIN_RUN_US,
    NEWEST_JOB_WEIGHT,
    RunTimeEstimator,
    reorder_by_name,
    running_mean,
)


def test_the_first_value_of_a_running_mean_counts_in_full():
    assert running_mean(0.0, 100.0, 0.1) == 100.0
    assert running_mean(0.0, 0.0, 0.1) == 1.0  # a mean of 0 is reserved for 'no value yet'
    assert running_mean(100.0, 200.0, 0.1) == pytest.approx(110.0)


def test_values_follow_their_names_and_new_names_get_the_default():
    assert reorder_by_name(("a", "b"), ("b", "c"), [1.0, 2.0], 0.5) == [2.0, 0.5]


def test_served_jobs_update_the_means_of_their_class_and_of_all_classes():
    run_times = RunTimeEstimator(2, 0)
    run_times.record_served(50_000, 0, 1_000)
    run_times.record_served(100_000, 1, 3_000)
    assert run_times.mean_elapsed_us == [
        1_000,
        3_000,
        pytest.approx(1_000 + NEWEST_JOB_WEIGHT * 2_000),
    ]
    assert run_times.served_interval_us == 50_000


def test_slowness_is_the_logarithm_of_the_ratio_to_the_usual_run():
    run_times = RunTimeEstimator(1, 0)
    assert run_times.slowness(0, 500_000) == 0.0  # nothing is known yet
    for _ in range(10):
        assert run_times.record_run(0, 100_000) == pytest.approx(0.0)
    assert run_times.slowness(0, 300_000) == pytest.approx(log(3))
    assert run_times.slowness(0, 1) == pytest.approx(log(MIN_RUN_US / 100_000))
    assert run_times.slowness(-1, 300_000) == 0.0  # a reload has removed the class
    assert exp(run_times.mean_log_run_us[0]) == pytest.approx(100_000)


def test_a_reload_keeps_what_was_learned_of_a_class_by_its_name():
    run_times = RunTimeEstimator(2, 0)
    run_times.record_served(10, 0, 1_000)
    run_times.record_served(20, 1, 2_000)
    total = run_times.mean_elapsed_us[-1]
    run_times.carry_over(("a", "b"), ("b", "new"))
    assert run_times.mean_elapsed_us == [2_000, 0.0, total]


def test_a_served_job_of_a_removed_class_counts_once_in_the_mean_of_all_classes():
    run_times = RunTimeEstimator(1, 0)
    run_times.record_served(10, 0, 1_000)
    run_times.record_served(20, -1, 3_000)
    assert run_times.mean_elapsed_us == [1_000, pytest.approx(1_000 + NEWEST_JOB_WEIGHT * 2_000)]
