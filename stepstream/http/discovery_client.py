"""The client of the discovery service: it follows the endpoint list by a watch.

A watch is a call that names the version at hand and that discovery answers once the list has
changed, or when its wait is over. Threads:

- the client thread, which the node starts with `run`, makes one call after another and alone opens
  and closes the connection;
- a check thread, started by `check_beside_watch` and at most one at a time, calls beside a watch
  that may have fallen silent;
- any other thread may ask for a poll, adopt a list, or stop the client.

State: the version of the list at hand, the client's state, and the connection. What each lock
guards stands where it is made. `PollSchedule` decides on all pauses and timeouts.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from enum import Enum
from queue import Empty, SimpleQueue

from stepstream.config.limits import Limits
from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.events import Event
from stepstream.http.codec import Parser, ProtocolError
from stepstream.http.destination_set import SOURCE, DestinationSet, host_and_port
from stepstream.http.discovery_api import Address, DiscoveryApi, EndpointAnswer
from stepstream.http.errors import HttpError
from stepstream.http.poll_schedule import PollSchedule
from stepstream.http.receiving import receive_message
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.sockets import connect, is_stale, shut_down
from stepstream.runtime.threads import spawn_thread


class ClientState(Enum):
    """What the client thread is to do with its connection.

    FOLLOWING -- a check has found a newer list --> REOPENING -- the watch has ended --> FOLLOWING
    either    -- stop                           --> RETIRED, which is final
    """

    FOLLOWING = 1
    REOPENING = 2  # the watch was shut down here, and its end is no failure
    RETIRED = 3


class ClientRetiredError(HttpError):
    """The client was stopped while a call was about to begin."""


class DiscoveryClient:
    """Follows the endpoint list at one address; a reload retires the client and starts another.

    A watch that has not been answered in time stays open beside the next call. Closing it is giving
    it up: what it missed would count as known from then on, before the next answer is here.
    """

    def __init__(  # noqa: PLR0913, PLR0917  the composition root hands over each collaborator once
        self,
        limits: Limits,
        address: Address,
        api: DiscoveryApi,
        destinations: DestinationSet,
        post: Callable[[Event], None],
        failures: RateLimitedLogger,
        schedule: PollSchedule,
    ) -> None:
        """`post` hands an event to the core; `failures` counts and logs calls that fail."""
        self.limits = limits
        self.address = address
        self.api = api
        self.destinations = destinations
        self.post = post
        self.failures = failures
        self.schedule = schedule
        self.wake_ups: SimpleQueue[None] = SimpleQueue()  # each cuts one pause between calls short
        # Guards `state` and the replacing of `connection`, and makes adopting a list one step: once
        # stop() has returned, nothing is adopted any more. The destination set's lock is taken
        # inside it.
        self.lock = threading.Lock()
        self.state = ClientState.FOLLOWING
        self.connection: socket.socket | None = None  # the client thread's
        # The version of the list at hand; None: fetch the complete list. 0 is a version like any
        # other.
        self.version: int | None = None
        # Held while a check is under way; taken by whoever starts it, released by its thread.
        self.check_in_progress = threading.Lock()
        self.first_answer_received = threading.Event()

    @property
    def retired(self) -> bool:
        """Whether the client has been stopped; final, so that it may be read without the lock."""
        return self.state is ClientState.RETIRED

    @property
    def host(self) -> str:
        """The Host header of each call."""
        return host_and_port(self.address)

    # -- any thread --------------------------------------------------------------------------------

    def poll(self) -> None:
        """Make the first call now if there is no list yet; a watch needs no asking."""
        if self.version is None and not self.first_answer_received.is_set():
            self.poll_now()

    def poll_now(self) -> None:
        """Cut the pause before the next call short."""
        self.wake_ups.put(None)

    def stop(self) -> None:
        """End the call under way; once this returns, no list is adopted any more."""
        with self.lock:
            self.state = ClientState.RETIRED
            if self.connection is not None:
                shut_down(self.connection)
        self.poll_now()

    def adopt_list(self, answer: EndpointAnswer, since: int | None = None) -> bool:
        """Take over a list, also one from before a start; the next watch goes on from its version.

        With `since`, only if that version is still the one at hand. Returns whether the list was
        adopted.
        """
        with self.lock:
            # Guards against a list from the address before a reload, which must not replace the new
            # address's, and against a check's list that the watch has overtaken.
            if self.retired or (since is not None and self.version != since):
                return False
            self.version = answer.version
            self.destinations.apply(answer)
            self.post(EndpointsUpdated(SOURCE, answer.update))
            return True

    def check_beside_watch(self) -> None:
        """Check, on a thread of its own, whether the watch has fallen silent; never waits."""
        if self.check_in_progress.acquire(blocking=False):
            spawn_thread("discovery check", self.run_check)

    # -- the check thread --------------------------------------------------------------------------

    def run_check(self) -> None:
        """Fetch the changes beside the watch; if there are any, adopt them and reopen the watch.

        Without any the watch stays: refused connections alone do not prove it silent.
        """
        try:
            version = self.version
            if version is None or self.retired:
                return
            answer = self.fetch_beside_watch(version)
            if answer.version != version and self.adopt_list(answer, since=version):
                self.reopen_watch()
        except (OSError, ProtocolError) as error:
            self.failures.add(str(error))
        finally:
            self.check_in_progress.release()

    def reopen_watch(self) -> None:
        """Make the client thread open its watch anew, from the version at hand."""
        with self.lock:
            if not self.retired and self.connection is not None:
                self.state = ClientState.REOPENING
                shut_down(self.connection)

    # -- the client thread -------------------------------------------------------------------------

    def run(self) -> None:
        """Call discovery until the client is stopped."""
        self.pause(self.schedule.first_pause_seconds())
        while not self.retired:
            self.pause(self.call_once())
        self.close_connection()

    def pause(self, seconds: float) -> None:
        """Wait between two calls, or until a wake-up."""
        if seconds > 0 and not self.retired:
            with contextlib.suppress(Empty):
                self.wake_ups.get(timeout=seconds)

    def call_once(self) -> float:
        """Make one call, act on its outcome, and return the pause before the next one in seconds.

        A watch from the version at hand, or a fetch of the complete list only where there is none:
        it is expensive where many dispatchers call. A failure changes nothing and is followed by a
        backoff.
        """
        begun_seconds = time.monotonic()
        version = self.version
        try:
            answer = self.call_discovery(version)
        except Exception as error:  # noqa: BLE001  without this thread no list would come any more
            return self.pause_after_failure(error)
        self.end_reopening()  # or a later failure would pass for the end of the reopened watch
        self.adopt_list(answer)
        self.first_answer_received.set()
        if version is not None and answer.version < version:
            # Discovery counts anew, as after its restart: a watch would not report what came
            # before.
            self.version = None
        unchanged = version is not None and answer.version == version
        took_seconds = time.monotonic() - begun_seconds
        return self.schedule.pause_after_answer_seconds(took_seconds, unchanged=unchanged)

    def pause_after_failure(self, error: Exception) -> float:
        """Close the connection and return the pause before the next call in seconds."""
        self.close_connection()
        if self.end_reopening():
            return 0.0
        if not self.retired:
            self.failures.add(str(error))
        return self.schedule.pause_after_failure_seconds()

    def end_reopening(self) -> bool:
        """Return whether the watch was being reopened, and go on following."""
        with self.lock:
            if self.state is not ClientState.REOPENING:
                return False
            self.state = ClientState.FOLLOWING
            return True

    def call_discovery(self, version: int | None) -> EndpointAnswer:
        """Return the answer to a fetch, to a watch, or to a call beside a watch that stays silent.

        Raises OSError, ProtocolError or ClientRetiredError.
        """
        connection = self.open_connection()
        if version is None:
            data = self.api.fetch_bytes(self.host)
            return self.request_list(connection, data, self.schedule.call_timeout_seconds)
        wait_seconds = self.schedule.watch_wait_seconds
        data = self.api.watch_bytes(self.host, version, wait_seconds)
        try:
            return self.request_list(
                connection, data, wait_seconds + self.schedule.watch_overrun_seconds
            )
        except TimeoutError:
            self.failures.add("a watch fell silent")
        answer = self.fetch_until_answered(version)
        self.close_connection()  # only now that what the silent watch missed is known
        return answer

    def fetch_until_answered(self, version: int) -> EndpointAnswer:
        """Call beside a silent watch, with backoff, until a call is answered.

        Raises OSError or ProtocolError only once the client is stopped.
        """
        while True:
            try:
                return self.fetch_beside_watch(version)
            except (OSError, ProtocolError) as error:
                if self.retired:
                    raise
                self.failures.add(str(error))
                self.pause(self.schedule.pause_after_failure_seconds())

    def open_connection(self) -> socket.socket:
        """Return the client thread's connection, a new one if there is none or it is stale."""
        if self.connection is not None and is_stale(self.connection):
            self.close_connection()
        if self.connection is None:
            connection = connect(
                self.address,
                self.schedule.call_timeout_seconds,
                self.limits.timeouts.write_seconds,
            )
            with self.lock:
                self.connection = connection
        if self.retired:
            # stop() may have come before there was a connection for it to shut down.
            raise ClientRetiredError("retired")
        return self.connection

    def close_connection(self) -> None:
        """Close the client thread's connection, if there is one."""
        with self.lock:
            connection = self.connection
            self.connection = None
        if connection is not None:
            connection.close()

    # -- the client thread and the check thread ----------------------------------------------------

    def fetch_beside_watch(self, version: int) -> EndpointAnswer:
        """Return the changes since a version, by a call of its own that does not wait."""
        begun_seconds = time.monotonic()
        timeout_seconds = self.schedule.call_timeout_seconds
        connection = connect(self.address, timeout_seconds, self.limits.timeouts.write_seconds)
        try:
            data = self.api.watch_bytes(self.host, version, 0.0)
            remaining_seconds = timeout_seconds - (time.monotonic() - begun_seconds)
            return self.request_list(connection, data, remaining_seconds)
        finally:
            connection.close()

    def request_list(
        self, connection: socket.socket, data: bytes, timeout_seconds: float
    ) -> EndpointAnswer:
        """Send a call and return the list in its answer.

        The answer is read from the moment the call is written, as a change counts as known once
        discovery wrote it. Raises OSError or ProtocolError.
        """
        deadline_seconds = time.monotonic() + timeout_seconds
        connection.sendall(data)
        parser = Parser(
            self.limits, answers=True, max_body_bytes=self.limits.sizes.endpoint_list_bytes
        )
        message = receive_message(
            connection, parser, deadline_seconds, self.limits.sizes.read_bytes
        )
        if message is None:
            message = parser.end()  # an answer without a length ends with the connection
        if message is None:
            raise ProtocolError(400, "the connection ended before the answer")
        if connection is self.connection and (not message.keep_alive or not parser.idle):
            self.close_connection()
        return self.api.read_answer(message)
