"""Many dispatchers that do not communicate must not overload discovery or workers together."""

import heapq
from dataclasses import dataclass
from typing import NamedTuple

from stepstream.model.actions import SetTimer, StartAttempt, WatchEndpoints
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import JobSubmitted, TimerFired
from stepstream.model.settings import Effect, JobClass, Settings
from stepstream.policy.load_balancer import LoadBalancer
from stepstream.policy.pool_capacity import MAX_FEW_DISPATCHERS
from tests.policy.cluster import SimulatedCluster

POLLED_CLASS = JobClass(
    latency_objective_us=200_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT
)
DISPATCHER_COUNT = 40


def polling_balancers(count=DISPATCHER_COUNT):
    """Return the load balancers of dispatchers that poll the endpoint list."""
    settings = Settings(classes=(POLLED_CLASS,), polls_endpoints=True, dispatcher_count=count)
    return [LoadBalancer(settings, seed, 0) for seed in range(count)]


class DiscoveryAnswer(NamedTuple):
    """The answer to a call: when it comes, and whether it is the list or a failure."""

    at_us: int
    is_served: bool


class SerialDiscovery:
    """A discovery that serves calls one by one, also calls that have timed out at the client."""

    def __init__(self, call_us, timeout_us=2_000_000):
        self.call_us = call_us
        self.timeout_us = timeout_us
        self.free_at_us = 0

    def call(self, now_us):
        """Return the answer to a call that arrives now."""
        self.free_at_us = max(self.free_at_us, now_us) + self.call_us
        timeout_at_us = now_us + self.timeout_us
        if self.free_at_us > timeout_at_us:
            return DiscoveryAnswer(timeout_at_us, is_served=False)
        return DiscoveryAnswer(self.free_at_us, is_served=True)


class ScheduledEvents(NamedTuple):
    """Events for a dispatcher, ordered by time and then by dispatcher."""

    at_us: int
    dispatcher: int
    events: list


@dataclass
class PollResult:
    """When each dispatcher got its list, and the number of all calls."""

    served_at_us: dict[int, int]
    calls: int = 0


def poll_all(balancers, discovery, until_us):
    """Simulate the first calls and the retries of all dispatchers."""
    schedule = [ScheduledEvents(0, dispatcher, []) for dispatcher in range(len(balancers))]
    result = PollResult({})
    while schedule and schedule[0].at_us <= until_us:
        now_us, dispatcher, events = heapq.heappop(schedule)
        for action in balancers[dispatcher].handle(now_us, events):
            if isinstance(action, SetTimer):
                timer = [TimerFired(action.token)]
                heapq.heappush(schedule, ScheduledEvents(action.at_us, dispatcher, timer))
            if isinstance(action, WatchEndpoints):
                result.calls += 1
                answer = discovery.call(now_us)
                kind = EndpointListKind.CHANGES if answer.is_served else EndpointListKind.FAILED
                if answer.is_served:
                    result.served_at_us[dispatcher] = answer.at_us
                endpoint_lists = [EndpointList(kind)]
                heapq.heappush(schedule, ScheduledEvents(answer.at_us, dispatcher, endpoint_lists))
    return result


def test_dispatchers_that_start_together_are_all_served_by_a_slow_discovery():
    result = poll_all(polling_balancers(), SerialDiscovery(140_000), 30_000_000)
    assert len(result.served_at_us) == DISPATCHER_COUNT
    assert max(result.served_at_us.values()) < 8_000_000
    assert result.calls <= DISPATCHER_COUNT * 1.2


def test_dispatchers_whose_polls_fail_together_back_off_until_all_are_served():
    discovery = SerialDiscovery(140_000)
    discovery.free_at_us = 5_000_000  # it is down or busy with other calls until then
    result = poll_all(polling_balancers(), discovery, 60_000_000)
    assert len(result.served_at_us) == DISPATCHER_COUNT
    assert max(result.served_at_us.values()) < 35_000_000
    assert result.calls <= DISPATCHER_COUNT * 4


