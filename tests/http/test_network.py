"""The drivers on loopback sockets: what each outcome proves, the budgets, and discovery's silences."""

import contextlib
import random
import socket
import struct
import threading
import time
from dataclasses import replace
from functools import partial

import pytest
from net_helpers import LIMITS, PROBED, SETTINGS, job_bytes, request
from node_helpers import PATIENCE, Server, ask, free_port, wait_for

from stepstream.config.limits import ConnectionLimits, Limits, Timeouts, limits_for
from stepstream.config.node_config import NodeConfig
from stepstream.core.commands import Answer, Outcome
from stepstream.core.events import CallEnded, ClientDisconnected, RequestFaulted, RequestReceived
from stepstream.core.requests import Call
from stepstream.http.codec import write_answer, write_request
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.outbound import OutboundCarrier
from stepstream.http.platform_api import ClientApi, DiscoveryApi, EndpointAnswer
from stepstream.http.poll_schedule import PollSchedule
from stepstream.http.server import InboundServer
from stepstream.http.session import HttpSession, SessionPhase
from stepstream.http.staleness import MOST, StalenessDetector
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from stepstream.model.settings import Effect
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.threads import ThreadPool

CLOCK = Clock()
NEWS = write_request("POST", "/_jobs/news", {}, b'{"id":"01","from":"s","state":"started"}')


def targets(state=EndpointState.ACTIVE, kind=EndpointListKind.COMPLETE, **ports):
    entries = tuple(Endpoint(name, state=state) for name in ports)
    addresses = {name: ("127.0.0.1", port) for name, port in ports.items()}
    return EndpointAnswer(1, EndpointList(kind, entries), addresses)


class Caller:
    """An Outbound whose events are kept, and one worker 'w' that answers as told."""

    def __init__(self, reply, limits=LIMITS, settings=SETTINGS):
        self.events = []
        self.server = Server(reply)
        self.destinations = DestinationSet()
        self.destinations.apply(targets(w=self.server.port))
        self.settings, self.bad = settings, RateLimitedLogger("answer", limits)
        more = LoadReportReader(settings, self.bad.add), self.bad
        self.outbound = OutboundCarrier(limits, CLOCK, self.destinations, self.events.append, *more)

    def call(self, name="aa", sent_us=None, worker="w"):
        now = CLOCK.now_us()
        asked = replace(request(name, now), settings=self.settings)
        call = Call(asked, 0, worker, now if sent_us is None else sent_us, now + 5_000_000)
        self.outbound.start(call)
        return call

    def outcome(self, call):
        return wait_for(
            lambda: [e.result for e in self.events if isinstance(e, CallEnded) and e.call is call]
        )[0]


def taken(_):
    return write_answer(202)


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (lambda _: write_answer(503, headers={"Not-Started": "1"}), AttemptResult.FULL),
        (lambda _: write_answer(500), AttemptResult.ERROR),
        (lambda _: None, AttemptResult.RESET),
        (lambda _: b"junk\r\n\r\n", AttemptResult.RESET),
    ],
)
def test_an_outcome_proves_what_the_table_says(reply, result):
    caller = Caller(reply)
    assert caller.outcome(caller.call()) is result


def test_a_refused_connection_never_ran():
    caller = Caller(taken)
    caller.server.sock.close()
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    caller.destinations.apply(targets(w=port))
    assert caller.outcome(caller.call()) is AttemptResult.CONNECT_FAILED


def test_a_202_ends_the_exchange_and_its_connection_serves_the_next():
    caller = Caller(taken, Limits(timeouts=Timeouts(outbound_reuse_delay_seconds=0.0)))
    for name in ("01", "02", "03"):
        call = caller.call(name)
        wait_for(lambda call=call: call.carrier_state.taken)
        wait_for(lambda: caller.outbound.pool.idle.get("w"))
    assert caller.outbound.pool.count == 1
    assert not caller.events


