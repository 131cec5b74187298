"""DynamicPart as seen through handle."""

from dataclasses import replace

import pytest

from stepstream.model.actions import CancelAttempt, Reject, SetTimer, WatchEndpoints
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked, TimerFired
from stepstream.model.settings import Effect, JobClass, LoadReportSource
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import PolicyHarness, final_actions, started_attempts


def shares(**more):
    """Two tenants: 0 is nearly always past its share, 1 never."""
    return {"quotas_per_s": (0.5, 1000.0), "over_quota_weight_fraction": 0.05, **more}


def settle(harness, n=40):
    """Shows both sorts of job, so that the mean worth lies between them."""
    for k in range(n):
        name, actions = harness.advance(1000).submit(tenant=k % 2)
        for p in started_attempts(actions):
            harness.end_attempt(name, p.worker_id, AttemptResult.OK)


def workers_of(harness, tenant, n=60):
    seen = set()
    for _ in range(n):
        name, actions = harness.advance(1000).submit(tenant=tenant)
        for p in started_attempts(actions):
            seen.add(p.worker_id)
            harness.end_attempt(name, p.worker_id, AttemptResult.OK)
    return seen


def test_high_set_starts_with_the_lowest_ids_by_the_formula():
    harness = PolicyHarness(IDEMPOTENT, workers=10, **shares())
    settle(harness)
    # ceil(0.2 * 10 + 10 * 0.8 * (1 - 18 / 26)) = 5
    ids = sorted(make_endpoint(k).worker_id for k in range(10))
    assert workers_of(harness, 1) == set(ids[:5])
    assert workers_of(harness, 0) == set(ids[5:])


def test_nothing_is_refused_and_pools_stay_before_the_first_full():
    harness = PolicyHarness(IDEMPOTENT, workers=4, **shares())
    settle(harness)
    for _ in range(300):
        name, actions = harness.advance(1000).submit(tenant=0)
        assert started_attempts(actions)
        assert not final_actions(actions)


def test_rotation_is_weighted():
    entries = [
        make_endpoint(0, weight=1.0),
        make_endpoint(1, weight=3.0),
        make_endpoint(2, weight=1.0),
    ]
    harness = PolicyHarness(IDEMPOTENT, NOT_IDEMPOTENT, endpoints=entries)
    sent = []
    for _ in range(80):
        name, actions = harness.advance(1000).submit()
        sent.append(started_attempts(actions)[0].worker_id)
        harness.end_attempt(name, sent[-1], AttemptResult.OK)
    pool = set(sent)
    total = sum(e.weight for e in entries if e.worker_id in pool)
    for e in entries:
        if e.worker_id in pool:
            assert abs(sent.count(e.worker_id) - 80 * e.weight / total) <= 1


def test_ordinary_jobs_are_refused_over_the_low_sets_caps_and_priority_jobs_are_not():
    harness = PolicyHarness(IDEMPOTENT, workers=4, **shares())
    settle(harness)
    name, actions = harness.submit(tenant=0)
    harness.end_attempt(
        name, started_attempts(actions)[0].worker_id, AttemptResult.FULL
    )  # caps are known from here on
    answers = [harness.advance(1000).submit(tenant=0)[1] for _ in range(30)]
    assert any(final_actions(a) for a in answers)
    assert all(
        started_attempts(a) for a in [harness.advance(1000).submit(tenant=1)[1] for _ in range(5)]
    )
    refused = [a for actions in answers for a in actions if isinstance(a, Reject)]
    assert refused


def test_high_set_borrows_when_over_its_caps_and_gives_back_when_idle():
    harness = PolicyHarness(IDEMPOTENT, workers=6, **shares())
    settle(harness)
    before = workers_of(harness, 1)
    name, actions = harness.submit(tenant=1)
    harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.FULL)
    open_jobs = [
        (n, p.worker_id)
        for n, a in (harness.submit(tenant=1) for _ in range(40))
        for p in started_attempts(a)
    ]
    for _ in range(3):
        harness.fire_timers()
    for n, w in open_jobs:
        harness.end_attempt(n, w, AttemptResult.OK)
    grown = workers_of(harness, 1)
    assert len(before) < len(grown) < 6  # a worker always stays in the Low Set
    for _ in range(10):
        harness.fire_timers()
    assert len(workers_of(harness, 1)) < len(grown)


