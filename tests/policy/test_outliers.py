"""Ejections of workers and of classes, and probation."""

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
    postpone_next_probation(worker, 0, NOW_US + BASE_EJECTION_TIME_US)
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
    postpone_next_probation(worker, 1, NOW_US)
    assert not accepts(worker, 1, NOW_US)  # and one at a time
    shorten_class_ejection(worker, 1)
    assert worker.class_ejections == {}


def test_a_lost_attempt_of_a_class_that_is_gone_does_not_eject_its_worker_as_a_whole():
    gone, stays = replace(NOT_IDEMPOTENT, name="gone"), replace(IDEMPOTENT, name="stays")
    harness = PolicyHarness(gone, stays)
    name, _ = harness.submit(0)
    harness.handle(SettingsChanged(replace(harness.settings, classes=(stays,))))
    (attempt,) = harness.balancer.state.jobs.in_flight[name].attempts
    attempt.start_overdue = True
    harness.advance(MAX_REPORT_LAG_US + 1).handle()
    presume_lost(harness.balancer.state, attempt.worker)
    assert attempt.presumed_lost
    assert accepts(attempt.worker, 0, harness.now_us)
    assert accepts(attempt.worker, ANY_CLASS, harness.now_us)


def test_an_ejected_class_keeps_its_ejection_by_name_over_a_reload():
    first, second = replace(IDEMPOTENT, name="first"), replace(IDEMPOTENT, name="second")
    harness = PolicyHarness(first, second)
    worker = harness.balancer.state.workers.by_id[make_endpoint(0).worker_id]
    eject_class(worker, 0, harness.now_us, harness.now_us)
    harness.handle(SettingsChanged(replace(harness.settings, classes=(second, first))))
    assert [accepts(worker, index, harness.now_us) for index in (0, 1)] == [True, False]
