"""When a Gearman connection is closed, evicted or slowed down, decided on views of it."""

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

NOW = 1000.0
CLIENT = ConnectionView(False, False, False, False, True, True, NOW, NOW, NOW)
NEW = replace(CLIENT, has_sent_work=False)
WORKER = replace(CLIENT, is_worker=True)
OWED = replace(CLIENT, has_open_request=True)
PARTIAL = replace(CLIENT, session_idle=False)
UNREAD = replace(CLIENT, has_unsent_bytes=True)
CLOSED = replace(CLIENT, session_closed=True)
TIMEOUTS = LIMITS.timeouts


@pytest.mark.parametrize(
    ("view", "timeout_seconds", "action"),
    [
        (CLIENT, TIMEOUTS.inbound_idle_seconds, TimeoutAction.CLOSE),
        (NEW, TIMEOUTS.first_message_seconds, TimeoutAction.CLOSE),
        (PARTIAL, TIMEOUTS.message_seconds, TimeoutAction.REPLY_AND_CLOSE),
        (UNREAD, TIMEOUTS.write_seconds, TimeoutAction.CLOSE),
        (CLOSED, TIMEOUTS.linger_seconds, TimeoutAction.CLOSE),
    ],
    ids=["client", "new", "partial message", "unread answer", "closed"],
)
def test_each_state_has_its_timeout(view, timeout_seconds, action):
    assert timeout_action(view, NOW + timeout_seconds, TIMEOUTS) is TimeoutAction.NONE
    assert timeout_action(view, NOW + timeout_seconds + 0.01, TIMEOUTS) is action


@pytest.mark.parametrize("view", [WORKER, OWED], ids=["worker", "answer due"])
def test_a_connection_in_use_has_no_idle_timeout(view):
    assert timeout_action(view, NOW + 1e6, TIMEOUTS) is TimeoutAction.NONE


@pytest.mark.parametrize(
    ("view", "quiet_seconds", "rank"),
    [
        (CLOSED, 0.0, EvictionRank.DONE),
        (NEW, 1.0, EvictionRank.UNUSED),
        (NEW, 0.99, EvictionRank.NEW),
        (CLIENT, 0.0, EvictionRank.IDLE),
        (WORKER, 1e6, EvictionRank.NEVER),
        (OWED, 1e6, EvictionRank.NEVER),
        (UNREAD, 1e6, EvictionRank.NEVER),
    ],
    ids=["closed", "unused", "new", "client", "worker", "answer due", "unread answer"],
)
def test_a_connection_in_use_is_never_evicted_and_a_new_one_last(view, quiet_seconds, rank):
    assert eviction_state(view, NOW + quiet_seconds, unproven_seconds=1.0).rank is rank


def test_a_shutdown_waits_for_what_is_owed_and_for_clients_until_the_server_closes():
    views = (CLIENT, NEW, WORKER, OWED, PARTIAL, UNREAD, CLOSED)
    waits = {
        closing: [delays_shutdown(view, server_is_closing=closing) for view in views]
        for closing in (False, True)
    }
    assert waits[False] == [True, False, False, True, True, True, False]
    assert waits[True] == [False, False, False, True, True, True, False]
    assert [closes_when_idle(view) for view in views] == [
        *(True, True, False, False, False, False, True)
    ]


def test_registrations_beyond_the_burst_cost_a_pause_each():
    limits = replace(LIMITS.gearman, registration_changes=2, registration_change_pause_seconds=0.5)
    credit = RegistrationCredit(2.0, NOW)
    assert [credit.spend(NOW, limits) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert credit.spend(NOW + 0.75, limits) == 0.5
    assert credit.spend(NOW + 1.75, limits) == 0.0
    assert [credit.spend(NOW + 100.0, limits) for _ in range(3)] == [0.0, 0.0, 0.5]


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
