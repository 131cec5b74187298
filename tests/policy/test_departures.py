"""The departures from the plain mechanism, each with the failure that called for it."""

import pytest

from stepstream.model.actions import CancelAttempt, CheckHealth, Reject, SetTimer
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked
from stepstream.model.settings import LoadReportSource
from stepstream.policy import capacity
from stepstream.policy.capacity import headroom, median_cap
from tests.model.builders import IDEMPOTENT, NOT_IDEMPOTENT, make_endpoint
from tests.policy.harness import PolicyHarness, final_actions, started_attempts

REPORTS = {
    "load_report_source": LoadReportSource.ANSWERS,
    "load_report_columns": ("queue", "free_slots"),
}


def reported(harness, rooms):
    """Every worker's report, by probes: free slots, or waiting jobs where the number is below 0."""
    for k, room in enumerate(rooms):
        report = {"free_slots": max(room, 0.0), "queue": max(-room, 0.0)}
        harness.handle(HealthChecked(make_endpoint(k).worker_id, True, 500, report))


def test_a_job_waits_while_no_worker_has_room_and_takes_the_first_room_reported():
    harness = PolicyHarness(IDEMPOTENT, workers=3, **REPORTS)
    reported(harness, [0.0, 0.0, -2.0])
    name, actions = harness.submit()
    assert not started_attempts(actions)
    assert not final_actions(actions)
    harness.advance(50_000)
    answer = harness.handle(
        HealthChecked(make_endpoint(2).worker_id, True, 500, {"free_slots": 3.0, "queue": 0.0})
    )
    assert [(p.job_id, p.worker_id) for p in started_attempts(answer)] == [
        (name, make_endpoint(2).worker_id)
    ]


def test_a_job_that_waited_too_long_to_be_in_time_is_refused_once():
    harness = PolicyHarness(IDEMPOTENT, workers=3, **REPORTS)
    reported(harness, [0.0, 0.0, 0.0])
    name, _ = harness.submit()
    answer = [a for _ in range(10) for a in harness.fire_timers(40_000)]
    assert [type(a) for a in final_actions(answer)] == [Reject]
    assert not harness.balancer.state.jobs.in_flight


def test_a_waiting_job_has_a_timer_of_its_own_and_is_answered_before_its_client_leaves():
    for budget, at in ((5_000_000, 320_000), (100_000, 99_000)):
        harness = PolicyHarness(IDEMPOTENT, workers=3, **REPORTS)
        reported(harness, [0.0, 0.0, 0.0])
        name, actions = harness.submit(budget_us=budget)
        assert [a.at_us - harness.now_us for a in actions if isinstance(a, SetTimer)] == [at]
        assert [a.job_id for a in final_actions(harness.fire_timers(at))] == [name]


def test_old_reports_hold_up_no_priority_job():
    harness = PolicyHarness(IDEMPOTENT, workers=3, **REPORTS)
    reported(harness, [0.0, 0.0, 0.0])
    harness.advance(2_100_000)
    assert started_attempts(harness.submit()[1])


def test_waiting_priority_jobs_make_the_high_set_borrow():
    # Waiting keeps the busy slots at the caps: with it left out, the High Set never borrowed.
    def high_count(jobs):
        harness = PolicyHarness(IDEMPOTENT, workers=10, **REPORTS)
        harness.finish_period().fire_timers(400_000)
        reported(harness, [0.0] * 10)
        for _ in range(jobs):
            harness.submit()
        harness.fire_timers(100_000)  # the period ends while the jobs wait
        state = harness.balancer.state
        return sum(w.pool is state.pools.high_set for w in state.workers.eligible)

    assert high_count(5) == high_count(0) + 1


