"""The discovery client on loopback sockets: watches, silent watches, failures and stops."""

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
    """Return a schedule that repeats failed calls at once; `times` overrides its attributes."""
    members = {"pause_after_failure_seconds": lambda self: 0.01, **times}
    schedule_class = type("AdjustedSchedule", (PollSchedule,), members)
    return schedule_class.from_settings(settings, random.Random(0))


class DiscoveryHarness:
    """A client whose events are recorded, and a discovery service.

    `reply(message)` returns the bytes of the service's answer, or None to disconnect.
    """

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
    """Create discovery clients and stop them after the test."""
    harnesses = []

    def create(*arguments, **options):
        harnesses.append(DiscoveryHarness(*arguments, **options))
        return harnesses[-1]

    yield create
    for harness in harnesses:
        harness.close()


@pytest.fixture
def start_client(make_client):
    """Create and start discovery clients, and stop them after the test."""

    def start(*arguments, **options):
        harness = make_client(*arguments, **options)
        harness.start()
        return harness

    return start


@pytest.fixture
def end_of_silence():
    """Yield an event that is set after the test; a reply that waits for it stays silent."""
    event = threading.Event()
    yield event
    event.set()


# -- versions --------------------------------------------------------------------------------------


def test_a_watch_continues_from_the_version_of_the_last_list(start_client, end_of_silence):
    def reply(message):
        if "index=7" in message.target:
            end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
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
    """A fleet that fetches complete lists when it starts or after failures overloads discovery."""
    harness = start_client(lambda _: write_answer(503), version=0)
    wait_for(lambda: harness.failures.count >= 3)
    harness.client.stop()
    assert all(target.startswith("/api/targets?index=0&wait=") for target in harness.targets())


def test_after_a_lower_version_the_complete_list_is_fetched_once(start_client):
    def reply(message):
        if "index=9" in message.target:
            return write_answer(200, b'{"version":7,"full":false,"servers":[]}')
        return write_answer(200, LIST) if "index" not in message.target else write_answer(503)

    harness = start_client(reply, version=9)
    wait_for(lambda: harness.failures.count)
    called_targets = [target.partition("&")[0] for target in harness.targets()[:3]]
    assert called_targets == ["/api/targets?index=9", "/api/targets", "/api/targets?index=7"]


# -- failures --------------------------------------------------------------------------------------


@pytest.mark.parametrize("answer", [write_answer(503), None, *UNREADABLE_ANSWERS])
def test_a_failed_call_changes_nothing_and_is_counted_and_repeated(start_client, answer):
    harness = start_client(lambda _: answer)
    wait_for(lambda: harness.failures.count >= 3)
    harness.client.stop()
    assert not harness.events
    assert harness.client.version is None


@pytest.mark.parametrize("sent_bytes", [b"", b"H"])
def test_a_call_ends_at_its_timeout_also_if_its_answer_arrives_byte_by_byte(
    start_client, sent_bytes
):
    """A timeout of each single read would not end such a call."""
    client = start_client(lambda _: None).client
    stop = threading.Event()
    ours, theirs = socket.socketpair()

    def send_slowly():
        # Sends until long after the timeout: a call that waits for the stream's end ends too late.
        for _ in range(100):
            if sent_bytes:
                theirs.sendall(sent_bytes)
            if stop.wait(0.02):
                return
        theirs.shutdown(socket.SHUT_WR)

    threading.Thread(target=send_slowly, daemon=True).start()
    with ours, theirs:
        with pytest.raises(TimeoutError):
            client.request_list(ours, b"GET", 0.3)
        stop.set()


