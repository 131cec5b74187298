"""Generate a cluster that contends for one lease, for runs under random fault schedules."""

from stepstream.lab.emulator.links import Links
from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.lease_tasks import Task
from stepstream.leases.configuration import LeaseConfiguration

LEASE = "x"
"""The lease that every member wants."""

MAX_TTL_SECONDS = 6.0
START_SECONDS = 3.0
"""How long a new cluster runs before it is returned."""

CLUSTER_SIZES = ((3, 5), (5, 7), (3, 10), (5, 10))
"""Numbers of acceptors and of members; the seed selects one pair."""

DUPLICATE_PROBABILITY = 0.05
MIN_DELAY_SECONDS = 0.0005
MAX_DELAYS_SECONDS = (0.005, 0.12)
REORDER_PROBABILITIES = (0.0, 0.03, 0.1)
REORDER_DELAYS_SECONDS = (0.4, 7.0)  # shorter and longer than the time to live
HOLD_TIMES_SECONDS = (3.0, 3.0, 1e6)
CLOCK_OFFSETS_SECONDS = (0.0, 0.0, -500.0, 300.0)


def generate_lease_cluster(seed: int, max_clock_drift: float = 0.01) -> LeaseCluster:
    """Return a cluster that was started and has one lease that every member wants.

    The seed determines its clocks, links and tasks, as long as the code draws the random numbers in
    the same order.
    """
    acceptors, members = CLUSTER_SIZES[seed % len(CLUSTER_SIZES)]
    names = [f"n{number}" for number in range(members)]
    configuration = LeaseConfiguration(
        tuple(names[:acceptors]),
        max_ttl_seconds=MAX_TTL_SECONDS,
        max_clock_drift=max_clock_drift,
    )
    cluster = LeaseCluster(seed, names, configuration)
    choice = cluster.rng.choice
    cluster.links = Links(
        duplicate_probability=DUPLICATE_PROBABILITY,
        reorder_probability=choice(REORDER_PROBABILITIES),
        reorder_delay_seconds=choice(REORDER_DELAYS_SECONDS),
        delay_seconds=(MIN_DELAY_SECONDS, choice(MAX_DELAYS_SECONDS)),
    )
    for name, process in cluster.processes.items():
        cluster.tasks[name] = [Task(LEASE, hold_seconds=choice(HOLD_TIMES_SECONDS))]
        # Members have different times of day. A member's first ballot number comes from its own.
        process.clock_offset_seconds = choice(CLOCK_OFFSETS_SECONDS)
    cluster.start_all()
    cluster.run(START_SECONDS)
    return cluster