def test_a_class_that_only_the_other_pool_can_run_goes_there():
    only_kind_1 = JobClass(400_000, 5_000_000, Effect.IDEMPOTENT, worker_kind=1)
    for where in (0, 3):
        harness = PolicyHarness(
            only_kind_1,
            endpoints=[make_endpoint(k, worker_kind=int(k == where)) for k in range(4)],
            **shares(),
        )
        for tenant in (0, 1):
            for _ in range(10):
                assert (
                    started_attempts(harness.advance(1000).submit(tenant=tenant)[1])[0].worker_id
                    == make_endpoint(where).worker_id
                )


def test_equal_worths_count_as_priority():
    harness = PolicyHarness(IDEMPOTENT, IDEMPOTENT, workers=4)
    assert all(started_attempts(harness.advance(1000).submit(k % 2)[1]) for k in range(50))
    assert harness.balancer.state.measurements.job_mix.priority_fraction > START_SHARE


START_SHARE = 0.2


def test_the_dear_class_is_priority():
    harness = PolicyHarness(IDEMPOTENT, HIGH_PRIORITY, workers=10)
    cheap, dear = set(), set()
    for k in range(200):
        name, actions = harness.advance(1000).submit(k % 2)
        worker = started_attempts(actions)[0].worker_id
        if k > 100:
            (dear if k % 2 else cheap).add(worker)
        harness.end_attempt(name, worker, AttemptResult.OK)
    assert not cheap & dear


def test_a_worker_that_errs_fast_leaves_and_gets_a_trial_after_a_pause():
    harness = PolicyHarness(IDEMPOTENT, workers=4)
    bad = make_endpoint(0).worker_id

    def play(n):
        sent = []
        for _ in range(n):
            name, actions = harness.advance(10_000).submit()
            attempt = 0
            while started_attempts(actions):
                worker = started_attempts(actions)[0].worker_id
                sent.append(worker)
                result = AttemptResult.ERROR if worker == bad else AttemptResult.OK
                actions = harness.end_attempt(name, worker, result, attempt)
                attempt += 1
        return sent.count(bad)

    play(40)
    assert play(40) == 0
    harness.advance(1_000_000)
    assert play(40) == 1


def test_never_is_everyone_excluded():
    harness = PolicyHarness(NOT_IDEMPOTENT, workers=4)
    for _ in range(60):
        name, actions = harness.advance(10_000).submit()
        assert started_attempts(actions)
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.ERROR)


def test_a_list_that_must_be_asked_for_is_asked_at_once_and_again_after_errors():
    harness = PolicyHarness(IDEMPOTENT, polls_endpoints=True)
    assert WatchEndpoints(True) in harness.start_actions
    waits = []
    for _ in range(6):
        asked = harness.handle(EndpointList(EndpointListKind.FAILED))
        wake = [a for a in asked if isinstance(a, SetTimer)]
        assert len(wake) == 1
        assert WatchEndpoints(True) not in asked
        waits.append(wake[0].at_us - harness.now_us)
        harness.now_us = wake[0].at_us
        assert WatchEndpoints(True) in harness.handle(TimerFired(wake[0].token))
    assert waits[0] < 1_000_000
    assert waits[-1] > waits[0]
    assert max(waits) <= harness.settings.endpoint_poll_interval_us


def test_same_events_give_the_same_actions():
    def play():
        harness = PolicyHarness(IDEMPOTENT, HIGH_PRIORITY, workers=5, seed=7, polls_endpoints=True)
        for k in range(50):
            harness.advance(1000).submit(k % 2)
        harness.fire_timers()
        return harness.actions

    assert play() == play()


def test_a_worker_that_turned_a_job_away_gets_none_until_a_newer_report():
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=4,
        load_report_columns=("free_slots",),
        load_report_source=LoadReportSource.ANSWERS,
    )
    idle = {"free_slots": 4.0}
    for _ in range(8):
        name, actions = harness.advance(400_000).submit()
        harness.end_attempt(
            name, started_attempts(actions)[0].worker_id, AttemptResult.OK, report=idle
        )
    name, actions = harness.submit()
    full = started_attempts(actions)[0].worker_id
    retry = started_attempts(harness.end_attempt(name, full, AttemptResult.FULL))[0].worker_id
    harness.end_attempt(name, retry, AttemptResult.OK, attempt=1, report=idle)

    def turns(n):
        found = []
        for _ in range(n):
            name, actions = harness.advance(1000).submit()
            found.append(started_attempts(actions)[0].worker_id)
            harness.end_attempt(name, found[-1], AttemptResult.OK)
        return found

    assert full not in turns(8)
    harness.handle(HealthChecked(full, True, 500, idle))
    assert full in turns(8)


