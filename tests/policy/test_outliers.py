"""Ejections of workers and of job classes, and their probation."""

from dataclasses import replace

import pytest

from stepstream.model.events import SettingsChanged
from stepstream.model.pools import Pool
from stepstream.model.worker_records import MAX_REPORT_LAG_US, Worker
from stepstream.policy.lost_attempts import presume_lost
from stepstream.policy.outliers import (
    ANY_CLASS,
    BASE_EJECTION_TIME_US,
    MAX_EJECTION_TIME_US,
    accepting_workers,
    accepts,
    eject,
    eject_class,
    next_ejection_time_us,
    postpone_next_probation,
    shorten_class_ejection,
)
from tests.model.builders import IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import PolicyHarness

NOW_US = 10_000_000


@pytest.fixture
def worker():
    return Worker(make_endpoint(0), 0, 0, Pool())


def test_ejection_times_double_from_the_shortest_to_the_longest():
    times_us = [next_ejection_time_us(0)]
    while len(times_us) < 6:
        times_us.append(next_ejection_time_us(times_us[-1]))
    assert times_us == [10**6, 2 * 10**6, 4 * 10**6, 8 * 10**6, 8 * 10**6, 8 * 10**6]
    assert (times_us[0], times_us[-1]) == (BASE_EJECTION_TIME_US, MAX_EJECTION_TIME_US)


def test_an_ejected_worker_accepts_one_probation_attempt_after_its_ejection_time(worker):
    eject(worker, BASE_EJECTION_TIME_US, NOW_US)
    assert not accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US - 1)
    assert accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US)
    postpone_next_probation(worker, 0, NOW_US + BASE_EJECTION_TIME_US)
    assert not accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US + 1)


def test_a_worker_with_an_ejected_class_accepts_the_other_classes(worker):
    eject_class(worker, 1, NOW_US - 1, NOW_US)
    assert not accepts(worker, 1, NOW_US)
    assert accepts(worker, 0, NOW_US)
    assert accepts(worker, ANY_CLASS, NOW_US)
    assert accepting_workers([worker], 1, NOW_US) == []
    assert accepting_workers([worker], 0, NOW_US) == [worker]


def test_attempts_sent_before_an_ejection_do_not_extend_it(worker):
    eject_class(worker, 1, NOW_US - 1, NOW_US)
    eject_class(worker, 1, NOW_US - 1, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == BASE_EJECTION_TIME_US
    eject_class(worker, 1, NOW_US, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == 2 * BASE_EJECTION_TIME_US


def test_each_start_halves_a_class_ejection_until_it_ends(worker):
    eject_class(worker, 1, NOW_US, NOW_US)
    eject_class(worker, 1, NOW_US, NOW_US)
    shorten_class_ejection(worker, 1)
    assert accepts(worker, 1, NOW_US)  # the next probation attempt is allowed at once
    postpone_next_probation(worker, 1, NOW_US)
    assert not accepts(worker, 1, NOW_US)  # only one attempt at a time
    shorten_class_ejection(worker, 1)
    assert worker.class_ejections == {}


def test_a_lost_attempt_of_a_removed_class_does_not_eject_its_worker():
    removed_class, kept_class = (
        replace(NOT_IDEMPOTENT, name="gone"),
        replace(IDEMPOTENT, name="stays"),
    )
    harness = PolicyHarness(removed_class, kept_class)
    job_id, _ = harness.submit(0)
    harness.handle(SettingsChanged(replace(harness.settings, classes=(kept_class,))))
    (attempt,) = harness.balancer.state.jobs.in_flight[job_id].attempts
    attempt.start_overdue = True
    harness.advance(MAX_REPORT_LAG_US + 1).handle()
    presume_lost(harness.balancer.state, attempt.worker)
    assert attempt.presumed_lost
    assert accepts(attempt.worker, 0, harness.now_us)
    assert accepts(attempt.worker, ANY_CLASS, harness.now_us)


def test_a_reload_keeps_the_ejection_of_a_class_by_its_name():
    first, second = replace(IDEMPOTENT, name="first"), replace(IDEMPOTENT, name="second")
    harness = PolicyHarness(first, second)
    worker = harness.balancer.state.workers.by_id[make_endpoint(0).worker_id]
    eject_class(worker, 0, harness.now_us, harness.now_us)
    harness.handle(SettingsChanged(replace(harness.settings, classes=(second, first))))
    assert [accepts(worker, index, harness.now_us) for index in (0, 1)] == [True, False]
