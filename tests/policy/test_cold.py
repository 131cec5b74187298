"""Attempts of all dispatchers together on warming workers stay within the platform's budget.

The budget: in a window a worker may get N = multiple x present capacity x window requests of mean
work, and 2 x root(N) + 2 more for random variation.

The attempts: each dispatcher sends a cold worker as many attempts as a warm worker recently served
for the dispatcher, times the multiple, the slow-start factor and three fifths. Summed over the
dispatchers, whatever their shares of the traffic, this is at most 0.6 N u, where u is the
utilization of a warm worker.

The margin: a dispatcher that sends less than one attempt in a window decides by one random draw for
each window. The number of such attempts in a window is nearly Poisson-distributed, and its variance
is no greater than its mean. More frequent attempts keep a minimum interval. So the allowance lies
(N + 2 root(N) + 2 - 0.6 N) / root(0.6 N) standard deviations above the mean, at least 4.8. The
Poisson distribution has a long tail where the mean is small: of 2,000 starts drawn at u = 1 for 200
dispatchers, 12 exceeded the allowance at N = 2, 7 at N = 8, and none at N = 16 and N = 40. With the
site files N is at least 11.
"""

from math import sqrt

import pytest

from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.settings import Effect, JobClass
from stepstream.policy.load_balancer import LoadBalancer
from stepstream.policy.slow_start import USED_OVERLOAD_MULTIPLE_FRACTION
from tests.policy.cluster import SimulatedCluster

WINDOW_US = 2_000_000
MULTIPLE = 4.0
COLD_FRACTION = 0.3
SLOW_START_US = 9_000_000
MEAN_RUN_US = 200_000
SLOTS = 4
JOB_CLASS = JobClass(latency_objective_us=500_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT)
RESTART_US = 3_000_000
END_US = 9_000_000


class ColdCluster(SimulatedCluster):
    """A cluster with uneven traffic that can restart its workers and one of its dispatchers."""

    def __init__(self, dispatchers, workers, seed):
        slow_start = {
            "cold_capacity_fraction": COLD_FRACTION,
            "slow_start_us": SLOW_START_US,
            "overload_multiple": MULTIPLE,
            "overload_window_us": WINDOW_US,
        }
        super().__init__((JOB_CLASS,), dispatchers, workers, seed=seed, **slow_start)
        # Some dispatchers get several times the mean traffic, as behind the platform's front proxy.
        self.traffic_weights = [
            self.random.choice((0.5, 0.5, 1.0, 1.0, 4.0)) for _ in range(dispatchers)
        ]
        self.received_us = {}  # arrival times of attempts, by restarted worker

    def submit(self, dispatcher, job_class, run_us):
        (dispatcher,) = self.random.choices(range(len(self.balancers)), self.traffic_weights)
        super().submit(dispatcher, job_class, run_us)

    def deliver(self, attempt):
        if attempt.worker_id in self.received_us:
            self.received_us[attempt.worker_id].append(self.now_us)
        super().deliver(attempt)

    def restart_workers_and_one_dispatcher(self, count):
        cold_ids = sorted(self.workers)[:count]
        restarted = {
            worker_id: Endpoint(worker_id, started_us=self.now_us) for worker_id in cold_ids
        }
        for worker_id in cold_ids:
            self.workers[worker_id].speed = COLD_FRACTION
            self.received_us[worker_id] = []
        restarted_dispatcher = self.random.randrange(len(self.balancers))
        self.balancers[restarted_dispatcher] = LoadBalancer(
            self.balancers[restarted_dispatcher].state.settings,
            self.random.randrange(2**32),
            self.now_us,
        )
        endpoints = {worker_id: worker.endpoint for worker_id, worker in self.workers.items()}
        endpoints |= restarted
        complete_list = EndpointList(EndpointListKind.PERSISTED, tuple(endpoints.values()))
        self.notify(restarted_dispatcher, complete_list)
        changes = EndpointList(EndpointListKind.CHANGES, tuple(restarted.values()))
        for dispatcher in range(len(self.balancers)):
            if dispatcher != restarted_dispatcher:
                self.notify(dispatcher, changes)

    def max_excess_over_budget(self, worker_id):
        """Return the largest excess of attempts over the budget in any window."""
        times_us, max_excess = self.received_us[worker_id], -1e9
        for index, last_us in enumerate(times_us):
            count = sum(time_us > last_us - WINDOW_US for time_us in times_us[: index + 1])
            slow_start_factor = COLD_FRACTION + (1 - COLD_FRACTION) * min(
                (last_us - RESTART_US) / SLOW_START_US, 1.0
            )
            allowed = MULTIPLE * slow_start_factor * SLOTS * WINDOW_US / MEAN_RUN_US
            max_excess = max(max_excess, count - allowed - 2 * sqrt(allowed) - 2)
        return max_excess


@pytest.mark.parametrize(
    ("dispatchers", "workers", "cold_worker_count"),
    [(2, 12, 4), (8, 12, 4), (30, 20, 8), (30, 20, 1), (200, 30, 10)],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_all_dispatchers_together_keep_a_cold_worker_under_its_budget(
    dispatchers, workers, cold_worker_count, seed
):
    cluster = ColdCluster(dispatchers, workers, seed)
    rate_per_s = 0.8 * workers * SLOTS / (MEAN_RUN_US / 1e6)
    cluster.submit_jobs([rate_per_s], [MEAN_RUN_US], END_US)
    cluster.run(RESTART_US)
    cluster.restart_workers_and_one_dispatcher(cold_worker_count)
    cluster.run(END_US)
    assert max(cluster.max_excess_over_budget(worker_id) for worker_id in cluster.received_us) <= 0
    # Every restarted worker gets work, so that it can warm up.
    assert all(len(times_us) >= 5 for times_us in cluster.received_us.values())


def test_the_allowance_is_over_4_8_standard_deviations_above_the_mean():
    used_fraction = USED_OVERLOAD_MULTIPLE_FRACTION
    min_deviations = min(
        (n + 2 * sqrt(n) + 2 - used_fraction * n) / sqrt(used_fraction * n) for n in range(1, 400)
    )
    assert min_deviations > 4.8
