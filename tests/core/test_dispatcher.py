"""The dispatcher without sockets: one final answer in time, calls and notifications."""

import gc
import threading
import weakref
from dataclasses import replace
from types import SimpleNamespace

import pytest

from stepstream.core.call_handler import call_deadline_us, may_start
from stepstream.core.commands import Answer, Outcome, PollEndpoints, Progress, StartCall, StopCall
from stepstream.core.events import (
    CallEnded,
    CallTimeoutSet,
    ClientDisconnected,
    JobNotification,
    JobStatus,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
)
from stepstream.core.requests import Call
from stepstream.model.actions import Fail, Reject, StartAttempt
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import (
    AttemptResult,
    ConnectionRefused,
    EndpointCallFailed,
    EndpointListConfirmed,
    SettingsChanged,
)
from stepstream.model.settings import Settings
from stepstream.policy.unconfirmed_list import MAX_UNCONFIRMED_US
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.builders import WORKERS, make_request
from tests.core.harness import START_US, DispatcherHarness, commands_of_type


def only_call(commands):
    (start,) = commands_of_type(StartCall, commands)
    return start.call


def other_worker(call):
    return next(worker.worker_id for worker in WORKERS if worker.worker_id != call.worker_id)


# -- notifications ------------------------------------------------------------------------------


def test_a_done_notification_answers_the_request_and_its_repeat_has_no_effect():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    done = JobNotification("aa", only_call(commands).worker_id, JobStatus.DONE, "42")
    assert harness.post(done) == [Answer(request, Outcome.SERVED, "42")]
    assert harness.post(done) == []
    assert not harness.dispatcher.requests
    assert harness.dispatcher.open_count == 0


@pytest.fixture
def no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_garbage_collection")
def test_an_answered_request_is_freed_at_once_with_the_connection_that_sent_it():
    # Guards against answered requests, their keys and connections that wait for a full collection.
    harness = DispatcherHarness()
    sink = threading.Event()  # stands for a connection; the core only keeps it
    request = make_request("aa", harness.now_us)
    request.response_sink = sink
    commands = harness.post(RequestReceived(request))
    worker_id = only_call(commands).worker_id
    harness.post(JobNotification("aa", worker_id, JobStatus.DONE, "42"))
    held = weakref.ref(sink)
    harness.commands.clear()
    del request, sink, commands
    assert held() is None


def test_a_notification_from_another_worker_or_for_an_unknown_job_is_ignored():
    harness = DispatcherHarness()
    _, commands = harness.receive()
    other = other_worker(only_call(commands))
    assert (
        harness.post(
            JobNotification("aa", other, JobStatus.DONE, "x"),
            JobNotification("zz", other, JobStatus.DONE, "x"),
        )
        == []
    )
    assert harness.dispatcher.open_count == 1


@pytest.mark.parametrize("status", [JobStatus.FAILED, JobStatus.LOST, JobStatus.RETURNED])
def test_a_job_that_ended_without_a_result_is_started_at_another_worker(status):
    harness = DispatcherHarness()
    _, commands = harness.receive()
    first = only_call(commands)
    second = only_call(harness.post(JobNotification("aa", first.worker_id, status)))
    assert second.worker_id != first.worker_id
    assert second.attempt_number == 1
    # A repetition of the notification must not end the second call.
    assert harness.post(JobNotification("aa", first.worker_id, status)) == []


def test_a_worker_that_refused_a_connection_gets_no_call_until_an_old_list_is_confirmed():
    # Guards against jobs for a worker that was removed from the list and has come back as a new
    # process, which is not warmed up yet.
    harness = DispatcherHarness()
    harness.post(ConnectionRefused("s-1"), EndpointCallFailed())
    harness.now_us += MAX_UNCONFIRMED_US

    def workers_that_serve(request_numbers):
        calls = [only_call(harness.receive(f"{number:02x}")[1]) for number in request_numbers]
        for call in calls:
            harness.post(JobNotification(call.request.id, call.worker_id, JobStatus.DONE, "42"))
        return {call.worker_id for call in calls}

    assert "s-1" not in workers_that_serve(range(24))
    harness.post(EndpointListConfirmed())
    assert "s-1" in workers_that_serve(range(24, 48))