def test_jobs_of_a_key_keep_to_two_workers_at_every_dispatcher():
    homes = set()
    for seed in (1, 2):
        harness = PolicyHarness(IDEMPOTENT, workers=10, seed=seed, **REPORTS)
        reported(harness, [2.0] * 10)
        for _ in range(6):
            homes |= {
                p.worker_id for p in started_attempts(harness.advance(1000).submit(key="aa")[1])
            }
    assert len(homes) == 2
    others = {
        p.worker_id
        for k in range(8)
        for p in started_attempts(harness.advance(1000).submit(key=f"key{k}")[1])
    }
    assert others - homes


def test_own_zone_comes_first_only_where_crossing_has_a_price_and_room_is_near():
    entries = [make_endpoint(k, zone=k % 2) for k in range(8)]

    def zones(price, rooms):
        harness = PolicyHarness(
            IDEMPOTENT, endpoints=entries, zone=1, cross_zone_price=price, **REPORTS
        )
        reported(harness, rooms)
        sent = [
            p.worker_id
            for _ in range(4)
            for p in started_attempts(harness.advance(1000).submit()[1])
        ]
        return {e.zone for e in entries if e.worker_id in sent}

    assert zones(0.05, [8.0] * 8) == {1}
    assert zones(0.0, [8.0] * 8) == {0, 1}
    assert zones(0.05, [8.0, 0.0] * 4) == {0}


def test_rotation_keeps_to_workers_with_at_least_half_of_the_best_room():
    harness = PolicyHarness(IDEMPOTENT, workers=4, **REPORTS)
    reported(harness, [20.0, 2.0, 20.0, 20.0])
    sent = [
        p.worker_id for _ in range(6) for p in started_attempts(harness.advance(1000).submit()[1])
    ]
    assert len(sent) == 6
    assert make_endpoint(1).worker_id not in sent


def probed_at_period_end(jobs, workers=30, **more):
    """How many workers are probed after so many jobs in a period, with one worker's report known."""
    harness = PolicyHarness(
        IDEMPOTENT, workers=workers, **{"may_check_health": True, **REPORTS, **more}
    )
    harness.finish_period().advance(400_000)
    harness.handle(
        HealthChecked(make_endpoint(1).worker_id, True, 500, {"free_slots": 9.0, "queue": 0.0})
    )
    for _ in range(jobs):
        harness.submit()
    return [a.worker_id for a in harness.fire_timers(100_000) if isinstance(a, CheckHealth)]


def test_workers_without_a_report_for_a_period_are_probed_where_allowed():
    probed = probed_at_period_end(jobs=9, workers=3)
    assert sorted(probed) == [make_endpoint(0).worker_id, make_endpoint(2).worker_id]
    assert not probed_at_period_end(jobs=9, may_check_health=False)


def test_probes_are_bounded_by_own_jobs_and_not_by_the_fleet():
    # Every dispatcher probing every silent worker cost 21 probes a job at 93 dispatchers over 50 workers.
    assert len(probed_at_period_end(jobs=4)) == 4
    assert not probed_at_period_end(jobs=0)


def test_dispatchers_that_start_together_act_apart():
    # In step they chose the same worker first, and looked at their pools and probed at the same moment.
    firsts, periods = set(), set()
    for seed in range(20):
        harness = PolicyHarness(IDEMPOTENT, workers=20, seed=seed)
        periods |= {a.at_us for a in harness.start_actions if isinstance(a, SetTimer)}
        firsts |= {p.worker_id for p in started_attempts(harness.submit()[1])}
    assert len(periods) >= 15
    assert len(firsts) >= 5


COLD = {"cold_capacity_fraction": 0.2, "slow_start_us": 20_000_000, "overload_multiple": 3.0}


def a_cold_one(seed, gap_us, workers=4):
    """A harness with jobs so often, whose first worker has just started."""
    harness = PolicyHarness(IDEMPOTENT, workers=workers, seed=seed, **COLD)
    for _ in range(100):
        name, actions = harness.advance(gap_us).submit()
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    harness.handle(
        EndpointList(EndpointListKind.CHANGES, (make_endpoint(0, started_us=harness.now_us),))
    )
    return harness


