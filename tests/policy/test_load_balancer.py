"""DynamicPart as seen through handle."""

from dataclasses import replace

import pytest
from helpers import DEAR, SAFE, UNSAFE, Bench, entry, finals, pushes

from stepstream.model.actions import CancelAttempt, Reject, SetTimer, WatchEndpoints
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked, TimerFired
from stepstream.model.settings import Effect, JobClass, LoadReportSource


def shares(**more):
    """Two tenants: 0 is nearly always past its share, 1 never."""
    return {"quotas_per_s": (0.5, 1000.0), "over_quota_weight_fraction": 0.05, **more}


def settle(bench, n=40):
    """Shows both sorts of job, so that the mean worth lies between them."""
    for k in range(n):
        name, actions = bench.later(1000).job(tenant=k % 2)
        for p in pushes(actions):
            bench.ended(name, p.worker_id, AttemptResult.OK)


def workers_of(bench, tenant, n=60):
    seen = set()
    for _ in range(n):
        name, actions = bench.later(1000).job(tenant=tenant)
        for p in pushes(actions):
            seen.add(p.worker_id)
            bench.ended(name, p.worker_id, AttemptResult.OK)
    return seen


def test_high_set_starts_with_the_lowest_ids_by_the_formula():
    bench = Bench(SAFE, workers=10, **shares())
    settle(bench)
    # ceil(0.2 * 10 + 10 * 0.8 * (1 - 18 / 26)) = 5
    ids = sorted(entry(k).worker_id for k in range(10))
    assert workers_of(bench, 1) == set(ids[:5])
    assert workers_of(bench, 0) == set(ids[5:])


def test_nothing_is_refused_and_pools_stay_before_the_first_full():
    bench = Bench(SAFE, workers=4, **shares())
    settle(bench)
    for _ in range(300):
        name, actions = bench.later(1000).job(tenant=0)
        assert pushes(actions)
        assert not finals(actions)


def test_rotation_is_weighted():
    entries = [entry(0, weight=1.0), entry(1, weight=3.0), entry(2, weight=1.0)]
    bench = Bench(SAFE, UNSAFE, entries=entries)
    sent = []
    for _ in range(80):
        name, actions = bench.later(1000).job()
        sent.append(pushes(actions)[0].worker_id)
        bench.ended(name, sent[-1], AttemptResult.OK)
    pool = set(sent)
    total = sum(e.weight for e in entries if e.worker_id in pool)
    for e in entries:
        if e.worker_id in pool:
            assert abs(sent.count(e.worker_id) - 80 * e.weight / total) <= 1


def test_ordinary_jobs_are_refused_over_the_low_sets_caps_and_priority_jobs_are_not():
    bench = Bench(SAFE, workers=4, **shares())
    settle(bench)
    name, actions = bench.job(tenant=0)
    bench.ended(
        name, pushes(actions)[0].worker_id, AttemptResult.FULL
    )  # caps are known from here on
    answers = [bench.later(1000).job(tenant=0)[1] for _ in range(30)]
    assert any(finals(a) for a in answers)
    assert all(pushes(a) for a in [bench.later(1000).job(tenant=1)[1] for _ in range(5)])
    refused = [a for actions in answers for a in actions if isinstance(a, Reject)]
    assert refused


def test_high_set_borrows_when_over_its_caps_and_gives_back_when_idle():
    bench = Bench(SAFE, workers=6, **shares())
    settle(bench)
    before = workers_of(bench, 1)
    name, actions = bench.job(tenant=1)
    bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.FULL)
    open_jobs = [
        (n, p.worker_id) for n, a in (bench.job(tenant=1) for _ in range(40)) for p in pushes(a)
    ]
    for _ in range(3):
        bench.tick()
    for n, w in open_jobs:
        bench.ended(n, w, AttemptResult.OK)
    grown = workers_of(bench, 1)
    assert len(before) < len(grown) < 6  # a worker always stays in the Low Set
    for _ in range(10):
        bench.tick()
    assert len(workers_of(bench, 1)) < len(grown)


