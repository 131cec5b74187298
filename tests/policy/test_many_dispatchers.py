"""Many dispatchers that share nothing: what is harmless from one of them and harmful from forty."""

import heapq

from stepstream.model.actions import SetTimer, StartAttempt, WatchEndpoints
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import JobSubmitted, TimerFired
from stepstream.model.settings import Effect, JobClass, Settings
from stepstream.policy.load_balancer import LoadBalancer
from stepstream.policy.pool_capacity import MAX_FEW_DISPATCHERS
from tests.policy.cluster import SimulatedCluster

SAFE = JobClass(latency_objective_us=200_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT)
FLEET = 40


def fleet(count=FLEET, **more):
    settings = Settings(classes=(SAFE,), polls_endpoints=True, dispatcher_count=count, **more)
    return [LoadBalancer(settings, seed, 0) for seed in range(count)]


class EndpointSource:
    """Serves calls in turn, also those that were given up; a call that waits too long has failed."""

    def __init__(self, call_us, timeout_us=2_000_000):
        self.call_us = call_us
        self.timeout_us = timeout_us
        self.free_us = 0

    def call(self, now_us):
        """When the caller has its answer, and whether that is the list."""
        done_us = max(self.free_us, now_us) + self.call_us
        self.free_us = done_us
        timed_out = done_us > now_us + self.timeout_us
        return (now_us + self.timeout_us, False) if timed_out else (done_us, True)


def poll_all(balancers, source, until_us):
    """First calls and repeats of all; when each dispatcher had its list, and the number of calls."""
    schedule = [(0, dispatcher, []) for dispatcher in range(len(balancers))]
    served_us = {}
    calls = 0
    while schedule:
        now_us, dispatcher, events = heapq.heappop(schedule)
        if now_us > until_us:
            break
        for action in balancers[dispatcher].handle(now_us, events):
            if isinstance(action, SetTimer):
                timer = [TimerFired(action.token)]
                heapq.heappush(schedule, (action.at_us, dispatcher, timer))
            if isinstance(action, WatchEndpoints):
                calls += 1
                answered_us, served = source.call(now_us)
                kind = EndpointListKind.CHANGES if served else EndpointListKind.FAILED
                if served:
                    served_us[dispatcher] = answered_us
                heapq.heappush(schedule, (answered_us, dispatcher, [EndpointList(kind)]))
    return served_us, calls


def test_a_fleet_that_starts_as_one_is_served_by_a_discovery_that_takes_a_seventh_of_a_second_a_call():
    served_us, calls = poll_all(fleet(), EndpointSource(140_000), 30_000_000)
    assert len(served_us) == FLEET
    assert max(served_us.values()) < 8_000_000
    assert calls <= FLEET * 1.2


def test_a_fleet_turned_away_as_one_falls_behind_until_all_get_in():
    source = EndpointSource(140_000)
    source.free_us = 5_000_000  # it was down, or others have filled it
    served_us, calls = poll_all(fleet(), source, 60_000_000)
    assert len(served_us) == FLEET
    assert max(served_us.values()) < 35_000_000
    assert calls <= FLEET * 4


def test_one_of_few_dispatchers_or_without_any_worker_asks_at_once():
    assert all(WatchEndpoints(True) in one.handle(0, []) for one in fleet(MAX_FEW_DISPATCHERS))
    one = fleet()[0]
    assert WatchEndpoints(True) not in one.handle(0, [])
    jobs = [JobSubmitted("a", 0, 5_000_000), JobSubmitted("b", 0, 5_000_000)]
    assert one.handle(0, jobs).count(WatchEndpoints(True)) == 1


# -- caps in parts of a slot -----------------------------------------------------------------------------

LONG = JobClass(
    latency_objective_us=200_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=1.0,
)
SHORT = JobClass(
    latency_objective_us=120_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=3.0,
)
DEAR = JobClass(
    latency_objective_us=120_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=10.0,
)
MIX, RUNS_US = (0.56, 0.26, 0.18), (340_000, 175_000, 175_000)
GOALS_US = (200_000, 120_000, 120_000)


def loaded(load, until_us=8_000_000, **settings):
    """Forty dispatchers and 30 workers of four slots that run this part of what they could."""
    cluster = SimulatedCluster((LONG, SHORT, DEAR), workers=30, **settings)
    slots = sum(worker.slots for worker in cluster.workers.values())
    rate = load * slots / sum(part * run / 1e6 for part, run in zip(MIX, RUNS_US, strict=True))
    cluster.submit_jobs([part * rate for part in MIX], RUNS_US, until_us)
    cluster.run(until_us + 2_000_000)
    return cluster


def in_time(cluster, since_us, until_us):
    return [
        cluster.fraction_in_time(job_class, since_us, until_us, objective_us)
        for job_class, objective_us in enumerate(GOALS_US)
    ]


def test_an_overloaded_fleet_refuses_the_cheapest_and_serves_the_rest_in_time():
    """One slot a dispatcher would be forty a worker: nothing refused, and nothing in time for anybody."""
    cluster = loaded(1.4)
    long, short, dear = in_time(cluster, 4_000_000, 8_000_000)
    assert long > 0.3
    assert short > 0.5
    assert dear > 0.9
    refused = [cluster.fraction_rejected(c, 4_000_000, 8_000_000) for c in range(3)]
    assert refused[0] > 0.25
    assert refused[0] > 2 * refused[1]
    assert refused[2] < 0.01


def test_a_fleet_with_room_refuses_next_to_nothing():
    cluster = loaded(0.6)
    assert all(part > 0.97 for part in in_time(cluster, 2_000_000, 8_000_000))
    assert all(cluster.fraction_rejected(c, 2_000_000, 8_000_000) < 0.02 for c in range(3))


def test_high_sets_of_dispatchers_that_share_nothing_hold_the_same_ids():
    cluster = loaded(1.0)
    for balancer in cluster.balancers:
        state = balancer.state
        high = [worker.pool is state.pools.high_set for worker in state.workers.eligible]
        size = sum(high)
        assert 1 <= size < 20
        assert sum(high[: size + 3]) >= size - 1


def test_a_wide_ordinary_job_goes_to_a_worker_with_none_of_ours():
    """A cap of one slot, which one late start brings, would hold it back until it is refused."""
    cluster = SimulatedCluster((LONG, SHORT, DEAR), workers=4)
    one = cluster.balancers[0]
    one.state.measurements.observed_caps.append(1)
    one.state.measurements.job_mix.mean_weight = 5.0  # or the first job would be a priority one
    one.state.pools.worker_cap = 0.5
    one.state.pools.high_set.worker_count = one.state.pools.low_set.worker_count = 2
    actions = one.handle(1_000, [JobSubmitted("wide", 0, 5_000_000, slots=2.0)])
    assert any(isinstance(action, StartAttempt) for action in actions)
