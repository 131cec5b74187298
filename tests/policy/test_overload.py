"""Ordinary jobs while capacity is short: waiting, rejection, and overflow to the High Set."""

from stepstream.model.events import AttemptResult, HealthChecked
from stepstream.model.settings import LoadReportSource
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    PolicyHarness,
    attempt_worker_ids,
    final_actions,
    first_worker_id,
    started_attempts,
)


def overloaded_harness(load_report_source=LoadReportSource.PROBE, retry_after_us=2_000_000):
    """Return a harness with two workers that report no free slot, and its open jobs.

    Priority and ordinary jobs were submitted in turn, and one of them ended every 10 ms.
    """
    harness = PolicyHarness(
        IDEMPOTENT,
        HIGH_PRIORITY,
        workers=2,
        load_report_source=load_report_source,
        may_advise_retry=True,
        max_retry_after_us=retry_after_us,
    )
    open_jobs = []
    for number in range(60):
        job_id, actions = harness.advance(10_000).submit(number % 2)
        open_jobs += [(job_id, worker_id) for worker_id in attempt_worker_ids(actions)]
        if number >= 8:
            harness.end_attempt(*open_jobs.pop(0), AttemptResult.OK)
    for number in range(2):
        worker_id = make_endpoint(number).worker_id
        report = {"free_slots": 0.0}
        harness.advance(400_000).handle(HealthChecked(worker_id, True, load_report=report))
    return harness, open_jobs


def test_an_ordinary_job_waits_if_it_can_start_in_time_and_is_rejected_at_once_otherwise():
    # Guards against rejecting a job although a slot becomes free about 10 ms later: the client's
    # retry would come too late.
    harness, open_jobs = overloaded_harness()
    job_id, actions = harness.submit()
    assert not started_attempts(actions)
    assert not final_actions(actions)
    later_actions = [harness.submit()[1] for _ in range(60)]
    assert final_actions(later_actions[-1])
    harness.advance(10_000)
    started = started_attempts(harness.end_attempt(*open_jobs[0], AttemptResult.OK))
    assert started[0].job_id == job_id


def test_a_client_retry_past_its_latency_objective_is_rejected_while_headroom_is_short():
    for retry_after_us in (2_000_000, 100_000):
        harness, _ = overloaded_harness(retry_after_us=retry_after_us)
        is_late = retry_after_us > IDEMPOTENT.latency_objective_us
        assert bool(final_actions(harness.submit(client_retry=True)[1])) == is_late


def test_the_high_set_takes_overflow_with_less_than_a_free_cap_only_with_load_reports():
    for source, takes_overflow in ((LoadReportSource.PROBE, True), (LoadReportSource.NONE, False)):
        harness, _ = overloaded_harness(source)
        state = harness.balancer.state
        high_set_worker = next(
            worker.endpoint.worker_id
            for worker in state.workers.eligible
            if worker.pool is state.pools.high_set
        )
        harness.handle(HealthChecked(high_set_worker, True, load_report={"free_slots": 2.0}))
        assert attempt_worker_ids(harness.submit()[1]) == (
            [high_set_worker] if takes_overflow else []
        )


def test_a_worker_that_answered_full_gets_no_job_until_a_newer_report():
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=4,
        load_report_columns=("free_slots",),
        load_report_source=LoadReportSource.ANSWERS,
    )
    idle = {"free_slots": 4.0}
    for _ in range(8):
        harness.serve(400_000, report=idle)
    job_id, actions = harness.submit()
    full_worker = first_worker_id(actions)
    second_worker = first_worker_id(harness.end_attempt(job_id, full_worker, AttemptResult.FULL))
    harness.end_attempt(job_id, second_worker, AttemptResult.OK, attempt=1, report=idle)
    assert full_worker not in [harness.serve() for _ in range(8)]
    harness.handle(HealthChecked(full_worker, True, 500, idle))
    assert full_worker in [harness.serve() for _ in range(8)]