def test_a_dispatcher_polls_at_once_if_there_are_few_or_if_it_has_jobs_but_no_workers():
    for balancer in polling_balancers(MAX_FEW_DISPATCHERS):
        assert WatchEndpoints(True) in balancer.handle(0, [])
    balancer = polling_balancers()[0]
    assert WatchEndpoints(True) not in balancer.handle(0, [])
    jobs = [JobSubmitted("a", 0, 5_000_000), JobSubmitted("b", 0, 5_000_000)]
    assert balancer.handle(0, jobs).count(WatchEndpoints(True)) == 1


# -- caps below one slot --------------------------------------------------------------------------

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
HIGH_WEIGHT = JobClass(
    latency_objective_us=120_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=10.0,
)
CLASSES = (LONG, SHORT, HIGH_WEIGHT)
JOB_FRACTIONS = (0.56, 0.26, 0.18)
RUNS_US = (340_000, 175_000, 175_000)


def loaded_cluster(load, until_us=8_000_000):
    """Run 40 dispatchers and 30 workers of four slots at this fraction of the workers' capacity."""
    cluster = SimulatedCluster(CLASSES, workers=30)
    slots = sum(worker.slots for worker in cluster.workers.values())
    mean_run_seconds = sum(
        fraction * run_us / 1e6 for fraction, run_us in zip(JOB_FRACTIONS, RUNS_US, strict=True)
    )
    rate_per_second = load * slots / mean_run_seconds
    rates = [fraction * rate_per_second for fraction in JOB_FRACTIONS]
    cluster.submit_jobs(rates, RUNS_US, until_us)
    cluster.run(until_us + 2_000_000)
    return cluster


def fractions_in_time(cluster, since_us, until_us):
    """Return the fraction of each class that was served in time."""
    return [
        cluster.fraction_in_time(number, since_us, until_us, job_class.latency_objective_us)
        for number, job_class in enumerate(CLASSES)
    ]


def fractions_rejected(cluster, since_us, until_us):
    """Return the fraction of each class that was rejected."""
    return [cluster.fraction_rejected(number, since_us, until_us) for number in range(len(CLASSES))]


def test_under_overload_the_lowest_weight_is_rejected_and_the_rest_is_served_in_time():
    # Guards against a cap of one slot for each of the 40 dispatchers: a worker of four slots gets
    # 40 attempts, no job is rejected, and no job of any class is in time.
    cluster = loaded_cluster(1.4)
    in_time = fractions_in_time(cluster, 4_000_000, 8_000_000)
    assert in_time[0] > 0.3
    assert in_time[1] > 0.5
    assert in_time[2] > 0.9
    rejected = fractions_rejected(cluster, 4_000_000, 8_000_000)
    assert rejected[0] > 0.25
    assert rejected[0] > 2 * rejected[1]
    assert rejected[2] < 0.01


def test_hardly_any_job_is_rejected_while_there_is_headroom():
    cluster = loaded_cluster(0.6)
    assert min(fractions_in_time(cluster, 2_000_000, 8_000_000)) > 0.97
    assert max(fractions_rejected(cluster, 2_000_000, 8_000_000)) < 0.02


def test_the_high_sets_of_many_dispatchers_hold_nearly_the_same_lowest_ids():
    cluster = loaded_cluster(1.0)
    for balancer in cluster.balancers:
        state = balancer.state
        is_high = [worker.pool is state.pools.high_set for worker in state.workers.eligible]
        size = sum(is_high)
        assert 1 <= size < 20
        assert sum(is_high[: size + 3]) >= size - 1


def test_an_ordinary_job_of_two_slots_goes_to_a_worker_without_attempts_of_ours():
    # Guards against a job of two slots that waits until it is rejected, because a single overdue
    # start has set a cap of one slot.
    cluster = SimulatedCluster(CLASSES, workers=4)
    balancer = cluster.balancers[0]
    state = balancer.state
    state.measurements.observed_caps.append(1)
    state.measurements.job_mix.mean_weight = 5.0  # makes the job below an ordinary one
    state.pools.worker_cap = 0.5
    state.pools.high_set.worker_count = 2
    state.pools.low_set.worker_count = 2
    actions = balancer.handle(1_000, [JobSubmitted("wide", 0, 5_000_000, slots=2.0)])
    assert any(isinstance(action, StartAttempt) for action in actions)