def test_a_job_that_reaches_its_deadline_while_waiting_is_rejected_and_not_failed():
    # Guards against status 502 for a job that never ran: its client could not safely retry it.
    harness = DispatcherHarness()
    harness.post(EndpointList(EndpointListKind.COMPLETE, ()))
    request, commands = harness.receive(budget_us=100_000)  # the policy allows a wait of 160 ms
    assert not commands_of_type(Answer, commands)
    answered = harness.run_until(request.deadline_us)
    (answer,) = commands_of_type(Answer, answered)
    assert answer.outcome is Outcome.REJECTED
    assert not harness.dispatcher.requests


def test_a_done_notification_after_a_reset_call_still_serves_the_request():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    first = only_call(commands)
    harness.post(CallEnded(first, AttemptResult.RESET))
    commands = harness.post(JobNotification("aa", first.worker_id, JobStatus.DONE, "7"))
    assert commands_of_type(Answer, commands) == [Answer(request, Outcome.SERVED, "7")]
    assert len(commands_of_type(StopCall, commands)) == 1  # the second call is no longer needed


def test_progress_is_reported_until_the_answer():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    worker = only_call(commands).worker_id
    running = JobNotification("aa", worker, JobStatus.RUNNING, progress=(2, 5))
    assert harness.post(running) == [Progress(request, 2, 5)]
    harness.post(JobNotification("aa", worker, JobStatus.DONE, "x"))
    assert harness.post(running) == []


# -- deadlines and disconnections ---------------------------------------------------------------


def test_at_its_deadline_a_request_fails_and_its_call_is_stopped_without_a_report_of_the_carrier():
    harness = DispatcherHarness(
        Settings(classes=POLICY_SETTINGS.classes, attempt_limit=4, may_cancel=True)
    )
    request, commands = harness.receive(job_class=1)
    call = only_call(commands)
    commands = harness.run_until(request.deadline_us)
    assert StopCall(call) in commands
    assert commands_of_type(Answer, commands) == [Answer(request, Outcome.FAILED)]
    # A later report of the carrier has no effect.
    assert harness.post(CallEnded(call, AttemptResult.OK)) == []
    assert not harness.dispatcher.requests


def test_a_request_that_the_policy_leaves_without_answer_fails_a_tick_after_its_deadline():
    harness = DispatcherHarness()
    request, _ = harness.receive()
    harness.dispatcher.load_balancer = SimpleNamespace(handle=lambda now_us, events: [])
    deadline_us = request.deadline_us - LIMITS.loop.answer_margin_us
    assert not commands_of_type(Answer, harness.run_until(deadline_us))
    commands = harness.run_until(deadline_us + 2 * LIMITS.loop.timer_tick_us)
    assert commands_of_type(Answer, commands) == [Answer(request, Outcome.FAILED)]


def test_a_call_is_stopped_at_the_timeout_that_its_worker_has_set():
    harness = DispatcherHarness()
    _, commands = harness.receive()
    call = only_call(commands)
    harness.post(CallTimeoutSet(call, harness.now_us + 50_000))
    commands = harness.run_until(harness.now_us + 60_000)
    assert StopCall(call) in commands
    assert call.result is AttemptResult.TIMEOUT


def test_a_request_that_the_policy_rejects_is_answered_in_the_same_round():
    harness = DispatcherHarness()
    harness.post(EndpointList(EndpointListKind.COMPLETE, ()))
    request, _ = harness.receive()
    # The policy's longest wait ends long before the deadline.
    commands = harness.run_until(START_US + 400_000)
    (answer,) = commands_of_type(Answer, commands)
    assert answer.outcome is Outcome.REJECTED
    assert answer.request is request


def test_a_disconnected_client_gets_no_answer_and_its_call_is_stopped():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    assert harness.post(ClientDisconnected(request)) == [StopCall(only_call(commands))]
    assert harness.post(ClientDisconnected(request)) == []
    assert not harness.dispatcher.requests


def test_requests_from_before_and_during_a_shutdown_are_answered_by_its_deadline():
    harness = DispatcherHarness()
    early, _ = harness.receive("aa")
    end_us = harness.now_us + 1_000_000
    harness.post(ShutdownStarted(end_us))
    late, _ = harness.receive("bb")
    answers = commands_of_type(Answer, harness.run_until(end_us))
    assert {answer.request for answer in answers} == {early, late}