def test_a_pushed_list_is_followed_without_polls_despite_failures_and_silent_watches(
    start_client, end_of_silence
):
    """The core does not poll here, so the client alone replaces the list that it starts with."""
    answers = [write_answer(503), write_answer(200, LIST), *UNREADABLE_ANSWERS]

    def reply(_):
        if answers:
            return answers.pop(0)
        end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    schedule = make_schedule(
        AGENT_SETTINGS,
        watch_wait_seconds=0.1,
        watch_overrun_seconds=0.1,
        call_timeout_seconds=0.1,
    )
    harness = start_client(reply, 3, AGENT_SETTINGS, schedule)
    # All unreadable answers, the 503 and two silent watches are counted.
    wait_for(lambda: harness.failures.count >= len(UNREADABLE_ANSWERS) + 3)
    harness.client.stop()
    # The unreadable answers have changed nothing.
    assert harness.adopted_kinds() == [EndpointListKind.COMPLETE]
    assert harness.destinations.usable_address("s-1") == ("127.0.0.1", 1)


# -- reports that the list is confirmed or unconfirmed ---------------------------------------------


def test_only_the_first_failure_and_the_first_answer_after_it_are_reported(
    start_client, end_of_silence
):
    # Guards against a list that counts as confirmed for seconds while discovery rejects each call.
    answers = [
        write_answer(503),
        write_answer(503),
        write_answer(200, LIST),
        write_answer(200, LIST),
    ]

    def reply(_):
        if answers:
            return answers.pop(0)
        end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    reported = []
    harness = start_client(reply, report_confirmation=reported.append)
    wait_for(lambda: not answers and len(harness.server.requests) > 4)
    assert reported == [EndpointCallFailed(0), EndpointListConfirmed()]


def test_a_silent_watch_is_reported_with_the_time_since_it_was_opened(start_client, end_of_silence):
    def reply(message):
        if "wait=0" in message.target:
            return write_answer(503)
        end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    reported = []
    schedule = make_schedule(watch_wait_seconds=0.25, watch_overrun_seconds=0.25)
    harness = start_client(reply, version=7, schedule=schedule, report_confirmation=reported.append)
    wait_for(lambda: harness.failures.count >= 3)
    assert reported == [EndpointCallFailed(500_000)]


# -- silent watches --------------------------------------------------------------------------------


def test_a_silent_watch_stays_open_until_the_next_call_is_answered(make_client, end_of_silence):
    """The client must not close a watch before it knows the changes that the watch missed."""
    watch_connections, open_at_answer = [], []
    poll_answers = [write_answer(503), write_answer(200, NEWER_LIST)]

    def reply(message):
        connection = harness.client.connection
        if "wait=0" in message.target:
            if len(poll_answers) == 1:
                is_open = connection is watch_connections[0] and connection.fileno() >= 0
                open_at_answer.append(is_open)
            return poll_answers.pop(0)
        watch_connections.append(connection)
        end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
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


def test_a_list_check_reopens_the_watch_only_if_there_are_changes(start_client, end_of_silence):
    """Refused connections cause a list check, but do not prove that the watch is silent.

    The client must not close a watch before it knows the changes that the watch missed.
    """
    answers = [LIST, NEWER_LIST]

    def reply(message):
        if "wait=0" in message.target:
            return write_answer(200, answers.pop(0))
        end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
        return None

    schedule = make_schedule(watch_wait_seconds=WAIT_TIMEOUT_SECONDS)
    harness = start_client(reply, version=7, schedule=schedule)
    client = harness.client
    wait_for(lambda: len(harness.server.requests) == 1)
    watch_connection = client.connection

    client.start_list_check()
    wait_for(lambda: len(answers) == 1 and not client.check_in_progress.locked())
    assert client.connection is watch_connection
    assert not harness.events

    client.start_list_check()
    wait_for(lambda: not answers and not client.check_in_progress.locked())
    wait_for(lambda: any(target.startswith("/api/targets?index=8") for target in harness.targets()))
    assert harness.adopted_kinds() == [EndpointListKind.COMPLETE]
    assert not harness.failures.count


def test_a_list_polled_from_an_older_version_than_the_current_one_is_not_adopted(
    start_client, end_of_silence
):
    harness = start_client(lambda _: end_of_silence.wait(WAIT_TIMEOUT_SECONDS) and None, version=7)
    late_answer = replace(endpoint_answer(w=1), version=8)
    assert not harness.client.adopt_list(late_answer, base_version=6)
    assert not harness.events
    assert harness.client.version == 7