def test_a_class_that_only_the_other_pool_can_run_goes_there():
    only_kind_1 = JobClass(400_000, 5_000_000, Effect.IDEMPOTENT, worker_kind=1)
    for where in (0, 3):
        bench = Bench(
            only_kind_1,
            entries=[entry(k, worker_kind=int(k == where)) for k in range(4)],
            **shares(),
        )
        for tenant in (0, 1):
            for _ in range(10):
                assert (
                    pushes(bench.later(1000).job(tenant=tenant)[1])[0].worker_id
                    == entry(where).worker_id
                )


def test_equal_worths_count_as_priority():
    bench = Bench(SAFE, SAFE, workers=4)
    assert all(pushes(bench.later(1000).job(k % 2)[1]) for k in range(50))
    assert bench.balancer.state.measurements.job_mix.priority_fraction > START_SHARE


START_SHARE = 0.2


def test_the_dear_class_is_priority():
    bench = Bench(SAFE, DEAR, workers=10)
    cheap, dear = set(), set()
    for k in range(200):
        name, actions = bench.later(1000).job(k % 2)
        worker = pushes(actions)[0].worker_id
        if k > 100:
            (dear if k % 2 else cheap).add(worker)
        bench.ended(name, worker, AttemptResult.OK)
    assert not cheap & dear


def test_a_worker_that_errs_fast_leaves_and_gets_a_trial_after_a_pause():
    bench = Bench(SAFE, workers=4)
    bad = entry(0).worker_id

    def play(n):
        sent = []
        for _ in range(n):
            name, actions = bench.later(10_000).job()
            attempt = 0
            while pushes(actions):
                worker = pushes(actions)[0].worker_id
                sent.append(worker)
                result = AttemptResult.ERROR if worker == bad else AttemptResult.OK
                actions = bench.ended(name, worker, result, attempt)
                attempt += 1
        return sent.count(bad)

    play(40)
    assert play(40) == 0
    bench.later(1_000_000)
    assert play(40) == 1


def test_never_is_everyone_excluded():
    bench = Bench(UNSAFE, workers=4)
    for _ in range(60):
        name, actions = bench.later(10_000).job()
        assert pushes(actions)
        bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.ERROR)


def test_a_list_that_must_be_asked_for_is_asked_at_once_and_again_after_errors():
    bench = Bench(SAFE, polls_endpoints=True)
    assert WatchEndpoints(True) in bench.start_actions
    waits = []
    for _ in range(6):
        asked = bench.tell(EndpointList(EndpointListKind.FAILED))
        wake = [a for a in asked if isinstance(a, SetTimer)]
        assert len(wake) == 1
        assert WatchEndpoints(True) not in asked
        waits.append(wake[0].at_us - bench.now)
        bench.now = wake[0].at_us
        assert WatchEndpoints(True) in bench.tell(TimerFired(wake[0].token))
    assert waits[0] < 1_000_000
    assert waits[-1] > waits[0]
    assert max(waits) <= bench.settings.endpoint_poll_interval_us


def test_same_events_give_the_same_actions():
    def play():
        bench = Bench(SAFE, DEAR, workers=5, seed=7, polls_endpoints=True)
        for k in range(50):
            bench.later(1000).job(k % 2)
        bench.tick()
        return bench.log

    assert play() == play()


def test_a_worker_that_turned_a_job_away_gets_none_until_a_newer_report():
    bench = Bench(
        SAFE,
        workers=4,
        load_report_columns=("free_slots",),
        load_report_source=LoadReportSource.ANSWERS,
    )
    idle = {"free_slots": 4.0}
    for _ in range(8):
        name, actions = bench.later(400_000).job()
        bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.OK, report=idle)
    name, actions = bench.job()
    full = pushes(actions)[0].worker_id
    retry = pushes(bench.ended(name, full, AttemptResult.FULL))[0].worker_id
    bench.ended(name, retry, AttemptResult.OK, attempt=1, report=idle)

    def turns(n):
        found = []
        for _ in range(n):
            name, actions = bench.later(1000).job()
            found.append(pushes(actions)[0].worker_id)
            bench.ended(name, found[-1], AttemptResult.OK)
        return found

    assert full not in turns(8)
    bench.tell(HealthChecked(full, True, 500, idle))
    assert full in turns(8)