@pytest.mark.parametrize(
    "effect,price,dialled", [("unsafe", 0, 3), ("unsafe", 0.01, 1), ("safe", 0, 1)]
)
def test_what_must_not_run_twice_goes_on_a_connection_of_its_own(effect, price, dialled):
    """A kept connection may have died unheard, and a reset under such a job is its failure."""
    kind = replace(SETTINGS.classes[0], effect=Effect(effect))
    settings, limits = (
        replace(SETTINGS, classes=(kind,), handshake_price=price),
        Limits(timeouts=Timeouts(outbound_reuse_delay_seconds=0.0)),
    )
    caller, lines = Caller(taken, limits, settings), []
    for name in ("01", "02", "03"):
        call = caller.call(name)
        wait_for(lambda call=call: call.carrier_state.taken)
        lines += wait_for(lambda: caller.outbound.pool.idle.get("w"))  # kept: no two get one id
    assert len(set(map(id, lines))) == dialled
    assert caller.outbound.pool.count == 1


@pytest.mark.parametrize(
    "load,report,bad", [("TEXT queue=3", {"queue": 3.0}, 0), ("TEXT queue=x", None, 1)]
)
def test_a_load_report_costs_nothing_but_itself(load, report, bad):
    """In an answer that turns a call away, and in a probe's; one that cannot be read is counted."""
    settings = replace(SETTINGS, **{**PROBED, "load_report_source": "answers"})
    reply = write_answer(503, load.encode(), {"Not-Started": "1", "Server-Load": load})
    caller = Caller(lambda _: reply, settings=settings)
    assert caller.outcome(caller.call()) is AttemptResult.FULL
    assert caller.events[0].load_report == report
    caller.outbound.check_health("w")
    probed = wait_for(lambda: caller.events[1:])[0]
    assert (probed.load_report, caller.bad.count) == (report, 2 * bad)
    assert caller.server.seen[1].target == "/-/load"


def test_a_connection_that_its_worker_closed_is_not_written_to():
    caller = Caller(taken)
    caller.call("01")
    line = wait_for(lambda: caller.outbound.pool.idle.get("w"))[0]
    line.sock.shutdown(socket.SHUT_RDWR)  # as good as closed by the worker: reads end
    call = caller.call("02")
    wait_for(lambda: call.carrier_state.taken)
    assert not caller.events
    assert [m.headers["request-id"] for m in caller.server.seen] == [
        "01",
        "02",
    ]


def test_idle_connections_are_retired_before_the_worker_closes_them():
    caller = Caller(taken, Limits(timeouts=Timeouts(outbound_idle_seconds=0.0)))
    caller.call()
    wait_for(lambda: caller.outbound.pool.idle.get("w"))
    caller.outbound.pool.sweep()
    assert caller.outbound.pool.count == 0
    assert not caller.outbound.pool.idle


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_a_call_on_its_way_to_a_worker_that_drains_is_not_sent(state):
    caller = Caller(taken)
    caller.destinations.apply(targets(state, EndpointListKind.CHANGES, w=caller.server.port))
    assert caller.outcome(caller.call()) is AttemptResult.NOT_SENT
    assert not caller.server.seen


def test_a_drain_told_while_the_connection_is_made_still_counts(monkeypatch):
    caller = Caller(taken)
    take = caller.outbound.pool.take

    def slow_take(worker, address, new):
        line = take(worker, address)
        caller.destinations.apply(
            targets(EndpointState.DRAINING, EndpointListKind.CHANGES, w=address[1])
        )
        return line

    monkeypatch.setattr(caller.outbound.pool, "take", slow_take)
    assert caller.outcome(caller.call()) is AttemptResult.NOT_SENT
    assert not caller.server.seen


CROSSINGS = {
    "leaves": lambda caller, call: setattr(call.request, "client_disconnected", True),
    "is answered": lambda caller, call: setattr(call.request, "answered", True),
    "past its window": lambda caller, call: setattr(call, "write_deadline_us", CLOCK.now_us() - 1),
    "moves": lambda caller, call: caller.destinations.apply(targets(w=free_port())),
}


