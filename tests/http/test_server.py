"""The connection budget on loopback sockets: admission, eviction and rejection."""

import contextlib
import time

import pytest

from stepstream.config.limits import ConnectionLimits, Limits, Timeouts
from stepstream.core.events import RequestReceived
from stepstream.http import server
from stepstream.http.server import is_budget_spent
from stepstream.runtime.sockets import shut_down
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.http.server_harness import (
    NOTIFICATION,
    READINESS_CHECK,
    WORKER_HOST,
    answer_request,
)
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

RESET_WAIT_SECONDS = 0.05  # on loopback a reset arrives much sooner
EVICTABLE_IDLE_SECONDS = 0.01


def test_a_connection_over_the_budget_gets_503_at_once_and_open_requests_stay(start_server):
    harness = start_server(Limits(connections=ConnectionLimits(inbound=1, reserved_for_workers=0)))
    with harness.connect() as peer:
        peer.sendall(job_request())
        (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
        rejected = exchange(harness.port, b"")
        assert rejected.status == 503
        assert rejected.headers["retry-after"] == "2.000"
        answer_request(open_request)
        assert exchange(0, b"", peer).status == 200


def test_a_notification_is_admitted_when_open_requests_occupy_all_other_connections(start_server):
    harness = start_server(
        Limits(connections=ConnectionLimits(inbound=3, reserved_for_workers=0, open_requests=1))
    )
    with harness.connect() as idle, harness.connect() as first:
        assert exchange(0, READINESS_CHECK, idle).status == 200
        first.sendall(job_request("01"))
        wait_for(lambda: harness.requests(RequestReceived))
        assert exchange(0, job_request("02"), idle).status == 503
        assert exchange(harness.port, NOTIFICATION).status == 200


def test_reserved_connections_are_only_for_the_hosts_of_workers(start_server):
    harness = start_server(Limits(connections=ConnectionLimits(inbound=2, reserved_for_workers=1)))
    with harness.connect() as client, harness.connect(WORKER_HOST) as worker:
        client.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        assert exchange(0, NOTIFICATION, worker).status == 200
        assert exchange(harness.port, b"").status == 503


@pytest.mark.parametrize(
    ("open_count", "external_count", "evicted_count", "is_external", "spent"),
    [
        (9, 5, 0, False, False),
        (10, 5, 0, False, True),
        (9, 7, 0, True, False),
        (9, 8, 0, True, True),  # the last two connections are for workers
        (9, 8, 0, False, False),
        (8, 0, 5, False, True),  # evicted connections still use descriptors
        (8, 0, 4, False, False),
    ],
)
def test_the_budget_counts_external_and_evicted_connections(
    open_count, external_count, evicted_count, is_external, spent
):
    budget = ConnectionLimits(inbound=10, reserved_for_workers=2, evicted_unclosed=3)
    assert spent == is_budget_spent(
        budget,
        open_count=open_count,
        external_count=external_count,
        evicted_count=evicted_count,
        is_external=is_external,
    )


def test_a_flood_of_silent_connections_keeps_out_neither_notifications_nor_clients(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=6, reserved_for_workers=2),
            timeouts=Timeouts(evictable_idle_seconds=0.0, evict_silent_after_seconds=0.0),
        )
    )  # both limits are 0 s, so evictions do not depend on the clock
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(harness.connect())
        client.sendall(job_request("01"))
        (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
        answer_request(open_request)
        assert exchange(0, b"", client).status == 200
        for _ in range(20):
            stack.enter_context(harness.connect())  # sends nothing
        worker = stack.enter_context(harness.connect(WORKER_HOST))
        assert exchange(0, NOTIFICATION, worker).status == 200
        # A new client is admitted, and the first one has kept its connection.
        new_client = stack.enter_context(harness.connect())
        new_client.sendall(job_request("02"))
        wait_for(lambda: len(harness.requests(RequestReceived)) == 2)
        client.sendall(job_request("03"))
        wait_for(lambda: len(harness.requests(RequestReceived)) == 3)


def test_many_silent_connections_are_evicted_at_once_and_every_place_is_freed(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=12, reserved_for_workers=2),
            timeouts=Timeouts(evictable_idle_seconds=EVICTABLE_IDLE_SECONDS),
        )
    )
    with contextlib.ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(harness.connect())
        wait_for(lambda: harness.server.external_count == 10)
        # A fixed wait, after which each connection has been idle for longer than the limit.
        time.sleep(2 * EVICTABLE_IDLE_SECONDS)
        assert exchange(harness.port, READINESS_CHECK).status == 200
        # The silent connections are evicted, so the next clients are admitted without an eviction.
        assert harness.server.external_count <= 1
    wait_for(lambda: not harness.server.connections and not harness.server.evicted_count)
    assert harness.server.external_count == 0