def test_the_low_set_keeps_a_worker_when_all_of_it_has_gone():
    bench = Bench(SAFE, workers=6, **shares())
    high_set = bench.balancer.state.pools.high_set
    gone = tuple(
        entry(k, state=EndpointState.REMOVED)
        for k in range(6)
        if bench.balancer.state.workers.by_id[entry(k).worker_id].pool is not high_set
    )
    assert gone
    bench.tell(EndpointList(EndpointListKind.CHANGES, gone))
    assert sum(w.pool is not high_set for w in bench.balancer.state.workers.eligible) == 1


def known_caps(bench, cap):
    """As if each worker had once been full; the common cap follows with the next period."""
    for worker in bench.balancer.state.workers.by_id.values():
        worker.cap = cap
    bench.next_period()
    return bench


def run_jobs(bench, count, slow, times=8):
    """Jobs one after the other; on `slow` each runs so many times as long. Where they went."""
    went = []
    for _ in range(count):
        name, actions = bench.job()
        (push,) = pushes(actions)
        went.append(push.worker_id)
        bench.tell(AttemptStarted(name, 0, push.worker_id))
        bench.later(200_000 * (times if push.worker_id == slow else 1))
        bench.ended(name, push.worker_id, AttemptResult.OK)
        bench.tick(50_000)
    return went


def test_a_worker_whose_runs_take_much_longer_leaves_but_for_trials_and_comes_back():
    bench = known_caps(Bench(workers=4, reports_start=True), 8.0)
    slow = entry(1).worker_id
    run_jobs(bench, 40, None)
    run_jobs(bench, 40, slow)
    assert run_jobs(bench, 40, slow).count(slow) <= 6  # of ten by turns: one trial in three seconds
    run_jobs(bench, 100, None)
    assert run_jobs(bench, 40, None).count(slow) >= 8


def test_a_run_that_has_not_ended_tells_by_how_long_it_is():
    bench = known_caps(Bench(workers=4, reports_start=True), 20.0)
    run_jobs(bench, 40, None)
    stuck = {}
    for _ in range(16):  # side by side, four on each; those of one worker do not end
        name, actions = bench.job()
        (push,) = pushes(actions)
        bench.tell(AttemptStarted(name, 0, push.worker_id))
        stuck.setdefault(push.worker_id, []).append(name)
    slow = next(iter(stuck))
    for worker, names in stuck.items():
        for name in names if worker != slow else ():
            bench.ended(name, worker, AttemptResult.OK)
    bench.tick(5_000_000)
    assert slow not in run_jobs(bench, 20, None)[:10]


def test_a_crowded_fleet_keeps_its_slow_workers():
    bench = known_caps(Bench(workers=4, reports_start=True), 8.0)
    slow = entry(1).worker_id
    run_jobs(bench, 40, None)
    run_jobs(bench, 40, slow)
    assert bench.balancer.state.workers.by_id[slow].ejection_time_us
    # With caps of one slot the same jobs fill the fleet.
    for worker in bench.balancer.state.workers.by_id.values():
        worker.cap = 0.1
    bench.tick()
    assert not bench.balancer.state.workers.by_id[slow].ejection_time_us


def crowded(load_report_source=LoadReportSource.PROBE, retry_after_us=2_000_000):
    """Two workers that report no free slot, priority and ordinary jobs, one of ours ends every 10 ms."""
    advice = {"may_advise_retry": True, "max_retry_after_us": retry_after_us}
    bench = Bench(SAFE, DEAR, workers=2, load_report_source=load_report_source, **advice)
    open_jobs = []
    for k in range(60):
        name, actions = bench.later(10_000).job(k % 2)
        open_jobs += [(name, p.worker_id) for p in pushes(actions)]
        if k >= 8:
            bench.ended(*open_jobs.pop(0), AttemptResult.OK)
    for k in range(2):
        bench.later(400_000).tell(
            HealthChecked(entry(k).worker_id, True, load_report={"free_slots": 0.0})
        )
    return bench, open_jobs


