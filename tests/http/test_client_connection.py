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
from stepstream.http.connection_rules import counts_as_client
from stepstream.http.session import HttpSession, SessionPhase
from tests.config.configurations import LIMITS
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.http.server_harness import READINESS_CHECK, answer_request
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

RESET_WAIT_SECONDS = 0.1  # on loopback a reset arrives much sooner


def test_a_peer_that_does_not_finish_its_message_gets_400(start_server):
    harness = start_server(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with harness.connect() as slow:
        slow.sendall(b"GET /-/ready HT")
        wait_for(
            lambda: any(not connection.session.is_idle for connection in harness.server.connections)
        )
        harness.enforce_timeouts_until(
            lambda: all(
                connection.session.phase is SessionPhase.CLOSED
                for connection in harness.server.connections
            )
        )
        assert exchange(0, b"", slow).status == 400
    wait_for(lambda: not harness.server.connections)


def test_a_new_connection_without_a_message_times_out_and_an_idle_client_does_not(start_server):
    harness = start_server(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with harness.connect() as silent, harness.connect() as client:
        client.sendall(job_request())
        (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
        answer_request(open_request)
        assert exchange(0, b"", client).status == 200
        harness.enforce_timeouts_until(lambda: len(harness.server.connections) == 1)
        assert silent.recv(1) == b""
        client.sendall(job_request("02"))
        wait_for(lambda: len(harness.requests(RequestReceived)) == 2)


def test_a_connection_that_its_peer_keeps_open_after_an_error_times_out(start_server):
    harness = start_server(Limits(timeouts=Timeouts(linger_seconds=0.05)))
    with harness.connect() as peer:
        assert exchange(0, b"GET /nowhere HTTP/1.1\r\n\r\n", peer).status == 404
        harness.enforce_timeouts_until(lambda: not harness.server.connections)


def test_an_error_reaches_a_peer_that_is_still_sending(start_server):
    harness = start_server()
    with harness.connect() as peer:
        head = b"POST /revalue HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n"
        assert exchange(0, head + bytes(20_000_000), peer).status == 413


def test_pipelined_requests_are_all_answered_before_a_shutdown_closes_their_connection(
    start_server,
):
    harness = start_server()
    with harness.connect() as peer:
        peer.sendall(job_request("01") + job_request("02") + job_request("03")[:20])
        (first,) = wait_for(lambda: harness.requests(RequestReceived))
        harness.server.state.closing = True
        for request_id, keep_alive in (("01", True), ("02", False)):
            (*_, open_request) = wait_for(
                lambda request_id=request_id: [
                    request
                    for request in harness.requests(RequestReceived)
                    if request.id == request_id
                ]
            )
            answer_request(open_request)
            answer = exchange(0, b"", peer)
            assert (answer.status, answer.keep_alive) == (200, keep_alive)
        assert peer.recv(1) == b""


@pytest.mark.parametrize("how", ["closed", "half closed", "reset", "closed after more requests"])
def test_a_client_that_disconnects_during_its_request_is_reported(start_server, how):
    harness = start_server()
    with harness.connect() as peer:
        peer.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        if how == "closed after more requests":
            peer.sendall(job_request("02") + job_request("03")[:40])
        if how == "half closed":
            peer.shutdown(socket.SHUT_WR)
            wait_for(lambda: harness.requests(ClientDisconnected))
        if how == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    wait_for(lambda: harness.requests(ClientDisconnected) == harness.requests(RequestReceived))
    assert len(harness.requests(RequestReceived)) == 1
    assert harness.requests(ClientDisconnected)[0].client_disconnected


def test_a_client_that_sends_too_many_bytes_after_its_request_gets_413_and_is_reported(
    start_server,
):
    harness = start_server()
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
def test_after_sigterm_only_peers_accepted_within_new_connections_seconds_count_as_clients(
    accepted_at, shutdown_started_at, is_client
):
    assert (
        counts_as_client(accepted_at, shutdown_started_at, new_connections_seconds=0.5) == is_client
    )


class IdleClient:
    """A client with an idle connection, after one served request."""

    def __init__(self, harness):
        self.harness = harness
        self.peer = self.harness.connect()
        self.peer.sendall(job_request("01"))
        (open_request,) = wait_for(lambda: self.harness.requests(RequestReceived))
        self.connection = open_request.response_sink
        answer_request(open_request)
        assert exchange(0, b"", self.peer).status == 200

    def wait_for_second_request(self):
        """Wait for the request after the first one and return it."""
        requests = self.harness.requests
        return wait_for(lambda: requests(RequestReceived)[1:])[0]


def test_a_shutdown_waits_for_an_idle_client_until_connections_close(start_server):
    client = IdleClient(start_server())
    assert client.connection.delays_shutdown()
    client.harness.server.state.closing = True
    assert not client.connection.delays_shutdown()
    client.harness.server.close_idle()
    assert client.connection.delays_shutdown()  # the peer has not closed its side yet
    client.connection.phase_started_at_seconds -= LIMITS.timeouts.close_grace_seconds
    assert not client.connection.delays_shutdown()
    client.peer.close()


CLOSE_ACTIONS = {
    "shutdown": lambda client: client.harness.server.close_idle(),
    "timeout": lambda client: client.connection.enforce_timeouts(time.monotonic() + 1000.0),
    "evicted": lambda client: client.connection.evict(),
}


@pytest.mark.parametrize("close", CLOSE_ACTIONS)
def test_a_request_that_arrives_during_the_close_is_neither_served_nor_reset(
    start_server, monkeypatch, close
):
    """The request arrives between the last check for unread bytes and the close of the socket.

    The client can send this request again on another connection.
    """
    client = IdleClient(start_server())
    originals = {
        name: getattr(client.connection.transport, name) for name in ("half_close", "shut_down")
    }

    def send_request_and_close(name):
        client.peer.sendall(job_request("02"))
        # The reader may already have discarded it, as the session has ended.
        wait_for(
            lambda: (
                client.connection.transport.has_unread()
                or client.connection.discarder.received_at_seconds
            )
        )
        originals[name]()

    for name in originals:
        monkeypatch.setattr(
            client.connection.transport, name, partial(send_request_and_close, name)
        )
    CLOSE_ACTIONS[close](client)
    assert client.peer.recv(100) == b""
    # An evicted connection is closed fully, because a new connection needs its place at once. The
    # peer may get a reset if it sends more.
    if close != "evicted":
        client.peer.sendall(job_request("03"))
    # A fixed wait, because there is no event to wait for: a reset would arrive within this time.
    time.sleep(RESET_WAIT_SECONDS)
    assert client.peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    client.peer.close()
    wait_for(lambda: client.connection not in client.harness.server.connections)
    assert [request.id for request in client.harness.requests(RequestReceived)] == ["01"]


@pytest.mark.parametrize("close", CLOSE_ACTIONS)
def test_a_request_that_arrives_before_the_close_is_served(start_server, monkeypatch, close):
    """The connection is closed after its reader has woken and before it has read the request."""
    client = IdleClient(start_server())
    reader_woken, reader_may_continue = threading.Event(), threading.Event()
    wait_readable = client.connection.transport.wait_readable

    def wait_and_pause(size):
        has_input = wait_readable(size)
        reader_woken.set()
        assert reader_may_continue.wait(WAIT_TIMEOUT_SECONDS)
        return has_input

    monkeypatch.setattr(client.connection.transport, "wait_readable", wait_and_pause)
    client.peer.sendall(job_request("02"))  # ends the reader's wait that began before the patch
    second = client.wait_for_second_request()
    answer_request(second)
    assert exchange(0, b"", client.peer).status == 200
    client.peer.sendall(job_request("03"))
    assert reader_woken.wait(WAIT_TIMEOUT_SECONDS)
    CLOSE_ACTIONS[close](client)
    reader_may_continue.set()
    (*_, last) = wait_for(
        lambda: (
            len(client.harness.requests(RequestReceived)) == 3
            and client.harness.requests(RequestReceived)
        )
    )
    answer_request(last)
    assert exchange(0, b"", client.peer).status == 200


def test_an_answer_that_its_client_does_not_read_does_not_block_the_answering_thread(start_server):
    harness = start_server()
    with harness.connect() as peer:
        peer.sendall(job_request())
        (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
        answer_request(open_request, "x" * 8_000_000)
        # `answer_request` has returned although the peer has not read the answer.
        assert open_request.response_sink.writer.is_slow
        total_bytes = 0
        while total_bytes < 8_000_000:
            total_bytes += len(peer.recv(1 << 20))


def test_a_fault_in_a_reader_thread_is_reported_with_the_open_request(
    start_server, monkeypatch, capfd
):
    harness = start_server()
    feed = HttpSession.feed

    def feed_with_fault(self, data):
        if self.request is not None:
            raise KeyError("lost")
        return feed(self, data)

    monkeypatch.setattr(HttpSession, "feed", feed_with_fault)
    with harness.connect() as peer:
        peer.sendall(job_request())
        wait_for(lambda: harness.requests(RequestReceived))
        peer.sendall(b"x")
        faulted = wait_for(lambda: harness.requests(RequestFaulted))
        assert faulted == harness.requests(RequestReceived)
    assert "internal_fault where=inbound error_type=KeyError" in capfd.readouterr().err


# -- replies, while another thread uses the connection --------------------------------------------


class InterruptibleLock:
    """A lock that calls `on_release` after each release, where another thread could run."""

    def __init__(self, on_release):
        self.lock = threading.Lock()
        self.on_release = on_release

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *error):
        self.lock.release()
        self.on_release()


def run_once(action):
    """Return a function that runs `action` at its first call only."""
    remaining = [action]
    return lambda: remaining.pop()() if remaining else None


@pytest.mark.parametrize("close", CLOSE_ACTIONS)
@pytest.mark.parametrize("replying_thread", ["decision thread", "reader"])
def test_a_reply_is_sent_before_another_thread_can_close_its_connection(
    start_server, replying_thread, close
):
    # Guards against a lost answer: the connection was closed before the answer's first byte.
    client = IdleClient(start_server())
    if replying_thread == "decision thread":
        client.peer.sendall(job_request("02"))
        open_request = client.wait_for_second_request()
    closed = threading.Event()
    client.connection.lock = InterruptibleLock(
        run_once(lambda: (CLOSE_ACTIONS[close](client), closed.set()))
    )
    if replying_thread == "decision thread":
        answer_request(open_request)
    else:
        client.peer.sendall(READINESS_CHECK)
    assert closed.wait(WAIT_TIMEOUT_SECONDS)
    assert exchange(0, b"", client.peer).status == 200
    client.peer.close()


def test_a_pipelined_message_is_answered_after_the_request_before_it(start_server):
    # Guards against answers in the wrong order: the reader answered the second message first.
    client = IdleClient(start_server())
    client.peer.sendall(job_request("02"))
    open_request = client.wait_for_second_request()

    def send_readiness_check():
        client.peer.sendall(READINESS_CHECK)
        wait_for(lambda: select.select([client.peer], [], [], 0)[0])

    client.connection.lock = InterruptibleLock(run_once(send_readiness_check))
    answer_request(open_request, "second")
    first_answer = exchange(0, b"", client.peer)
    assert b"second" in first_answer.body
    client.peer.close()


def test_a_pipelined_request_is_reported_before_its_client_is_reported_as_disconnected(
    start_server,
):
    # Guards against a request that stays open until its deadline, although its client has gone: the
    # disconnect was reported before the request.
    client = IdleClient(start_server())
    client.peer.sendall(job_request("02") + job_request("03"))
    open_request = client.wait_for_second_request()
    connection = client.connection

    def disconnect_once_the_next_request_is_open():
        if connection.session.request is not None and connection.session.request.id == "03":
            client.peer.close()
            wait_for(lambda: client.harness.requests(ClientDisconnected))

    connection.lock = InterruptibleLock(disconnect_once_the_next_request_is_open)
    answer_request(open_request)
    wait_for(lambda: client.harness.requests(ClientDisconnected))
    last_events = [type(event) for event in client.harness.events[-2:]]
    assert last_events == [RequestReceived, ClientDisconnected]


def test_a_shutdown_does_not_truncate_an_answer_to_a_slow_client(start_server):
    # Guards against a truncated answer: the sending side was closed before the answer's end.
    harness = start_server()
    with harness.connect() as peer:
        peer.sendall(job_request())
        (open_request,) = wait_for(lambda: harness.requests(RequestReceived))
        answer_request(open_request, "x" * 8_000_000)
        harness.server.close_idle()
        total_bytes = 0
        while total_bytes < 8_000_000:
            received = peer.recv(1 << 20)
            assert received
            total_bytes += len(received)
