"""Ejections of workers and of classes, and probation."""

import pytest
from helpers import entry

from stepstream.model.ejections import (
    FIRST_EJECTION_US,
    LONGEST_EJECTION_US,
    next_ejection_time_us,
)
from stepstream.model.pools import Pool
from stepstream.model.worker_records import ANY_CLASS, Worker, accepting_workers

NOW_US = 10_000_000


@pytest.fixture
def worker():
    return Worker(entry(0), 0, 0, Pool(1.0))


def test_an_ejection_doubles_from_the_first_to_the_longest():
    times = [next_ejection_time_us(0)]
    while len(times) < 6:
        times.append(next_ejection_time_us(times[-1]))
    assert times == [10**6, 2 * 10**6, 4 * 10**6, 8 * 10**6, 8 * 10**6, 8 * 10**6]
    assert (times[0], times[-1]) == (FIRST_EJECTION_US, LONGEST_EJECTION_US)


def test_an_ejected_worker_accepts_one_attempt_on_probation(worker):
    worker.eject(FIRST_EJECTION_US, NOW_US)
    assert not worker.accepts(ANY_CLASS, NOW_US + FIRST_EJECTION_US - 1)
    assert worker.accepts(ANY_CLASS, NOW_US + FIRST_EJECTION_US)
    worker.record_attempt(0, NOW_US + FIRST_EJECTION_US)
    assert not worker.accepts(ANY_CLASS, NOW_US + FIRST_EJECTION_US + 1)


def test_an_ejected_class_leaves_the_worker_to_the_others(worker):
    worker.eject_class(1, NOW_US - 1, NOW_US)
    assert not worker.accepts(1, NOW_US)
    assert worker.accepts(0, NOW_US)
    assert worker.accepts(ANY_CLASS, NOW_US)
    assert accepting_workers([worker], 1, NOW_US) == []
    assert accepting_workers([worker], 0, NOW_US) == [worker]


def test_attempts_sent_before_a_verdict_do_not_extend_it(worker):
    worker.eject_class(1, NOW_US - 1, NOW_US)
    worker.eject_class(1, NOW_US - 1, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == FIRST_EJECTION_US
    worker.eject_class(1, NOW_US, NOW_US + 5)
    assert worker.class_ejections[1].ejection_time_us == 2 * FIRST_EJECTION_US


def test_each_start_halves_a_class_ejection_until_it_is_over(worker):
    worker.eject_class(1, NOW_US, NOW_US)
    worker.eject_class(1, NOW_US, NOW_US)
    worker.record_start(1)
    assert worker.accepts(1, NOW_US)  # the next one at once
    worker.record_attempt(1, NOW_US)
    assert not worker.accepts(1, NOW_US)  # and one at a time
    worker.record_start(1)
    assert worker.class_ejections == {}