def test_the_low_set_keeps_a_worker_when_all_of_it_has_gone():
    harness = PolicyHarness(IDEMPOTENT, workers=6, **shares())
    high_set = harness.balancer.state.pools.high_set
    gone = tuple(
        make_endpoint(k, state=EndpointState.REMOVED)
        for k in range(6)
        if harness.balancer.state.workers.by_id[make_endpoint(k).worker_id].pool is not high_set
    )
    assert gone
    harness.handle(EndpointList(EndpointListKind.CHANGES, gone))
    assert sum(w.pool is not high_set for w in harness.balancer.state.workers.eligible) == 1


def known_caps(harness, cap):
    """As if each worker had once been full; the common cap follows with the next period."""
    for worker in harness.balancer.state.workers.by_id.values():
        worker.cap = cap
    harness.finish_period()
    return harness


def run_jobs(harness, count, slow, times=8):
    """Jobs one after the other; on `slow` each runs so many times as long. Where they went."""
    went = []
    for _ in range(count):
        name, actions = harness.submit()
        (push,) = started_attempts(actions)
        went.append(push.worker_id)
        harness.handle(AttemptStarted(name, 0, push.worker_id))
        harness.advance(200_000 * (times if push.worker_id == slow else 1))
        harness.end_attempt(name, push.worker_id, AttemptResult.OK)
        harness.fire_timers(50_000)
    return went


def test_a_worker_whose_runs_take_much_longer_leaves_but_for_trials_and_comes_back():
    harness = known_caps(PolicyHarness(workers=4, reports_start=True), 8.0)
    slow = make_endpoint(1).worker_id
    run_jobs(harness, 40, None)
    run_jobs(harness, 40, slow)
    assert (
        run_jobs(harness, 40, slow).count(slow) <= 6
    )  # of ten by turns: one trial in three seconds
    run_jobs(harness, 100, None)
    assert run_jobs(harness, 40, None).count(slow) >= 8


def test_a_run_that_has_not_ended_tells_by_how_long_it_is():
    harness = known_caps(PolicyHarness(workers=4, reports_start=True), 20.0)
    run_jobs(harness, 40, None)
    stuck = {}
    for _ in range(16):  # side by side, four on each; those of one worker do not end
        name, actions = harness.submit()
        (push,) = started_attempts(actions)
        harness.handle(AttemptStarted(name, 0, push.worker_id))
        stuck.setdefault(push.worker_id, []).append(name)
    slow = next(iter(stuck))
    for worker, names in stuck.items():
        for name in names if worker != slow else ():
            harness.end_attempt(name, worker, AttemptResult.OK)
    harness.fire_timers(5_000_000)
    assert slow not in run_jobs(harness, 20, None)[:10]


def test_a_crowded_fleet_keeps_its_slow_workers():
    harness = known_caps(PolicyHarness(workers=4, reports_start=True), 8.0)
    slow = make_endpoint(1).worker_id
    run_jobs(harness, 40, None)
    run_jobs(harness, 40, slow)
    assert harness.balancer.state.workers.by_id[slow].ejection_time_us
    # With caps of one slot the same jobs fill the fleet.
    for worker in harness.balancer.state.workers.by_id.values():
        worker.cap = 0.1
    harness.fire_timers()
    assert not harness.balancer.state.workers.by_id[slow].ejection_time_us


def crowded(load_report_source=LoadReportSource.PROBE, retry_after_us=2_000_000):
    """Two workers that report no free slot, priority and ordinary jobs, one of ours ends every 10 ms."""
    advice = {"may_advise_retry": True, "max_retry_after_us": retry_after_us}
    harness = PolicyHarness(
        IDEMPOTENT, HIGH_PRIORITY, workers=2, load_report_source=load_report_source, **advice
    )
    open_jobs = []
    for k in range(60):
        name, actions = harness.advance(10_000).submit(k % 2)
        open_jobs += [(name, p.worker_id) for p in started_attempts(actions)]
        if k >= 8:
            harness.end_attempt(*open_jobs.pop(0), AttemptResult.OK)
    for k in range(2):
        harness.advance(400_000).handle(
            HealthChecked(make_endpoint(k).worker_id, True, load_report={"free_slots": 0.0})
        )
    return harness, open_jobs


