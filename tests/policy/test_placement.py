"""Which workers jobs go to: affinity keys, zones, round robin, and the cost of a choice."""

from stepstream.model.actions import SetTimer
from stepstream.policy import capacity
from tests.model.builders import IDEMPOTENT, make_endpoint
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    attempt_worker_ids,
    started_attempts,
)


def submit_jobs(harness, count, **fields):
    """Submit jobs at intervals of 1 ms; return the ids of their workers."""
    return [
        worker_id
        for _ in range(count)
        for worker_id in attempt_worker_ids(harness.advance(1000).submit(**fields)[1])
    ]


def test_jobs_of_an_affinity_key_go_to_the_same_two_workers_at_every_dispatcher():
    key_workers = set()
    for seed in (1, 2):
        harness = PolicyHarness(IDEMPOTENT, workers=10, seed=seed, **WITH_LOAD_REPORTS)
        harness.report_headrooms([2.0] * 10)
        key_workers |= set(submit_jobs(harness, 6, key="aa"))
    assert len(key_workers) == 2
    others = [submit_jobs(harness, 1, key=f"key{number}") for number in range(8)]
    assert {worker_id for started in others for worker_id in started} - key_workers


def test_the_own_zone_is_preferred_only_if_crossing_has_a_price_and_the_zone_has_headroom():
    endpoints = [make_endpoint(number, zone=number % 2) for number in range(8)]

    def zones_of_jobs(price, headrooms):
        harness = PolicyHarness(
            IDEMPOTENT, endpoints=endpoints, zone=1, cross_zone_price=price, **WITH_LOAD_REPORTS
        )
        harness.report_headrooms(headrooms)
        worker_ids = submit_jobs(harness, 4)
        return {endpoint.zone for endpoint in endpoints if endpoint.worker_id in worker_ids}

    assert zones_of_jobs(0.05, [8.0] * 8) == {1}
    assert zones_of_jobs(0.0, [8.0] * 8) == {0, 1}
    assert zones_of_jobs(0.05, [8.0, 0.0] * 4) == {0}


def test_the_round_robin_uses_workers_with_at_least_half_of_the_largest_headroom():
    harness = PolicyHarness(IDEMPOTENT, workers=4, **WITH_LOAD_REPORTS)
    harness.report_headrooms([20.0, 2.0, 20.0, 20.0])
    worker_ids = submit_jobs(harness, 6)
    assert len(worker_ids) == 6
    assert make_endpoint(1).worker_id not in worker_ids


def test_a_frequent_affinity_key_gets_more_workers():
    # Guards against a limit of two workers for every key: a frequent key's jobs waited and were
    # rejected while other workers had headroom.
    harness = PolicyHarness(IDEMPOTENT, workers=60, **WITH_LOAD_REPORTS)
    harness.report_headrooms([9.0] * 60)
    key_workers = {"hot": set(), "rare1": set()}
    for number in range(300):
        key = "hot" if number % 4 == 0 else f"rare{number % 40}"
        worker_id = harness.serve(2000, key=key)
        key_workers.get(key, set()).add(worker_id)
    assert len(key_workers["hot"]) >= 8
    assert len(key_workers["rare1"]) <= 2


def test_dispatchers_that_start_together_choose_different_workers_and_times():
    # Guards against dispatchers that make equal choices at equal times: they chose the same worker
    # first, and resized their pools and checked health at the same moment.
    first_workers = set()
    period_ends_us = set()
    for seed in range(20):
        harness = PolicyHarness(IDEMPOTENT, workers=20, seed=seed)
        period_ends_us |= {
            action.at_us for action in harness.start_actions if isinstance(action, SetTimer)
        }
        first_workers |= set(attempt_worker_ids(harness.submit()[1]))
    assert len(period_ends_us) >= 15
    assert len(first_workers) >= 5


def test_a_choice_considers_a_bounded_number_of_workers(monkeypatch):
    # Guards against examining all workers: with 330 of them a choice took a millisecond, and an
    # event several milliseconds.
    considered = []
    original = capacity.headroom

    def recorded(state, worker):
        considered.append(worker)
        return original(state, worker)

    monkeypatch.setattr(capacity, "headroom", recorded)
    harness = PolicyHarness(IDEMPOTENT, workers=250, dispatcher_count=250, **WITH_LOAD_REPORTS)
    harness.report_headrooms([4.0] * 250)
    for key in (None, "aa"):
        considered.clear()
        assert started_attempts(harness.advance(1000).submit(key=key)[1])
        assert 0 < len(considered) <= 70


def test_the_work_of_a_decision_is_bounded_with_many_workers(monkeypatch):
    # Guards against computing the median cap and the order of a key's workers anew for each event,
    # which took too long.
    workers = 200
    calls = {"headroom": 0, "median_cap": 0}
    harness = PolicyHarness(IDEMPOTENT, workers=workers, dispatcher_count=300, **WITH_LOAD_REPORTS)
    for name in calls:
        original = getattr(capacity, name)

        def counted(state, *arguments, name=name, original=original):
            if state is harness.balancer.state:
                calls[name] += 1
            return original(state, *arguments)

        monkeypatch.setattr(capacity, name, counted)
    harness.report_headrooms([4.0] * workers)
    harness.submit(key="aa")
    before = dict(calls)
    for number in range(50):
        harness.serve(key=f"key{number % 3}")
    assert 0 < calls["headroom"] - before["headroom"] <= 3 * workers * 50
    assert calls["median_cap"] - before["median_cap"] <= 1
