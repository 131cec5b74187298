"""Ejection and probation of workers that fail, run slowly or do not start their jobs."""

from dataclasses import replace

import pytest

from stepstream.model.actions import CancelAttempt
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked
from stepstream.model.settings import Effect, LoadReportSource
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    PolicyHarness,
    attempt_worker_ids,
    first_worker_id,
    started_attempts,
)

FAILING_WORKER = make_endpoint(0).worker_id
SLOW_WORKER = make_endpoint(1).worker_id
RUN_US = 200_000
REPORT_WITH_HEADROOM = {"free_slots": 4.0, "queue": 0.0}  # a load report
LOST_ATTEMPT_SETTINGS = {
    "load_report_source": LoadReportSource.PROBE,
    "reports_start": True,
    "may_cancel": True,
}


def attempts_on_failing_worker(harness, jobs):
    """Run jobs until they have no attempt left; return the failing worker's number of attempts."""
    worker_ids = []
    for _ in range(jobs):
        job_id, actions = harness.advance(10_000).submit()
        attempt = 0
        while started_attempts(actions):
            worker_ids.append(first_worker_id(actions))
            result = AttemptResult.ERROR if worker_ids[-1] == FAILING_WORKER else AttemptResult.OK
            actions = harness.end_attempt(job_id, worker_ids[-1], result, attempt)
            attempt += 1
    return worker_ids.count(FAILING_WORKER)


def test_a_failing_worker_is_ejected_and_gets_one_probation_attempt_later():
    harness = PolicyHarness(IDEMPOTENT, workers=4)
    attempts_on_failing_worker(harness, 40)
    assert attempts_on_failing_worker(harness, 40) == 0
    harness.advance(1_000_000)
    assert attempts_on_failing_worker(harness, 40) == 1


def test_every_job_is_still_sent_when_all_workers_fail():
    harness = PolicyHarness(NOT_IDEMPOTENT, workers=4)
    for _ in range(60):
        job_id, actions = harness.advance(10_000).submit()
        assert started_attempts(actions)
        harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.ERROR)


def harness_with_caps(cap):
    """Return a harness whose workers have this cap, as if learned from an answer 'full'.

    The common cap is measured at the end of the first period.
    """
    harness = PolicyHarness(workers=4, reports_start=True)
    for worker in harness.balancer.state.workers.by_id.values():
        worker.cap = cap
    return harness.finish_period()


def run_jobs(harness, count, slow_worker=None, slowdown=8):
    """Run jobs one after the other, more slowly on `slow_worker`; return their workers' ids."""
    worker_ids = []
    for _ in range(count):
        job_id, actions = harness.submit()
        (worker_id,) = attempt_worker_ids(actions)
        worker_ids.append(worker_id)
        harness.handle(AttemptStarted(job_id, 0, worker_id))
        harness.advance(RUN_US * slowdown if worker_id == slow_worker else RUN_US)
        harness.end_attempt(job_id, worker_id, AttemptResult.OK)
        harness.fire_timers(50_000)
    return worker_ids


def test_a_slow_worker_is_ejected_except_for_probation_until_it_is_fast_again():
    harness = harness_with_caps(8.0)
    run_jobs(harness, 40)
    run_jobs(harness, 40, SLOW_WORKER)
    # Without the ejection the slow worker would get ten jobs. An ejected worker gets one probation
    # attempt in three seconds.
    assert run_jobs(harness, 40, SLOW_WORKER).count(SLOW_WORKER) <= 6
    run_jobs(harness, 100)
    assert run_jobs(harness, 40).count(SLOW_WORKER) >= 8


