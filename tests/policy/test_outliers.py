"""Ejections of workers and of classes, and probation."""

import pytest
from helpers import entry

from stepstream.model.pools import Pool
from stepstream.model.worker_records import Worker
from stepstream.policy.outliers import (
    ANY_CLASS,
    BASE_EJECTION_TIME_US,
    MAX_EJECTION_TIME_US,
    accepting_workers,
    accepts,
    begin_probation,
    eject,
    eject_class,
    next_ejection_time_us,
    shorten_class_ejection,
)

NOW_US = 10_000_000


@pytest.fixture
def worker():
    return Worker(entry(0), 0, 0, Pool())


def test_an_ejection_doubles_from_the_first_to_the_longest():
    times = [next_ejection_time_us(0)]
    while len(times) < 6:
        times.append(next_ejection_time_us(times[-1]))
    assert times == [10**6, 2 * 10**6, 4 * 10**6, 8 * 10**6, 8 * 10**6, 8 * 10**6]
    assert (times[0], times[-1]) == (BASE_EJECTION_TIME_US, MAX_EJECTION_TIME_US)


def test_an_ejected_worker_accepts_one_attempt_on_probation(worker):
    eject(worker, BASE_EJECTION_TIME_US, NOW_US)
    assert not accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US - 1)
    assert accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US)
    begin_probation(worker, 0, NOW_US + BASE_EJECTION_TIME_US)
    assert not accepts(worker, ANY_CLASS, NOW_US + BASE_EJECTION_TIME_US + 1)


def test_an_ejected_class_leaves_the_worker_to_the_others(worker):
    eject_class(worker, 1, NOW_US - 1, NOW_US)
    assert not accepts(worker, 1, NOW_US)
    assert accepts(worker, 0, NOW_US)
    assert accepts(worker, ANY_CLASS, NOW_US)
    assert accepting_workers([worker], 1, NOW_US) == []
    assert accepting_workers([worker], 0, NOW_US) == [worker]


def test_attempts_sent_before_a_verdict_do_not_extend_it(worker):
    eject_class(worker, 1, NOW_US - 1, NOW_US)
    eject_class(worker, 1, NOW_US - 1, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == BASE_EJECTION_TIME_US
    eject_class(worker, 1, NOW_US, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == 2 * BASE_EJECTION_TIME_US


def test_each_start_halves_a_class_ejection_until_it_is_over(worker):
    eject_class(worker, 1, NOW_US, NOW_US)
    eject_class(worker, 1, NOW_US, NOW_US)
    shorten_class_ejection(worker, 1)
    assert accepts(worker, 1, NOW_US)  # the next one at once
    begin_probation(worker, 1, NOW_US)
    assert not accepts(worker, 1, NOW_US)  # and one at a time
    shorten_class_ejection(worker, 1)
    assert worker.class_ejections == {}
