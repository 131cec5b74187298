"""The invariants of the simulated clusters, each on its own."""

from math import inf

import pytest

from stepstream.lab.simulation.errors import InvariantError, OperationOrderError, TwoHoldersError
from stepstream.lab.simulation.guarded_resource import GuardedResource
from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.lease_invariants import (
    check_fenced_by_a_later_token,
    check_one_holder,
)
from stepstream.lab.simulation.membership_cluster import MembershipCluster
from stepstream.lab.simulation.membership_invariants import EndedVersions
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.fencing import FencedError
from stepstream.membership.messages import MemberRecord, MemberState
from stepstream.membership.protocol_settings import ProtocolSettings

OBSERVER = "n0@1"


def record(state, generation=1, incarnation=0):
    return MemberRecord("n1", "127.0.0.1:1", generation, incarnation, state)


# -- membership -----------------------------------------------------------------------------------


@pytest.mark.parametrize("ended_state", [MemberState.DEAD, MemberState.LEFT])
@pytest.mark.parametrize("present_state", [MemberState.ALIVE, MemberState.SUSPECT])
def test_a_member_may_not_return_on_an_ended_record(ended_state, present_state):
    versions = EndedVersions()
    versions.observe(1.0, OBSERVER, record(ended_state))
    with pytest.raises(InvariantError, match="n0@1 has n1 back"):
        versions.observe(2.0, OBSERVER, record(present_state))


@pytest.mark.parametrize("newer", [{"generation": 2}, {"incarnation": 1}], ids=str)
def test_a_member_may_return_on_a_newer_record(newer):
    versions = EndedVersions()
    versions.observe(1.0, OBSERVER, record(MemberState.DEAD))
    assert not versions.observe(2.0, OBSERVER, record(MemberState.ALIVE, **newer))


def test_an_end_is_new_once():
    versions = EndedVersions()
    assert versions.observe(1.0, OBSERVER, record(MemberState.DEAD))
    assert not versions.observe(2.0, OBSERVER, record(MemberState.DEAD))


def test_what_one_observer_saw_end_does_not_bind_another():
    versions = EndedVersions()
    versions.observe(1.0, OBSERVER, record(MemberState.DEAD))
    assert not versions.observe(2.0, "n2@1", record(MemberState.ALIVE))


def test_an_observer_that_restarted_begins_anew():
    versions = EndedVersions()
    versions.observe(1.0, OBSERVER, record(MemberState.DEAD))
    versions.forget_observer(OBSERVER)
    assert not versions.observe(2.0, OBSERVER, record(MemberState.ALIVE))


def test_a_member_may_not_hold_more_members_than_its_bound():
    cluster = MembershipCluster(1, 3, ProtocolSettings())
    cluster.start_all()
    cluster.settings = ProtocolSettings(max_members=2)
    with pytest.raises(InvariantError, match="more than its bound"):
        cluster.run(10.0)


# -- leases ---------------------------------------------------------------------------------------


def test_a_lease_may_not_have_two_holders():
    configuration = LeaseConfiguration(("n0", "n1", "n2"), max_ttl_seconds=6.0)
    cluster = LeaseCluster(1, ["n0", "n1", "n2"], configuration)
    cluster.start_all()
    proposers = [
        process.participant.acquire(0.0, "x", 4.0, 1.0)[0] for process in cluster.processes.values()
    ]
    check_one_holder(1.0, "x", proposers[:1])
    with pytest.raises(TwoHoldersError, match="x is held by n0@1.1 and n1@1.1"):
        check_one_holder(1.0, "x", proposers[:2])


def test_a_guard_may_reject_a_token_for_a_later_one():
    check_fenced_by_a_later_token(1.0, "n0@1.1", FencedError(4, 5))


def test_a_guard_may_not_reject_a_token_for_itself():
    with pytest.raises(OperationOrderError, match="its own token"):
        check_fenced_by_a_later_token(1.0, "n0@1.1", FencedError(5, 5))


def test_tokens_of_operations_may_not_fall():
    resource = GuardedResource()
    resource.begin(1.0, 5, "a")
    with pytest.raises(OperationOrderError, match="token 4 after 5"):
        resource.check_tokens_never_fall(2.0, 4)


def test_completed_operations_of_two_proposers_may_not_overlap():
    resource = GuardedResource()
    first = resource.begin(1.0, 5, "a")
    second = resource.begin(2.0, 5, "b")
    resource.end(3.0, first)
    with pytest.raises(OperationOrderError, match="a and b overlap"):
        resource.end(4.0, second)


def test_an_operation_that_was_not_completed_overlaps_none():
    resource = GuardedResource()
    unfinished = resource.begin(1.0, 5, "a")
    resource.end(3.0, resource.begin(2.0, 5, "b"))
    assert unfinished.ended_at == inf
    assert resource.completed_operations() == 1


def test_operations_of_one_proposer_may_overlap():
    resource = GuardedResource()
    first = resource.begin(1.0, 5, "a")
    second = resource.begin(2.0, 5, "a")
    resource.end(3.0, first)
    resource.end(4.0, second)
    assert resource.completed_operations() == 2