def test_an_ordinary_job_waits_where_its_turn_comes_in_time_and_else_is_refused_at_once():
    """Refused at once it would be back too late, while a slot is free some 10 ms later."""
    harness, open_jobs = crowded()
    name, actions = harness.submit()
    assert not started_attempts(actions)
    assert not final_actions(actions)
    assert final_actions([harness.submit()[1] for _ in range(60)][-1])  # sixty ahead of it
    harness.advance(10_000)
    assert started_attempts(harness.end_attempt(*open_jobs[0], AttemptResult.OK))[0].job_id == name


def test_a_marked_retry_whose_goal_the_advice_outlasted_goes_behind_first_tries():
    for retry_after_us in (2_000_000, 100_000):
        harness, _ = crowded(retry_after_us=retry_after_us)
        assert bool(final_actions(harness.submit(client_retry=True)[1])) == (
            retry_after_us > IDEMPOTENT.latency_objective_us
        )


def test_the_high_set_lends_with_part_of_a_cap_free_only_where_rooms_are_told():
    for reports, lent in ((LoadReportSource.PROBE, 1), (LoadReportSource.NONE, 0)):
        harness, _ = crowded(reports)
        state = harness.balancer.state
        lender = next(
            w.endpoint.worker_id for w in state.workers.eligible if w.pool is state.pools.high_set
        )
        harness.handle(HealthChecked(lender, True, load_report={"free_slots": 2.0}))
        assert [p.worker_id for p in started_attempts(harness.submit()[1])] == [lender] * lent


ROOM = {"free_slots": 4.0, "queue": 0.0}
LAZY = {"load_report_source": LoadReportSource.PROBE, "reports_start": True, "may_cancel": True}


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT])
@pytest.mark.parametrize(
    "more", [{}, {"queue": 1.0}, None]
)  # the first one waits for two slots; not told
def test_a_job_is_lost_that_a_worker_with_room_and_no_queue_has_not_begun(effect, more):
    harness = PolicyHarness(replace(IDEMPOTENT, effect=effect), workers=3, **LAZY)
    name, (push, *_) = [harness.submit() for _ in range(6)][
        0
    ]  # it takes more than this one: one verdict
    harness.fire_timers(170_000)
    told = {**ROOM, **more} if more is not None else {"free_slots": 4.0}
    answer = harness.advance(140_000).handle(HealthChecked(push.worker_id, True, load_report=told))
    assert [
        e.ejection_time_us
        for e in harness.balancer.state.workers.by_id[push.worker_id].class_ejections.values()
    ] == [10**6] * (more == {})
    assert (CancelAttempt(name, 0) in answer) == (
        more == {} and effect is Effect.IDEMPOTENT
    )  # it goes elsewhere


def test_a_class_keeps_away_from_a_worker_that_never_begins_its_jobs_but_for_trials():
    harness = PolicyHarness(NOT_IDEMPOTENT, IDEMPOTENT, HIGH_PRIORITY, workers=2, **LAZY)
    lazy, sent = make_endpoint(1).worker_id, {0: [], 1: [], 2: []}
    for k in range(360):
        name, (push, *_) = harness.advance(50_000).submit(k % 3)
        sent[k % 3] += [k] if push.worker_id == lazy else []
        if push.worker_id != lazy or k % 3 or k >= 180:
            harness.handle(AttemptStarted(name, 0, push.worker_id))
            harness.advance(1000).end_attempt(name, push.worker_id, AttemptResult.OK)
        harness.fire_timers(30_000)
        if k % 8 == 0:  # else a second job might come before the verdict on a trial
            harness.handle(
                *[
                    HealthChecked(make_endpoint(w).worker_id, True, load_report=ROOM)
                    for w in range(2)
                ]
            )
    # The first, and one trial after 1, 2 and 4 s; then it begins the next one, and has as many as ever.
    assert len([k for k in sent[0] if k < 180]) == 4
    assert len([k for k in sent[1] if k < 180]) > 40
    assert len([k for k in sent[0] if k >= 270]) == 30
