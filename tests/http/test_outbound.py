"""The outbound carrier on loopback sockets: what each outcome proves, and the limits."""

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
    REUSED_AT_ONCE,
    accept_job,
    endpoint_answer,
)
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

NOT_STARTED = {"Not-Started": "1"}


def run_on_acquire(monkeypatch, harness, action):
    """Run `action(connection)` while each call acquires its connection; the connections so far."""
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
def test_an_answer_ends_the_call_with_what_it_proves(make_carrier, reply, result):
    harness = make_carrier(reply)
    assert harness.result(harness.start_call()) is result


def test_a_refused_connection_never_ran(make_carrier):
    harness = make_carrier(accept_job)
    harness.server.close()
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    harness.destinations.apply(endpoint_answer(w=port))
    assert harness.result(harness.start_call()) is AttemptResult.CONNECT_FAILED
    assert harness.events[0] == ConnectionRefused("w")


def test_connections_refused_by_several_workers_make_the_list_suspect_once(make_carrier):
    harness = make_carrier(accept_job)
    harness.destinations.apply(endpoint_answer(w=free_port(), x=free_port(), y=harness.server.port))
    for worker in "wx":
        call = harness.start_call(worker=worker)
        assert harness.result(call) is AttemptResult.CONNECT_FAILED
    assert set(harness.destinations.staleness.first_refusal_seconds) == {"w", "x"}
    assert not harness.destinations.claim_staleness_check()
    harness.destinations.staleness.check_due_seconds = 0.0
    assert harness.destinations.claim_staleness_check()
    assert not harness.destinations.claim_staleness_check()


@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 2"]
)
def test_an_answer_that_never_ends_holds_its_call_for_a_bounded_time(make_carrier, start):
    limits = Limits(timeouts=Timeouts(answer_body_seconds=0.05))
    harness = make_carrier(lambda _: start, limits)
    assert harness.result(harness.start_call()) is AttemptResult.RESET
    assert harness.carrier.pool.open_count == 0


def test_a_fault_in_a_calling_thread_still_ends_the_call(make_carrier, monkeypatch, capfd):
    def broken(*_):
        raise KeyError("lost")

    harness = make_carrier(accept_job)
    monkeypatch.setattr(harness.carrier, "call_worker", broken)
    assert harness.result(harness.start_call()) is AttemptResult.NOT_SENT
    assert 'internal_fault where="a call" error_type=KeyError' in capfd.readouterr().err


def test_a_stop_before_the_202_closes_and_after_it_deletes(make_carrier):
    hold = threading.Event()

    def reply(message):
        if message.method == "POST" and message.headers["request-id"] == "01":
            hold.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(202)

    harness = make_carrier(reply)
    first = harness.start_call("01")
    wait_for(lambda: harness.server.requests)
    harness.carrier.stop(first)
    # The core has ended the call before: this is the calling thread's report alone.
    assert harness.result(first) is AttemptResult.RESET
    hold.set()
    second = harness.start_accepted_call("02")
    harness.carrier.stop(second)
    deleted = wait_for(
        lambda: [m.target for m in harness.server.requests if m.target == "/jobs/02"]
    )
    assert deleted == ["/jobs/02"]


@pytest.mark.parametrize(
    ("load", "report", "unreadable"),
    [("TEXT queue=3", {"queue": 3.0}, 0), ("TEXT queue=x", None, 1)],
    ids=case_id,
)
def test_a_load_report_costs_nothing_but_itself(make_carrier, load, report, unreadable):
    """In a rejection's header and in a health check's body; an unreadable one is counted."""
    settings = replace(
        POLICY_SETTINGS, **{**HEALTH_CHECK_LOAD_REPORTS, "load_report_source": "answers"}
    )
    reply = write_answer(503, load.encode(), {**NOT_STARTED, "Server-Load": load})
    harness = make_carrier(lambda _: reply, settings=settings)
    assert harness.result(harness.start_call()) is AttemptResult.FULL
    assert harness.events[0].load_report == report
    harness.carrier.check_health("w")
    checked = wait_for(lambda: harness.events[1:])[0]
    assert (checked.load_report, harness.unreadable.count) == (report, 2 * unreadable)
    assert harness.server.requests[1].target == "/-/load"


# -- the checks before the first byte --------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_a_call_to_a_worker_that_has_begun_to_drain_is_not_sent(make_carrier, state):
    harness = make_carrier(accept_job)
    changes = endpoint_answer(state, EndpointListKind.CHANGES, w=harness.server.port)
    harness.destinations.apply(changes)
    assert harness.result(harness.start_call()) is AttemptResult.NOT_SENT
    assert not harness.server.requests


def test_a_call_queued_too_long_is_not_sent(make_carrier):
    harness = make_carrier(accept_job)
    sent_us = CLOCK.now_us() - int(LIMITS.timeouts.call_queue_seconds * 1e6) - 1
    call = harness.start_call(sent_us=sent_us)
    assert harness.result(call) is AttemptResult.NOT_SENT
    reason = harness.carrier.reason_not_to_send(call, call.carrier_state)
    assert reason is UnsentReason.QUEUED_TOO_LONG


@pytest.mark.parametrize(("has_connected", "max_us"), [(False, 200_000), (True, 700_000)])
def test_the_wait_of_a_call_counts_its_connecting_only_once_it_has_connected(has_connected, max_us):
    timeouts = Timeouts(call_queue_seconds=0.2, connect_seconds=0.5)
    assert max_unsent_us(timeouts, has_connected=has_connected) == max_us


