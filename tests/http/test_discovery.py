"""The discovery client on loopback sockets: watches, their silences, failures and stops."""

import random
import socket
import threading
from dataclasses import replace

import pytest

from stepstream.http.codec import write_answer
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_api import DiscoveryApi
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.http.poll_schedule import PollSchedule
from stepstream.model.endpoints import EndpointListKind
from stepstream.model.events import EndpointCallFailed, EndpointListConfirmed
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.http.outbound_harness import endpoint_answer
from tests.http.scripted_server import ScriptedServer
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

LIST = b'{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"ready"}]}'
NEWER_LIST = LIST.replace(b"7", b"8")
MALFORMED_ROWS = (
    b'{"id":["s"],"addr":"h:1"}',
    b'{"id":"s","addr":"h:1","started_ms":1e400}',
    b"5",
)
MALFORMED_LISTS = (
    b"[]",
    *(b'{"servers":[{"id":"s-2","addr":"h:1"},%s]}' % row for row in MALFORMED_ROWS),
)
UNREADABLE_ANSWERS = [b"junk\r\n\r\n", *(write_answer(200, body) for body in MALFORMED_LISTS)]
AGENT_SETTINGS = replace(POLICY_SETTINGS, polls_endpoints=False)


def make_schedule(settings=POLICY_SETTINGS, **times):
    """A schedule that repeats failed calls at once, and whose times may be replaced."""
    members = {"pause_after_failure_seconds": lambda self: 0.01, **times}
    schedule_class = type("AdjustedSchedule", (PollSchedule,), members)
    return schedule_class.from_settings(settings, random.Random(0))


class DiscoveryHarness:
    """A client whose events are recorded, and a discovery service that answers by `reply`."""

    def __init__(self, reply, version=None, settings=POLICY_SETTINGS, schedule=None, **options):
        self.events = []
        self.server = ScriptedServer(reply)
        self.failures = RateLimitedLogger(log_events.discovery_call_failed, LIMITS)
        self.destinations = DestinationSet()
        self.client = DiscoveryClient(
            LIMITS,
            ("127.0.0.1", self.server.port),
            DiscoveryApi(settings),
            self.destinations,
            self.events.append,
            self.failures,
            schedule or make_schedule(settings),
            **options,
        )
        self.client.version = version

    def start(self):
        threading.Thread(target=self.client.run, daemon=True).start()

    def close(self):
        self.client.stop()
        self.server.close()

    def adopted_kinds(self):
        return [event.update.kind for event in self.events]

    def targets(self):
        return [message.target for message in self.server.requests]


@pytest.fixture
def make_client():
    """Makes clients that the test's end stops."""
    made = []

    def make(*arguments, **options):
        made.append(DiscoveryHarness(*arguments, **options))
        return made[-1]

    yield make
    for harness in made:
        harness.close()


@pytest.fixture
def start_client(make_client):
    """Makes clients and starts them."""

    def start(*arguments, **options):
        harness = make_client(*arguments, **options)
        harness.start()
        return harness

    return start


@pytest.fixture
def silence():
    """An event for replies to wait on; set when the test ends."""
    event = threading.Event()
    yield event
    event.set()


# -- versions --------------------------------------------------------------------------------------


def test_a_watch_goes_on_from_the_version_of_the_last_list(start_client, silence):
    def reply(message):
        if "index=7" in message.target:
            silence.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(200, LIST)

    harness = start_client(reply)
    wait_for(lambda: len(harness.server.requests) >= 2)
    fetch, watch = harness.targets()[:2]
    assert fetch == "/api/targets"
    assert watch.startswith("/api/targets?index=7&wait=")
    assert harness.adopted_kinds()[0] is EndpointListKind.COMPLETE
    assert harness.destinations.usable_address("s-1") == ("127.0.0.1", 1)


def test_a_known_list_is_watched_from_its_version_even_if_that_is_0_and_a_call_failed(
    start_client,
):
    """A fleet that fetches complete lists at its start or after failures overloads discovery."""
    harness = start_client(lambda _: write_answer(503), version=0)
    wait_for(lambda: harness.failures.count >= 3)
    harness.client.stop()
    assert all(target.startswith("/api/targets?index=0&wait=") for target in harness.targets())


def test_a_version_that_goes_back_costs_one_complete_list(start_client):
    def reply(message):
        if "index=9" in message.target:
            return write_answer(200, b'{"version":7,"full":false,"servers":[]}')
        return write_answer(200, LIST) if "index" not in message.target else write_answer(503)

    harness = start_client(reply, version=9)
    wait_for(lambda: harness.failures.count)
    called = [target.partition("&")[0] for target in harness.targets()[:3]]
    assert called == ["/api/targets?index=9", "/api/targets", "/api/targets?index=7"]


# -- failures --------------------------------------------------------------------------------------