@pytest.mark.parametrize("crossing", CROSSINGS)
def test_what_happens_while_a_call_is_dialled_is_seen_before_its_first_byte(monkeypatch, crossing):
    """The client leaves, another copy answers, the window of repeats ends, the worker's address changes."""
    caller, now = Caller(taken), CLOCK.now_us()
    call = Call(request("aa", now), 0, "w", now, now + 5_000_000)
    take = caller.outbound.pool.take

    def crossed(*wanted):
        line = take(*wanted)
        CROSSINGS[crossing](caller, call)
        return line

    monkeypatch.setattr(caller.outbound.pool, "take", crossed)
    caller.outbound.start(call)
    assert caller.outcome(call) is AttemptResult.NOT_SENT
    assert not caller.server.seen


def test_a_second_answer_a_moment_late_does_not_pass_for_the_next_calls():
    """A late 'turned away unstarted' would prove of the next job what is not so: it would be sent again."""
    second = write_answer(503, headers={"Not-Started": "1"})
    lines = []

    class Twice(Server):
        def converse(self, peer, parser):
            lines.append(peer)
            super().converse(peer, parser)

    caller = Caller(taken)
    caller.server = Twice(taken)
    caller.destinations.apply(targets(w=caller.server.port))
    caller.call("01")
    wait_for(lambda: caller.outbound.pool.idle.get("w"))
    call = caller.call("02")  # at once: the first connection has not rested
    wait_for(lambda: call.carrier_state.taken)
    lines[0].sendall(second)
    wait_for(lambda: len(caller.outbound.pool.idle["w"]) == 2)
    assert len(lines) == 2
    assert not caller.events
    # It has rested by now, but holds what belongs to nothing: it is closed, not used.
    wait_for(
        lambda: all(time.monotonic() - x.idle_since > 0.05 for x in caller.outbound.pool.idle["w"])
    )
    for name in ("03", "04"):
        call = caller.call(name)
        wait_for(lambda call=call: call.carrier_state.taken)
    assert not caller.events


@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx", b"HTTP/1.1 2"]
)
def test_an_answer_that_never_ends_holds_its_call_for_a_bounded_time(start):
    caller = Caller(lambda _: start, Limits(timeouts=Timeouts(answer_body_seconds=0.05)))
    assert caller.outcome(caller.call()) is AttemptResult.RESET
    assert caller.outbound.pool.count == 0


def test_a_call_queued_too_long_is_not_sent():
    caller = Caller(taken)
    late = CLOCK.now_us() - int(LIMITS.timeouts.call_queue_seconds * 1e6) - 1
    assert caller.outcome(caller.call(sent_us=late)) is AttemptResult.NOT_SENT


def test_a_spent_budget_of_connections_is_not_sent_and_idle_ones_make_room():
    caller = Caller(taken, Limits(connections=ConnectionLimits(outbound=1)))
    caller.outbound.pool.reserve()
    assert caller.outcome(caller.call("01")) is AttemptResult.NOT_SENT
    caller.outbound.pool.release()
    caller.call("02")
    wait_for(lambda: caller.outbound.pool.idle.get("w"))
    caller.outbound.pool.reserve()  # the idle one's place
    assert caller.outbound.pool.count == 1


def test_a_stop_before_the_202_closes_and_after_it_deletes():
    hold = threading.Event()

    def reply(message):
        if message.method == "POST" and message.headers["request-id"] == "01":
            hold.wait(PATIENCE)
        return write_answer(202)

    caller = Caller(reply)
    first = caller.call("01")
    wait_for(lambda: caller.server.seen)
    caller.outbound.stop(first)
    assert (
        caller.outcome(first) is AttemptResult.RESET
    )  # the core has ended it before: only the thread's word
    hold.set()
    second = caller.call("02")
    wait_for(lambda: second.carrier_state.taken)
    caller.outbound.stop(second)
    deleted = wait_for(lambda: [m.target for m in caller.server.seen if m.target == "/jobs/02"])
    assert deleted == ["/jobs/02"]