def test_a_drain_listed_while_the_connection_is_made_still_counts(make_carrier, monkeypatch):
    harness = make_carrier(accept_job)
    changes = endpoint_answer(
        EndpointState.DRAINING, EndpointListKind.CHANGES, w=harness.server.port
    )
    run_on_acquire(monkeypatch, harness, lambda _: harness.destinations.apply(changes))
    assert harness.result(harness.start_call()) is AttemptResult.NOT_SENT
    assert not harness.server.requests


CHANGES_WHILE_CONNECTING = {
    "client disconnects": (
        lambda harness, call: setattr(call.request, "client_disconnected", True),
        UnsentReason.NOT_NEEDED,
    ),
    "another copy answers": (
        lambda harness, call: setattr(call.request, "answered", True),
        UnsentReason.NOT_NEEDED,
    ),
    "window ends": (
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
    make_carrier, monkeypatch, change, reason
):
    # However slow the machine is, the call has not waited too long.
    harness = make_carrier(
        accept_job, Limits(timeouts=Timeouts(call_queue_seconds=WAIT_TIMEOUT_SECONDS))
    )
    call = harness.new_call()
    acquired = run_on_acquire(monkeypatch, harness, lambda _: change(harness, call))
    harness.carrier.start(call)
    assert harness.result(call) is AttemptResult.NOT_SENT
    assert not harness.server.requests
    assert harness.carrier.reason_not_to_send(call, call.carrier_state, acquired[0]) is reason


# -- the connection pool ---------------------------------------------------------------------------


def test_a_202_ends_the_exchange_and_its_connection_serves_the_next(make_carrier):
    harness = make_carrier(accept_job, REUSED_AT_ONCE)
    for name in ("01", "02", "03"):
        harness.start_accepted_call(name)
        harness.idle_connections()
    assert harness.carrier.pool.open_count == 1
    assert not harness.events


@pytest.mark.parametrize(
    ("effect", "price", "opened"), [("unsafe", 0, 3), ("unsafe", 0.01, 1), ("safe", 0, 1)]
)
def test_what_must_not_run_twice_goes_on_a_connection_of_its_own(
    make_carrier, effect, price, opened
):
    """An idle connection may have died unnoticed, and a reset under such a job is its failure."""
    job_class = replace(POLICY_SETTINGS.classes[0], effect=Effect(effect))
    settings = replace(POLICY_SETTINGS, classes=(job_class,), handshake_price=price)
    harness = make_carrier(accept_job, REUSED_AT_ONCE, settings)
    connections = []
    for name in ("01", "02", "03"):
        harness.start_accepted_call(name)
        connections += harness.idle_connections()  # referenced: no two share an id
    assert len(set(map(id, connections))) == opened
    assert harness.carrier.pool.open_count == 1


def test_a_connection_that_its_worker_closed_is_not_written_to(make_carrier):
    harness = make_carrier(accept_job)
    harness.start_call("01")
    connection = harness.idle_connections()[0]
    connection.sock.shutdown(socket.SHUT_RDWR)  # as good as closed by the worker: reads end
    harness.start_accepted_call("02")
    assert not harness.events
    assert [m.headers["request-id"] for m in harness.server.requests] == ["01", "02"]


@pytest.mark.parametrize(
    ("port", "now_seconds", "reused"), [(1, 14.9, True), (1, 15.0, False), (2, 14.9, False)]
)
def test_a_connection_idle_for_long_or_to_an_old_address_is_not_reused(port, now_seconds, reused):
    connection = PooledConnection(socket.socket(), "w", ("127.0.0.1", 1))
    connection.idle_since = 10.0
    with connection.sock:
        assert connection.may_be_reused(("127.0.0.1", port), now_seconds, 5.0) == reused


def test_idle_connections_are_retired_before_the_worker_closes_them(make_carrier):
    limits = Limits(timeouts=Timeouts(outbound_idle_seconds=0.0))
    harness = make_carrier(accept_job, limits)
    harness.start_call()
    harness.idle_connections()
    harness.carrier.pool.retire_idle()
    assert harness.carrier.pool.open_count == 0
    assert not harness.carrier.pool.idle


def test_a_second_answer_a_moment_late_does_not_pass_for_the_next_calls(make_carrier):
    """A late 'rejected, not started' would be a false proof: the next job would be sent again."""
    harness = make_carrier(accept_job)
    accepted_by_worker = harness.server.peers
    pool = harness.carrier.pool
    harness.start_call("01")
    harness.idle_connections()
    harness.start_accepted_call("02")  # at once: within the first connection's reuse delay
    accepted_by_worker[0].sendall(write_answer(503, headers=NOT_STARTED))
    wait_for(lambda: len(pool.idle["w"]) == 2)
    assert len(accepted_by_worker) == 2
    assert not harness.events
    # Past the delay it holds bytes that belong to nothing: it is closed, not used.
    wait_for(lambda: all(time.monotonic() - idle.idle_since > 0.05 for idle in pool.idle["w"]))
    for name in ("03", "04"):
        harness.start_accepted_call(name)
    assert not harness.events


def test_a_call_beyond_the_connection_limit_is_not_sent_and_idle_ones_make_room(make_carrier):
    harness = make_carrier(accept_job, Limits(connections=ConnectionLimits(outbound=1)))
    pool = harness.carrier.pool
    pool.reserve_slot()
    assert harness.result(harness.start_call("01")) is AttemptResult.NOT_SENT
    pool.release_slot()
    harness.start_call("02")
    harness.idle_connections()
    pool.reserve_slot()  # the idle one's slot
    assert pool.open_count == 1
