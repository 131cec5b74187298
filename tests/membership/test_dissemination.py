"""The queue of piggybacked updates: order, limits and sizes."""

import pytest

from stepstream.membership.dissemination import (
    MAX_PIGGYBACKED_STATUSES,
    BroadcastQueue,
    paginate,
    retransmit_limit,
)
from stepstream.membership.messages import (
    MAX_UPDATES_OF_A_KIND,
    MaintenanceRecord,
    MemberState,
    MemberStatus,
    Phase,
    encoded_size_bytes,
)
from tests.membership.membership_builders import member_record

ENOUGH_BYTES = 100_000
MAINTENANCE_RECORD = MaintenanceRecord("s-1", 1, True, "a", 7)


def status(owner):
    return MemberStatus(owner, 1, 0, Phase.SERVING, 0, "", 0, 0, "")


def queue_of(*updates):
    queue = BroadcastQueue()
    for update in updates:
        queue.put(update)
    return queue


@pytest.mark.parametrize(("members", "limit"), [(1, 2), (9, 4), (10, 5), (99, 8)])
def test_the_retransmit_limit_grows_with_the_logarithm_of_the_member_count(members, limit):
    assert retransmit_limit(4.0, members) == limit


def test_an_update_is_sent_as_often_as_the_retransmit_limit_allows():
    queue = queue_of(member_record("a"))
    assert [queue.take(2, ENOUGH_BYTES) for _ in range(3)] == [
        [member_record("a")],
        [member_record("a")],
        [],
    ]


def test_a_newer_update_of_a_member_replaces_the_older_one():
    dead = member_record("a", MemberState.DEAD)
    assert queue_of(member_record("a"), dead).take(1, ENOUGH_BYTES) == [dead]


def test_the_least_often_sent_updates_go_first():
    queue = queue_of(member_record("a"))
    queue.take(9, ENOUGH_BYTES)
    queue.put(member_record("b"))
    assert queue.take(9, ENOUGH_BYTES) == [member_record("b"), member_record("a")]


def test_member_records_go_before_maintenance_records_and_those_before_statuses():
    queue = queue_of(status("a"), MAINTENANCE_RECORD, member_record("a"))
    assert queue.take(9, ENOUGH_BYTES) == [member_record("a"), MAINTENANCE_RECORD, status("a")]


def test_an_update_that_does_not_fit_stays_queued():
    queue = queue_of(member_record("a"), member_record("b"))
    size_bytes = encoded_size_bytes(member_record("a"))
    assert queue.take(1, size_bytes) == [member_record("a")]
    assert queue.take(1, size_bytes) == [member_record("b")]


def test_a_datagram_carries_a_limited_number_of_updates_of_a_kind():
    names = [f"n{number}" for number in range(100)]
    queue = queue_of(*map(member_record, names), *map(status, names))
    taken = queue.take(9, ENOUGH_BYTES)
    assert sum(isinstance(update, MemberStatus) for update in taken) == MAX_PIGGYBACKED_STATUSES
    assert len(taken) == MAX_UPDATES_OF_A_KIND + MAX_PIGGYBACKED_STATUSES


def test_pages_hold_every_update_once_within_the_limits_of_size_and_number():
    updates = [member_record(f"n{number}") for number in range(300)]
    pages = list(paginate(updates, 1_000))
    assert [update for page in pages for update in page] == updates
    assert all(sum(map(encoded_size_bytes, page)) <= 1_000 for page in pages)
    assert max(map(len, paginate(updates, ENOUGH_BYTES))) == MAX_UPDATES_OF_A_KIND
