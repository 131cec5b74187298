"""The client of the discovery service: it follows the endpoint list by a watch.

A watch is a long poll with the current version. Discovery answers it once the list has changed, or
when its wait is over. A watch that is not answered even then is called silent. Threads:

- The client thread, which the node starts with `run`, makes one call after another. Only it opens
  and closes the connection.
- A check thread, started by `start_list_check`, polls on a second connection during a watch that
  may have fallen silent. At most one check runs at a time.
- Any other thread may request a poll, adopt a list, or stop the client.

A list is adopted only if the version that it was polled from is still the current one. Concurrent
calls can be answered in any order, and discovery may restart its version count, so the version of
an answer alone does not tell whether the answer is newer. After a list that was not adopted, the
next call continues from the current version, so that no change is missed.

State: the version of the current list, the client's state, and the connection. A comment at each
lock says what it guards. `PollSchedule` decides all pauses and timeouts.
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
from stepstream.http.destination_set import DISCOVERY_SOURCE, DestinationSet, host_and_port
from stepstream.http.discovery_api import Address, DiscoveryApi, EndpointAnswer
from stepstream.http.errors import HttpError
from stepstream.http.poll_schedule import PollSchedule
from stepstream.http.receiving import receive_message
from stepstream.model.events import EndpointCallFailed, EndpointListConfirmed
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.sockets import connect, is_stale, shut_down
from stepstream.runtime.threads import spawn_thread

MICROSECONDS_PER_SECOND = 1e6

ListConfirmationEvent = EndpointCallFailed | EndpointListConfirmed


def ignore_confirmation(event: ListConfirmationEvent) -> None:
    """Do nothing; the default of `report_confirmation`."""


class ClientState(Enum):
    """The state of the client thread.

    FOLLOWING -- a check has found a newer list --> REOPENING -- the watch has ended --> FOLLOWING
    either    -- stop                           --> RETIRED, which is final
    """

    FOLLOWING = 1
    REOPENING = 2  # this client has shut down the watch, whose end is then no failure
    RETIRED = 3


class ClientRetiredError(HttpError):
    """The client was stopped before a call could begin."""


class DiscoveryClient:
    """Follows the endpoint list at one address; a reload retires the client and starts another.

    A silent watch stays open during the next call. A client that has closed a watch must know the
    changes that the watch missed. This client therefore closes a silent watch only after the next
    call is answered.
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
        report_confirmation: Callable[[ListConfirmationEvent], None] = ignore_confirmation,
    ) -> None:
        """`post` hands an event to the core; `failures` counts and logs calls that fail.

        `report_confirmation` is called when the list becomes confirmed (by an answer) or
        unconfirmed (by a call that fails).
        """
        self.limits = limits
        self.address = address
        self.api = api
        self.destinations = destinations
        self.post = post
        self.failures = failures
        self.schedule = schedule
        self.report_confirmation = report_confirmation
        self.wake_ups: SimpleQueue[None] = SimpleQueue()  # each ends one pause between calls
        # Guards `state`, the assignment of `connection`, and the adoption of a list: after stop()
        # has returned, no list is adopted. The destination set's lock is taken inside this one.
        self.lock = threading.Lock()
        self.state = ClientState.FOLLOWING
        self.is_confirmed: bool | None = None  # as last reported; guarded by the lock
        self.connection: socket.socket | None = None  # the client thread's
        # The version of the current list; None: fetch the complete list. 0 is a valid version.
        self.version: int | None = None
        # Held during a check: acquired by the thread that starts it, released by the check thread.
        self.check_in_progress = threading.Lock()
        self.first_answer_received = threading.Event()

    @property
    def retired(self) -> bool:
        """Whether the client has been stopped; final, and therefore read without the lock."""
        return self.state is ClientState.RETIRED

    @property
    def host(self) -> str:
        """The value of the Host header."""
        return host_and_port(self.address)

    # -- any thread --------------------------------------------------------------------------------

    def poll(self) -> None:
        """Make the first call now if there is no list yet; later the watch reports changes."""
        if self.version is None and not self.first_answer_received.is_set():
            self.poll_now()

    def poll_now(self) -> None:
        """End the pause before the next call."""
        self.wake_ups.put(None)

    def stop(self) -> None:
        """End the current call; no list is adopted after this returns."""
        with self.lock:
            self.state = ClientState.RETIRED
            if self.connection is not None:
                shut_down(self.connection)
        self.poll_now()

    def adopt_list(self, answer: EndpointAnswer, base_version: int | None = None) -> bool:
        """Adopt a list, and continue the watch from its version; return whether it was adopted.

        `base_version` is the version that the list was polled from. None: there was no version, and
        the complete list was polled or comes from before the start.
        """
        with self.lock:
            if self.retired:
                return False
            if self.version != base_version:
                log_events.endpoint_list_overtaken(
                    version=answer.version, current_version=self.version
                )
                return False
            fetch_next = must_fetch_complete_list(base_version, answer.version)
            self.version = None if fetch_next else answer.version
            self.destinations.apply(answer)
            self.post(EndpointsUpdated(DISCOVERY_SOURCE, answer.update))
            return True

    def report_list_confirmed(self) -> None:
        """Report that an answer confirms the list, unless that was the last report."""
        self._report_confirmation(EndpointListConfirmed(), is_confirmed=True)

    def report_list_unconfirmed(self, unconfirmed_seconds: float = 0.0) -> None:
        """Report that a call has failed, unless that was the last report.

        `unconfirmed_seconds` is how long the list may already have been outdated.
        """
        unconfirmed_us = int(unconfirmed_seconds * MICROSECONDS_PER_SECOND)
        self._report_confirmation(EndpointCallFailed(unconfirmed_us), is_confirmed=False)

    def _report_confirmation(self, event: ListConfirmationEvent, *, is_confirmed: bool) -> None:
        with self.lock:
            if self.retired or self.is_confirmed is is_confirmed:
                return
            self.is_confirmed = is_confirmed
            self.report_confirmation(event)

    def start_list_check(self) -> None:
        """Start a thread that checks the list, unless a check is running; never waits."""
        if self.check_in_progress.acquire(blocking=False):
            spawn_thread("discovery check", self.run_check)

    # -- the check thread --------------------------------------------------------------------------

    def run_check(self) -> None:
        """Poll the changes during the watch; if there are any, adopt them and reopen the watch.

        Without changes the watch stays open, because refused connections, which cause the check, do
        not prove that the watch is silent.
        """
        try:
            version = self.version
            if version is None or self.retired:
                return
            answer = self.poll_changes(version)
            self.report_list_confirmed()
            if answer.version != version and self.adopt_list(answer, base_version=version):
                self.reopen_watch()
        except (OSError, ProtocolError) as error:
            self.failures.add(str(error))
        finally:
            self.check_in_progress.release()

    def reopen_watch(self) -> None:
        """Make the client thread reopen its watch, from the current version."""
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
        """Wait between two calls for `seconds`, or until a wake-up."""
        if seconds > 0 and not self.retired:
            with contextlib.suppress(Empty):
                self.wake_ups.get(timeout=seconds)

    def call_once(self) -> float:
        """Make one call, act on its outcome, and return the pause before the next one in seconds.

        The call is a watch from the current version. It fetches the complete list only if there is
        no version, because complete lists are expensive when many dispatchers fetch them. After a
        failure the list and its version stay as they are, and the pause is a backoff.
        """
        begun_seconds = time.monotonic()
        version = self.version
        try:
            answer = self.call_discovery(version)
        except Exception as error:  # noqa: BLE001  the thread must outlive any fault
            return self.pause_after_failure(error)
        # Otherwise a later failure would be taken for the end of the watch to be reopened.
        self.end_reopening()
        self.adopt_list(answer, base_version=version)
        self.report_list_confirmed()
        self.first_answer_received.set()
        unchanged = version is not None and answer.version == version
        call_seconds = time.monotonic() - begun_seconds
        return self.schedule.pause_after_answer_seconds(call_seconds, unchanged=unchanged)

    def pause_after_failure(self, error: Exception) -> float:
        """Close the connection and return the pause before the next call in seconds."""
        self.close_connection()
        if self.end_reopening():
            return 0.0
        if not self.retired:
            self.failures.add(str(error))
            self.report_list_unconfirmed()
        return self.schedule.pause_after_failure_seconds()

    def end_reopening(self) -> bool:
        """Return whether the watch was being reopened; if so, change the state to FOLLOWING."""
        with self.lock:
            if self.state is not ClientState.REOPENING:
                return False
            self.state = ClientState.FOLLOWING
            return True

    def call_discovery(self, version: int | None) -> EndpointAnswer:
        """Return the answer to a fetch, to a watch, or to a poll during a silent watch.

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
            self.failures.add("discovery did not answer a watch in time")
            # The watch may have been silent ever since it was opened.
            self.report_list_unconfirmed(wait_seconds + self.schedule.watch_overrun_seconds)
        answer = self.poll_changes_until_answered(version)
        self.close_connection()  # not before the changes that the silent watch missed are known
        return answer

    def poll_changes_until_answered(self, version: int) -> EndpointAnswer:
        """Poll the changes during a silent watch until a poll is answered; back off after failures.

        Raises OSError or ProtocolError only after the client was stopped.
        """
        while True:
            try:
                return self.poll_changes(version)
            except (OSError, ProtocolError) as error:
                if self.retired:
                    raise
                self.failures.add(str(error))
                self.pause(self.schedule.pause_after_failure_seconds())

    def open_connection(self) -> socket.socket:
        """Return the client thread's connection; open one if there is none or it is stale."""
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
            # stop() may have been called before there was a connection to shut down.
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

    def poll_changes(self, version: int) -> EndpointAnswer:
        """Poll the changes since a version on a new connection and return the answer."""
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
        """Send a call and return the list in its answer; raises OSError or ProtocolError.

        The answer is read as soon as the call is written, because the dispatcher must know a change
        as soon as discovery has written the answer.
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
            message = parser.end()  # the connection's end completes an answer without a length
        if message is None:
            raise ProtocolError(400, "the connection ended before the answer")
        if connection is self.connection and (not message.keep_alive or not parser.idle):
            self.close_connection()
        return self.api.read_answer(message)


def must_fetch_complete_list(version: int | None, answered_version: int) -> bool:
    """Decide whether the next call fetches the complete list, after the answer to a watch.

    `version` is the version that the watch was made from; None: the call was a fetch. A lower
    version in the answer means that discovery has restarted its version count. Versions from before
    and after the restart cannot be compared, so a watch could miss changes.
    """
    return version is not None and answered_version < version
