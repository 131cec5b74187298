"""Inbound connections on loopback sockets: admission, eviction, timeouts, closes and slow readers."""

import contextlib
import socket
import struct
import threading
import time
from functools import partial

import pytest
from net_helpers import LIMITS, SETTINGS, job_bytes
from node_helpers import PATIENCE, ask, wait_for

from stepstream.config.limits import ConnectionLimits, Limits, Timeouts
from stepstream.core.commands import Answer, Outcome
from stepstream.core.events import ClientDisconnected, RequestFaulted, RequestReceived
from stepstream.http.client_api import ClientApi
from stepstream.http.codec import write_request
from stepstream.http.server import InboundServer
from stepstream.http.session import HttpSession, SessionPhase
from stepstream.runtime.clock import Clock

CLOCK = Clock()
NEWS = write_request("POST", "/_jobs/news", {}, b'{"id":"01","from":"s","state":"started"}')
WORKER_HOST = "127.0.0.9"


class Home:
    """A House whose events are kept; nobody decides here."""

    def __init__(self, limits=LIMITS):
        self.events = []
        side = ClientApi(SETTINGS)
        self.server = InboundServer(
            limits, CLOCK, side, self.events.append, lambda host: host == WORKER_HOST
        )
        entrance = self.server.bind(("127.0.0.1", 0))
        self.server.start_listening(entrance)
        self.port = entrance.listener.getsockname()[1]
        threading.Thread(target=self.server.accept_loop, args=(entrance,), daemon=True).start()

    def dial(self, host="127.0.0.1"):
        where = ("127.0.0.1", self.port)
        return socket.create_connection(where, timeout=PATIENCE, source_address=(host, 0))

    def looked(self, done):
        """Looks at the connections as the main thread does every while, until then."""
        wait_for(lambda: self.server.enforce_timeouts() or done())

    def of(self, kind):
        return [event.request for event in self.events if isinstance(event, kind)]


def test_over_the_budget_a_connection_is_refused_at_once_and_open_requests_stay():
    home = Home(Limits(connections=ConnectionLimits(inbound=1, reserved_for_workers=0)))
    with home.dial() as peer:
        peer.sendall(job_bytes())
        (taken_one,) = wait_for(lambda: home.of(RequestReceived))
        refused = ask(home.port, b"")
        assert refused.status == 503
        assert refused.headers["retry-after"] == "2.000"
        taken_one.response_sink.answer(Answer(taken_one, Outcome.SERVED, "ok"))
        assert ask(0, b"", peer).status == 200


def test_news_gets_in_when_requests_hold_all_other_connections():
    home = Home(
        Limits(connections=ConnectionLimits(inbound=3, reserved_for_workers=0, open_requests=1))
    )
    with home.dial() as idle, home.dial() as first:
        assert ask(0, b"GET /-/ready HTTP/1.1\r\n\r\n", idle).status == 200
        first.sendall(job_bytes(name="01"))
        wait_for(lambda: home.of(RequestReceived))
        assert ask(0, job_bytes(name="02"), idle).status == 503
        assert ask(home.port, NEWS).status == 200


def test_places_that_requests_cannot_take_are_kept_for_the_hosts_of_workers():
    home = Home(Limits(connections=ConnectionLimits(inbound=2, reserved_for_workers=1)))
    with home.dial() as client, home.dial(WORKER_HOST) as worker:
        client.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        assert ask(0, NEWS, worker).status == 200
        assert ask(home.port, b"").status == 503


def test_a_flood_of_strangers_keeps_out_neither_news_nor_clients():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=6, reserved_for_workers=2),
            timeouts=Timeouts(evictable_idle_seconds=0.0, unproven_seconds=0.0),
        )
    )  # no verdict by the clock
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(home.dial())
        client.sendall(job_bytes(name="01"))
        (waiting,) = wait_for(lambda: home.of(RequestReceived))
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
        assert ask(0, b"", client).status == 200
        for _ in range(20):
            stack.enter_context(home.dial())  # says nothing
        worker = stack.enter_context(home.dial(WORKER_HOST))
        assert ask(0, NEWS, worker).status == 200
        # A new client finds a place, and the old one has kept its own.
        fresh = stack.enter_context(home.dial())
        fresh.sendall(job_bytes(name="02"))
        wait_for(lambda: len(home.of(RequestReceived)) == 2)
        client.sendall(job_bytes(name="03"))
        wait_for(lambda: len(home.of(RequestReceived)) == 3)


