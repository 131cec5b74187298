"""The precedence of records, and the kinds of claims about the local name."""

import pytest

from stepstream.membership.messages import MaintenanceRecord, MemberState, MemberStatus, Phase
from stepstream.membership.record_precedence import (
    NAME_TAKEOVER_SECONDS,
    LocalClaim,
    classify_local_claim,
    maintenance_precedence,
    member_precedence,
    status_precedence,
)
from tests.membership.membership_builders import member_record

ALIVE, SUSPECT, DEAD, LEFT = MemberState


def test_claims_are_ordered_by_generation_address_incarnation_and_state():
    lowest_first = [
        member_record("a", LEFT, port=9, generation=1, incarnation=9),
        member_record("a", LEFT, port=2, generation=2, incarnation=9),
        member_record("a", LEFT, port=3, generation=2, incarnation=0),
        member_record("a", ALIVE, port=3, generation=2, incarnation=1),
        member_record("a", SUSPECT, port=3, generation=2, incarnation=1),
        member_record("a", DEAD, port=3, generation=2, incarnation=1),
        member_record("a", LEFT, port=3, generation=2, incarnation=1),
    ]
    assert sorted(reversed(lowest_first), key=member_precedence) == lowest_first


def test_statuses_are_ordered_by_generation_and_revision():
    lowest_first = [
        MemberStatus("a", generation, revision, Phase.SERVING, 0, "", 0, 0, "")
        for generation, revision in ((1, 9), (2, 0), (2, 1))
    ]
    assert sorted(reversed(lowest_first), key=status_precedence) == lowest_first


def test_of_concurrent_calls_on_a_worker_the_one_that_begins_maintenance_is_kept():
    lowest_first = [
        MaintenanceRecord("s-1", 1, True, "z", 7),
        MaintenanceRecord("s-1", 2, False, "z", 7),
        MaintenanceRecord("s-1", 2, True, "a", 7),
        MaintenanceRecord("s-1", 2, True, "b", 7),
    ]
    assert sorted(reversed(lowest_first), key=maintenance_precedence) == lowest_first


@pytest.mark.parametrize(
    ("claim", "seconds_since_joining", "kind"),
    [
        (member_record("me", port=1, generation=5, incarnation=1), None, LocalClaim.OUTDATED),
        (member_record("me", LEFT, port=9, generation=4), None, LocalClaim.OUTDATED),
        (member_record("me", SUSPECT, port=1, generation=5, incarnation=1), 99.0, LocalClaim.FALSE),
        (member_record("me", port=1, generation=6), None, LocalClaim.EARLIER_START),
        (member_record("me", port=1, generation=6), 2.9, LocalClaim.EARLIER_START),
        (member_record("me", port=1, generation=6), NAME_TAKEOVER_SECONDS, LocalClaim.LATER_START),
        (member_record("me", port=2, generation=5), 99.0, LocalClaim.LATER_START),
    ],
)
def test_a_claim_about_the_local_name_is_classified(claim, seconds_since_joining, kind):
    local = member_record("me", port=1, generation=5, incarnation=1)
    assert classify_local_claim(local, claim, seconds_since_joining) is kind


@pytest.mark.parametrize(
    ("state", "newest_generation", "kind"),
    [
        (ALIVE, 7, LocalClaim.LATER_START),
        (SUSPECT, 7, LocalClaim.LATER_START),
        (ALIVE, 6, LocalClaim.EARLIER_START),  # 7 is in the future: the clock was set back
        (DEAD, 7, LocalClaim.EARLIER_START),  # the successor no longer runs
        (LEFT, 7, LocalClaim.EARLIER_START),
    ],
)
@pytest.mark.parametrize("seconds_since_joining", [None, 2.9])
def test_a_member_that_has_just_joined_yields_to_a_successor_that_started_before_now(
    state, newest_generation, kind, seconds_since_joining
):
    # Guards against a hot restart in which the old process takes the name back from its successor
    # and then leaves: the others would list the running dispatcher as left.
    local = member_record("me", port=1, generation=5)
    claim = member_record("me", state, port=1, generation=7)
    assert classify_local_claim(local, claim, seconds_since_joining, newest_generation) is kind
