"""The driver of an inbound HTTP connection: its threads move bytes between socket and session.

Four kinds of threads work on a connection:

- The reader, a thread of the server's pool, executes `run` until the connection ends. Only the
  reader reads the socket. It also closes the socket, unless a slow writer still sends.
- The thread that has a reply sends it: the reader (errors, acknowledgements), the decision thread
  (`answer`) or the main thread (`enforce_timeouts`). None of them waits for the peer.
- A slow-writer thread of the server's pool sends what a peer does not accept at once
  (`reply_writer`). No message is handled meanwhile: a peer that does not take its answers gets no
  more of them.
- A thread of the server's pool for buffered input handles the bytes that have come after a request,
  once that is answered. The decision thread never parses what a peer sends.

`lock` guards the session, the fields of this object and the socket's calls that do not wait. Bytes
are received from the kernel only under the lock. A thread that closes the connection under the lock
therefore sees either all unread bytes or a session that has none of them.

A step of the session and its consequences are one critical section: the reply is sent or queued,
and the events are posted, before the lock is released. Otherwise another thread could close the
connection before the reply, or send the reply to a later message first.
"""

import math
import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from stepstream.config.limits import Limits
from stepstream.core.commands import Answer
from stepstream.core.events import (
    ClientDisconnected,
    Event,
    JobNotification,
    RequestFaulted,
    RequestReceived,
)
from stepstream.core.requests import Request
from stepstream.http.codec import ProtocolError
from stepstream.http.connection_rules import counts_as_client
from stepstream.http.eviction import rank_without_open_request
from stepstream.http.input_discarding import InputDiscarder
from stepstream.http.overload_manager import OverloadManager
from stepstream.http.read_lanes import ReadLanes, Work, WorkCredit
from stepstream.http.reply_writer import ReplyWriter
from stepstream.http.server_state import ServerState
from stepstream.http.session import (
    HttpSession,
    Reply,
    SessionEvent,
    SessionPhase,
    payload_size_bytes,
    result_size_bytes,
)
from stepstream.ports.connections import Connection, EvictionRank, EvictionState
from stepstream.runtime import log_events
from stepstream.runtime.byte_budget import ByteReservation
from stepstream.runtime.clock import Clock
from stepstream.runtime.sockets import set_socket_timeout
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport

MAX_MESSAGES_PER_TURN = 16
SLOW_WRITER_CHECK_SECONDS = 0.01
MICROSECONDS_PER_SECOND = 1e6


class ConnectionOwner(Protocol):
    """The part of the server that a connection uses."""

    limits: Limits
    clock: Clock
    state: ServerState
    post: Callable[[Event], None]  # hands an event to the core; any thread may call it
    slow_writer_threads: ThreadPool
    buffered_input_threads: ThreadPool
    read_lanes: ReadLanes
    overload_manager: OverloadManager

    def wait_for_core(self) -> None:
        """Wait while too many events wait for the core."""

    def remove_connection(self, connection: Connection) -> None:
        """Free the place of a connection that has ended."""