def test_first_pushes_to_a_cold_worker_come_at_random_times():
    # Equal gaps after a start that all learn of at once brought the pushes of all dispatchers in one moment.
    waits = set()
    for seed in range(8):
        harness = a_cold_one(seed, 500_000)
        for step in range(60):
            name, actions = harness.advance(300_000).submit()
            harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
            if started_attempts(actions)[0].worker_id == make_endpoint(0).worker_id:
                waits.add(step)
                break
    assert len(waits) >= 4


def test_unused_pushes_to_a_cold_worker_are_not_saved_up():
    # 67 dispatchers had each saved up one push to a worker 16 s old; in a burst they met within a second.
    sent = 0
    for seed in range(60):
        harness = a_cold_one(seed, 500_000, workers=20)
        harness.advance(12_000_000)
        for _ in range(25):  # a burst: more jobs in one moment than there are workers
            sent += sum(
                p.worker_id == make_endpoint(0).worker_id
                for p in started_attempts(harness.advance(1000).submit()[1])
            )
    assert sent <= 15  # a warm worker serves 60 x 2 / 20 = 6 a second of these dispatchers


@pytest.mark.parametrize(
    "zero", [{"overload_multiple": 0.0}, {"cold_capacity_fraction": 0.0}, {"slow_start_us": 0}]
)
def test_a_setting_of_zero_round_a_cold_worker_costs_no_job(zero):
    harness = PolicyHarness(IDEMPOTENT, workers=4, **{**COLD, **zero})
    # With no time to warm up only one that starts a moment from now, by its machine's clock, is cold.
    started = harness.now_us + (0 if zero.get("slow_start_us", 1) else 1000)
    harness.handle(EndpointList(EndpointListKind.CHANGES, (make_endpoint(0, started_us=started),)))
    sent = [started_attempts(harness.submit()[1])[0].worker_id for _ in range(20)]
    assert make_endpoint(0).worker_id not in sent or "slow_start_us" in zero


def test_the_work_of_a_decision_is_bounded_at_a_large_fleet(monkeypatch):
    # The median cap and the order of a key's workers, made anew for each event, got whole days cut off.
    # Dispatchers that earlier tests left running in this process make the same calls.
    calls = {"headroom": 0, "median_cap": 0}
    workers = 200
    harness = PolicyHarness(IDEMPOTENT, workers=workers, dispatcher_count=300, **REPORTS)
    for name in calls:
        original = getattr(capacity, name)

        def counted(state, *args, name=name, original=original):
            calls[name] += state is harness.balancer.state
            return original(state, *args)

        monkeypatch.setattr(capacity, name, counted)
    reported(harness, [4.0] * workers)
    harness.submit(key="aa")
    before, medians = calls["headroom"], calls["median_cap"]
    for k in range(50):
        name, actions = harness.advance(1000).submit(key=f"key{k % 3}")
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    assert 0 < calls["headroom"] - before <= 3 * workers * 50
    assert calls["median_cap"] - medians <= 1


def test_a_fleet_that_is_mostly_cold_still_gets_work():
    # A budget by served jobs a worker shrank with what the cold ones served, and starved them.
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=8,
        cold_capacity_fraction=0.2,
        slow_start_us=20_000_000,
        overload_multiple=3.0,
    )
    for _ in range(200):
        name, actions = harness.advance(20_000).submit()
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    cold = tuple(make_endpoint(k, started_us=harness.now_us) for k in range(6))
    harness.handle(EndpointList(EndpointListKind.CHANGES, cold))
    served, names = 0, {e.worker_id for e in cold}
    for _ in range(200):
        name, actions = harness.advance(20_000).submit()
        for p in started_attempts(actions):
            served += p.worker_id in names
            harness.end_attempt(name, p.worker_id, AttemptResult.OK)
    assert served >= 20