def test_a_fault_in_a_calls_thread_still_ends_the_call(monkeypatch, capfd):
    def broken(*_):
        raise KeyError("lost")

    caller = Caller(taken)
    monkeypatch.setattr(caller.outbound, "exchange", broken)
    assert caller.outcome(caller.call()) is AttemptResult.NOT_SENT
    assert "fault in a call: KeyError" in capfd.readouterr().err


def test_a_crew_outlives_the_faults_of_its_jobs(capfd):
    crew, seen = ThreadPool("test", 1), []
    crew.submit(lambda: 1 / 0)
    crew.submit(seen.append, 1)
    wait_for(lambda: seen)
    assert crew.thread_count == 1
    assert "ZeroDivisionError" in capfd.readouterr().err


# -- discovery --------------------------------------------------------------------------------------------


def quick(settings=SETTINGS, **times):
    """A schedule with other times, that repeats failed calls at once."""
    given = {"failed": lambda self: 0.01, **times}
    return type("Quick", (PollSchedule,), given).of(settings, random.Random(0))


WATCHERS = []


@pytest.fixture(autouse=True)
def no_watcher_goes_on():
    yield
    while WATCHERS:
        WATCHERS.pop().stop()


class Watcher:
    def __init__(self, reply, limits=LIMITS, version=None, settings=SETTINGS, schedule=None):
        self.events = []
        self.server = Server(reply)
        where = ("127.0.0.1", self.server.port)
        side, self.bad = DiscoveryApi(settings), RateLimitedLogger("discovery failed:", limits)
        more = self.events.append, self.bad, schedule or quick(settings)
        self.discovery = DiscoveryClient(limits, where, side, DestinationSet(), *more)
        self.discovery.version = version
        WATCHERS.append(self.discovery)
        threading.Thread(target=self.discovery.run, daemon=True).start()

    def kinds(self):
        return [event.update.kind for event in self.events]


LIST = b'{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"ready"}]}'


def test_a_watch_goes_on_from_the_version_told():
    gate = threading.Event()

    def reply(message):
        if "index=7" in message.target:
            gate.wait(PATIENCE)
        return write_answer(200, LIST)

    watcher = Watcher(reply)
    wait_for(lambda: len(watcher.server.seen) >= 2)
    whole, watch = [m.target for m in watcher.server.seen[:2]]
    assert whole == "/api/targets"
    assert watch.startswith("/api/targets?index=7&wait=")
    assert watcher.kinds()[0] is EndpointListKind.COMPLETE
    assert watcher.discovery.destinations.address("s-1") == ("127.0.0.1", 1)
    gate.set()


def test_a_known_list_is_watched_from_its_version_even_if_that_is_0_and_a_call_failed():
    """A fleet that asks for the whole list, at its start or after each failure, has discovery overbooked."""
    watcher = Watcher(lambda _: write_answer(503), version=0)
    wait_for(lambda: watcher.bad.count >= 3)
    watcher.discovery.stop()
    assert all(m.target.startswith("/api/targets?index=0&wait=") for m in watcher.server.seen)


def test_a_version_that_goes_back_costs_one_whole_list():
    def reply(message):
        if "index=9" in message.target:
            return write_answer(200, b'{"version":7,"full":false,"servers":[]}')
        return write_answer(200, LIST) if "index" not in message.target else write_answer(503)

    watcher = Watcher(reply, version=9)
    wait_for(lambda: watcher.bad.count)
    targets_asked = [m.target.partition("&")[0] for m in watcher.server.seen[:3]]
    assert targets_asked == ["/api/targets?index=9", "/api/targets", "/api/targets?index=7"]


