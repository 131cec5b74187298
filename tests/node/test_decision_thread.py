"""The decision thread: which events are in a batch, and which component gets each command."""

import time
from types import SimpleNamespace

import pytest

from stepstream.config.node_config import config_from
from stepstream.core.commands import (
    Answer,
    CheckWorkerHealth,
    ForwardNotification,
    LogMessage,
    Outcome,
    Progress,
    StartCall,
    StopCall,
)
from stepstream.http.destination_set import DISCOVERY_SOURCE
from stepstream.node.node import Node
from tests.config.configurations import CONFIGURATION


class RecordingCarrier:
    """Records the calls and health checks that it gets."""

    def __init__(self):
        self.calls = []

    def start(self, call):
        self.calls.append(("start", call))

    def stop(self, call):
        self.calls.append(("stop", call))

    def check_health(self, worker_id):
        self.calls.append(("check_health", worker_id))


class RecordingSink:
    """Records the answers and the progress of a request."""

    def __init__(self):
        self.received = []

    def answer(self, answer):
        self.received.append(answer)

    def progress(self, done, total):
        self.received.append((done, total))


@pytest.fixture
def node():
    """A node that is not started; a recording carrier gets the calls to discovery's workers."""
    created_node = Node(config_from(CONFIGURATION, {}))
    created_node.carriers[DISCOVERY_SOURCE] = RecordingCarrier()
    return created_node


def test_a_batch_is_bounded_and_keeps_the_order_of_the_events(node):
    limit = node.limits.loop.event_batch
    for number in range(limit + 3):
        node.post(number)
    assert node.decision_thread.next_events() == list(range(limit))
    assert node.decision_thread.next_events() == [limit, limit + 1, limit + 2]


def test_with_a_due_timer_there_is_no_wait_for_events(node, monkeypatch):
    monkeypatch.setattr(node.core, "next_timer_us", lambda: node.clock.now_us() - 1)
    started_at = time.monotonic()
    assert node.decision_thread.next_events() == []
    assert time.monotonic() - started_at < node.limits.loop.max_wait_seconds


def test_without_a_timer_the_wait_for_events_ends_after_max_wait_seconds(node, monkeypatch):
    monkeypatch.setattr(node.core, "next_timer_us", lambda: None)
    started_at = time.monotonic()
    assert node.decision_thread.next_events() == []
    assert time.monotonic() - started_at >= node.limits.loop.max_wait_seconds


def test_a_call_is_stopped_at_the_carrier_that_started_it(node):
    call = SimpleNamespace(worker_id="s-1", carrier=None)
    first = node.carriers[DISCOVERY_SOURCE]
    node.decision_thread.execute(StartCall(call))
    node.carriers[DISCOVERY_SOURCE] = RecordingCarrier()
    node.decision_thread.execute(StopCall(call))
    assert first.calls == [("start", call), ("stop", call)]


def test_a_delegated_health_check_is_not_sent_by_this_dispatcher(node):
    node.is_health_check_delegated = lambda worker_id: worker_id == "s-1"
    node.decision_thread.execute(CheckWorkerHealth("s-1"))
    node.decision_thread.execute(CheckWorkerHealth("s-2"))
    assert node.carriers[DISCOVERY_SOURCE].calls == [("check_health", "s-2")]


def test_answers_reach_their_response_sink_and_are_counted_by_outcome(node):
    request = SimpleNamespace(response_sink=RecordingSink())
    answer = Answer(request, Outcome.SERVED, b"1")
    node.decision_thread.execute(Progress(request, 1, 2))
    node.decision_thread.execute(answer)
    assert request.response_sink.received == [(1, 2), answer]
    assert node.decision_thread.outcome_counts == {
        Outcome.SERVED: 1,
        Outcome.REJECTED: 0,
        Outcome.FAILED: 0,
    }


def test_other_commands_go_to_a_subsystems_handler_or_are_dropped(node):
    handled = []
    command = ForwardNotification(object())
    node.decision_thread.execute(command)
    node.command_handlers[ForwardNotification] = handled.append
    node.decision_thread.execute(command)
    assert handled == [command]


def test_a_fault_in_one_command_does_not_prevent_the_next(node, monkeypatch, capsys):
    broken = StopCall(SimpleNamespace(carrier=None))
    monkeypatch.setattr(node.core, "handle", lambda _now, _events: [broken, LogMessage("next")])
    node.post(object())
    node.decision_thread.run_batch()
    fault_line, message_line = capsys.readouterr().err.splitlines()
    assert fault_line.startswith(
        'stepstream: error internal_fault where="a command" error_type=AttributeError'
    )
    assert message_line == "stepstream: info policy_message text=next"
