"""Inbound connections on loopback sockets: timeouts, closes, slow readers and faults."""

import contextlib
import select
import socket
import struct
import threading
import time
from functools import partial

import pytest

from stepstream.config.limits import Limits, Timeouts
from stepstream.core.events import ClientDisconnected, RequestFaulted, RequestReceived
from stepstream.http.client_connection import counts_as_client
from stepstream.http.session import HttpSession, SessionPhase
from tests.config.configurations import LIMITS
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.http.server_harness import READINESS_CHECK, serve
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

RESET_SECONDS = 0.1  # on loopback a reset takes much less


def test_a_peer_that_does_not_finish_its_message_gets_400(serve_inbound):
    harness = serve_inbound(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with harness.connect() as slow:
        slow.sendall(b"GET /-/ready HT")
        wait_for(
            lambda: any(not connection.session.is_idle for connection in harness.server.connections)
        )
        harness.check_timeouts_until(
            lambda: all(
                connection.session.phase is SessionPhase.CLOSED
                for connection in harness.server.connections
            )
        )
        assert exchange(0, b"", slow).status == 400
    wait_for(lambda: not harness.server.connections)


def test_a_new_connection_without_a_message_times_out_and_an_idle_client_does_not(serve_inbound):
    harness = serve_inbound(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with harness.connect() as silent, harness.connect() as client:
        client.sendall(job_request())
        (waiting,) = wait_for(lambda: harness.requests(RequestReceived))
        serve(waiting)
        assert exchange(0, b"", client).status == 200
        harness.check_timeouts_until(lambda: len(harness.server.connections) == 1)
        assert silent.recv(1) == b""
        client.sendall(job_request("02"))
        wait_for(lambda: len(harness.requests(RequestReceived)) == 2)


def test_a_connection_that_its_peer_keeps_open_after_an_error_times_out(serve_inbound):
    harness = serve_inbound(Limits(timeouts=Timeouts(linger_seconds=0.05)))
    with harness.connect() as peer:
        assert exchange(0, b"GET /nowhere HTTP/1.1\r\n\r\n", peer).status == 404
        harness.check_timeouts_until(lambda: not harness.server.connections)


def test_an_error_reaches_a_peer_that_is_still_sending(serve_inbound):
    harness = serve_inbound()
    with harness.connect() as peer:
        head = b"POST /revalue HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n"
        assert exchange(0, head + bytes(20_000_000), peer).status == 413


def test_pipelined_requests_are_all_answered_before_a_shutdown_closes_their_connection(
    serve_inbound,
):
    harness = serve_inbound()
    with harness.connect() as peer:
        peer.sendall(job_request("01") + job_request("02") + job_request("03")[:20])
        (first,) = wait_for(lambda: harness.requests(RequestReceived))
        harness.server.state.closing = True
        for name, keep_alive in (("01", True), ("02", False)):
            (*_, waiting) = wait_for(
                lambda name=name: [r for r in harness.requests(RequestReceived) if r.id == name]
            )
            serve(waiting)
            answer = exchange(0, b"", peer)
            assert (answer.status, answer.keep_alive) == (200, keep_alive)
        assert peer.recv(1) == b""


@pytest.mark.parametrize("how", ["closed", "half", "reset", "behind"])
def test_a_client_that_disconnects_during_its_request_is_reported(serve_inbound, how):
    harness = serve_inbound()
    with harness.connect() as peer:
        peer.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        if how == "behind":  # bytes of its next requests come before its end
            peer.sendall(job_request("02") + job_request("03")[:40])
        if how == "half":
            peer.shutdown(socket.SHUT_WR)
            wait_for(lambda: harness.requests(ClientDisconnected))
        if how == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    wait_for(lambda: harness.requests(ClientDisconnected) == harness.requests(RequestReceived))
    assert len(harness.requests(RequestReceived)) == 1
    assert harness.requests(ClientDisconnected)[0].client_disconnected


def test_a_client_that_sends_too_much_behind_its_request_gets_413_and_is_reported_as_gone(
    serve_inbound,
):
    harness = serve_inbound()
    with harness.connect() as peer:
        peer.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        with contextlib.suppress(OSError):
            peer.sendall(job_request("02") * 1000)
        assert exchange(0, b"", peer).status == 413
        wait_for(lambda: harness.requests(ClientDisconnected) == harness.requests(RequestReceived))


@pytest.mark.parametrize(
    ("accepted_at", "shutdown_started_at", "is_client"),
    [(9.0, 10.0, True), (10.5, 10.0, True), (10.6, 10.0, False), (10.6, None, True)],
)
def test_after_sigterm_a_new_peer_with_half_a_message_is_a_client_only_for_a_while(
    accepted_at, shutdown_started_at, is_client
):
    assert counts_as_client(accepted_at, shutdown_started_at, arrivals_seconds=0.5) == is_client


class IdleClient:
    """A client with an idle connection, after one served request."""

    def __init__(self, harness):
        self.harness = harness
        self.peer = self.harness.connect()
        self.peer.sendall(job_request("01"))
        (waiting,) = wait_for(lambda: self.harness.requests(RequestReceived))
        self.connection = waiting.response_sink
        serve(waiting)
        assert exchange(0, b"", self.peer).status == 200

    def second_request(self):
        """Return the request after the first one, once it is received."""
        requests = self.harness.requests
        return wait_for(lambda: requests(RequestReceived)[1:])[0]


def test_a_shutdown_waits_for_an_idle_client_until_connections_close(serve_inbound):
    client = IdleClient(serve_inbound())
    assert client.connection.delays_shutdown()
    client.harness.server.state.closing = True
    assert not client.connection.delays_shutdown()
    client.harness.server.close_idle()
    assert client.connection.delays_shutdown()  # for the peer's end
    client.connection.phase_started_at_seconds -= LIMITS.timeouts.close_grace_seconds
    assert not client.connection.delays_shutdown()
    client.peer.close()


CLOSES = {
    "shutdown": lambda client: client.harness.server.close_idle(),
    "timeout": lambda client: client.connection.enforce_timeouts(time.monotonic() + 1000.0),
    "evicted": lambda client: client.connection.evict(),
}


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_that_crosses_our_close_is_not_served_and_meets_no_reset(
    serve_inbound, monkeypatch, close
):
    """It comes between the last check for bytes and the shutdown: its client sends it elsewhere."""
    client = IdleClient(serve_inbound())
    originals = {
        name: getattr(client.connection.transport, name) for name in ("half_close", "shut_down")
    }

    def preceded_by_a_request(name):
        client.peer.sendall(job_request("02"))
        wait_for(client.connection.transport.has_unread)
        originals[name]()

    for name in originals:
        monkeypatch.setattr(client.connection.transport, name, partial(preceded_by_a_request, name))
    CLOSES[close](client)
    assert client.peer.recv(100) == b""
    # An evicted connection's place is needed at once: bytes still on their way meet a reset.
    if close != "evicted":
        client.peer.sendall(job_request("03"))
    # Time is the subject: a reset over unread bytes would come within it, and nothing else would.
    time.sleep(RESET_SECONDS)
    assert client.peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    client.peer.close()
    wait_for(lambda: client.connection not in client.harness.server.connections)
    assert [r.id for r in client.harness.requests(RequestReceived)] == ["01"]


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_received_before_our_close_is_served(serve_inbound, monkeypatch, close):
    """Its reader is awake and right before it takes the bytes while the connection is closed."""
    client = IdleClient(serve_inbound())
    woken, go = threading.Event(), threading.Event()
    wait = client.connection.transport.wait_readable

    def wait_and_pause(size):
        has_input = wait(size)
        woken.set()
        assert go.wait(WAIT_TIMEOUT_SECONDS)
        return has_input

    monkeypatch.setattr(client.connection.transport, "wait_readable", wait_and_pause)
    client.peer.sendall(job_request("02"))  # ends the wait that began before this hook
    second = client.second_request()
    serve(second)
    assert exchange(0, b"", client.peer).status == 200
    client.peer.sendall(job_request("03"))
    assert woken.wait(WAIT_TIMEOUT_SECONDS)
    CLOSES[close](client)
    go.set()
    (*_, last) = wait_for(
        lambda: (
            len(client.harness.requests(RequestReceived)) == 3
            and client.harness.requests(RequestReceived)
        )
    )
    serve(last)
    assert exchange(0, b"", client.peer).status == 200


def test_an_answer_that_its_client_does_not_read_blocks_nobody(serve_inbound):
    harness = serve_inbound()
    with harness.connect() as peer:
        peer.sendall(job_request())
        (waiting,) = wait_for(lambda: harness.requests(RequestReceived))
        serve(waiting, "x" * 8_000_000)
        # The call has returned before the peer has taken the answer.
        assert waiting.response_sink.slow_writer_active
        total = 0
        while total < 8_000_000:
            total += len(peer.recv(1 << 20))


def test_a_fault_in_a_reader_thread_answers_its_request(serve_inbound, monkeypatch, capfd):
    harness = serve_inbound()
    receive = HttpSession.receive

    def broken(self, data, now_us):
        if self.request is not None:
            raise KeyError("lost")
        return receive(self, data, now_us)

    monkeypatch.setattr(HttpSession, "receive", broken)
    with harness.connect() as peer:
        peer.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        peer.sendall(b"x")
        faulted = wait_for(lambda: harness.requests(RequestFaulted))
        assert faulted == harness.requests(RequestReceived)
    assert "internal_fault where=inbound error_type=KeyError" in capfd.readouterr().err


# -- a reply, and what another thread does meanwhile ----------------------------------------------


class InterruptibleLock:
    """A lock that calls `on_release` after each release, as another thread may run just there."""

    def __init__(self, on_release):
        self.lock = threading.Lock()
        self.on_release = on_release

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *error):
        self.lock.release()
        self.on_release()


def once(action):
    """Return a function that runs the action at its first call only."""
    remaining = [action]
    return lambda: remaining.pop()() if remaining else None


@pytest.mark.parametrize("close", CLOSES)
@pytest.mark.parametrize("replier", ["decision thread", "reader"])
def test_a_reply_is_sent_before_another_thread_can_close_its_connection(
    serve_inbound, replier, close
):
    # Guards against an answer that is lost: the connection was closed before its first byte.
    client = IdleClient(serve_inbound())
    if replier == "decision thread":
        client.peer.sendall(job_request("02"))
        waiting = client.second_request()
    closed = threading.Event()
    client.connection.lock = InterruptibleLock(once(lambda: (CLOSES[close](client), closed.set())))
    if replier == "decision thread":
        serve(waiting)
    else:
        client.peer.sendall(READINESS_CHECK)
    assert closed.wait(WAIT_TIMEOUT_SECONDS)
    assert exchange(0, b"", client.peer).status == 200
    client.peer.close()


def test_a_pipelined_message_is_answered_after_the_request_before_it(serve_inbound):
    # Guards against exchanged answers: the reader answered the second message first.
    client = IdleClient(serve_inbound())
    client.peer.sendall(job_request("02"))
    waiting = client.second_request()

    def send_readiness_check():
        client.peer.sendall(READINESS_CHECK)
        wait_for(lambda: select.select([client.peer], [], [], 0)[0])

    client.connection.lock = InterruptibleLock(once(send_readiness_check))
    serve(waiting, "second")
    first_answer = exchange(0, b"", client.peer)
    assert b"second" in first_answer.body
    client.peer.close()


def test_a_pipelined_request_is_reported_before_its_client_is_reported_as_gone(serve_inbound):
    # Guards against a request without a client that lives on until its deadline.
    client = IdleClient(serve_inbound())
    client.peer.sendall(job_request("02") + job_request("03"))
    waiting = client.second_request()
    connection = client.connection

    def disconnect_once_the_next_is_open():
        if connection.session.request is not None and connection.session.request.id == "03":
            client.peer.close()
            wait_for(lambda: client.harness.requests(ClientDisconnected))

    connection.lock = InterruptibleLock(disconnect_once_the_next_is_open)
    serve(waiting)
    wait_for(lambda: client.harness.requests(ClientDisconnected))
    last_events = [type(event) for event in client.harness.events[-2:]]
    assert last_events == [RequestReceived, ClientDisconnected]


def test_a_shutdown_does_not_cut_an_answer_that_a_slow_client_is_still_reading(serve_inbound):
    # Guards against an answer that ends in the middle, as its connection was closed for sending.
    harness = serve_inbound()
    with harness.connect() as peer:
        peer.sendall(job_request())
        (waiting,) = wait_for(lambda: harness.requests(RequestReceived))
        serve(waiting, "x" * 8_000_000)
        harness.server.close_idle()
        total_bytes = 0
        while total_bytes < 8_000_000:
            received = peer.recv(1 << 20)
            assert received
            total_bytes += len(received)
