"""The outbound carrier on loopback sockets: results of calls, last checks, connections, limits."""

import socket
import threading
import time
from dataclasses import replace

import pytest

from stepstream.config.limits import ConnectionLimits, Limits, Timeouts
from stepstream.http.codec import write_answer
from stepstream.http.connection_pool import PooledConnection
from stepstream.http.in_flight_call import UnsentReason
from stepstream.http.outbound import max_unsent_us
from stepstream.model.endpoints import EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, ConnectionRefused
from stepstream.model.settings import Effect
from tests.case_ids import case_id
from tests.config.configurations import HEALTH_CHECK_LOAD_REPORTS, LIMITS, POLICY_SETTINGS
from tests.http.outbound_harness import (
    CLOCK,
    LIMITS_WITHOUT_REUSE_DELAY,
    accept_job,
    endpoint_answer,
)
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

NOT_STARTED = {"Not-Started": "1"}


def run_on_acquire(monkeypatch, harness, action):
    """Run `action(connection)` whenever a call acquires a connection.

    Return the list of connections that are acquired from now on.
    """
    acquire = harness.carrier.pool.acquire
    acquired = []

    def acquire_and_run(worker, address, **options):
        connection = acquire(worker, address, **options)
        acquired.append(connection)
        action(connection)
        return connection

    monkeypatch.setattr(harness.carrier.pool, "acquire", acquire_and_run)
    return acquired


# -- outcomes --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (lambda _: write_answer(503, headers=NOT_STARTED), AttemptResult.FULL),
        (lambda _: write_answer(500), AttemptResult.ERROR),
        (lambda _: None, AttemptResult.RESET),
        (lambda _: b"junk\r\n\r\n", AttemptResult.RESET),
    ],
)
def test_the_answer_decides_the_result_of_the_call(start_carrier, reply, result):
    harness = start_carrier(reply)
    assert harness.wait_for_result(harness.start_call()) is result


def test_a_refused_connection_ends_the_call_as_connect_failed_and_is_reported(start_carrier):
    harness = start_carrier(accept_job)
    harness.server.close()
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    harness.destinations.apply(endpoint_answer(w=port))
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.CONNECT_FAILED
    assert harness.events[0] == ConnectionRefused("w")


def test_connections_refused_by_several_workers_cause_one_check_of_the_list(start_carrier):
    harness = start_carrier(accept_job)
    harness.destinations.apply(endpoint_answer(w=free_port(), x=free_port(), y=harness.server.port))
    for worker in "wx":
        call = harness.start_call(worker=worker)
        assert harness.wait_for_result(call) is AttemptResult.CONNECT_FAILED
    assert set(harness.destinations.staleness.first_refusal_seconds) == {"w", "x"}
    assert not harness.destinations.claim_staleness_check()
    harness.destinations.staleness.check_due_seconds = 0.0
    assert harness.destinations.claim_staleness_check()
    assert not harness.destinations.claim_staleness_check()