def test_a_flood_is_looked_through_once_for_many_and_every_place_is_given_back():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=12, reserved_for_workers=2),
            timeouts=Timeouts(evictable_idle_seconds=0.01),
        )
    )
    with contextlib.ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(home.dial())
        wait_for(lambda: home.server.external_count == 10)
        time.sleep(0.02)
        assert ask(home.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
        assert home.server.external_count <= 1  # the next ones find room without a look
    wait_for(lambda: not home.server.connections and not home.server.evicted_count)
    assert home.server.external_count == 0


def test_an_idle_client_makes_room_before_a_new_connection_that_takes_its_time():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=2, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0, unproven_seconds=PATIENCE),
        )
    )
    with home.dial() as new:
        wait_for(lambda: len(home.server.connections) == 1)
        with home.dial() as client:
            client.sendall(job_bytes())
            (waiting,) = wait_for(lambda: home.of(RequestReceived))
            waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
            assert ask(0, b"", client).status == 200
            assert ask(home.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
            assert client.recv(1) == b""
        new.sendall(job_bytes(name="02"))
        wait_for(lambda: len(home.of(RequestReceived)) == 2)


def test_over_the_budget_by_many_the_descriptors_of_those_that_leave_count():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=2, reserved_for_workers=0, evicted_unclosed=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0),
        )
    )
    home.server.evicted_count = 2
    assert ask(home.port, b"").status == 503


def test_a_dawdling_peer_makes_room_for_one_that_works():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=1, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0),
        )
    )
    with home.dial() as dawdler:
        dawdler.sendall(b"POST /revalue HTTP/1.1\r\n")
        wait_for(
            lambda: any(not connection.session.is_idle for connection in home.server.connections)
        )
        assert ask(home.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
        assert dawdler.recv(1) == b""


def test_a_slow_peer_gets_400():
    home = Home(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with home.dial() as slow:
        slow.sendall(b"GET /-/ready HT")
        wait_for(
            lambda: any(not connection.session.is_idle for connection in home.server.connections)
        )
        home.looked(
            lambda: all(
                connection.session.phase is SessionPhase.CLOSED
                for connection in home.server.connections
            )
        )
        assert ask(0, b"", slow).status == 400
    wait_for(lambda: not home.server.connections)


def test_a_silent_stranger_is_let_go_and_an_old_client_is_not():
    home = Home(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with home.dial() as silent, home.dial() as client:
        client.sendall(job_bytes())
        (waiting,) = wait_for(lambda: home.of(RequestReceived))
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
        assert ask(0, b"", client).status == 200
        home.looked(lambda: len(home.server.connections) == 1)
        assert silent.recv(1) == b""
        client.sendall(job_bytes(name="02"))
        wait_for(lambda: len(home.of(RequestReceived)) == 2)


def test_a_peer_that_keeps_its_connection_after_an_error_is_let_go():
    home = Home(Limits(timeouts=Timeouts(linger_seconds=0.05)))
    with home.dial() as stays:
        assert ask(0, b"GET /nowhere HTTP/1.1\r\n\r\n", stays).status == 404
        home.looked(lambda: not home.server.connections)


def test_a_peer_that_is_still_sending_after_its_error_does_not_make_room():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=1, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=PATIENCE),
        )
    )
    with home.dial() as sending:
        sending.sendall(b"POST /revalue HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n")
        assert ask(0, b"", sending).status == 413
        (closed,) = home.server.connections
        closed.last_activity_at_seconds = 0.0  # as if long ago
        sending.sendall(bytes(1000))
        wait_for(lambda: closed.last_activity_at_seconds > 0.0)
        # Its place is not to be had for another one now; how long it may go on counts from its error.
        assert ask(home.port, b"").status == 503
        assert closed.phase_started_at_seconds < closed.last_activity_at_seconds
        assert closed in home.server.connections


def test_an_error_reaches_a_peer_that_is_still_sending():
    home = Home()
    with home.dial() as peer:
        head = b"POST /revalue HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n"
        assert ask(0, head + bytes(20_000_000), peer).status == 413


def test_requests_read_together_are_all_answered_before_a_stop_closes_their_connection():
    home = Home()
    with home.dial() as peer:
        peer.sendall(job_bytes(name="01") + job_bytes(name="02") + job_bytes(name="03")[:20])
        (first,) = wait_for(lambda: home.of(RequestReceived))
        home.server.state.closing = True
        for name, stays in (("01", True), ("02", False)):
            (*_, waiting) = wait_for(
                lambda name=name: [r for r in home.of(RequestReceived) if r.id == name]
            )
            waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
            answer = ask(0, b"", peer)
            assert (answer.status, answer.keep_alive) == (200, stays)
        assert peer.recv(1) == b""


@pytest.mark.parametrize("how", ["closed", "half", "reset", "behind"])
def test_a_client_that_leaves_while_it_waits_is_seen(how):
    home = Home()
    with home.dial() as peer:
        peer.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        if how == "behind":  # bytes of its next requests stand before its end
            peer.sendall(job_bytes(name="02") + job_bytes(name="03")[:40])
        if how == "half":
            peer.shutdown(socket.SHUT_WR)
            wait_for(lambda: home.of(ClientDisconnected))
        if how == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    wait_for(lambda: home.of(ClientDisconnected) == home.of(RequestReceived))
    assert len(home.of(RequestReceived)) == 1
    assert home.of(ClientDisconnected)[0].client_disconnected


def test_a_client_that_sends_too_much_behind_its_request_has_gone_with_its_answer():
    home = Home()
    with home.dial() as peer:
        peer.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        with contextlib.suppress(OSError):
            peer.sendall(job_bytes(name="02") * 1000)
        assert ask(0, b"", peer).status == 413
        wait_for(lambda: home.of(ClientDisconnected) == home.of(RequestReceived))