def test_a_tenant_within_its_share_is_told_by_the_mix_and_not_by_a_rate_per_dispatcher():
    # quota / fleet_size is under one job a second here: at a busy dispatcher every tenant looked past it.
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=6,
        dispatcher_count=170,
        quotas_per_s=(40.0, 13.0, 13.0),
        over_quota_weight_fraction=0.05,
    )
    within = {0: [], 1: [], 2: []}
    for k in range(400):
        tenant = 1 + k % 2 if k % 10 < 2 else 0  # the first sends 8 in 10, three times its share
        name, actions = harness.advance(10_000).submit(tenant=tenant)
        for p in started_attempts(actions):
            within[tenant].append(harness.balancer.state.jobs.in_flight[name].priority)
            harness.end_attempt(name, p.worker_id, AttemptResult.OK)
    assert sum(within[1][20:] + within[2][20:]) >= 0.95 * len(within[1][20:] + within[2][20:])
    assert 0.3 <= sum(within[0][100:]) / len(within[0][100:]) <= 0.75


def starts(job_class, reported_rooms=(3.0, 3.0, 3.0)):
    harness = PolicyHarness(
        job_class, workers=3, reports_start=True, may_hedge=True, may_cancel=True, **REPORTS
    )
    reported(harness, list(reported_rooms))
    name, actions = harness.submit()
    return harness, name, started_attempts(actions)[0].worker_id


def test_a_push_that_does_not_start_soon_gets_a_second_copy_and_the_first_to_start_stays():
    # Late reports kept jobs behind long queues at workers that looked free.
    harness, name, first = starts(IDEMPOTENT)
    second = started_attempts(harness.fire_timers(160_000))
    assert [p.job_id for p in second] == [name]
    assert second[0].worker_id != first
    assert not started_attempts(harness.fire_timers(10_000))
    assert harness.handle(AttemptStarted(name, 1, second[0].worker_id)) == [CancelAttempt(name, 0)]
    assert not harness.end_attempt(name, first, AttemptResult.CANCELLED, attempt=0)
    harness.end_attempt(name, second[0].worker_id, AttemptResult.OK, attempt=1)
    assert not harness.balancer.state.jobs.in_flight


def test_a_second_copy_is_sent_only_where_a_repeat_is_allowed_and_there_is_room():
    for job_class, rooms in ((NOT_IDEMPOTENT, (3.0, 3.0, 3.0)), (IDEMPOTENT, (1.0, 0.0, 0.0))):
        harness, name, _ = starts(job_class, rooms)
        assert not started_attempts(harness.fire_timers(160_000))
    harness, name, first = starts(IDEMPOTENT)
    harness.handle(AttemptStarted(name, 0, first))
    assert not started_attempts(harness.fire_timers(160_000))


def test_a_worker_whose_push_does_not_start_has_no_room():
    harness, _, stuck = starts(NOT_IDEMPOTENT)
    harness.fire_timers(160_000)
    assert stuck not in [
        p.worker_id for _ in range(4) for p in started_attempts(harness.advance(1000).submit()[1])
    ]


def test_a_copy_still_out_when_the_job_is_answered_is_cancelled():
    harness, name, first = starts(IDEMPOTENT)
    harness.fire_timers(160_000)
    assert harness.end_attempt(name, first, AttemptResult.OK) == [CancelAttempt(name, 1)]


def test_a_hot_key_gets_more_homes_in_a_large_fleet():
    # Two homes each, its jobs waited and were refused while the rest of a large fleet had room.
    harness = PolicyHarness(IDEMPOTENT, workers=60, **REPORTS)
    reported(harness, [9.0] * 60)
    homes = {"hot": set(), "rare1": set()}
    for k in range(300):
        key = "hot" if k % 4 == 0 else f"rare{k % 40}"
        name, actions = harness.advance(2000).submit(key=key)
        if key in homes:
            homes[key] |= {p.worker_id for p in started_attempts(actions)}
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    assert len(homes["hot"]) >= 8
    assert len(homes["rare1"]) <= 2