class ClientConnection:
    """An inbound HTTP connection; a `ports.Connection` and, for the core, a `ResponseSink`."""

    def __init__(
        self, transport: Transport, server: ConnectionOwner, *, is_external: bool = True
    ) -> None:
        """`is_external` is True if the peer's host has no worker."""
        self.transport = transport
        self.server = server
        self.is_external = is_external
        self.lock = threading.Lock()
        self.session = HttpSession(server.limits, server.state, transport)
        self.writer = ReplyWriter(
            transport,
            self.lock,
            server.slow_writer_threads,
            on_sent=self._on_sent,
            on_caught_up=self._on_caught_up,
        )
        self.discarder = InputDiscarder(transport, server.read_lanes)
        self.reader_ended = False
        self.evicted = False  # guarded by the server's lock, not by this one
        self.backlog_seconds = 0.0  # set by the server before the reader starts
        self.readable_at_us = 0  # when the latest bytes were seen, before the wait for a turn
        self.buffered_memory = ByteReservation(server.overload_manager.buffered_memory)
        self.has_unhandled_input = False  # the last turn ended before all messages were handled
        self.is_aborted = False  # both directions were shut down here
        # Monotonic seconds. Activity is a received byte or an answer. A phase starts with the first
        # byte of a message or, once the session is closed, with the end of the last answer.
        now_seconds = time.monotonic()
        # Of the reader thread.
        self.work_credit = WorkCredit(now_seconds, is_unlimited=not is_external)
        self.accepted_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        self.phase_started_at_seconds = now_seconds

    # -- the reader thread ------------------------------------------------------------------------

    def run(self) -> None:
        """Read until the connection ends, then close it and report a request that is still open."""
        try:
            self._read_until_end()
        finally:
            with self.lock:
                open_request = self.session.close()
                self.reader_ended = True
                self.buffered_memory.release()
                self.writer.end()
            self.server.remove_connection(self)
            self._report_disconnect(open_request)

    def _read_until_end(self) -> None:
        limits = self.server.limits
        write_seconds = limits.timeouts.write_seconds
        set_socket_timeout(self.transport.sock, socket.SO_SNDTIMEO, write_seconds)
        try:
            self.transport.handshake()
        except OSError:
            return
        while True:
            self._wait_for_slow_writer()
            if not self.has_unhandled_input:
                if not self._wait_for_input(limits.sizes.read_bytes):
                    return
                self.readable_at_us = self.server.clock.now_us()
            if not self._take_turn():
                return

    def _wait_for_slow_writer(self) -> None:
        """Wait until the peer has taken its answers, or its time for that is over."""
        while self.writer.is_slow:
            time.sleep(SLOW_WRITER_CHECK_SECONDS)

    def _take_turn(self) -> bool:
        """Receive and handle a bounded amount; return whether to go on reading."""
        if self.session.phase is SessionPhase.CLOSED:
            goes_on = self._discard_input()
        else:
            if not self.session.has_open_request:
                self.server.wait_for_core()
            with self.server.read_lanes.turn(self.work_credit, lambda: self.is_aborted):
                goes_on = self._process_input_guarded()
        self.server.overload_manager.relieve()
        return goes_on

    def _wait_for_input(self, read_bytes: int) -> bool:
        """Wait until bytes can be received; return False if the connection has ended."""
        try:
            return self.transport.wait_readable(read_bytes)
        except OSError:
            return False

    def _discard_input(self) -> bool:
        """Discard what comes after the last answer; return whether to go on reading."""
        goes_on = self.discarder.discard()
        self.last_activity_at_seconds = max(
            self.last_activity_at_seconds, self.discarder.received_at_seconds
        )
        return goes_on and self._may_linger(time.monotonic())

    def _may_linger(self, now_seconds: float) -> bool:
        """Return whether a peer that sends after its last answer is still read."""
        lingered_seconds = now_seconds - self.phase_started_at_seconds
        return lingered_seconds < self.server.limits.timeouts.linger_seconds

    def _process_input_guarded(self) -> bool:
        """Process input; a fault in it ends the open request instead of this thread."""
        try:
            return self._process_input()
        except Exception as error:  # noqa: BLE001  whatever it is, the request has to be answered
            log_events.internal_fault(where="inbound", error=error)
        with self.lock:
            request = self.session.request
            if request is None:
                self._send(self.session.fail(ProtocolError(500, "fault")))
        if request is not None:
            self.server.post(RequestFaulted(request))
        return True

    def _process_input(self) -> bool:
        """Receive and process the bytes that have arrived; return whether to go on reading."""
        limits = self.server.limits
        with self.lock:
            session = self.session
            data = b""
            if not self.has_unhandled_input:
                data = self.transport.receive_available(limits.sizes.read_bytes)
            now_seconds = time.monotonic()
            self.last_activity_at_seconds = now_seconds
            if session.phase is SessionPhase.CLOSED:
                self.has_unhandled_input = False
                return self._may_linger(now_seconds)
            if session.is_idle and session.has_answered:
                self.phase_started_at_seconds = now_seconds
            self._dispatch(session.feed(data))
            self.has_unhandled_input = self._handle_messages(len(data), self._arrived_us())
            # Guards the thread against a peer that sends its message byte by byte.
            if session.is_reading_message and self._has_timed_out(now_seconds):
                error = ProtocolError(400, "the message took too long to arrive")
                self._dispatch([session.fail(error)])
            self._count_buffered_bytes()
        return True

    def _arrived_us(self) -> int:
        """Return when the bytes of this turn arrived, on the node's clock.

        The client's time runs while its connection waits for a place, and its bytes for a turn.
        """
        if self.session.has_answered:
            return self.readable_at_us
        return self.readable_at_us - int(self.backlog_seconds * MICROSECONDS_PER_SECOND)

    def _handle_messages(self, received_bytes: int, arrived_us: int) -> bool:
        """Handle buffered messages; return whether more of them may be left.

        It stops after `MAX_MESSAGES_PER_TURN`, so that no peer occupies a thread for long, and
        while a slow writer sends. The caller holds the lock.
        """
        parser = self.session.parser
        steps_before = parser.step_count
        handled_messages = 0
        while handled_messages < MAX_MESSAGES_PER_TURN and not self.writer.is_slow:
            events = self.session.next_events(arrived_us)
            if not events:
                break
            handled_messages += 1
            self._dispatch(events)
        parser_steps = parser.step_count - steps_before
        self.work_credit.spend(Work(handled_messages, parser_steps, received_bytes))
        has_stopped_early = handled_messages == MAX_MESSAGES_PER_TURN or self.writer.is_slow
        return (has_stopped_early or parser.is_paused) and self.session.has_buffered_input

    def _handle_buffered_input(self) -> None:
        """Handle the bytes that came before an answer; a thread of the server's pool runs this."""
        with self.lock:
            if self.reader_ended or not self.session.has_buffered_input:
                return
            more_is_left = self._handle_messages(0, self.server.clock.now_us())
            self._count_buffered_bytes()
            if more_is_left and not self.writer.is_slow:
                self._submit_buffered_input()

    def _submit_buffered_input(self) -> None:
        self.server.buffered_input_threads.submit(self._handle_buffered_input)

    def _count_buffered_bytes(self) -> None:
        """Count what this connection holds against the server's budget; call under the lock."""
        self.buffered_memory.resize(self.session.held_bytes + self.writer.pending_bytes)

    def _dispatch(self, events: Iterable[SessionEvent]) -> None:
        """Send replies and post the rest to the core, in order; the caller holds the lock."""
        for event in events:
            match event:
                case Reply():
                    self._send(event)
                    if event.close:
                        # An error reply closes the connection, so an open request loses its client.
                        self._report_disconnect(self.session.close())
                case Request():
                    event.response_sink = self
                    event.reservation = ByteReservation(
                        self.server.overload_manager.open_request_memory,
                        payload_size_bytes(event.payload),
                    )
                    self.server.post(RequestReceived(event))
                case JobNotification():
                    reservation = ByteReservation(
                        self.server.overload_manager.queued_result_memory,
                        result_size_bytes(event.result),
                    )
                    self.server.post(replace(event, reservation=reservation))

    def _report_disconnect(self, open_request: Request | None) -> None:
        if open_request is not None:
            # Set before the event is posted, so that no call for this request starts while the
            # event waits for the core.
            open_request.client_disconnected = True
            self.server.post(ClientDisconnected(open_request))

    # -- writing ----------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        """Give a request its final answer; the decision thread calls this and never waits."""
        with self.lock:
            reply = self.session.answer(answer, gives_up_place=self._is_place_wanted())
            if reply is None:
                return
            # The time limit of a message that arrived during the request starts now.
            now_seconds = time.monotonic()
            self.last_activity_at_seconds = now_seconds
            self.phase_started_at_seconds = now_seconds
            self._send(reply)
            if self.session.has_buffered_input:
                self._submit_buffered_input()
            self._count_buffered_bytes()

    def _is_place_wanted(self) -> bool:
        """Decide whether the connection leaves its place to new clients that wait for one.

        Without this rule, clients that never pause between requests keep every place.
        """
        return self.is_external and self.server.state.clients_wait

    def has_peer_left(self) -> bool:
        """Return whether the client has closed its connection, even behind unread bytes."""
        return self.transport.has_peer_left()

    def progress(self, done: int, total: int) -> None:
        """Ignore a job's progress: HTTP/1.1 has no message for it."""

    def _send(self, reply: Reply) -> None:
        """Send a reply without waiting; the caller holds the lock."""
        self.writer.send(reply, self.server.limits.timeouts.answer_write_seconds)

    def _on_sent(self, reply: Reply) -> None:
        """Close the sending side after the last reply; the caller holds the lock."""
        if reply.close:
            self._half_close(time.monotonic())

    def _on_caught_up(self) -> None:
        """Go on with what has come while a slow peer took its answers; under the lock."""
        self._count_buffered_bytes()
        if self.session.has_buffered_input:
            self._submit_buffered_input()

    def _half_close(self, now_seconds: float) -> None:
        """Shut down the sending side; the caller holds the lock.

        The peer's later bytes are read and dropped: a full close with unread bytes would reset the
        connection and might destroy the last reply (RFC 9112, 9.6).
        """
        self.phase_started_at_seconds = now_seconds
        self.transport.half_close()

    # -- called by the server: `ports.Connection` -------------------------------------------------

    def has_open_request(self) -> bool:
        """Return whether a request awaits its answer."""
        return self.session.has_open_request

    def delays_shutdown(self) -> bool:
        """Decide whether a shutdown must wait for this connection.

        It waits

        - for open and for partly read requests, and for replies that a slow writer still sends;
        - after the connection's sending side was closed, for the peer to close its side, during
          `close_grace_seconds` at most; not for a peer that has sent nothing but errors, as such
          peers may connect again and again;
        - for idle clients, which may send another request, until the server closes connections.
        """
        if self._has_open_or_partly_read_request() or self.writer.is_slow:
            return True
        session = self.session
        if session.phase is SessionPhase.CLOSED:
            if not session.has_sent_work:
                return False
            closed_seconds = time.monotonic() - self.phase_started_at_seconds
            return closed_seconds < self.server.limits.timeouts.close_grace_seconds
        may_send_request = session.is_client and session.phase is SessionPhase.READING
        return may_send_request and not self.server.state.closing

    def _has_open_or_partly_read_request(self) -> bool:
        """Return whether a request is open, or a partly read message may become a request."""
        session = self.session
        if session.has_open_request:
            return True
        if not session.is_reading_message:
            return False
        if session.has_sent_work:
            return True
        return counts_as_client(
            self.accepted_at_seconds,
            self.server.state.shutdown_started_at,
            self.server.limits.shutdown.new_connections_seconds,
        )

    def eviction_state(self, now_seconds: float) -> EvictionState:
        """Return the rank, and since when the connection has been quiet (monotonic seconds).

        A connection whose lock is taken is in use at this moment. The accepting thread must not
        wait for it: hundreds of busy connections would delay every new one.
        """
        if not self.lock.acquire(blocking=False):
            return EvictionState(EvictionRank.NEVER, math.inf)
        try:
            session = self.session
            if session.has_open_request or self.writer.is_slow:
                return EvictionState(EvictionRank.NEVER, math.inf)
            # A closed session counts as quiet from the last received byte on. Evicting a peer that
            # still sends would reset the connection, and the peer might lose the error reply.
            quiet_since_seconds = (
                self.phase_started_at_seconds
                if session.is_reading_message
                else self.last_activity_at_seconds
            )
            rank = rank_without_open_request(
                is_closed=session.phase is SessionPhase.CLOSED,
                has_sent_work=session.has_sent_work,
                quiet_seconds=now_seconds - quiet_since_seconds,
                evict_silent_after_seconds=self.server.limits.timeouts.evict_silent_after_seconds,
            )
            return EvictionState(rank, quiet_since_seconds)
        finally:
            self.lock.release()

    def evict(self) -> bool:
        """End the connection at once to make room for others; return whether it was ended.

        It stays open if a request is open, if a slow writer sends, or if an idle session has unread
        bytes. Evictions keep slow or silent peers from using the whole connection budget.
        """
        with self.lock:
            session = self.session
            if session.has_open_request or self.writer.is_slow:
                return False
            if session.is_idle and self.transport.has_unread():
                return False
            session.close()
            self._abort()
            return True

    def _abort(self) -> None:
        """Shut down both directions; the reader thread then ends."""
        self.is_aborted = True
        self.transport.shut_down()

    def buffered_bytes(self) -> int:
        """Return how many bytes of messages the connection holds."""
        return self.buffered_memory.size_bytes

    def shed_buffered_message(self) -> None:
        """Free what is buffered: reject an unfinished message, or end a peer that takes nothing."""
        with self.lock:
            session = self.session
            if session.is_reading_message:
                self._dispatch([session.reject_overload()])
            elif session.has_open_request and session.parser.buffer:
                error = ProtocolError(413, "too many bytes after an open request")
                self._dispatch([session.fail(error)])
            elif self.writer.is_slow:
                self._abort()
            self._count_buffered_bytes()

    def close_if_idle(self) -> bool:
        """Close a client's connection between requests; return whether it was closed.

        It stays open if bytes of the next request have arrived, or while a slow writer sends.
        """
        if self.session.phase is SessionPhase.CLOSED:
            return False  # as most of a crowd: their locks are left alone
        with self.lock:
            session = self.session
            if self.writer.is_slow:
                return False
            if not session.is_idle or session.is_worker or self.transport.has_unread():
                return False
            session.close()
            self._half_close(time.monotonic())
            return True

    def enforce_timeouts(self, now_seconds: float) -> None:
        """Close the connection, or answer with an error, if its state has timed out.

        Guards the reader threads against half-open, silent and slow peers.
        """
        if not self._has_timed_out(now_seconds):
            return  # a look without the lock, which a busy reader may hold
        with self.lock:
            session = self.session
            if self.writer.is_slow or not self._has_timed_out(now_seconds):
                return
            if session.is_reading_message:
                self._send(session.fail(ProtocolError(400, "the message took too long to arrive")))
            elif session.phase is SessionPhase.CLOSED:
                self._abort()
            elif not self.transport.has_unread():
                session.close()
                self._half_close(now_seconds)

    def _has_timed_out(self, now_seconds: float) -> bool:
        """Return whether the session's state has timed out; sure only under the lock."""
        session = self.session
        state_since_seconds = (
            self.last_activity_at_seconds if session.is_idle else self.phase_started_at_seconds
        )
        timeout_seconds = session.state_timeout_seconds(self.server.limits)
        return now_seconds - state_since_seconds > timeout_seconds