def test_an_idle_client_is_evicted_before_a_slow_new_connection(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=2, reserved_for_workers=0),
            timeouts=Timeouts(
                evictable_idle_seconds=0.0, evict_silent_after_seconds=WAIT_TIMEOUT_SECONDS
            ),
        )
    )
    with harness.connect() as new:
        wait_for(lambda: len(harness.server.connections) == 1)
        with harness.connect() as client:
            client.sendall(job_request())
            (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
            answer_request(open_request)
            assert exchange(0, b"", client).status == 200
            assert exchange(harness.port, READINESS_CHECK).status == 200
            assert client.recv(1) == b""
        new.sendall(job_request("02"))
        wait_for(lambda: len(harness.requests(RequestReceived)) == 2)


def test_a_closed_listener_ends_its_accepting_thread_without_a_fault(
    start_server, monkeypatch, capfd
):
    # Guards against a logged `accept_failed [Errno 22]` at a stop: the thread took the close of its
    # listener for a fault.
    harness = start_server()

    def shut_down_and_wait(sock):
        shut_down(sock)
        harness.accept_thread.join(0.2)

    monkeypatch.setattr(server, "shut_down", shut_down_and_wait)
    harness.server.close_listeners()
    harness.accept_thread.join(WAIT_TIMEOUT_SECONDS)
    assert "accept_failed" not in capfd.readouterr().err


def test_a_connection_that_arrives_while_the_process_ends_is_closed_without_reading(
    start_server, monkeypatch
):
    harness = start_server()
    arrived = []

    def shut_down_after_an_arrival(sock):
        arrived.append(harness.connect())
        arrived[0].sendall(job_request())
        shut_down(sock)

    monkeypatch.setattr(server, "shut_down", shut_down_after_an_arrival)
    harness.server.close_listeners()
    # Guards against a request that is read but never answered.
    with arrived[0] as peer, contextlib.suppress(ConnectionResetError):
        assert peer.recv(1) == b""
    assert not harness.events


def test_evicted_connections_count_against_the_budget_until_they_are_closed(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=2, reserved_for_workers=0, evicted_unclosed=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0),
        )
    )
    harness.server.evicted_count = 2
    assert exchange(harness.port, b"").status == 503


def test_a_peer_with_an_incomplete_message_is_evicted_for_a_new_connection(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=1, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0),
        )
    )
    with harness.connect() as slow:
        slow.sendall(b"POST /revalue HTTP/1.1\r\n")
        wait_for(
            lambda: any(not connection.session.is_idle for connection in harness.server.connections)
        )
        assert exchange(harness.port, READINESS_CHECK).status == 200
        assert slow.recv(1) == b""


def test_a_peer_that_still_sends_after_its_error_reply_is_not_evicted(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=1, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=WAIT_TIMEOUT_SECONDS),
        )
    )
    with harness.connect() as sending:
        sending.sendall(b"POST /revalue HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n")
        assert exchange(0, b"", sending).status == 413
        (closed,) = harness.server.connections
        closed.last_activity_at_seconds = 0.0  # long ago
        sending.sendall(bytes(1000))
        wait_for(lambda: closed.last_activity_at_seconds > 0.0)
        # The connection is not evicted. Its linger time counts from the error reply, not from the
        # latest byte.
        assert exchange(harness.port, b"").status == 503
        assert closed.phase_started_at_seconds < closed.last_activity_at_seconds
        assert closed in harness.server.connections