@pytest.mark.parametrize(
    ("current_version", "base_version", "answered_version", "adopted", "next_version"),
    [
        (7, 7, 8, True, 8),
        (9, 7, 8, False, 9),  # a list check was answered first; this answer is older
        (9, 7, 10, False, 9),  # a list check was answered first; the next watch repeats version 10
        (9, 9, 2, True, None),  # discovery has restarted its version count
        (2, 9, 3, False, 2),  # another call has already detected the restart
        # There is no version yet: the first complete list, or a list from before the start.
        (None, None, 5, True, 5),
        (5, None, 9, False, 5),
        (None, 9, 10, False, None),
    ],
)
def test_a_list_is_adopted_only_if_its_base_version_is_the_current_one(
    make_client, current_version, base_version, answered_version, adopted, next_version
):
    harness = make_client(lambda _: None, version=current_version)
    answer = replace(endpoint_answer(w=1), version=answered_version)
    assert harness.client.adopt_list(answer, base_version=base_version) is adopted
    assert harness.client.version == next_version
    assert len(harness.events) == adopted
    assert (harness.destinations.usable_address("w") is not None) is adopted


def test_a_late_answer_to_a_poll_does_not_undo_a_list_check(start_client, end_of_silence):
    # Guards against a draining worker that is used again because an older list was answered last.
    send_late_answer = threading.Event()
    older_list = NEWER_LIST
    newer_list = LIST.replace(b"7", b"9").replace(b"ready", b"draining")
    polls_during_watch = []

    def reply(message):
        if "wait=0" not in message.target:
            end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
            return None
        polls_during_watch.append(message)
        if len(polls_during_watch) > 1:
            return write_answer(200, newer_list)
        send_late_answer.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(200, older_list)

    schedule = make_schedule(
        watch_wait_seconds=0.05,
        watch_overrun_seconds=0.05,
        call_timeout_seconds=WAIT_TIMEOUT_SECONDS,
    )
    harness = start_client(reply, version=7, schedule=schedule)
    client = harness.client
    wait_for(lambda: polls_during_watch)
    client.start_list_check()
    wait_for(lambda: client.version == 9)
    send_late_answer.set()
    wait_for(lambda: [target for target in harness.targets() if "wait=0" not in target][1:])
    watches = [target for target in harness.targets() if "wait=0" not in target]
    assert watches[1].startswith("/api/targets?index=9")
    assert client.version == 9
    assert harness.destinations.usable_address("s-1") is None


def test_the_complete_list_is_fetched_after_a_check_finds_a_restarted_version_count(
    start_client, end_of_silence
):
    # Guards against missed changes: versions from before and after the restart cannot be compared.
    def reply(message):
        if "wait=0" in message.target:
            return write_answer(200, b'{"version":2,"full":false,"servers":[]}')
        if "index=9" in message.target:
            end_of_silence.wait(WAIT_TIMEOUT_SECONDS)
            return None
        return write_answer(200, LIST) if "index" not in message.target else write_answer(503)

    schedule = make_schedule(watch_wait_seconds=WAIT_TIMEOUT_SECONDS)
    harness = start_client(reply, version=9, schedule=schedule)
    wait_for(lambda: harness.server.requests)
    harness.client.start_list_check()
    wait_for(lambda: len(harness.server.requests) >= 3)
    assert harness.targets()[2] == "/api/targets"


# -- stops -----------------------------------------------------------------------------------------


def test_a_stopped_client_ends_its_call_and_adopts_no_list(start_client, end_of_silence):
    harness = start_client(
        lambda _: end_of_silence.wait(WAIT_TIMEOUT_SECONDS) and write_answer(200, LIST)
    )
    wait_for(lambda: harness.server.requests)
    harness.client.stop()
    wait_for(lambda: harness.client.connection is None)
    harness.client.adopt_list(endpoint_answer(w=1))
    end_of_silence.set()
    assert not harness.events
    assert harness.destinations.usable_address("w") is None
