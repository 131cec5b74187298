"""Configurations, participants and simulated clusters for the lease tests."""

import random

from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.random_lease_cluster import generate_lease_cluster
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.participant import Participant

ACCEPTORS = ("n0", "n1", "n2")
CONFIGURATION = LeaseConfiguration(ACCEPTORS, max_ttl_seconds=6.0)
FAULT_SECONDS = 25.0  # the random faults begin within this time
MAX_RECOVERY_SECONDS = 60.0
MAX_AFFECTED_FRACTION = 1.0  # one fault may affect all members


def member_names(count):
    return [f"n{number}" for number in range(count)]


def recovered_cluster(seed=1, members=5, tasks=()):
    """A cluster whose acceptors have just recovered; `tasks` are pairs of a member and its task."""
    cluster = LeaseCluster(seed, member_names(members), CONFIGURATION)
    for name, task in tasks:
        cluster.tasks[name].append(task)
    cluster.start_all()
    cluster.run(CONFIGURATION.recovery_seconds + 0.1)
    return cluster


def cluster_after_faults(seed, max_clock_drift=0.01):
    """A random cluster that has recovered from a random schedule of faults."""
    cluster = generate_lease_cluster(seed, max_clock_drift)
    schedule = generate_schedule(seed, cluster.names, FAULT_SECONDS, MAX_AFFECTED_FRACTION)
    cluster.play(schedule, MAX_RECOVERY_SECONDS)
    return cluster


def recovered_participant():
    """The participant n0, whose acceptor answers at once."""
    participant = Participant("n0", "n0@1", CONFIGURATION, 100, random.Random(1), 0.0)
    participant.acceptor.recovering_until = 0.0
    return participant
