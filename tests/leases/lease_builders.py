"""Configurations, participants and simulated clusters, as the lease tests start with them."""

import random

from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.random_lease_cluster import generate_lease_cluster
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.participant import Participant

ACCEPTORS = ("n0", "n1", "n2")
CONFIGURATION = LeaseConfiguration(ACCEPTORS, max_ttl_seconds=6.0)
FAULT_SECONDS = 25.0  # within which the random faults begin
MAX_RECOVERY_SECONDS = 60.0
ALL_MEMBERS = 1.0  # fraction of the members that one fault may affect


def member_names(members):
    return [f"n{number}" for number in range(members)]


def recovered_cluster(seed=1, members=5, tasks=()):
    """A cluster whose acceptors have just begun to answer; `tasks`: members and what they want."""
    cluster = LeaseCluster(seed, member_names(members), CONFIGURATION)
    for name, task in tasks:
        cluster.tasks[name].append(task)
    cluster.start_all()
    cluster.run(CONFIGURATION.recovery_seconds + 0.1)
    return cluster


def cluster_after_faults(seed, max_clock_drift=0.01):
    """A random cluster that has recovered from a random schedule of faults."""
    cluster = generate_lease_cluster(seed, max_clock_drift)
    schedule = generate_schedule(seed, cluster.names, FAULT_SECONDS, ALL_MEMBERS)
    cluster.play(schedule, MAX_RECOVERY_SECONDS)
    return cluster


def recovered_participant():
    """The participant n0, whose acceptor answers at once."""
    participant = Participant("n0", "n0@1", CONFIGURATION, 100, random.Random(1), 0.0)
    participant.acceptor.recovering_until = 0.0
    return participant
