"""The pure rules of acceptors, proposers, waiters, sessions and commands."""

import random

import pytest

from stepstream.leases.acceptor_rules import (
    blocking_grant,
    is_covered_by_release,
    is_expired,
    may_accept,
    may_forget,
    may_promise,
)
from stepstream.leases.ballots import BallotSequence
from stepstream.leases.command_deadlines import (
    acquire_interval_seconds,
    call_timeout_seconds,
    exclusive_seconds,
    has_time_to_run,
    is_kill_due,
    is_term_due,
    term_margin_seconds,
)
from stepstream.leases.health_reports import check_period_seconds
from stepstream.leases.lease_record import Grant, LeaseRecord
from stepstream.leases.messages import Ballot, Prepare
from stepstream.leases.proposer import Proposer
from stepstream.leases.proposer_rules import (
    extends_lease,
    gives_up_proposal,
    is_quorum_possible,
    longest_backoff_seconds,
    may_renew_with_ballot,
    may_repeat_prepare,
    renewal_due_at,
    retry_wait_seconds,
)
from stepstream.leases.session_table import Session, is_forgettable, is_silent
from stepstream.leases.wait_queue import WaitQueue
from tests.leases.lease_builders import CONFIGURATION

BALLOT = Ballot(5, "a.1")
GRANT = Grant(BALLOT, token=5, expires_at=3.0)


def lease_record(**fields):
    return LeaseRecord(WaitQueue(CONFIGURATION), **fields)


# -- acceptors ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("ballot", "released", "expected"),
    [
        (Ballot(6, "b.1"), False, True),
        (Ballot(4, "b.1"), False, False),
        (Ballot(5, "b.1"), False, False),
        (BALLOT, False, True),
        (BALLOT, True, False),
    ],
)
def test_an_acceptor_promises_a_greater_number_or_repeats_its_promise(ballot, released, expected):
    record = lease_record(promised=BALLOT, promise_released=released)
    assert may_promise(record, ballot, highest_number=5) == expected


@pytest.mark.parametrize(
    ("promised", "released", "expected"),
    [(BALLOT, False, True), (BALLOT, True, False), (Ballot(6, "a.1"), False, False)],
)
def test_an_acceptor_accepts_only_under_its_last_promise(promised, released, expected):
    record = lease_record(promised=promised, promise_released=released)
    assert may_accept(record, BALLOT) == expected


def test_a_grant_blocks_other_proposers_until_it_expires():
    assert [blocking_grant(GRANT, name) for name in ("a.1", "b.1")] == [None, GRANT]
    assert [is_expired(GRANT, now) for now in (2.9, 3.0)] == [False, True]


def test_a_release_covers_its_proposers_ballots_up_to_its_own():
    released = [Ballot(4, "a.1"), BALLOT, Ballot(6, "b.1")]
    assert [is_covered_by_release(BALLOT, each) for each in released] == [False, True, False]


def test_a_record_may_be_dropped_only_if_nobody_holds_or_waits_for_its_lease():
    record_with_waiter = lease_record()
    record_with_waiter.waiters.add_or_refresh(0.0, "b", Prepare("x", BALLOT, 3000, 0))
    records = [lease_record(), lease_record(grant=GRANT), record_with_waiter]
    assert [may_forget(record) for record in records] == [True, False, False]


# -- waiters --------------------------------------------------------------------------------------


def test_waiters_become_eligible_one_head_start_apart_and_silent_ones_are_dropped():
    queue = WaitQueue(CONFIGURATION)
    for waited_ms, name in ((0, "a.1"), (900, "b.1"), (500, "c.1")):
        queue.add_or_refresh(1.0, name, Prepare("x", Ballot(5, name), 3000, waited_ms))
    assert [waiter.member for waiter in queue.in_order(1.0)] == ["b.1", "c.1", "a.1"]
    head_start = CONFIGURATION.head_start_seconds
    assert queue.seconds_until_eligible(1.0, 1.0, "c.1") == pytest.approx(head_start)
    kept_until = 1.0 + 3 * CONFIGURATION.waiter_refresh_seconds()
    assert [len(queue.in_order(now)) for now in (kept_until, kept_until + 0.01)] == [3, 0]


# -- proposers ------------------------------------------------------------------------------------


def test_a_prepare_is_repeated_twice_and_not_after_a_rejection():
    assert [may_repeat_prepare(attempts, ()) for attempts in (1, 2, 3)] == [True, True, False]
    assert not may_repeat_prepare(1, {"n0": 0.0})