def test_an_open_run_counts_in_slowness_by_its_time_so_far():
    harness = harness_with_caps(20.0)
    run_jobs(harness, 40)
    open_jobs = {}  # by worker
    for _ in range(16):  # all open at the same time, four on each worker
        job_id, actions = harness.submit()
        (worker_id,) = attempt_worker_ids(actions)
        harness.handle(AttemptStarted(job_id, 0, worker_id))
        open_jobs.setdefault(worker_id, []).append(job_id)
    stuck_worker, *other_workers = open_jobs
    for worker_id in other_workers:
        for job_id in open_jobs[worker_id]:
            harness.end_attempt(job_id, worker_id, AttemptResult.OK)
    harness.fire_timers(5_000_000)
    assert stuck_worker not in run_jobs(harness, 20)[:10]


def test_the_ejection_of_a_slow_worker_ends_when_capacity_is_short():
    harness = harness_with_caps(8.0)
    run_jobs(harness, 40)
    run_jobs(harness, 40, SLOW_WORKER)
    workers = harness.balancer.state.workers.by_id
    assert workers[SLOW_WORKER].ejection_time_us
    # With such small caps the fleet has no spare capacity, so it needs the slow worker.
    for worker in workers.values():
        worker.cap = 0.1
    harness.fire_timers()
    assert not workers[SLOW_WORKER].ejection_time_us


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT])
@pytest.mark.parametrize(
    ("report", "is_lost"),
    [
        (REPORT_WITH_HEADROOM, True),
        ({**REPORT_WITH_HEADROOM, "queue": 1.0}, False),  # a queued job may need several slots
        ({"free_slots": 4.0}, False),  # the queue is not reported
    ],
    ids=["no queue", "queue", "queue not reported"],
)
def test_an_overdue_attempt_is_lost_if_its_worker_reports_headroom_and_no_queue(
    effect, report, is_lost
):
    harness = PolicyHarness(replace(IDEMPOTENT, effect=effect), workers=3, **LOST_ATTEMPT_SETTINGS)
    # Each worker gets two of the jobs. One load report shows that both jobs of its worker are lost,
    # but the class is ejected only once.
    job_id, actions = [harness.submit() for _ in range(6)][0]
    worker_id = first_worker_id(actions)
    harness.fire_timers(170_000)
    answer = harness.advance(140_000).handle(HealthChecked(worker_id, True, load_report=report))
    worker = harness.balancer.state.workers.by_id[worker_id]
    times_us = [ejection.ejection_time_us for ejection in worker.class_ejections.values()]
    assert times_us == ([1_000_000] if is_lost else [])
    is_retried = is_lost and effect is Effect.IDEMPOTENT
    assert (CancelAttempt(job_id, 0) in answer) == is_retried


def test_a_class_that_a_worker_never_starts_is_ejected_there_except_for_probation():
    harness = PolicyHarness(
        NOT_IDEMPOTENT, IDEMPOTENT, HIGH_PRIORITY, workers=2, **LOST_ATTEMPT_SETTINGS
    )
    non_starting_worker = make_endpoint(1).worker_id
    job_numbers = {0: [], 1: [], 2: []}  # numbers of the jobs on that worker, by class
    for number in range(360):
        job_class = number % 3
        job_id, actions = harness.advance(50_000).submit(job_class)
        worker_id = first_worker_id(actions)
        if worker_id == non_starting_worker:
            job_numbers[job_class].append(number)
        if worker_id != non_starting_worker or job_class or number >= 180:
            harness.handle(AttemptStarted(job_id, 0, worker_id))
            harness.advance(1000).end_attempt(job_id, worker_id, AttemptResult.OK)
        harness.fire_timers(30_000)
        # With more frequent reports a second job might be sent before a probation attempt's result.
        if number % 8 == 0:
            reports = [
                HealthChecked(
                    make_endpoint(worker_number).worker_id, True, load_report=REPORT_WITH_HEADROOM
                )
                for worker_number in range(2)
            ]
            harness.handle(*reports)
    # These four are the first job and the probation attempts after 1, 2 and 4 s.
    assert len([number for number in job_numbers[0] if number < 180]) == 4
    assert len([number for number in job_numbers[1] if number < 180]) > 40
    # After the worker has started a job of the class, it gets as many such jobs as before.
    assert len([number for number in job_numbers[0] if number >= 270]) == 30