def test_a_rejected_peer_can_still_send_and_reads_its_503(start_server):
    """If the connection were closed at once, bytes from its peer would cause a reset.

    The reset would destroy the 503.
    """
    harness = start_server(Limits(connections=ConnectionLimits(inbound=1, reserved_for_workers=0)))
    with harness.connect() as first:
        first.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        with harness.connect() as peer:
            wait_for(lambda: harness.server.rejected_count)
            for part in (job_request()[:30], job_request()[30:]):
                peer.sendall(part)
                # A fixed wait, because there is no event to wait for: a reset would arrive within
                # this time.
                time.sleep(RESET_WAIT_SECONDS)
            assert exchange(0, b"", peer).status == 503


def test_rejected_connections_are_limited_and_closed_in_time(start_server):
    harness = start_server(
        Limits(
            connections=ConnectionLimits(inbound=0, reserved_for_workers=0, lingering=3),
            timeouts=Timeouts(rejected_linger_seconds=0.05),
        )
    )
    with contextlib.ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(harness.connect())
        wait_for(lambda: harness.server.rejected_count == 10)
        assert len(harness.server.lingering) <= 3
        harness.enforce_timeouts_until(lambda: not harness.server.lingering)


ONE_PLACE = ConnectionLimits(inbound=1, reserved_for_workers=0)


def test_a_client_waits_for_a_place_that_becomes_free_soon(start_server):
    # Guards against sound clients that get 503 because others connect faster than places free up.
    harness = start_server(Limits(connections=ONE_PLACE))
    with harness.connect() as silent, harness.connect() as client:
        client.sendall(job_request())
        # The silent one may be evicted only after it has been quiet for a while.
        (request,) = wait_for(lambda: harness.requests(RequestReceived))
        answer_request(request)
        assert exchange(0, b"", client).status == 200
        assert silent.recv(1) == b""


def test_after_a_wait_in_vain_clients_are_rejected_at_once_until_one_is_admitted(start_server):
    # Guards against workers' notifications that stand in the backlog behind clients that wait.
    harness = start_server(Limits(connections=ONE_PLACE))
    with harness.connect() as holder:
        holder.sendall(job_request())
        (request,) = wait_for(lambda: harness.requests(RequestReceived))
        assert exchange(harness.port, b"").status == 503
        assert not harness.server.may_wait_for_place
        began_at_seconds = time.monotonic()
        for _ in range(20):
            assert exchange(harness.port, b"").status == 503
        each_seconds = (time.monotonic() - began_at_seconds) / 20
        assert each_seconds < harness.server.limits.timeouts.place_wait_seconds / 2
        answer_request(request)


def test_a_connection_that_others_wait_for_closes_with_its_answer(start_server):
    # Guards against clients at full speed that keep every place for ever.
    harness = start_server(Limits(connections=ONE_PLACE))
    with harness.connect() as holder:
        holder.sendall(job_request())
        (request,) = wait_for(lambda: harness.requests(RequestReceived))
        assert exchange(harness.port, b"").status == 503
        answer_request(request)
        answer = exchange(0, b"", holder)
        assert answer.headers["connection"] == "close"
        assert holder.recv(1) == b""


def test_the_wait_for_a_place_counts_against_the_clients_time(start_server, monkeypatch):
    # Guards against a worker that is told more time than its client has left.
    monkeypatch.setattr("stepstream.http.server.quiet_seconds", lambda sock: 0.3)
    harness = start_server(Limits(connections=ONE_PLACE))
    with harness.connect(), harness.connect() as client:
        before_us = harness.server.clock.now_us()
        client.sendall(job_request(**{"Request-Timeout-Ms": "1000"}))
        (request,) = wait_for(lambda: harness.requests(RequestReceived))
        assert request.deadline_us - before_us < 1_000_000 - 250_000
        answer_request(request)
