"""What all dispatchers together send to workers that warm up, against the platform's budget.

The arithmetic. In a window a worker may get N = multiple x present capacity x window requests of
mean work, and 2 x root of N + 2 more for chance. Each dispatcher sends a cold worker what a warm one
did for it recently, times the multiple, the slow-start factor and three fifths. Summed over the
dispatchers, whatever their parts of the traffic, this is at most 0.6 N u, where u is the utilization
of a warm worker. Attempts rarer than one in a window are drawn once a window: their count in a
window is nearly Poisson's, with a variance no greater than the mean. More frequent attempts are
spaced. The allowance lies (N + 2 root N + 2 - 0.6 N) / root(0.6 N) standard deviations over the
mean, at least 4.8. Poisson's tail is long where the mean is small: of 2,000 starts drawn at u = 1
for 200 dispatchers 12 passed it at N = 2, 7 at N = 8 and none at 16 and 40. By the site files N is
11 and more.
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
RUN_US = 200_000
SLOTS = 4
JOBS = JobClass(latency_objective_us=500_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT)
BEGIN_US = 3_000_000
END_US = 9_000_000


class ColdCluster(SimulatedCluster):
    """Uneven traffic; from BEGIN_US on some workers are back cold, and one dispatcher has no memory."""

    def __init__(self, dispatchers, workers, seed):
        slow_start = {
            "cold_capacity_fraction": COLD_FRACTION,
            "slow_start_us": SLOW_START_US,
            "overload_multiple": MULTIPLE,
            "overload_window_us": WINDOW_US,
        }
        super().__init__((JOBS,), dispatchers, workers, seed=seed, **slow_start)
        # Some get several times the mean, as the platform's front does it.
        self.traffic = [self.random.choice((0.5, 0.5, 1.0, 1.0, 4.0)) for _ in range(dispatchers)]
        self.received_us = {}  # by cold worker: when requests came

    def submit(self, dispatcher, job_class, run_us):
        (dispatcher,) = self.random.choices(range(len(self.balancers)), self.traffic)
        super().submit(dispatcher, job_class, run_us)

    def deliver(self, attempt):
        if attempt.worker_id in self.received_us:
            self.received_us[attempt.worker_id].append(self.now_us)
        super().deliver(attempt)

    def restart(self, count):
        cold = sorted(self.workers)[:count]
        restarted = {worker_id: Endpoint(worker_id, started_us=self.now_us) for worker_id in cold}
        for worker_id in cold:
            self.workers[worker_id].speed = COLD_FRACTION
            self.received_us[worker_id] = []
        forgetful = self.random.randrange(len(self.balancers))
        self.balancers[forgetful] = LoadBalancer(
            self.balancers[forgetful].state.settings, self.random.randrange(2**32), self.now_us
        )
        endpoints = {worker_id: worker.endpoint for worker_id, worker in self.workers.items()}
        endpoints |= restarted
        complete = EndpointList(EndpointListKind.PERSISTED, tuple(endpoints.values()))
        self.notify(forgetful, complete)
        changes = EndpointList(EndpointListKind.CHANGES, tuple(restarted.values()))
        for dispatcher in range(len(self.balancers)):
            if dispatcher != forgetful:
                self.notify(dispatcher, changes)

    def most_over_budget(self, worker_id):
        """The most by which a window's count was over what is allowed."""
        times_us, worst = self.received_us[worker_id], -1e9
        for index, last_us in enumerate(times_us):
            count = sum(time_us > last_us - WINDOW_US for time_us in times_us[: index + 1])
            slow_start_factor = COLD_FRACTION + (1 - COLD_FRACTION) * min(
                (last_us - BEGIN_US) / SLOW_START_US, 1.0
            )
            allowed = MULTIPLE * slow_start_factor * SLOTS * WINDOW_US / RUN_US
            worst = max(worst, count - allowed - 2 * sqrt(allowed) - 2)
        return worst


@pytest.mark.parametrize(
    ("dispatchers", "nodes", "cold"),
    [(2, 12, 4), (8, 12, 4), (30, 20, 8), (30, 20, 1), (200, 30, 10)],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_all_dispatchers_together_keep_a_cold_worker_under_its_budget(
    dispatchers, nodes, cold, seed
):
    cluster = ColdCluster(dispatchers, nodes, seed)
    rate = 0.8 * nodes * SLOTS / (RUN_US / 1e6)
    cluster.submit_jobs([rate], [RUN_US], END_US)
    cluster.run(BEGIN_US)
    cluster.restart(cold)
    cluster.run(END_US)
    assert max(cluster.most_over_budget(worker_id) for worker_id in cluster.received_us) <= 0
    # And it is warmed up: none is left without work.
    assert all(len(times_us) >= 5 for times_us in cluster.received_us.values())


def test_the_allowance_for_chance_is_several_standard_deviations():
    part = USED_OVERLOAD_MULTIPLE_FRACTION
    least = min((n + 2 * sqrt(n) + 2 - part * n) / sqrt(part * n) for n in range(1, 400))
    assert least > 4.8