ODD_ROWS = (b'{"id":["s"],"addr":"h:1"}', b'{"id":"s","addr":"h:1","started_ms":1e400}', b"5")
ODD = (b"[]", *(b'{"servers":[{"id":"s-2","addr":"h:1"},%s]}' % row for row in ODD_ROWS))
UNREADABLE = [b"junk\r\n\r\n", *(write_answer(200, body) for body in ODD)]


@pytest.mark.parametrize("answer", [write_answer(503), None, *UNREADABLE])
def test_a_call_that_fails_changes_nothing_is_counted_and_is_made_again(answer):
    watcher = Watcher(lambda _: answer)
    wait_for(lambda: watcher.bad.count >= 3)
    watcher.discovery.stop()
    assert not watcher.events
    assert watcher.discovery.version is None


class Last(random.Random):
    """Draws the end of each range."""

    def uniform(self, low, high):
        return high


@pytest.mark.parametrize(
    ("steps", "due"),
    [
        ([("refused", "a", 0.0)], None),  # one worker: a crash that the list will tell of
        ([("refused", "a", 0.0), ("refused", "a", 1.0)], None),
        ([("refused", "a", 0.0), ("refused", "b", 1.0)], 3.1),  # notice and spread after the second
        ([("refused", "a", 0.0), ("refused", "b", 1.0), ("reached", "a")], None),
        ([("refused", "a", 0.0), ("refused", "b", 1.0), ("told", {"b"})], None),
        ([("refused", "a", 0.0), ("refused", "b", 1.0), ("told", {"c"})], 3.1),
        ([("refused", "a", 0.0), ("refused", "b", 1.0), ("told", None)], None),
        ([("refused", "a", 0.0), ("refused", "b", 1.0), ("due", 4.0), ("refused", "a", 5.0)], None),
        (
            [("refused", w, 1.0) for w in "ab"]
            + [("due", 4.0)]
            + [("refused", w, 5.0) for w in "ab"],
            21.1,
        ),
    ],
)
def test_a_list_is_doubted_once_several_workers_that_it_calls_ready_refuse(steps, due):
    doubt = StalenessDetector(3, Last(0))
    for step, *arguments in steps:
        getattr(doubt, step)(*arguments)
    assert not doubt.due((due or 1000.0) - 0.01)
    assert doubt.due(due or 1000.0) == (due is not None)
    assert not doubt.due(2000.0)


def test_workers_remembered_for_the_doubt_are_bounded():
    doubt = StalenessDetector(1, Last(0))
    for k in range(10 * MOST):
        doubt.refused(f"w{k}", 0.0)
    assert len(doubt.refused_at) == MOST


def test_a_refused_connection_counts_against_the_list_and_a_new_one_for_it():
    caller = Caller(taken)
    caller.destinations.apply(targets(w=free_port(), x=free_port(), y=caller.server.port))
    for name in "wx":
        assert caller.outcome(caller.call(worker=name)) is AttemptResult.CONNECT_FAILED
    assert set(caller.destinations.doubt.refused_at) == {"w", "x"}
    assert not caller.destinations.is_suspected_stale()
    caller.destinations.doubt.due_at = 0.0
    assert caller.destinations.is_suspected_stale()
    assert not caller.destinations.is_suspected_stale()


NEWER = LIST.replace(b"7", b"8")


def test_a_watch_that_may_be_silent_is_asked_beside_and_opened_anew_only_on_news():
    """Refusals alone prove nothing: given up on a guess, what the watch missed would count as told."""
    hold, answers = threading.Event(), [NEWER.replace(b"8", b"7"), NEWER]

    def reply(message):
        if "wait=0" in message.target:
            return write_answer(200, answers.pop(0))
        hold.wait(PATIENCE)

    watcher = Watcher(reply, version=7, schedule=quick(wait=PATIENCE))
    wait_for(lambda: len(watcher.server.seen) == 1)
    line = watcher.discovery.sock
    for left in (1, 0):
        watcher.discovery.check()
        wait_for(lambda left=left: len(answers) == left and not watcher.discovery.checking.locked())
        if left:
            assert watcher.discovery.sock is line
            assert not watcher.events
    wait_for(lambda: any(m.target.startswith("/api/targets?index=8") for m in watcher.server.seen))
    assert watcher.kinds() == [EndpointListKind.COMPLETE]
    assert not watcher.bad.count
    watcher.discovery.stop()
    hold.set()


