"""Member records, protocols and simulated clusters for the membership tests."""

import random

from stepstream.lab.simulation.membership_cluster import CLUSTER_NAME, MembershipCluster
from stepstream.membership.messages import MemberRecord, MemberState
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

SETTINGS = ProtocolSettings()
JOIN_SECONDS = 20.0  # a new cluster must converge within this time


def new_protocol(settings=SETTINGS, name="me", seeds=()):
    """Return the protocol of a member at time 0 that knows no other member."""
    return MembershipProtocol(
        member_record(name, port=1, generation=1000),
        CLUSTER_NAME,
        seeds,
        settings,
        random.Random(1),
        0.0,
    )


def member_record(
    name, state=MemberState.ALIVE, port=2, generation=1, incarnation=0, reported_by=""
):
    address = f"127.0.0.1:{port}"
    return MemberRecord(name, address, generation, incarnation, state, reported_by)


def converged_cluster(seed=1, members=5, settings=SETTINGS):
    """Return a simulated cluster whose members have joined and agree."""
    cluster = MembershipCluster(seed, members, settings)
    cluster.start_all()
    assert cluster.run(JOIN_SECONDS, cluster.has_converged)
    return cluster


def member_names(*indexes):
    return [f"n{index}" for index in indexes]
