"""Ejections of workers that err, are slow or do not begin their jobs, and their probation."""

from dataclasses import replace

import pytest

from stepstream.model.actions import CancelAttempt
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked
from stepstream.model.settings import Effect, LoadReportSource
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import PolicyHarness, first_worker, started_attempts, workers_of

BAD = make_endpoint(0).worker_id
SLOW = make_endpoint(1).worker_id
RUN_US = 200_000
WITH_HEADROOM = {"free_slots": 4.0, "queue": 0.0}  # a load report
LOST_JOBS = {
    "load_report_source": LoadReportSource.PROBE,
    "reports_start": True,
    "may_cancel": True,
}


def attempts_on_bad_worker(harness, jobs):
    """Run jobs, each until it has no attempt left; return how many attempts the bad worker got."""
    worker_ids = []
    for _ in range(jobs):
        job_id, actions = harness.advance(10_000).submit()
        attempt = 0
        while started_attempts(actions):
            worker_ids.append(first_worker(actions))
            result = AttemptResult.ERROR if worker_ids[-1] == BAD else AttemptResult.OK
            actions = harness.end_attempt(job_id, worker_ids[-1], result, attempt)
            attempt += 1
    return worker_ids.count(BAD)


def test_a_worker_that_errs_fast_is_ejected_and_gets_a_probation_attempt_later():
    harness = PolicyHarness(IDEMPOTENT, workers=4)
    attempts_on_bad_worker(harness, 40)
    assert attempts_on_bad_worker(harness, 40) == 0
    harness.advance(1_000_000)
    assert attempts_on_bad_worker(harness, 40) == 1


def test_never_are_all_workers_ejected():
    harness = PolicyHarness(NOT_IDEMPOTENT, workers=4)
    for _ in range(60):
        job_id, actions = harness.advance(10_000).submit()
        assert started_attempts(actions)
        harness.end_attempt(job_id, first_worker(actions), AttemptResult.ERROR)


def harness_with_caps(cap):
    """Return a balancer whose workers seem to have been full at this cap once.

    The common cap follows with the next period.
    """
    harness = PolicyHarness(workers=4, reports_start=True)
    for worker in harness.balancer.state.workers.by_id.values():
        worker.cap = cap
    return harness.finish_period()


def run_jobs(harness, count, slow=None, slowdown=8):
    """Run jobs one after the other, on `slow` for longer; return the ids of their workers."""
    worker_ids = []
    for _ in range(count):
        job_id, actions = harness.submit()
        (worker_id,) = workers_of(actions)
        worker_ids.append(worker_id)
        harness.handle(AttemptStarted(job_id, 0, worker_id))
        harness.advance(RUN_US * slowdown if worker_id == slow else RUN_US)
        harness.end_attempt(job_id, worker_id, AttemptResult.OK)
        harness.fire_timers(50_000)
    return worker_ids


def test_a_worker_whose_runs_take_much_longer_is_ejected_but_for_probation_and_comes_back():
    harness = harness_with_caps(8.0)
    run_jobs(harness, 40)
    run_jobs(harness, 40, SLOW)
    # Of ten by turns: one probation attempt in three seconds.
    assert run_jobs(harness, 40, SLOW).count(SLOW) <= 6
    run_jobs(harness, 100)
    assert run_jobs(harness, 40).count(SLOW) >= 8


def test_a_run_that_has_not_ended_counts_by_its_time_so_far():
    harness = harness_with_caps(20.0)
    run_jobs(harness, 40)
    open_jobs = {}  # by worker
    for _ in range(16):  # side by side, four on each
        job_id, actions = harness.submit()
        (worker_id,) = workers_of(actions)
        harness.handle(AttemptStarted(job_id, 0, worker_id))
        open_jobs.setdefault(worker_id, []).append(job_id)
    stuck, *others = open_jobs
    for worker_id in others:
        for job_id in open_jobs[worker_id]:
            harness.end_attempt(job_id, worker_id, AttemptResult.OK)
    harness.fire_timers(5_000_000)
    assert stuck not in run_jobs(harness, 20)[:10]


def test_slow_workers_are_not_ejected_while_capacity_is_short():
    harness = harness_with_caps(8.0)
    run_jobs(harness, 40)
    run_jobs(harness, 40, SLOW)
    workers = harness.balancer.state.workers.by_id
    assert workers[SLOW].ejection_time_us
    # With caps of one slot the same jobs fill all workers.
    for worker in workers.values():
        worker.cap = 0.1
    harness.fire_timers()
    assert not workers[SLOW].ejection_time_us


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT])
@pytest.mark.parametrize(
    ("report", "is_lost"),
    [
        (WITH_HEADROOM, True),
        ({**WITH_HEADROOM, "queue": 1.0}, False),  # the first one waits for two slots
        ({"free_slots": 4.0}, False),  # the queue is not reported
    ],
    ids=["no queue", "queue", "queue not reported"],
)
def test_a_job_is_lost_that_a_worker_with_headroom_and_no_queue_has_not_begun(
    effect, report, is_lost
):
    harness = PolicyHarness(replace(IDEMPOTENT, effect=effect), workers=3, **LOST_JOBS)
    # It takes more than one job for one verdict.
    job_id, actions = [harness.submit() for _ in range(6)][0]
    worker_id = first_worker(actions)
    harness.fire_timers(170_000)
    answer = harness.advance(140_000).handle(HealthChecked(worker_id, True, load_report=report))
    worker = harness.balancer.state.workers.by_id[worker_id]
    times_us = [ejection.ejection_time_us for ejection in worker.class_ejections.values()]
    assert times_us == ([1_000_000] if is_lost else [])
    is_retried = is_lost and effect is Effect.IDEMPOTENT
    assert (CancelAttempt(job_id, 0) in answer) == is_retried


def test_a_class_is_ejected_from_a_worker_that_never_begins_its_jobs_but_for_probation():
    harness = PolicyHarness(NOT_IDEMPOTENT, IDEMPOTENT, HIGH_PRIORITY, workers=2, **LOST_JOBS)
    lazy = make_endpoint(1).worker_id
    jobs_on_lazy = {0: [], 1: [], 2: []}  # their numbers by class
    for number in range(360):
        job_class = number % 3
        job_id, actions = harness.advance(50_000).submit(job_class)
        worker_id = first_worker(actions)
        if worker_id == lazy:
            jobs_on_lazy[job_class].append(number)
        if worker_id != lazy or job_class or number >= 180:
            harness.handle(AttemptStarted(job_id, 0, worker_id))
            harness.advance(1000).end_attempt(job_id, worker_id, AttemptResult.OK)
        harness.fire_timers(30_000)
        if number % 8 == 0:  # more often, a second job might come before a probation's verdict
            reports = [
                HealthChecked(make_endpoint(place).worker_id, True, load_report=WITH_HEADROOM)
                for place in range(2)
            ]
            harness.handle(*reports)
    # The first one, and probation attempts after 1, 2 and 4 s.
    assert len([number for number in jobs_on_lazy[0] if number < 180]) == 4
    assert len([number for number in jobs_on_lazy[1] if number < 180]) > 40
    # Once it begins the next one, it gets as many as ever.
    assert len([number for number in jobs_on_lazy[0] if number >= 270]) == 30