def test_a_check_that_the_watch_has_overtaken_changes_nothing():
    hold = threading.Event()
    watcher = Watcher(lambda _: hold.wait(PATIENCE) and None, version=7)
    assert not watcher.discovery.learn(replace(targets(w=1), version=8), since=6)
    assert not watcher.events
    assert watcher.discovery.version == 7
    watcher.discovery.stop()
    hold.set()


def test_a_silent_watch_stays_open_until_the_call_beside_it_is_answered():
    """Closing a watch is giving it up: what it missed counts as told from then on. The first call fails."""
    hold, state = threading.Event(), {}

    def reply(message):
        if "wait=0" in message.target:
            if not state.setdefault("failed", 0):
                state["failed"] = 1
                return write_answer(503)
            state["open"] = watcher.discovery.sock is state["line"] and state["line"].fileno() >= 0
            return write_answer(200, NEWER)
        state.setdefault("line", watcher.discovery.sock)
        hold.wait(PATIENCE)

    watcher = Watcher(reply, version=7, schedule=quick(wait=0.05, slack=0.05, limit=PATIENCE))
    wait_for(lambda: watcher.kinds() == [EndpointListKind.COMPLETE])
    assert state["open"]
    assert watcher.discovery.version == 8
    watcher.discovery.stop()
    hold.set()


@pytest.mark.parametrize("drip", [b"", b"H"])
def test_a_call_is_over_in_its_time_also_if_its_answer_comes_in_drips(drip):
    """Each drip is within any bound on one read; the list would never come."""
    limit, stop = 0.3, threading.Event()
    ours, theirs = socket.socketpair()

    def feed():
        for _ in range(
            100
        ):  # far past the limit, then its end: a call that waits for that has failed
            if drip:
                theirs.sendall(drip)
            if stop.wait(0.02):
                return
        theirs.shutdown(socket.SHUT_WR)

    threading.Thread(target=feed, daemon=True).start()
    with ours, theirs:
        with pytest.raises(TimeoutError):
            DiscoveryClient.exchange(Watcher(lambda _: None).discovery, ours, b"GET", limit)
        stop.set()


def test_a_pushed_list_is_followed_unasked_over_failures_and_silence_which_nobody_is_told():
    """The module asks only where it must: unasked, the list from before the start would stay for good."""
    silent, answers = threading.Event(), [write_answer(503), write_answer(200, LIST), *UNREADABLE]

    def reply(_):
        return answers.pop(0) if answers else silent.wait(PATIENCE) and None

    pushed = replace(SETTINGS, polls_endpoints=False)
    watcher = Watcher(reply, LIMITS, 3, pushed, quick(pushed, wait=0.1, slack=0.1, limit=0.1))
    wait_for(lambda: watcher.bad.count >= len(UNREADABLE) + 3)  # the 503 too, and two silences
    watcher.discovery.stop()
    silent.set()
    assert watcher.kinds() == [EndpointListKind.COMPLETE]  # what cannot be read has changed nothing
    assert watcher.discovery.destinations.address("s-1") == ("127.0.0.1", 1)


def test_a_retired_discovery_ends_its_call_and_tells_nothing_more():
    silent = threading.Event()
    watcher = Watcher(lambda _: silent.wait(PATIENCE) and write_answer(200, LIST))
    wait_for(lambda: watcher.server.seen)
    watcher.discovery.stop()
    wait_for(lambda: watcher.discovery.sock is None)
    watcher.discovery.learn(targets(w=1))
    silent.set()
    assert not watcher.events
    assert watcher.discovery.destinations.address("w") is None