def past_share(rooms):
    """A harness with a tenant (0) that is past its share and that asks for one more job."""
    shares = {"quotas_per_s": (1.0, 1000.0), "over_quota_weight_fraction": 0.05, "attempt_limit": 5}
    harness = PolicyHarness(IDEMPOTENT, workers=len(rooms), **shares, **REPORTS)
    for k in range(60):
        name, actions = harness.advance(1000).submit(tenant=k % 2)
        for p in started_attempts(actions):
            harness.end_attempt(name, p.worker_id, AttemptResult.OK)
    harness.advance(400_000)
    reported(harness, rooms)
    return harness, *harness.submit(tenant=0)


def test_a_job_past_its_tenants_share_gets_one_attempt():
    # Tried again and again, such jobs took the workers from those inside a share.
    harness, name, actions = past_share([3.0] * 6)
    assert final_actions(
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.FULL)
    ) == [Reject(name)]
    name, actions = harness.submit(tenant=1)
    assert started_attempts(
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.FULL)
    )


def test_a_job_past_its_tenants_share_leaves_a_slot_free():
    harness, _, actions = past_share([1.0] * 6)
    assert not started_attempts(actions)
    assert started_attempts(harness.submit(tenant=1)[1])


def test_a_choice_looks_at_a_bounded_number_of_workers(monkeypatch):
    # At 330 workers a choice cost a millisecond, each event several, and the day was cut off.
    looks = []
    original = capacity.headroom
    monkeypatch.setattr(
        capacity, "headroom", lambda state, worker: looks.append(worker) or original(state, worker)
    )
    harness = PolicyHarness(IDEMPOTENT, workers=250, dispatcher_count=250, **REPORTS)
    reported(harness, [4.0] * 250)
    for key in (None, "aa"):
        looks.clear()
        assert started_attempts(harness.advance(1000).submit(key=key)[1])
        assert 0 < len(looks) <= 70


def test_half_of_the_attempts_wait_until_room_has_changed():
    # At a crowded fleet all attempts ended as full within milliseconds.
    harness = PolicyHarness(IDEMPOTENT, workers=8, attempt_limit=4)
    name, actions = harness.submit()
    again = started_attempts(
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.FULL)
    )
    assert again
    assert not started_attempts(
        harness.end_attempt(name, again[0].worker_id, AttemptResult.FULL, attempt=1)
    )
    later = [
        p for _ in range(3) for p in started_attempts(harness.finish_period().handle())
    ] or started_attempts(harness.actions)[2:]
    assert len(later) <= 1


def test_a_worker_that_once_answered_full_is_not_preferred_to_unknown_ones():
    # Its cap of one stayed, above the common cap of a crowded fleet, and drew the sends of all dispatchers.
    harness = PolicyHarness(IDEMPOTENT, workers=6, **REPORTS)
    name, actions = harness.submit()
    jammed = started_attempts(actions)[0].worker_id
    harness.end_attempt(name, jammed, AttemptResult.FULL)
    harness.advance(2_100_000)
    for k in range(6):
        if make_endpoint(k).worker_id != jammed:
            harness.handle(
                HealthChecked(
                    make_endpoint(k).worker_id, True, 500, {"free_slots": 0.4, "queue": 0.0}
                )
            )
    harness.fire_timers(1000)
    state = harness.balancer.state
    others = [w for w in state.workers.eligible if w.endpoint.worker_id != jammed]
    assert headroom(state, state.workers.by_id[jammed]) <= max(headroom(state, w) for w in others)


