"""Merging of member records, maintenance records and statuses into one member's state."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.membership.messages import (
    MaintenanceRecord,
    MemberRecord,
    MemberState,
    MemberStatus,
    Phase,
)
from stepstream.membership.protocol_settings import ProtocolSettings
from stepstream.membership.record_precedence import member_precedence
from tests.membership.membership_builders import member_record, new_protocol

RECORDS = st.builds(
    MemberRecord,
    name=st.sampled_from(["a", "b", "c"]),
    address=st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"]),
    generation=st.integers(1, 3),
    incarnation=st.integers(0, 2),
    state=st.sampled_from(MemberState),
)
MAINTENANCE_RECORDS = st.builds(
    MaintenanceRecord,
    worker=st.sampled_from(["s-1", "s-2"]),
    lamport_time=st.integers(1, 3),
    in_maintenance=st.booleans(),
    recorded_by=st.sampled_from(["a", "b"]),
    recorded_at_us=st.just(7),
)
STATUSES = st.builds(
    lambda owner, generation, revision: MemberStatus(
        owner,
        generation,
        revision,
        Phase.SERVING,
        0,
        "",
        revision,
        0,
        "",
        (generation, revision) if revision else (),
    ),
    owner=st.sampled_from(["a", "b"]),
    generation=st.integers(1, 2),
    revision=st.integers(0, 3),
)


def state_after_merging(records, maintenance, statuses):
    """Return the state of a new member after it has merged each list in the given order."""
    member = new_protocol()
    for record in records:
        member.merger.merge(record, "x")
    for record in maintenance:
        member.maintenance.merge(record)
    for status in statuses:
        member.statuses.merge(status)
    by_name = {name: known.record for name, known in member.members.by_name.items()}
    return member.digest, by_name, member.maintenance.by_worker, member.statuses.by_owner


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(RECORDS, max_size=12),
    st.lists(MAINTENANCE_RECORDS, max_size=6),
    st.lists(STATUSES, max_size=6),
    st.randoms(use_true_random=False),
)
def test_the_merge_is_commutative_associative_and_idempotent(records, maintenance, statuses, rng):
    merged_once = state_after_merging(records, maintenance, statuses)
    records_again = records + rng.sample(records, len(records) // 2)
    maintenance_again = maintenance + maintenance[:2]
    statuses_again = statuses + statuses[:2]
    for shuffled in (records_again, maintenance_again, statuses_again):
        rng.shuffle(shuffled)
    assert state_after_merging(records_again, maintenance_again, statuses_again) == merged_once
    for name, merged_record in merged_once[1].items():
        if name != "me":
            ranks = [member_precedence(record) for record in records if record.name == name]
            assert member_precedence(merged_record) == max(ranks)


def test_names_beyond_the_maximum_are_rejected_until_an_expired_tombstone_can_be_dropped():
    member = new_protocol(ProtocolSettings(max_members=3, tombstone_timeout_seconds=100.0))
    for port, name in enumerate("abcd", start=2):
        member.merger.merge(member_record(name, port=port), name)
    assert set(member.members.by_name) == {"me", "a", "b"}
    assert member.context.metrics.rejected_names == 2
    assert [
        event.name for event in member.members.events.recent if event.after == "turned away"
    ] == [
        "c",
        "d",
    ]
    member.merger.merge(member_record("a", MemberState.DEAD), "b")
    member.context.now = 99.0
    assert not member.merger.merge(member_record("c", port=4), "c")
    member.context.now = 100.0
    assert member.merger.merge(member_record("c", port=4), "c")
    assert "a" not in member.members.by_name


def test_a_renewed_death_claim_restarts_the_time_in_the_dead_state():
    member = new_protocol()
    dead = member_record("a", MemberState.DEAD)
    member.merger.merge(dead, "b")
    member.context.now = 50.0
    member.merger.merge(msgspec.structs.replace(dead, incarnation=1), "b")
    assert member.members.by_name["a"].state_since == 50.0