@pytest.mark.parametrize("answer", [write_answer(503), None, *UNREADABLE_ANSWERS])
def test_a_call_that_fails_changes_nothing_is_counted_and_is_made_again(start_client, answer):
    harness = start_client(lambda _: answer)
    wait_for(lambda: harness.failures.count >= 3)
    harness.client.stop()
    assert not harness.events
    assert harness.client.version is None


@pytest.mark.parametrize("drip", [b"", b"H"])
def test_a_call_ends_at_its_timeout_also_if_its_answer_comes_in_drips(start_client, drip):
    """Each drip is within any bound on one read; the list would never come."""
    client = start_client(lambda _: None).client
    stop = threading.Event()
    ours, theirs = socket.socketpair()

    def feed():
        # Far past the timeout, then the end: a call that waits for that has failed the test.
        for _ in range(100):
            if drip:
                theirs.sendall(drip)
            if stop.wait(0.02):
                return
        theirs.shutdown(socket.SHUT_WR)

    threading.Thread(target=feed, daemon=True).start()
    with ours, theirs:
        with pytest.raises(TimeoutError):
            client.request_list(ours, b"GET", 0.3)
        stop.set()


def test_a_pushed_list_is_followed_unpolled_over_failures_and_silent_watches(start_client, silence):
    """The core polls only where it must: unpolled, the list from before the start would stay."""
    answers = [write_answer(503), write_answer(200, LIST), *UNREADABLE_ANSWERS]

    def reply(_):
        if answers:
            return answers.pop(0)
        silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    schedule = make_schedule(
        AGENT_SETTINGS,
        watch_wait_seconds=0.1,
        watch_overrun_seconds=0.1,
        call_timeout_seconds=0.1,
    )
    harness = start_client(reply, 3, AGENT_SETTINGS, schedule)
    # the 503 too, and two silent watches
    wait_for(lambda: harness.failures.count >= len(UNREADABLE_ANSWERS) + 3)
    harness.client.stop()
    # What cannot be read has changed nothing.
    assert harness.adopted_kinds() == [EndpointListKind.COMPLETE]
    assert harness.destinations.usable_address("s-1") == ("127.0.0.1", 1)


# -- what confirms the list ------------------------------------------------------------------------


def test_failures_and_answers_are_reported_where_they_change_what_is_known(start_client, silence):
    # Guards against a list that is trusted for seconds while discovery rejects each call.
    answers = [
        write_answer(503),
        write_answer(503),
        write_answer(200, LIST),
        write_answer(200, LIST),
    ]

    def reply(_):
        if answers:
            return answers.pop(0)
        silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    reported = []
    harness = start_client(reply, report_confirmation=reported.append)
    wait_for(lambda: not answers and len(harness.server.requests) > 4)
    assert reported == [EndpointCallFailed(0), EndpointListConfirmed()]


def test_a_silent_watch_is_reported_with_the_time_since_it_was_opened(start_client, silence):
    def reply(message):
        if "wait=0" in message.target:
            return write_answer(503)
        silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    reported = []
    schedule = make_schedule(watch_wait_seconds=0.25, watch_overrun_seconds=0.25)
    harness = start_client(reply, version=7, schedule=schedule, report_confirmation=reported.append)
    wait_for(lambda: harness.failures.count >= 3)
    assert reported == [EndpointCallFailed(500_000)]


# -- silent watches --------------------------------------------------------------------------------


def test_a_silent_watch_stays_open_until_the_call_beside_it_is_answered(make_client, silence):
    """Closing a watch is giving it up: what it missed counts as known from then on."""
    watched_on, open_at_answer = [], []
    beside_watch = [write_answer(503), write_answer(200, NEWER_LIST)]

    def reply(message):
        connection = harness.client.connection
        if "wait=0" in message.target:
            if len(beside_watch) == 1:
                is_open = connection is watched_on[0] and connection.fileno() >= 0
                open_at_answer.append(is_open)
            return beside_watch.pop(0)
        watched_on.append(connection)
        silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    schedule = make_schedule(
        watch_wait_seconds=0.05,
        watch_overrun_seconds=0.05,
        call_timeout_seconds=WAIT_TIMEOUT_SECONDS,
    )
    harness = make_client(reply, version=7, schedule=schedule)
    harness.start()
    wait_for(lambda: harness.adopted_kinds() == [EndpointListKind.COMPLETE])
    assert open_at_answer == [True]
    assert harness.client.version == 8