def test_an_ordinary_job_waits_where_its_turn_comes_in_time_and_else_is_refused_at_once():
    """Refused at once it would be back too late, while a slot is free some 10 ms later."""
    bench, open_jobs = crowded()
    name, actions = bench.job()
    assert not pushes(actions)
    assert not finals(actions)
    assert finals([bench.job()[1] for _ in range(60)][-1])  # sixty ahead of it
    bench.later(10_000)
    assert pushes(bench.ended(*open_jobs[0], AttemptResult.OK))[0].job_id == name


def test_a_marked_retry_whose_goal_the_advice_outlasted_goes_behind_first_tries():
    for retry_after_us in (2_000_000, 100_000):
        bench, _ = crowded(retry_after_us=retry_after_us)
        assert bool(finals(bench.job(client_retry=True)[1])) == (
            retry_after_us > SAFE.latency_objective_us
        )


def test_the_high_set_lends_with_part_of_a_cap_free_only_where_rooms_are_told():
    for reports, lent in ((LoadReportSource.PROBE, 1), (LoadReportSource.NONE, 0)):
        bench, _ = crowded(reports)
        state = bench.balancer.state
        lender = next(
            w.endpoint.worker_id for w in state.workers.eligible if w.pool is state.pools.high_set
        )
        bench.tell(HealthChecked(lender, True, load_report={"free_slots": 2.0}))
        assert [p.worker_id for p in pushes(bench.job()[1])] == [lender] * lent


ROOM = {"free_slots": 4.0, "queue": 0.0}
LAZY = {"load_report_source": LoadReportSource.PROBE, "reports_start": True, "may_cancel": True}


@pytest.mark.parametrize("effect", [Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT])
@pytest.mark.parametrize(
    "more", [{}, {"queue": 1.0}, None]
)  # the first one waits for two slots; not told
def test_a_job_is_lost_that_a_worker_with_room_and_no_queue_has_not_begun(effect, more):
    bench = Bench(replace(SAFE, effect=effect), workers=3, **LAZY)
    name, (push, *_) = [bench.job() for _ in range(6)][
        0
    ]  # it takes more than this one: one verdict
    bench.tick(170_000)
    told = {**ROOM, **more} if more is not None else {"free_slots": 4.0}
    answer = bench.later(140_000).tell(HealthChecked(push.worker_id, True, load_report=told))
    assert [
        e.ejection_time_us
        for e in bench.balancer.state.workers.by_id[push.worker_id].class_ejections.values()
    ] == [10**6] * (more == {})
    assert (CancelAttempt(name, 0) in answer) == (
        more == {} and effect is Effect.IDEMPOTENT
    )  # it goes elsewhere


def test_a_class_keeps_away_from_a_worker_that_never_begins_its_jobs_but_for_trials():
    bench = Bench(UNSAFE, SAFE, DEAR, workers=2, **LAZY)
    lazy, sent = entry(1).worker_id, {0: [], 1: [], 2: []}
    for k in range(360):
        name, (push, *_) = bench.later(50_000).job(k % 3)
        sent[k % 3] += [k] if push.worker_id == lazy else []
        if push.worker_id != lazy or k % 3 or k >= 180:
            bench.tell(AttemptStarted(name, 0, push.worker_id))
            bench.later(1000).ended(name, push.worker_id, AttemptResult.OK)
        bench.tick(30_000)
        if k % 8 == 0:  # else a second job might come before the verdict on a trial
            bench.tell(
                *[HealthChecked(entry(w).worker_id, True, load_report=ROOM) for w in range(2)]
            )
    # The first, and one trial after 1, 2 and 4 s; then it begins the next one, and has as many as ever.
    assert len([k for k in sent[0] if k < 180]) == 4
    assert len([k for k in sent[1] if k < 180]) > 40
    assert len([k for k in sent[0] if k >= 270]) == 30