class Resting:
    """A client with a connection at rest on a House, after one served request."""

    def __init__(self):
        self.home = Home()
        self.peer = self.home.dial()
        self.peer.sendall(job_bytes(name="01"))
        (waiting,) = wait_for(lambda: self.home.of(RequestReceived))
        self.connection = waiting.response_sink
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
        assert ask(0, b"", self.peer).status == 200


ENDS = {
    "stop": lambda one: one.home.server.close_idle(),
    "idle": lambda one: one.connection.enforce_timeouts(time.monotonic() + 1000.0),
    "room": lambda one: one.connection.evict(),
}


@pytest.mark.parametrize("end", ENDS)
def test_a_request_in_the_instant_of_our_close_is_not_sent_on_and_meets_no_reset(monkeypatch, end):
    """It comes between the last look for bytes and the shutdown: its client sends it once more elsewhere."""
    one = Resting()
    shut = {name: getattr(one.connection.transport, name) for name in ("half_close", "hang_up")}

    def crossed(name):
        one.peer.sendall(job_bytes(name="02"))
        wait_for(one.connection.transport.unread)
        shut[name]()

    for name in shut:
        monkeypatch.setattr(one.connection.transport, name, partial(crossed, name))
    ENDS[end](one)
    assert one.peer.recv(100) == b""
    if (
        end != "room"
    ):  # there the place is needed at once, and what is still on its way meets a reset
        one.peer.sendall(job_bytes(name="03"))
    time.sleep(0.1)  # for a reset over unread bytes to come, if there is one
    assert one.peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    one.peer.close()
    wait_for(lambda: one.connection not in one.home.server.connections)
    assert [r.id for r in one.home.of(RequestReceived)] == ["01"]


@pytest.mark.parametrize("end", ENDS)
def test_a_request_that_was_there_before_our_close_is_served(monkeypatch, end):
    """Its reader has been woken and stands right before it takes the bytes, while the close looks round."""
    one = Resting()
    woken, go = threading.Event(), threading.Event()
    wait = one.connection.transport.wait

    def held(size):
        there = wait(size)
        woken.set()
        assert go.wait(PATIENCE)
        return there

    monkeypatch.setattr(one.connection.transport, "wait", held)
    one.peer.sendall(job_bytes(name="02"))  # ends the wait that began before this hook
    (_, second) = wait_for(
        lambda: len(one.home.of(RequestReceived)) == 2 and one.home.of(RequestReceived)
    )
    second.response_sink.answer(Answer(second, Outcome.SERVED, "ok"))
    assert ask(0, b"", one.peer).status == 200
    one.peer.sendall(job_bytes(name="03"))
    assert woken.wait(PATIENCE)
    ENDS[end](one)
    go.set()
    (*_, last) = wait_for(
        lambda: len(one.home.of(RequestReceived)) == 3 and one.home.of(RequestReceived)
    )
    last.response_sink.answer(Answer(last, Outcome.SERVED, "ok"))
    assert ask(0, b"", one.peer).status == 200


def test_one_that_is_turned_away_can_still_send_and_read_its_refusal():
    """Closed at once, the connection would be reset by what its peer sends, and the refusal lost with it."""
    home = Home(Limits(connections=ConnectionLimits(inbound=1, reserved_for_workers=0)))
    with home.dial() as first:
        first.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        with home.dial() as peer:
            wait_for(lambda: home.server.rejected_count)
            for part in (job_bytes()[:30], job_bytes()[30:]):
                peer.sendall(part)
                time.sleep(0.05)  # for a reset to come, if there is one
            assert ask(0, b"", peer).status == 503


def test_those_turned_away_are_bounded_and_let_go_in_time():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=0, reserved_for_workers=0, lingering=3),
            timeouts=Timeouts(rejected_linger_seconds=0.05),
        )
    )
    with contextlib.ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(home.dial())
        wait_for(lambda: home.server.rejected_count == 10)
        assert len(home.server.lingering) <= 3
        home.looked(lambda: not home.server.lingering)


def test_an_answer_that_its_client_does_not_read_holds_up_nobody():
    home = Home()
    with home.dial() as peer:
        peer.sendall(job_bytes())
        (waiting,) = wait_for(lambda: home.of(RequestReceived))
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "x" * 8_000_000))
        assert (
            waiting.response_sink.slow_writer_active
        )  # it came back before its peer had taken the answer
        total = 0
        while total < 8_000_000:
            total += len(peer.recv(1 << 20))


def test_a_fault_in_a_reader_thread_answers_its_request(monkeypatch, capfd):
    home = Home()
    feed = HttpSession.receive

    def broken(self, data, now_us):
        if self.request is not None:
            raise KeyError("lost")
        return feed(self, data, now_us)

    monkeypatch.setattr(HttpSession, "receive", broken)
    with home.dial() as peer:
        peer.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        peer.sendall(b"x")
        assert wait_for(lambda: home.of(RequestFaulted)) == home.of(RequestReceived)
    assert "fault in inbound: KeyError" in capfd.readouterr().err
