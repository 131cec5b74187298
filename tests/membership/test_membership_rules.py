"""Rules of the membership protocol that the longer scenarios do not always test."""

import pytest

from stepstream.membership.anti_entropy import is_page_pause_over
from stepstream.membership.local_health import failed_probe_penalty, is_stall, stall_penalty
from stepstream.membership.member_count import (
    ObservedMember,
    counted_dispatchers,
    deaths_to_confirm,
)
from stepstream.membership.member_status import reported_phase
from stepstream.membership.messages import MemberState, Phase, Ping
from stepstream.membership.protocol_settings import SUSPECT_NOTIFIERS
from stepstream.membership.suspicion import is_suspect_dead, suspect_contact_probability
from tests.membership.membership_builders import SETTINGS, member_record, new_protocol


@pytest.mark.parametrize(
    ("state", "gets_own_record", "gets_queued_updates"),
    [
        (MemberState.ALIVE, False, True),
        (MemberState.SUSPECT, True, True),
        (MemberState.DEAD, True, False),
        (MemberState.LEFT, False, True),
    ],
)
def test_a_suspect_or_dead_recipient_gets_its_own_record_and_a_dead_one_no_queued_updates(
    state, gets_own_record, gets_queued_updates
):
    member = new_protocol()
    recipient = member_record("a", state)
    member.merger.merge(recipient, "b")
    member.outbox.broadcasts.queued.clear()
    member.outbox.broadcast(member_record("c"))
    member.outbox.take()
    member.outbox.send(recipient.address, Ping(1, "a"), "a")
    [outgoing] = member.outbox.take()
    assert (recipient in outgoing.datagram.member_records) == gets_own_record
    assert (member_record("c") in outgoing.datagram.member_records) == gets_queued_updates


def test_a_prioritized_suspect_is_probed_next_and_out_of_turn_only_once():
    member = new_protocol()
    for port, name in enumerate("abcdefgh", start=2):
        member.merger.merge(member_record(name, port=port), name)
    member.merger.merge(member_record("e", MemberState.SUSPECT, port=6), "a")
    probe_order = member.detector.probe_order
    probe_order.prioritize("e")
    assert [probe_order.next_target() == "e" for _ in range(2)] == [True, False]


@pytest.mark.parametrize("present_count", [8, 20, 500])
def test_about_eight_members_contact_a_suspect_at_any_cluster_size(present_count):
    assert present_count * suspect_contact_probability(present_count) == pytest.approx(
        SUSPECT_NOTIFIERS
    )


def test_a_suspect_is_dead_from_its_deadline_on():
    assert [is_suspect_dead(now, deadline=3.0) for now in (2.9, 3.0)] == [False, True]


@pytest.mark.parametrize(("helpers", "nacks", "points"), [(None, 0, 1), (0, 0, 1), (3, 1, 2)])
def test_a_failed_probe_worsens_local_health_by_the_number_of_missing_nacks(helpers, nacks, points):
    assert failed_probe_penalty(helpers, nacks) == points


def test_a_tick_that_is_late_by_more_than_a_probe_timeout_is_a_stall():
    assert [is_stall(late_seconds, 0.2) for late_seconds in (0.2, 0.21)] == [False, True]
    assert not is_stall(0.1, 0.01)  # ordinary thread scheduling can delay a tick by 0.1 s
    assert [stall_penalty(seconds, 0.4) for seconds in (0.4, 0.41)] == [1, 2]


def test_pages_go_to_an_address_at_most_once_in_half_a_probe_interval():
    interval_seconds = SETTINGS.probe_interval_seconds
    pauses = (0.49 * interval_seconds, 0.5 * interval_seconds)
    assert [is_page_pause_over(pause, 0.0, interval_seconds) for pause in pauses] == [False, True]


def test_deaths_of_counted_members_are_confirmed_first_and_later_deaths_before_earlier_ones():
    dead = [("a", 40.0), ("b", 35.0), ("c", 31.0), ("d", 29.0)]
    observed = [
        ObservedMember(name, MemberState.DEAD, seconds, number)
        for number, (name, seconds) in enumerate(dead)
    ]
    assert deaths_to_confirm(observed, {"a", "b", "d"}, 30.0) == [1, 0, 2]


@pytest.mark.parametrize(
    ("is_starting", "has_joined", "counted"),
    [(True, True, 5), (False, False, 5), (False, True, 2)],
)
def test_a_member_that_starts_or_has_not_joined_counts_at_least_the_configured_number(
    is_starting, has_joined, counted
):
    assert counted_dispatchers(2, 5, is_starting=is_starting, has_joined=has_joined) == counted


def test_a_drain_is_reported_only_in_the_serving_phase():
    phases = [reported_phase(phase, is_draining=True) for phase in Phase]
    assert phases == [Phase.STARTING, Phase.DRAINING, Phase.DRAINING, Phase.LEAVING]
    assert reported_phase(Phase.SERVING, is_draining=False) is Phase.SERVING