def test_the_high_set_keeps_its_part_where_few_rooms_are_known():
    # It gave back a worker each period, down to the same single one at every dispatcher.
    kept = set()
    for seed in range(3):
        harness = PolicyHarness(IDEMPOTENT, workers=30, seed=seed, **REPORTS)
        for _ in range(60):
            name, actions = harness.advance(10_000).submit()
            report = {"free_slots": 3.0, "queue": 0.0}
            harness.end_attempt(
                name, started_attempts(actions)[0].worker_id, AttemptResult.OK, report=report
            )
            harness.finish_period()
        state = harness.balancer.state
        high = frozenset(
            w.endpoint.worker_id for w in state.workers.eligible if w.pool is state.pools.high_set
        )
        assert len(high) >= 5
        kept.add(high)
    assert len(kept) == 3


def test_a_late_start_says_that_its_worker_is_full_at_its_busy_slots_not_at_none():
    # Without reports the stored room is no report but 0 less our pushes: a mark kept that as the room, every
    # cap became 0, the High Set borrowed all workers and an idle fleet refused its ordinary jobs.
    for result in (None, AttemptResult.FULL):
        harness = PolicyHarness(NOT_IDEMPOTENT, workers=4, reports_start=True)
        sent = [harness.submit()[1][0] for _ in range(12)]
        late = sent[0]
        for push in sent[1:]:
            harness.handle(AttemptStarted(push.job_id, 0, push.worker_id))
        state = harness.balancer.state
        marked = state.workers.by_id[late.worker_id]
        busy = marked.busy_slots
        if result:
            harness.end_attempt(late.job_id, late.worker_id, result)
            assert headroom(state, marked) == marked.cap - marked.busy_slots < 0
        else:
            harness.fire_timers(200_000)
            assert headroom(state, marked) == 0.0
            assert median_cap(state) == busy > 1


def test_one_late_start_on_a_slow_worker_does_not_stand_for_all_caps():
    # On a crash day the common cap stayed at one for seconds, from a single late start with one busy slot:
    # jobs waited though workers had room, and ordinary ones were refused.
    harness = PolicyHarness(IDEMPOTENT, workers=4, reports_start=True)

    def late_starts(n):
        sent = [harness.submit() for _ in range(n)]
        harness.fire_timers(200_000)
        for name, actions in sent:
            harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)

    late_starts(12)
    busy = median_cap(harness.balancer.state)
    harness.advance(3_000_000)
    late_starts(1)
    assert busy > 1
    assert median_cap(harness.balancer.state) == busy


def test_a_prompt_start_beyond_the_common_cap_raises_it():
    harness = PolicyHarness(IDEMPOTENT, workers=1, reports_start=True)
    state = harness.balancer.state
    harness.submit()
    harness.fire_timers(200_000)
    harness.fire_timers()  # the common cap is now one
    assert state.measurements.common_cap == 1.0
    harness.advance(2_100_000)
    for _ in range(6):
        name, actions = harness.submit()
        for push in started_attempts(actions):
            harness.handle(AttemptStarted(name, 0, push.worker_id))
    assert median_cap(state) > 1.0


def test_a_cold_worker_of_another_zone_gets_its_turns_though_the_own_zone_has_room():
    # Back from maintenance or a restart, it must warm up before it is needed: else it gets nothing for long.
    entries = [make_endpoint(k, zone=k % 2) for k in range(6)]
    harness = PolicyHarness(IDEMPOTENT, endpoints=entries, zone=0, cross_zone_price=0.05, **COLD)
    for _ in range(100):
        name, actions = harness.advance(100_000).submit()
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    harness.handle(
        EndpointList(
            EndpointListKind.CHANGES, (make_endpoint(1, zone=1, started_us=harness.now_us),)
        )
    )
    sent = []
    for _ in range(50):  # 5 s
        name, actions = harness.advance(100_000).submit()
        sent += [p.worker_id for p in started_attempts(actions)]
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    zone_of = {e.worker_id: e.zone for e in entries}
    assert make_endpoint(1).worker_id in sent
    assert {zone_of[w] for w in sent if w != make_endpoint(1).worker_id} == {
        0
    }  # a warm one of that zone gets nothing