# -- admission ----------------------------------------------------------------------------------


def test_a_second_request_with_an_open_id_fails_at_once_and_the_first_stays_open():
    harness = DispatcherHarness()
    first, first_commands = harness.receive()
    second, commands = harness.receive()
    assert commands == [Answer(second, Outcome.FAILED)]
    harness.post(ClientDisconnected(second))
    assert not commands_of_type(Answer, first_commands)
    assert not first.answered


def test_a_request_beyond_max_open_requests_is_rejected_at_once():
    harness = DispatcherHarness(
        Settings(classes=POLICY_SETTINGS.classes, max_open_requests=1, max_retry_after_us=5)
    )
    harness.receive("aa")
    second, commands = harness.receive("bb")
    assert commands == [Answer(second, Outcome.REJECTED, None, 5)]


def test_a_second_answer_to_a_request_with_an_open_call_is_dropped():
    harness = DispatcherHarness()
    request, _ = harness.receive()
    commands = harness.apply_policy_actions(Fail("aa"), Reject("aa", 5))
    assert commands == [Answer(request, Outcome.FAILED)]


# -- faults -------------------------------------------------------------------------------------


def test_a_fault_in_the_policy_fails_the_job_and_is_logged(monkeypatch):
    def broken(*_):
        raise KeyError("lost")

    harness = DispatcherHarness()
    monkeypatch.setattr(harness.dispatcher.load_balancer, "handle", broken)
    request, commands = harness.receive()
    assert commands == [Answer(request, Outcome.FAILED)]
    assert harness.log.events == [("internal_fault", "policy decisions", "KeyError('lost')")]


def test_a_request_that_its_front_failed_on_is_failed_and_its_call_is_stopped():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    assert harness.post(RequestFaulted(request)) == [
        Answer(request, Outcome.FAILED),
        StopCall(only_call(commands)),
    ]


def test_a_fault_of_a_second_request_with_the_same_id_leaves_the_first_alone():
    harness = DispatcherHarness()
    first, commands = harness.receive("aa")
    call = only_call(commands)
    second, _ = harness.receive("aa")
    assert not commands_of_type(StopCall, harness.post(RequestFaulted(second)))
    done = JobNotification("aa", call.worker_id, JobStatus.DONE, "1")
    (answer,) = commands_of_type(Answer, harness.post(done))
    assert answer.request is first
    assert answer.outcome is Outcome.SERVED


def test_a_failed_poll_of_the_endpoint_list_is_repeated():
    harness = DispatcherHarness()
    assert commands_of_type(PollEndpoints, harness.commands) == [PollEndpoints(True)]
    harness.post(EndpointList(EndpointListKind.FAILED))
    assert PollEndpoints(True) in harness.run_until(START_US + 600_000)


# -- calls --------------------------------------------------------------------------------------


def test_a_second_attempt_at_a_worker_with_an_open_call_is_not_sent():
    harness = DispatcherHarness()
    request, commands = harness.receive()
    call = only_call(commands)
    commands = harness.apply_policy_actions(StartAttempt("aa", call.worker_id))
    assert [attempt.open for attempt in request.calls] == [True, False]
    assert not commands_of_type(StartCall, commands)


@pytest.mark.parametrize(
    ("result", "may_collide"),
    [
        (None, True),
        (AttemptResult.RESET, False),
        (AttemptResult.TIMEOUT, True),
        (AttemptResult.CANCELLED, True),
        (AttemptResult.FULL, False),
        (AttemptResult.CONNECT_FAILED, False),
        (AttemptResult.ERROR, False),
    ],
)
def test_a_worker_that_may_still_work_on_a_call_gets_no_second_call_of_the_request(
    result, may_collide
):
    """The cancellation of the first call could reach the worker after the second call."""
    harness = DispatcherHarness()
    request, commands = harness.receive()
    first = only_call(commands)
    if result is not None:
        first.open = False
        first.result = result
    commands = harness.apply_policy_actions(StartAttempt("aa", first.worker_id))
    assert (not commands_of_type(StartCall, commands)) == may_collide
    assert request.calls[-1].result == (AttemptResult.NOT_SENT if may_collide else None)


