"""Records, one member's protocol, and simulated clusters, as the membership tests start with them."""

import random

from stepstream.lab.simulation.membership_cluster import CLUSTER_NAME, MembershipCluster
from stepstream.membership.messages import MemberRecord, MemberState
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

SETTINGS = ProtocolSettings()
JOIN_SECONDS = 20.0  # within which a new cluster must converge


def protocol(settings=SETTINGS, name="me", seeds=()):
    """One member at time 0 that knows nobody."""
    return MembershipProtocol(
        record(name, port=1, generation=1000), CLUSTER_NAME, seeds, settings, random.Random(1), 0.0
    )


def record(name, state=MemberState.ALIVE, port=2, generation=1, incarnation=0, reported_by=""):
    address = f"127.0.0.1:{port}"
    return MemberRecord(name, address, generation, incarnation, state, reported_by)


def converged_cluster(seed=1, members=5, settings=SETTINGS):
    """A simulated cluster whose members have joined and agree."""
    cluster = MembershipCluster(seed, members, settings)
    cluster.start_all()
    assert cluster.run(JOIN_SECONDS, cluster.has_converged)
    return cluster


def member_names(*numbers):
    return [f"n{number}" for number in numbers]