def test_a_check_beside_the_watch_reopens_it_only_if_there_are_changes(start_client, silence):
    """Refusals alone prove nothing: given up on a guess, what the watch missed counts as known."""
    answers = [LIST, NEWER_LIST]

    def reply(message):
        if "wait=0" in message.target:
            return write_answer(200, answers.pop(0))
        silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    schedule = make_schedule(watch_wait_seconds=WAIT_TIMEOUT_SECONDS)
    harness = start_client(reply, version=7, schedule=schedule)
    client = harness.client
    wait_for(lambda: len(harness.server.requests) == 1)
    watched_on = client.connection

    client.start_list_check()
    wait_for(lambda: len(answers) == 1 and not client.check_in_progress.locked())
    assert client.connection is watched_on
    assert not harness.events

    client.start_list_check()
    wait_for(lambda: not answers and not client.check_in_progress.locked())
    wait_for(lambda: any(t.startswith("/api/targets?index=8") for t in harness.targets()))
    assert harness.adopted_kinds() == [EndpointListKind.COMPLETE]
    assert not harness.failures.count


def test_a_check_that_the_watch_has_overtaken_changes_nothing(start_client, silence):
    harness = start_client(lambda _: silence.wait(WAIT_TIMEOUT_SECONDS) and None, version=7)
    overtaken = replace(endpoint_answer(w=1), version=8)
    assert not harness.client.adopt_list(overtaken, base_version=6)
    assert not harness.events
    assert harness.client.version == 7


@pytest.mark.parametrize(
    ("current", "since", "answered", "adopted", "continued_from"),
    [
        (7, 7, 8, True, 8),
        (9, 7, 8, False, 9),  # a check was faster; the answer is older
        (9, 7, 10, False, 9),  # a check was faster; the next watch reports version 10 again
        (9, 9, 2, True, None),  # discovery has started its count anew
        (2, 9, 3, False, 2),  # another call has noticed that before
        (None, None, 5, True, 5),  # the first list, or a list from before the start
        (5, None, 9, False, 5),
        (None, 9, 10, False, None),
    ],
)
def test_a_list_is_adopted_only_over_the_one_that_it_was_polled_from(
    make_client, current, since, answered, adopted, continued_from
):
    harness = make_client(lambda _: None, version=current)
    answer = replace(endpoint_answer(w=1), version=answered)
    assert harness.client.adopt_list(answer, base_version=since) is adopted
    assert harness.client.version == continued_from
    assert len(harness.events) == adopted
    assert (harness.destinations.usable_address("w") is not None) is adopted


def test_the_late_answer_beside_a_silent_watch_does_not_undo_a_check(start_client, silence):
    # Guards against a draining worker that is used again: the answer of an older list came last.
    answer_late = threading.Event()
    older = NEWER_LIST
    newer = LIST.replace(b"7", b"9").replace(b"ready", b"draining")
    calls_beside_watch = []

    def reply(message):
        if "wait=0" not in message.target:
            silence.wait(WAIT_TIMEOUT_SECONDS)
            return None
        calls_beside_watch.append(message)
        if len(calls_beside_watch) > 1:
            return write_answer(200, newer)
        answer_late.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(200, older)

    schedule = make_schedule(
        watch_wait_seconds=0.05,
        watch_overrun_seconds=0.05,
        call_timeout_seconds=WAIT_TIMEOUT_SECONDS,
    )
    harness = start_client(reply, version=7, schedule=schedule)
    client = harness.client
    wait_for(lambda: calls_beside_watch)
    client.start_list_check()
    wait_for(lambda: client.version == 9)
    answer_late.set()
    wait_for(lambda: [t for t in harness.targets() if "wait=0" not in t][1:])
    watches = [target for target in harness.targets() if "wait=0" not in target]
    assert watches[1].startswith("/api/targets?index=9")
    assert client.version == 9
    assert harness.destinations.usable_address("s-1") is None


def test_a_check_that_finds_the_count_started_anew_has_the_complete_list_fetched(
    start_client, silence
):
    # Guards against changes that are missed: versions of the old and the new count do not compare.
    def reply(message):
        if "wait=0" in message.target:
            return write_answer(200, b'{"version":2,"full":false,"servers":[]}')
        if "index=9" in message.target:
            silence.wait(WAIT_TIMEOUT_SECONDS)
            return None
        return write_answer(200, LIST) if "index" not in message.target else write_answer(503)

    schedule = make_schedule(watch_wait_seconds=WAIT_TIMEOUT_SECONDS)
    harness = start_client(reply, version=9, schedule=schedule)
    wait_for(lambda: harness.server.requests)
    harness.client.start_list_check()
    wait_for(lambda: len(harness.server.requests) >= 3)
    assert harness.targets()[2] == "/api/targets"


# -- stops -----------------------------------------------------------------------------------------


def test_a_stopped_client_ends_its_call_and_adopts_nothing_more(start_client, silence):
    harness = start_client(lambda _: silence.wait(WAIT_TIMEOUT_SECONDS) and write_answer(200, LIST))
    wait_for(lambda: harness.server.requests)
    harness.client.stop()
    wait_for(lambda: harness.client.connection is None)
    harness.client.adopt_list(endpoint_answer(w=1))
    silence.set()
    assert not harness.events
    assert harness.destinations.usable_address("w") is None
