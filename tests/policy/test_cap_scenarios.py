"""Caps and the High Set, as learned from the attempts on the workers."""

from stepstream.model.events import AttemptResult, AttemptStarted
from stepstream.policy.capacity import headroom, median_cap
from tests.model.builders import IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    first_worker_id,
    started_attempts,
)


def high_set_ids(harness):
    """Return the ids of the eligible workers in the High Set."""
    state = harness.balancer.state
    return frozenset(
        worker.endpoint.worker_id
        for worker in state.workers.eligible
        if worker.pool is state.pools.high_set
    )


def test_waiting_priority_jobs_make_the_high_set_borrow_a_worker():
    # Guards against a High Set that never borrows a worker. While jobs wait, the busy slots of the
    # High Set stay at its caps. Its load exceeds its caps only if waiting jobs count as load.
    def high_set_size(jobs):
        harness = PolicyHarness(IDEMPOTENT, workers=10, **WITH_LOAD_REPORTS)
        harness.finish_period().fire_timers(400_000)
        harness.report_headrooms([0.0] * 10)
        for _ in range(jobs):
            harness.submit()
        harness.fire_timers(100_000)  # the period ends while the jobs wait
        return len(high_set_ids(harness))

    assert high_set_size(5) == high_set_size(0) + 1


def test_the_high_set_keeps_its_size_while_few_headrooms_are_valid():
    # Guards against a High Set that returns one worker each period until it has a single worker.
    # This worker was the same one in all dispatchers.
    high_sets = set()
    for seed in range(3):
        harness = PolicyHarness(IDEMPOTENT, workers=30, seed=seed, **WITH_LOAD_REPORTS)
        for _ in range(60):
            harness.serve(10_000, report={"free_slots": 3.0, "queue": 0.0})
            harness.finish_period()
        high_set = high_set_ids(harness)
        assert len(high_set) >= 5
        high_sets.add(high_set)
    assert len(high_sets) == 3


def test_a_worker_with_an_old_full_answer_has_no_more_headroom_than_others():
    # Guards against an old cap that attracts attempts: a worker that had answered 'full' kept a cap
    # of one, above the common cap, and got the attempts of all dispatchers.
    harness = PolicyHarness(IDEMPOTENT, workers=6, **WITH_LOAD_REPORTS)
    job_id, actions = harness.submit()
    full_id = first_worker_id(actions)
    harness.end_attempt(job_id, full_id, AttemptResult.FULL)
    harness.advance(2_100_000)
    for number in range(6):
        if make_endpoint(number).worker_id != full_id:
            harness.report_headroom(number, 0.4)
    harness.fire_timers(1000)
    state = harness.balancer.state
    full = state.workers.by_id[full_id]
    others = [worker for worker in state.workers.eligible if worker is not full]
    assert headroom(state, full) <= max(headroom(state, worker) for worker in others)


def harness_with_one_overdue_start():
    """Submit twelve jobs to four workers; return the harness and the only unstarted attempt."""
    harness = PolicyHarness(NOT_IDEMPOTENT, workers=4, reports_start=True)
    attempts = [harness.submit()[1][0] for _ in range(12)]
    for attempt in attempts[1:]:
        harness.handle(AttemptStarted(attempt.job_id, 0, attempt.worker_id))
    return harness, attempts[0]


def test_an_overdue_start_sets_the_cap_at_the_busy_slots_and_not_at_zero():
    # Guards against treating an overdue start as a load report of zero headroom. Our attempts were
    # subtracted from this zero, so every cap became 0, and the High Set of an idle dispatcher
    # borrowed all workers.
    harness, overdue = harness_with_one_overdue_start()
    state = harness.balancer.state
    worker = state.workers.by_id[overdue.worker_id]
    busy_slots = worker.busy_slots
    harness.fire_timers(200_000)
    assert headroom(state, worker) == 0.0
    assert median_cap(state) == busy_slots > 1
    # After an answer 'full' the headroom is negative.
    harness, overdue = harness_with_one_overdue_start()
    state = harness.balancer.state
    worker = state.workers.by_id[overdue.worker_id]
    harness.end_attempt(overdue.job_id, overdue.worker_id, AttemptResult.FULL)
    assert headroom(state, worker) == worker.cap - worker.busy_slots < 0


def test_one_overdue_start_on_a_slow_worker_does_not_set_the_common_cap():
    # Guards against a single overdue start that sets the common cap to one slot for seconds because
    # its worker has one busy slot: jobs waited although workers had headroom, and ordinary jobs
    # were rejected.
    harness = PolicyHarness(IDEMPOTENT, workers=4, reports_start=True)

    def run_overdue_starts(count):
        jobs = [harness.submit() for _ in range(count)]
        harness.fire_timers(200_000)
        for job_id, actions in jobs:
            harness.end_attempt(job_id, first_worker_id(actions), AttemptResult.OK)

    run_overdue_starts(12)
    common_cap = median_cap(harness.balancer.state)
    harness.advance(3_000_000)
    run_overdue_starts(1)
    assert common_cap > 1
    assert median_cap(harness.balancer.state) == common_cap


def test_a_start_in_time_beyond_the_common_cap_raises_the_cap():
    harness = PolicyHarness(IDEMPOTENT, workers=1, reports_start=True)
    state = harness.balancer.state
    harness.submit()
    harness.fire_timers(200_000)
    harness.fire_timers()
    assert state.measurements.common_cap == 1.0
    harness.advance(2_100_000)
    for _ in range(6):
        job_id, actions = harness.submit()
        for attempt in started_attempts(actions):
            harness.handle(AttemptStarted(job_id, 0, attempt.worker_id))
    assert median_cap(state) > 1.0