@pytest.mark.parametrize(
    "incomplete_answer", [b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 2"]
)
def test_a_call_whose_answer_never_ends_has_the_result_reset_after_a_timeout(
    start_carrier, incomplete_answer
):
    limits = Limits(timeouts=Timeouts(answer_body_seconds=0.05))
    harness = start_carrier(lambda _: incomplete_answer, limits)
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.RESET
    assert harness.carrier.pool.open_count == 0


def test_a_fault_in_a_calling_thread_still_ends_the_call(start_carrier, monkeypatch, capfd):
    def raise_fault(*_):
        raise KeyError("lost")

    harness = start_carrier(accept_job)
    monkeypatch.setattr(harness.carrier, "call_worker", raise_fault)
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.NOT_SENT
    assert 'internal_fault where="a call" error_type=KeyError' in capfd.readouterr().err


def test_a_stop_closes_the_connection_before_the_202_and_cancels_the_job_after_it(start_carrier):
    send_first_answer = threading.Event()

    def reply(message):
        if message.method == "POST" and message.headers["request-id"] == "01":
            send_first_answer.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(202)

    harness = start_carrier(reply)
    first = harness.start_call("01")
    wait_for(lambda: harness.server.requests)
    harness.carrier.stop(first)
    # The calling thread posts this result, but the core ignores it, because the core itself has
    # ended the call.
    assert harness.wait_for_result(first) is AttemptResult.RESET
    send_first_answer.set()
    second = harness.start_accepted_call("02")
    harness.carrier.stop(second)
    cancelled = wait_for(
        lambda: [
            message.target for message in harness.server.requests if message.target == "/jobs/02"
        ]
    )
    assert cancelled == ["/jobs/02"]


@pytest.mark.parametrize(
    ("report_text", "report", "unreadable_count"),
    [("TEXT queue=3", {"queue": 3.0}, 0), ("TEXT queue=x", None, 1)],
    ids=case_id,
)
def test_an_unreadable_load_report_is_counted_and_has_no_other_effect(
    start_carrier, report_text, report, unreadable_count
):
    """The report comes in the header of a rejection and in the body of a health check's answer."""
    settings = replace(
        POLICY_SETTINGS, **{**HEALTH_CHECK_LOAD_REPORTS, "load_report_source": "answers"}
    )
    reply = write_answer(503, report_text.encode(), {**NOT_STARTED, "Server-Load": report_text})
    harness = start_carrier(lambda _: reply, settings=settings)
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.FULL
    assert harness.events[0].load_report == report
    harness.carrier.check_health("w")
    checked = wait_for(lambda: harness.events[1:])[0]
    assert (checked.load_report, harness.unreadable_answers.count) == (report, 2 * unreadable_count)
    assert harness.server.requests[1].target == "/-/load"


# -- the checks before the first byte --------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_a_call_to_a_draining_or_removed_worker_is_not_sent(start_carrier, state):
    harness = start_carrier(accept_job)
    changes = endpoint_answer(state, EndpointListKind.CHANGES, w=harness.server.port)
    harness.destinations.apply(changes)
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.NOT_SENT
    assert not harness.server.requests


def test_a_call_queued_too_long_is_not_sent(start_carrier):
    harness = start_carrier(accept_job)
    sent_us = CLOCK.now_us() - int(LIMITS.timeouts.call_queue_seconds * 1e6) - 1
    call = harness.start_call(sent_us=sent_us)
    assert harness.wait_for_result(call) is AttemptResult.NOT_SENT
    reason = harness.carrier.reason_not_to_send(call, call.carrier_state)
    assert reason is UnsentReason.QUEUED_TOO_LONG


@pytest.mark.parametrize(("has_connected", "max_us"), [(False, 200_000), (True, 700_000)])
def test_a_call_that_has_connected_may_wait_longer_by_the_connect_timeout(has_connected, max_us):
    timeouts = Timeouts(call_queue_seconds=0.2, connect_seconds=0.5)
    assert max_unsent_us(timeouts, has_connected=has_connected) == max_us


def test_a_call_is_not_sent_if_its_worker_begins_to_drain_while_connecting(
    start_carrier, monkeypatch
):
    harness = start_carrier(accept_job)
    changes = endpoint_answer(
        EndpointState.DRAINING, EndpointListKind.CHANGES, w=harness.server.port
    )
    run_on_acquire(monkeypatch, harness, lambda _: harness.destinations.apply(changes))
    assert harness.wait_for_result(harness.start_call()) is AttemptResult.NOT_SENT
    assert not harness.server.requests


CHANGES_WHILE_CONNECTING = {
    "client disconnects": (
        lambda harness, call: setattr(call.request, "client_disconnected", True),
        UnsentReason.NOT_NEEDED,
    ),
    "another attempt answers": (
        lambda harness, call: setattr(call.request, "answered", True),
        UnsentReason.NOT_NEEDED,
    ),
    "idempotency window ends": (
        lambda harness, call: setattr(call, "write_deadline_us", CLOCK.now_us() - 1),
        UnsentReason.IDEMPOTENCY_WINDOW_ENDED,
    ),
    "worker moves": (
        lambda harness, call: harness.destinations.apply(endpoint_answer(w=free_port())),
        UnsentReason.ADDRESS_CHANGED,
    ),
    "core stops the call": (
        lambda harness, call: harness.carrier.stop(call),
        UnsentReason.STOPPED,
    ),
}


@pytest.mark.parametrize(
    ("change", "reason"),
    CHANGES_WHILE_CONNECTING.values(),
    ids=CHANGES_WHILE_CONNECTING.keys(),
)
def test_a_change_while_connecting_is_seen_before_the_first_byte(
    start_carrier, monkeypatch, change, reason
):
    # The queue timeout is long, so that the call is not too late even on a slow machine.
    harness = start_carrier(
        accept_job, Limits(timeouts=Timeouts(call_queue_seconds=WAIT_TIMEOUT_SECONDS))
    )
    call = harness.new_call()
    acquired = run_on_acquire(monkeypatch, harness, lambda _: change(harness, call))
    harness.carrier.start(call)
    assert harness.wait_for_result(call) is AttemptResult.NOT_SENT
    assert not harness.server.requests
    assert harness.carrier.reason_not_to_send(call, call.carrier_state, acquired[0]) is reason


# -- the connection pool ---------------------------------------------------------------------------


def test_a_connection_is_reused_after_a_202(start_carrier):
    harness = start_carrier(accept_job, LIMITS_WITHOUT_REUSE_DELAY)
    for request_id in ("01", "02", "03"):
        harness.start_accepted_call(request_id)
        harness.wait_for_idle_connections()
    assert harness.carrier.pool.open_count == 1
    assert not harness.events


@pytest.mark.parametrize(
    ("effect", "handshake_price", "opened_count"),
    [("unsafe", 0, 3), ("unsafe", 0.01, 1), ("safe", 0, 1)],
)
def test_a_job_that_must_not_run_twice_is_sent_on_a_new_connection(
    start_carrier, effect, handshake_price, opened_count
):
    """An idle connection may be broken unnoticed, and a reset would fail such a job."""
    job_class = replace(POLICY_SETTINGS.classes[0], effect=Effect(effect))
    settings = replace(POLICY_SETTINGS, classes=(job_class,), handshake_price=handshake_price)
    harness = start_carrier(accept_job, LIMITS_WITHOUT_REUSE_DELAY, settings)
    connections = []
    for request_id in ("01", "02", "03"):
        harness.start_accepted_call(request_id)
        # The list keeps each connection referenced, so that no two get the same id.
        connections += harness.wait_for_idle_connections()
    assert len(set(map(id, connections))) == opened_count
    assert harness.carrier.pool.open_count == 1


def test_a_connection_that_its_worker_has_closed_is_not_reused(start_carrier):
    harness = start_carrier(accept_job)
    harness.start_call("01")
    connection = harness.wait_for_idle_connections()[0]
    # Reads now return no bytes, as after a close by the worker.
    connection.sock.shutdown(socket.SHUT_RDWR)
    harness.start_accepted_call("02")
    assert not harness.events
    assert [message.headers["request-id"] for message in harness.server.requests] == ["01", "02"]


@pytest.mark.parametrize(
    ("port", "now_seconds", "reused"), [(1, 14.9, True), (1, 15.0, False), (2, 14.9, False)]
)
def test_a_connection_idle_for_too_long_or_to_an_old_address_is_not_reused(
    port, now_seconds, reused
):
    connection = PooledConnection(socket.socket(), "w", ("127.0.0.1", 1))
    connection.idle_since = 10.0
    with connection.sock:
        assert connection.may_be_reused(("127.0.0.1", port), now_seconds, 5.0) == reused


def test_idle_connections_are_retired_before_the_worker_closes_them(start_carrier):
    limits = Limits(timeouts=Timeouts(outbound_idle_seconds=0.0))
    harness = start_carrier(accept_job, limits)
    harness.start_call()
    harness.wait_for_idle_connections()
    harness.carrier.pool.retire_idle()
    assert harness.carrier.pool.open_count == 0
    assert not harness.carrier.pool.idle


def test_a_late_second_answer_is_not_taken_for_the_answer_to_the_next_call(start_carrier):
    """A late answer 'not started' would otherwise cause the next job to be sent twice."""
    harness = start_carrier(accept_job)
    worker_sockets = harness.server.peers
    pool = harness.carrier.pool
    harness.start_call("01")
    harness.wait_for_idle_connections()
    harness.start_accepted_call("02")  # within the reuse delay of the first connection
    worker_sockets[0].sendall(write_answer(503, headers=NOT_STARTED))
    wait_for(lambda: len(pool.idle["w"]) == 2)
    assert len(worker_sockets) == 2
    assert not harness.events
    # After the delay, the first connection has unread bytes, so it is closed and not reused.
    wait_for(lambda: all(time.monotonic() - idle.idle_since > 0.05 for idle in pool.idle["w"]))
    for request_id in ("03", "04"):
        harness.start_accepted_call(request_id)
    assert not harness.events


def test_a_call_beyond_the_connection_limit_is_not_sent_and_idle_connections_make_room(
    start_carrier,
):
    harness = start_carrier(accept_job, Limits(connections=ConnectionLimits(outbound=1)))
    pool = harness.carrier.pool
    pool.reserve_slot()
    assert harness.wait_for_result(harness.start_call("01")) is AttemptResult.NOT_SENT
    pool.release_slot()
    harness.start_call("02")
    harness.wait_for_idle_connections()
    pool.reserve_slot()  # takes the slot of the idle connection
    assert pool.open_count == 1
