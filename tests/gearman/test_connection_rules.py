"""Tests of the rules that close, evict and slow down connections, on snapshots of them."""

from dataclasses import replace

import pytest

from stepstream.gearman.codec import Packet, PacketKind, TextLine
from stepstream.gearman.connection_rules import (
    ConnectionView,
    RegistrationCredit,
    TimeoutAction,
    closes_when_idle,
    costs_registration_credit,
    delays_shutdown,
    eviction_state,
    timeout_action,
    waits_for_core,
)
from stepstream.gearman.session import Reply
from stepstream.ports.connections import EvictionRank
from tests.config.configurations import LIMITS

NOW_SECONDS = 1000.0
IDLE_CLIENT = ConnectionView(
    False, False, False, False, True, True, NOW_SECONDS, NOW_SECONDS, NOW_SECONDS
)
NEW_CONNECTION = replace(IDLE_CLIENT, has_sent_work=False)
WORKER = replace(IDLE_CLIENT, is_worker=True)
WAITING_CLIENT = replace(IDLE_CLIENT, has_open_request=True)
PARTIAL_MESSAGE = replace(IDLE_CLIENT, session_idle=False)
UNREAD_ANSWER = replace(IDLE_CLIENT, has_unsent_bytes=True)
CLOSED_SESSION = replace(IDLE_CLIENT, session_closed=True)
TIMEOUTS = LIMITS.timeouts


@pytest.mark.parametrize(
    ("view", "timeout_seconds", "action"),
    [
        (IDLE_CLIENT, TIMEOUTS.inbound_idle_seconds, TimeoutAction.CLOSE),
        (NEW_CONNECTION, TIMEOUTS.first_message_seconds, TimeoutAction.CLOSE),
        (PARTIAL_MESSAGE, TIMEOUTS.message_seconds, TimeoutAction.REPLY_AND_CLOSE),
        (UNREAD_ANSWER, TIMEOUTS.write_seconds, TimeoutAction.CLOSE),
        (CLOSED_SESSION, TIMEOUTS.linger_seconds, TimeoutAction.CLOSE),
    ],
    ids=["client", "new", "partial message", "unread answer", "closed"],
)
def test_each_connection_state_has_its_own_timeout(view, timeout_seconds, action):
    assert timeout_action(view, NOW_SECONDS + timeout_seconds, TIMEOUTS) is TimeoutAction.NONE
    assert timeout_action(view, NOW_SECONDS + timeout_seconds + 0.01, TIMEOUTS) is action


@pytest.mark.parametrize("view", [WORKER, WAITING_CLIENT], ids=["worker", "outcome due"])
def test_a_connection_in_use_has_no_idle_timeout(view):
    assert timeout_action(view, NOW_SECONDS + 1e6, TIMEOUTS) is TimeoutAction.NONE


@pytest.mark.parametrize(
    ("view", "quiet_seconds", "rank"),
    [
        (CLOSED_SESSION, 0.0, EvictionRank.DONE),
        (NEW_CONNECTION, 1.0, EvictionRank.UNUSED),
        (NEW_CONNECTION, 0.99, EvictionRank.NEW),
        (IDLE_CLIENT, 0.0, EvictionRank.IDLE),
        (WORKER, 1e6, EvictionRank.NEVER),
        (WAITING_CLIENT, 1e6, EvictionRank.NEVER),
        (UNREAD_ANSWER, 1e6, EvictionRank.NEVER),
    ],
    ids=["closed", "unused", "new", "client", "worker", "outcome due", "unread answer"],
)
def test_eviction_ranks_connections_by_state_and_excludes_those_in_use(view, quiet_seconds, rank):
    assert eviction_state(view, NOW_SECONDS + quiet_seconds, unproven_seconds=1.0).rank is rank


def test_a_shutdown_waits_for_pending_work_and_for_clients_until_the_server_is_closing():
    views = (
        IDLE_CLIENT,
        NEW_CONNECTION,
        WORKER,
        WAITING_CLIENT,
        PARTIAL_MESSAGE,
        UNREAD_ANSWER,
        CLOSED_SESSION,
    )
    waits = {
        closing: [delays_shutdown(view, server_is_closing=closing) for view in views]
        for closing in (False, True)
    }
    assert waits[False] == [True, False, False, True, True, True, False]
    assert waits[True] == [False, False, False, True, True, True, False]
    assert [closes_when_idle(view) for view in views] == [
        *(True, True, False, False, False, False, True)
    ]


def test_each_registration_beyond_the_burst_costs_a_pause():
    limits = replace(LIMITS.gearman, registration_changes=2, registration_change_pause_seconds=0.5)
    credit = RegistrationCredit(2.0, NOW_SECONDS)
    assert [credit.spend(NOW_SECONDS, limits) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert credit.spend(NOW_SECONDS + 0.75, limits) == 0.5
    assert credit.spend(NOW_SECONDS + 1.75, limits) == 0.0
    assert [credit.spend(NOW_SECONDS + 100.0, limits) for _ in range(3)] == [0.0, 0.0, 0.5]


@pytest.mark.parametrize(
    ("step", "costs_credit", "waits"),
    [
        (Packet(PacketKind.CAN_DO, (b"f",)), True, False),
        (Packet(PacketKind.RESET_ABILITIES), True, False),
        (TextLine(("status",)), True, False),
        (Packet(PacketKind.SUBMIT_JOB, (b"f", b"", b"")), False, True),
        (Packet(PacketKind.SUBMIT_JOB_LOW_BG, (b"f", b"", b"")), False, True),
        (Packet(PacketKind.GRAB_JOB), False, False),
        (Reply(b""), False, False),
    ],
    ids=[
        "CAN_DO",
        "RESET_ABILITIES",
        "text command",
        "SUBMIT_JOB",
        "SUBMIT_JOB_LOW_BG",
        "GRAB_JOB",
        "reply",
    ],
)
def test_registrations_cost_credit_and_submissions_wait_for_the_core(step, costs_credit, waits):
    assert costs_registration_credit(step) is costs_credit
    assert waits_for_core(step) is waits