# -- the inbound side -------------------------------------------------------------------------------------


WORKER_HOST = "127.0.0.9"


class Home:
    """A House whose events are kept; nobody decides here."""

    def __init__(self, limits=LIMITS):
        self.events = []
        side = ClientApi(SETTINGS)
        self.house = InboundServer(
            limits, CLOCK, side, self.events.append, lambda host: host == WORKER_HOST
        )
        entrance = self.house.bind(("127.0.0.1", 0))
        self.house.start_listening(entrance)
        self.port = entrance.listener.getsockname()[1]
        threading.Thread(target=self.house.accept_loop, args=(entrance,), daemon=True).start()

    def dial(self, host="127.0.0.1"):
        where = ("127.0.0.1", self.port)
        return socket.create_connection(where, timeout=PATIENCE, source_address=(host, 0))

    def looked(self, done):
        """Looks at the connections as the main thread does every while, until then."""
        wait_for(lambda: self.house.enforce_timeouts() or done())

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
        wait_for(lambda: home.house.external_count == 10)
        time.sleep(0.02)
        assert ask(home.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
        assert home.house.external_count <= 1  # the next ones find room without a look
    wait_for(lambda: not home.house.connections and not home.house.evicted_count)
    assert home.house.external_count == 0


def test_an_idle_client_makes_room_before_a_new_connection_that_takes_its_time():
    home = Home(
        Limits(
            connections=ConnectionLimits(inbound=2, reserved_for_workers=0),
            timeouts=Timeouts(evictable_idle_seconds=0.0, unproven_seconds=PATIENCE),
        )
    )
    with home.dial() as new:
        wait_for(lambda: len(home.house.connections) == 1)
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
    home.house.evicted_count = 2
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
        wait_for(lambda: any(not inbound.session.between for inbound in home.house.connections))
        assert ask(home.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
        assert dawdler.recv(1) == b""


def test_a_slow_peer_gets_400():
    home = Home(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with home.dial() as slow:
        slow.sendall(b"GET /-/ready HT")
        wait_for(lambda: any(not inbound.session.between for inbound in home.house.connections))
        home.looked(
            lambda: all(
                inbound.session.phase is SessionPhase.CLOSED for inbound in home.house.connections
            )
        )
        assert ask(0, b"", slow).status == 400
    wait_for(lambda: not home.house.connections)


def test_a_silent_stranger_is_let_go_and_an_old_client_is_not():
    home = Home(Limits(timeouts=Timeouts(first_message_seconds=0.05)))
    with home.dial() as silent, home.dial() as client:
        client.sendall(job_bytes())
        (waiting,) = wait_for(lambda: home.of(RequestReceived))
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
        assert ask(0, b"", client).status == 200
        home.looked(lambda: len(home.house.connections) == 1)
        assert silent.recv(1) == b""
        client.sendall(job_bytes(name="02"))
        wait_for(lambda: len(home.of(RequestReceived)) == 2)


def test_a_peer_that_keeps_its_connection_after_an_error_is_let_go():
    home = Home(Limits(timeouts=Timeouts(linger_seconds=0.05)))
    with home.dial() as stays:
        assert ask(0, b"GET /nowhere HTTP/1.1\r\n\r\n", stays).status == 404
        home.looked(lambda: not home.house.connections)


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
        (closed,) = home.house.connections
        closed.active = 0.0  # as if long ago
        sending.sendall(bytes(1000))
        wait_for(lambda: closed.active > 0.0)
        # Its place is not to be had for another one now; how long it may go on counts from its error.
        assert ask(home.port, b"").status == 503
        assert closed.begun < closed.active
        assert closed in home.house.connections


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
        home.house.state.closing = True
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
        self.inbound = waiting.response_sink
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "ok"))
        assert ask(0, b"", self.peer).status == 200


ENDS = {
    "stop": lambda one: one.home.house.close_idle(),
    "idle": lambda one: one.inbound.enforce_timeouts(time.monotonic() + 1000.0),
    "room": lambda one: one.inbound.evict(),
}


@pytest.mark.parametrize("end", ENDS)
def test_a_request_in_the_instant_of_our_close_is_not_sent_on_and_meets_no_reset(monkeypatch, end):
    """It comes between the last look for bytes and the shutdown: its client sends it once more elsewhere."""
    one = Resting()
    shut = {name: getattr(one.inbound.link, name) for name in ("half_close", "shut_down")}

    def crossed(name):
        one.peer.sendall(job_bytes(name="02"))
        wait_for(one.inbound.link.has_unread)
        shut[name]()

    for name in shut:
        monkeypatch.setattr(one.inbound.link, name, partial(crossed, name))
    ENDS[end](one)
    assert one.peer.recv(100) == b""
    if (
        end != "room"
    ):  # there the place is needed at once, and what is still on its way meets a reset
        one.peer.sendall(job_bytes(name="03"))
    time.sleep(0.1)  # for a reset over unread bytes to come, if there is one
    assert one.peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    one.peer.close()
    wait_for(lambda: one.inbound not in one.home.house.connections)
    assert [r.id for r in one.home.of(RequestReceived)] == ["01"]


@pytest.mark.parametrize("end", ENDS)
def test_a_request_that_was_there_before_our_close_is_served(monkeypatch, end):
    """Its reader has been woken and stands right before it takes the bytes, while the close looks round."""
    one = Resting()
    woken, go = threading.Event(), threading.Event()
    wait = one.inbound.link.wait_readable

    def held(size):
        there = wait(size)
        woken.set()
        assert go.wait(PATIENCE)
        return there

    monkeypatch.setattr(one.inbound.link, "wait_readable", held)
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
            wait_for(lambda: home.house.rejected_count)
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
        wait_for(lambda: home.house.rejected_count == 10)
        assert len(home.house.lingering) <= 3
        home.looked(lambda: not home.house.lingering)


def test_an_answer_that_its_client_does_not_read_holds_up_nobody():
    home = Home()
    with home.dial() as peer:
        peer.sendall(job_bytes())
        (waiting,) = wait_for(lambda: home.of(RequestReceived))
        waiting.response_sink.answer(Answer(waiting, Outcome.SERVED, "x" * 8_000_000))
        assert waiting.response_sink.writing  # it came back before its peer had taken the answer
        total = 0
        while total < 8_000_000:
            total += len(peer.recv(1 << 20))


def test_a_fault_in_a_reader_thread_answers_its_request(monkeypatch, capfd):
    home = Home()
    feed = HttpSession.feed

    def broken(self, data, now_us):
        if self.request is not None:
            raise KeyError("lost")
        return feed(self, data, now_us)

    monkeypatch.setattr(HttpSession, "feed", broken)
    with home.dial() as peer:
        peer.sendall(job_bytes())
        wait_for(lambda: home.of(RequestReceived))
        peer.sendall(b"x")
        assert wait_for(lambda: home.of(RequestFaulted)) == home.of(RequestReceived)
    assert "fault in inbound: KeyError" in capfd.readouterr().err


def test_limits_keep_within_descriptors_and_memory():
    for sockets, memory in ((1024, 192), (64, 192), (1024, 70)):
        config = NodeConfig("n", ("h", 1), ("h", 2), 0, 1.0, memory, sockets, SETTINGS)
        limits = limits_for(config)
        assert limits.connections.inbound + limits.connections.outbound < sockets
        assert limits.timeouts.outbound_idle_seconds < SETTINGS.worker_idle_timeout_us / 1e6 / 1.5
        assert limits.connections.call_threads <= limits.connections.outbound