def test_only_a_proposer_without_a_lease_gives_up_its_proposal():
    assert [gives_up_proposal(rounds, is_held=False) for rounds in (3, 4)] == [False, True]
    assert not gives_up_proposal(9, is_held=True)


def test_a_renewal_is_due_after_a_third_of_the_time_to_live_rounded_down_to_a_slot():
    due = [renewal_due_at(sent_at, 3.0) for sent_at in (0.02, 0.06, 0.12)]
    assert due == [pytest.approx(1.0), pytest.approx(1.0), pytest.approx(1.1)]


def test_only_a_holder_whose_ballot_was_not_rejected_renews_in_one_round():
    cases = [(0, True), (8, False), (8, True)]
    renews = [may_renew_with_ballot(token, can_renew=can_renew) for token, can_renew in cases]
    assert renews == [False, False, True]


def test_the_longest_backoff_doubles_for_a_proposer_without_a_lease():
    longest = [longest_backoff_seconds(0.3, failures, has_lease=False) for failures in (1, 2, 5)]
    assert longest == [0.3, 0.6, 4.8]
    assert longest_backoff_seconds(0.3, 5, has_lease=True) == 0.3


def test_a_waiter_waits_for_the_announced_time_or_until_its_refresh():
    refresh_seconds = CONFIGURATION.waiter_refresh_seconds()
    assert retry_wait_seconds(0.5, 0.1, 1.0, CONFIGURATION) == pytest.approx(0.53)
    assert retry_wait_seconds(60.0, 0.1, 0.6, CONFIGURATION) == pytest.approx(0.6 * refresh_seconds)


def test_a_quorum_is_impossible_after_rejections_by_a_majority():
    assert is_quorum_possible({"n0"}, CONFIGURATION)
    assert not is_quorum_possible({"n0", "n1"}, CONFIGURATION)


@pytest.mark.parametrize(
    ("now", "accepted_by", "current_expires_at", "expected"),
    [
        (1.0, {"n0", "n1"}, 0.0, True),
        (1.0, {"n0"}, 0.0, False),
        (3.0, {"n0", "n1"}, 0.0, False),
        (1.0, {"n0", "n1"}, 3.0, False),
    ],
)
def test_a_round_extends_a_lease_only_with_a_quorum_and_before_the_expiry(
    now, accepted_by, current_expires_at, expected
):
    assert extends_lease(now, accepted_by, 3.0, current_expires_at, CONFIGURATION) == expected


# -- sessions, commands and health checks ---------------------------------------------------------


def test_a_session_is_silent_after_half_a_time_to_live_and_dropped_after_a_whole_one():
    ballots = BallotSequence(7)
    proposer = Proposer(CONFIGURATION, "x", "a.1", 4.0, 1.0, ballots, random.Random(1), 0.0)
    session = Session("s", proposer, last_heartbeat_at=10.0)
    assert [is_silent(session, now) for now in (12.0, 12.1)] == [False, True]
    assert not is_forgettable(session, 14.1)
    proposer.release()
    assert [is_forgettable(session, now) for now in (14.0, 14.1)] == [False, True]


def test_a_command_is_ended_before_another_process_can_hold_its_lease():
    assert [term_margin_seconds(ttl) for ttl in (1.0, 8.0)] == [0.5, 2.0]
    assert [is_term_due(now, 10.0, 2.0) for now in (7.9, 8.0)] == [False, True]
    assert [has_time_to_run(now, 10.0, 2.0) for now in (7.9, 8.0)] == [True, False]
    assert [is_kill_due(now, 10.0) for now in (9.6, 9.7)] == [False, True]
    assert exclusive_seconds(10.1, 0.01) == pytest.approx(9.9)


def test_calls_of_lease_run_are_bounded_in_time_and_rate():
    timeouts = [call_timeout_seconds(4.0, until_term) for until_term in (None, 0.7, -1.0)]
    assert timeouts == [1.0, 0.7, 0.05]
    assert call_timeout_seconds(60.0, None) == 2.0
    assert [acquire_interval_seconds(ttl) for ttl in (2.0, 60.0)] == [0.1, 0.25]


def test_the_leader_checks_more_often_in_a_larger_cluster():
    assert [check_period_seconds(dispatchers) for dispatchers in (0, 1, 16)] == [1.0, 1.0, 0.25]