@pytest.mark.parametrize(
    ("attempt_number", "now_us", "answered", "allowed"),
    [
        (0, 99, False, True),
        (1, 99, False, False),  # beyond the attempt limit
        (0, 100, False, False),  # at its deadline
        (0, 99, True, False),
    ],
)
def test_a_call_starts_only_within_the_limits_of_its_request(
    attempt_number, now_us, answered, allowed
):
    request = make_request("aa")
    request.answered = answered
    call = Call(request, attempt_number, "s-0", sent_us=now_us, deadline_us=100)
    assert may_start(call, now_us, attempt_limit=1) == allowed


@pytest.mark.parametrize(("timeout_us", "deadline_us"), [(0, 990), (20, 520), (800, 990)])
def test_a_call_ends_at_its_own_timeout_or_before_the_deadline_of_its_request(
    timeout_us, deadline_us
):
    request = make_request("aa", now_us=0, budget_us=1000)
    assert call_deadline_us(request, 500, timeout_us, answer_margin_us=10) == deadline_us


@pytest.mark.parametrize(
    ("result", "has_write_deadline"),
    [(AttemptResult.RESET, True), (None, True), (AttemptResult.CONNECT_FAILED, False)],
)
def test_a_retry_must_be_written_in_the_key_window_of_the_first_call_that_may_have_run(
    result, has_write_deadline
):
    """Connecting and queueing take time, so the window limits the write, not the retry decision."""
    harness = DispatcherHarness()
    request = replace(make_request("aa", harness.now_us, job_class=1), settings=POLICY_SETTINGS)
    first = only_call(harness.post(RequestReceived(request)))
    assert first.write_deadline_us is None
    if result is not None:
        first.open = False
        first.result = result
    harness.now_us += 50_000
    harness.apply_policy_actions(StartAttempt("aa", other_worker(first)))
    window_us = POLICY_SETTINGS.classes[1].idempotency_window_us
    assert len(request.calls) == 2
    assert request.calls[-1].write_deadline_us == (
        first.sent_us + window_us if has_write_deadline else None
    )


# -- reload -------------------------------------------------------------------------------------

REVERSED_SETTINGS = replace(
    POLICY_SETTINGS, classes=POLICY_SETTINGS.classes[::-1], tenants=POLICY_SETTINGS.tenants[::-1]
)
SETTINGS_WITHOUT_FIRST_CLASS = replace(POLICY_SETTINGS, classes=POLICY_SETTINGS.classes[1:])


def mean_run_times_us(harness):
    return harness.dispatcher.load_balancer.state.measurements.run_times.mean_elapsed_us


def test_a_request_read_before_a_reload_keeps_its_class_and_tenant_by_name():
    harness = DispatcherHarness()
    harness.post(SettingsChanged(REVERSED_SETTINGS))
    request = replace(make_request("aa", harness.now_us), settings=POLICY_SETTINGS)
    assert only_call(harness.post(RequestReceived(request))).request is request
    assert (request.job_class, request.tenant) == (1, 1)


def test_a_request_of_a_class_that_a_reload_removed_fails_at_once():
    harness = DispatcherHarness()
    harness.post(SettingsChanged(SETTINGS_WITHOUT_FIRST_CLASS))
    request = replace(make_request("aa", harness.now_us), settings=POLICY_SETTINGS)
    assert harness.post(RequestReceived(request)) == [Answer(request, Outcome.FAILED)]


def test_a_job_open_during_a_reload_is_served_and_its_run_time_counts_for_its_class():
    harness = DispatcherHarness()
    _, commands = harness.receive(job_class=1)
    call = only_call(commands)
    mean_run_times_us(harness)[:] = [1.0, 2.0, 3.0]
    harness.post(SettingsChanged(REVERSED_SETTINGS))
    assert mean_run_times_us(harness) == [2.0, 1.0, 3.0]
    harness.now_us += 1_000_000
    done = JobNotification("aa", call.worker_id, JobStatus.DONE, "1")
    assert commands_of_type(Answer, harness.post(done))[0].outcome is Outcome.SERVED
    assert mean_run_times_us(harness)[0] > 2.0
    assert mean_run_times_us(harness)[1] == 1.0
    harness.post(SettingsChanged(SETTINGS_WITHOUT_FIRST_CLASS))
    assert len(mean_run_times_us(harness)) == 2
