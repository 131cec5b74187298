"""The invariants of the simulated clusters, each tested alone."""

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


def member_record(state, generation=1, incarnation=0):
    return MemberRecord("n1", "127.0.0.1:1", generation, incarnation, state)


# -- membership -----------------------------------------------------------------------------------


@pytest.mark.parametrize("ended_state", [MemberState.DEAD, MemberState.LEFT])
@pytest.mark.parametrize("present_state", [MemberState.ALIVE, MemberState.SUSPECT])
def test_a_dead_or_left_member_that_is_present_again_with_the_same_record_is_a_violation(
    ended_state, present_state
):
    ended_versions = EndedVersions()
    ended_versions.observe(1.0, OBSERVER, member_record(ended_state))
    with pytest.raises(InvariantError, match="n0@1 lists n1 as present on an ended record"):
        ended_versions.observe(2.0, OBSERVER, member_record(present_state))


@pytest.mark.parametrize("newer_fields", [{"generation": 2}, {"incarnation": 1}], ids=str)
def test_a_dead_member_may_be_present_again_with_a_newer_record(newer_fields):
    ended_versions = EndedVersions()
    ended_versions.observe(1.0, OBSERVER, member_record(MemberState.DEAD))
    assert not ended_versions.observe(
        2.0, OBSERVER, member_record(MemberState.ALIVE, **newer_fields)
    )


def test_only_the_first_observation_of_a_death_is_new():
    ended_versions = EndedVersions()
    assert ended_versions.observe(1.0, OBSERVER, member_record(MemberState.DEAD))
    assert not ended_versions.observe(2.0, OBSERVER, member_record(MemberState.DEAD))


def test_a_death_that_one_observer_saw_does_not_restrict_another_observer():
    ended_versions = EndedVersions()
    ended_versions.observe(1.0, OBSERVER, member_record(MemberState.DEAD))
    assert not ended_versions.observe(2.0, "n2@1", member_record(MemberState.ALIVE))


def test_a_restarted_observer_forgets_the_deaths_that_it_saw():
    ended_versions = EndedVersions()
    ended_versions.observe(1.0, OBSERVER, member_record(MemberState.DEAD))
    ended_versions.forget_observer(OBSERVER)
    assert not ended_versions.observe(2.0, OBSERVER, member_record(MemberState.ALIVE))


def test_a_member_list_longer_than_max_members_is_a_violation():
    cluster = MembershipCluster(1, 3, ProtocolSettings())
    cluster.start_all()
    cluster.settings = ProtocolSettings(max_members=2)
    with pytest.raises(InvariantError, match="n[0-2] holds more members or updates than its bound"):
        cluster.run(10.0)


# -- leases ---------------------------------------------------------------------------------------


def test_two_holders_of_a_lease_are_a_violation():
    configuration = LeaseConfiguration(("n0", "n1", "n2"), max_ttl_seconds=6.0)
    cluster = LeaseCluster(1, ["n0", "n1", "n2"], configuration)
    cluster.start_all()
    proposers = [
        process.participant.acquire(0.0, "x", 4.0, 1.0)[0] for process in cluster.processes.values()
    ]
    check_one_holder(1.0, "x", proposers[:1])
    with pytest.raises(TwoHoldersError, match="x is held by n0@1.1 and n1@1.1"):
        check_one_holder(1.0, "x", proposers[:2])


def test_a_guard_may_reject_a_token_because_of_a_greater_one():
    check_fenced_by_a_later_token(1.0, "n0@1.1", FencedError(4, 5))


def test_a_guard_that_rejects_the_greatest_token_is_a_violation():
    with pytest.raises(OperationOrderError, match="its own token"):
        check_fenced_by_a_later_token(1.0, "n0@1.1", FencedError(5, 5))


def test_an_operation_with_a_smaller_token_than_the_one_before_is_a_violation():
    resource = GuardedResource()
    resource.begin(1.0, 5, "a")
    with pytest.raises(OperationOrderError, match="token 4 began after one with token 5"):
        resource.check_tokens_never_decrease(2.0, 4)


def test_overlapping_completed_operations_of_two_proposers_are_a_violation():
    resource = GuardedResource()
    first = resource.begin(1.0, 5, "a")
    second = resource.begin(2.0, 5, "b")
    resource.end(3.0, first)
    with pytest.raises(OperationOrderError, match="a and b overlap"):
        resource.end(4.0, second)


def test_an_operation_that_was_not_completed_may_overlap_others():
    resource = GuardedResource()
    incomplete = resource.begin(1.0, 5, "a")
    resource.end(3.0, resource.begin(2.0, 5, "b"))
    assert incomplete.ended_at == inf
    assert resource.completed_operations() == 1


def test_operations_of_one_proposer_may_overlap():
    resource = GuardedResource()
    first = resource.begin(1.0, 5, "a")
    second = resource.begin(2.0, 5, "a")
    resource.end(3.0, first)
    resource.end(4.0, second)
    assert resource.completed_operations() == 2
