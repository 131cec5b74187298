"""Tests of the rules for queueing and assigning calls, on records without a service."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from stepstream.core.requests import Call, Payload, Request
from stepstream.gearman.assignment_rules import (
    function_to_assign,
    has_free_slot,
    is_wakeup_due,
    reason_not_to_queue,
)
from stepstream.gearman.names import WorkerIdentity, registered_name
from stepstream.gearman.peers import AssignedCall, QueuedCall, Worker
from stepstream.gearman.worker_registry import is_same_identity
from stepstream.model.events import AttemptResult

IDENTITY = WorkerIdentity("w", zone=0, kind=0, cell=0, slots=1, weight=1.0, started_us=1_000)


def request(*, client_left=False, **fields):
    """A request whose client has left, or waits."""
    sink = SimpleNamespace(has_peer_left=lambda: client_left)
    request = Request("r", 0, 0, 100, payload=Payload("/f"), response_sink=sink)
    return replace(request, **fields)


REQUEST = request()


def call(request=REQUEST, *, still_open=True, deadline_us=100, write_deadline_us=None):
    return Call(
        request,
        0,
        "w",
        0,
        deadline_us,
        open=still_open,
        write_deadline_us=write_deadline_us,
    )


def worker(*assigned, asleep=False, queue=()):
    calls = {
        str(index): AssignedCall(assigned_call, str(index), "f")
        for index, assigned_call in enumerate(assigned)
    }
    new_worker = Worker(None, "gearman:w", IDENTITY, {"f": 0}, assigned=calls, asleep=asleep)
    new_worker.queue.extend(queue)
    return new_worker


@pytest.mark.parametrize(
    ("assigned", "class_name", "queue_length", "reason"),
    [
        ((), "f", 0, None),
        ((), "g", 0, AttemptResult.NOT_SENT),
        ((call(object()),), "f", 0, AttemptResult.FULL),
        ((call(object()),), "f", 1, None),
        ((call(REQUEST),), "f", 1, AttemptResult.NOT_SENT),
    ],
    ids=[
        "idle",
        "function not registered",
        "full",
        "full, another call waits",
        "holds the request",
    ],
)
def test_a_call_is_queued_unless_its_worker_is_full_or_unsuitable_or_holds_its_request(
    assigned, class_name, queue_length, reason
):
    result = reason_not_to_queue(worker(*assigned), call(), class_name, "", queue_length)
    assert result is reason


def test_a_worker_is_woken_only_if_it_sleeps_and_has_work_and_a_free_slot():
    queued = QueuedCall(call(), "f", "", 0)
    assert [has_free_slot(worker()), has_free_slot(worker(call()))] == [True, False]
    assert is_wakeup_due(worker(asleep=True, queue=[queued]))
    assert not is_wakeup_due(worker(asleep=True))
    assert not is_wakeup_due(worker(queue=[queued]))
    assert not is_wakeup_due(worker(call(), asleep=True, queue=[queued]))


@pytest.mark.parametrize(
    ("queued_call", "functions", "now_us", "function"),
    [
        (call(), {"f"}, 99, "f"),
        (call(), {"f"}, 100, None),
        (call(still_open=False), {"f"}, 99, None),
        (call(), {"g"}, 99, None),
        (call(request(answered=True)), {"f"}, 99, None),
        (call(request(client_disconnected=True)), {"f"}, 99, None),
        (call(request(client_left=True)), {"f"}, 99, None),
        (call(write_deadline_us=98), {"f"}, 99, None),
        (call(write_deadline_us=99), {"f"}, 99, "f"),
    ],
    ids=[
        "open",
        "past its deadline",
        "ended",
        "function not registered",
        "answered",
        "client's disconnect reported",
        "client has left unnoticed",
        "idempotency window ended",
        "idempotency window open",
    ],
)
def test_only_an_open_call_of_a_registered_function_is_assigned_before_its_deadline(
    queued_call, functions, now_us, function
):
    queued = QueuedCall(queued_call, "f", "t", 0)
    assert function_to_assign(queued, functions, now_us) == function


def test_a_function_name_with_a_tenant_has_priority_over_one_without():
    assert registered_name({"f", "t/f"}, "f", "t") == "t/f"
    assert registered_name({"f", "t/f"}, "f", "u") == "f"


def test_another_start_time_alone_leaves_the_identity_unchanged():
    assert is_same_identity(IDENTITY, replace(IDENTITY, started_us=2_000))
    assert not is_same_identity(IDENTITY, replace(IDENTITY, slots=2))
