"""The driver of an inbound HTTP connection: its socket, its threads, and the session between them.

Three kinds of threads work on a connection:

- The reader, a thread of the server's pool, runs `run` from the accept to the end. It alone reads
  the socket and closes it, but for the case below.
- Whoever has a reply writes it: the reader (errors, notifications), the decision thread (`answer`)
  and the main thread (`enforce_timeouts`). None of them waits for the peer: they send what the
  kernel takes at once.
- A slow-writer thread of the server's pool sends the rest of a reply that the peer did not take at
  once, and the replies that queued behind it. While it is at work no other thread sends, which
  keeps the bytes in order, and it closes the socket if the reader has ended meanwhile.

`lock` guards the session, the fields of this object and the socket's calls that do not wait.
Received bytes are taken from the kernel under the lock only: whoever closes the connection under
the lock either sees bytes that nobody has taken, or closes a session that has taken none.
"""

import math
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
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
from stepstream.http.eviction import EvictionRank
from stepstream.http.server_state import ServerState
from stepstream.http.session import HttpSession, Reply, SessionEvent, SessionPhase
from stepstream.ports.connections import Connection
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.sockets import set_socket_timeout
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport


class ConnectionOwner(Protocol):
    """What a connection uses of the server that accepted it."""

    limits: Limits
    clock: Clock
    state: ServerState
    post: Callable[[Event], None]  # to the core; any thread
    slow_writer_threads: ThreadPool

    def remove_connection(self, connection: Connection) -> None:
        """Free the place of a connection that has ended."""


class ClientConnection:
    """An inbound HTTP connection; a `ports.Connection` and, for the core, a `ResponseSink`."""

    def __init__(
        self, transport: Transport, server: ConnectionOwner, *, is_external: bool = True
    ) -> None:
        """`is_external`: its peer is not on a worker's host."""
        self.transport = transport
        self.server = server
        self.is_external = is_external
        self.lock = threading.Lock()
        self.session = HttpSession(server.limits, server.state, transport)
        self.slow_writer_active = False  # a slow-writer thread sends; nobody else may
        self.queued_replies: deque[Reply] = deque()  # behind the one that it sends
        self.reader_ended = False  # the slow writer, if active, closes the socket
        self.evicted = False  # guarded by the server's lock, not by this one's
        # Monotonic seconds. Activity is a received byte or a given answer. A phase starts with the
        # first byte of a message, or with the end of the last answer once the session is closed.
        now_seconds = time.monotonic()
        self.accepted_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        self.phase_started_at_seconds = now_seconds

    # -- the reader thread ------------------------------------------------------------------------

    def run(self) -> None:
        """Read until the connection ends, then close it and report a request that it leaves."""
        try:
            self._read_until_end()
        finally:
            with self.lock:
                open_request = self.session.close()
                self.reader_ended = True
                if self.slow_writer_active:
                    # Closed now, the descriptor's number could be another socket's by the time
                    # that the slow writer sends.
                    self.transport.shut_down()
                else:
                    self.transport.close()
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
        while self._wait_for_input(limits.sizes.read_bytes):
            if not self._process_input_guarded():
                return

    def _wait_for_input(self, read_bytes: int) -> bool:
        """Wait until bytes can be taken; return whether there are any, or the connection ended."""
        try:
            return self.transport.wait_readable(read_bytes)
        except OSError:
            return False

    def _process_input_guarded(self) -> bool:
        """Process input as below; a fault in it ends the open request instead of this thread."""
        try:
            return self._process_input()
        except Exception as error:  # noqa: BLE001  whatever it is, the request has to be answered
            log_events.internal_fault(where="inbound", error=error)
        reply = None
        with self.lock:
            request = self.session.request
            if request is None:
                reply = self.session.fail(ProtocolError(500, "fault"))
        if request is not None:
            self.server.post(RequestFaulted(request))
        if reply is not None:
            self.write(reply)
        return True

    def _process_input(self) -> bool:
        """Take what has come; return whether to go on reading."""
        limits = self.server.limits
        with self.lock:
            session = self.session
            data = self.transport.receive_available(limits.sizes.read_bytes)
            now_us = self.server.clock.now_us()
            now_seconds = time.monotonic()
            self.last_activity_at_seconds = now_seconds
            if session.phase is SessionPhase.CLOSED:
                # Guards the thread against a peer that goes on sending after its last answer.
                lingered_seconds = now_seconds - self.phase_started_at_seconds
                return lingered_seconds < limits.timeouts.linger_seconds
            if session.is_idle and session.has_answered:
                self.phase_started_at_seconds = now_seconds
            events = session.receive(data, now_us)
            # Guards the thread against a peer that sends its message byte by byte: each byte is
            # activity.
            reading_seconds = now_seconds - self.phase_started_at_seconds
            if session.is_reading_message and reading_seconds > session.state_timeout_seconds(
                limits
            ):
                events.append(session.fail(ProtocolError(400, "too slow")))
        self._dispatch(events)
        return True

    def _dispatch(self, events: list[SessionEvent]) -> None:
        """Write replies and post the rest to the core, in order."""
        for event in events:
            match event:
                case Reply():
                    self.write(event)
                    if event.close:
                        with self.lock:
                            open_request = self.session.close()
                        # An error ends the connection, and with it the request that was open.
                        self._report_disconnect(open_request)
                case Request():
                    event.response_sink = self
                    self.server.post(RequestReceived(event))
                case JobNotification():
                    self.server.post(event)

    def _report_disconnect(self, open_request: Request | None) -> None:
        if open_request is not None:
            # Before the event: no call for it begins any more, even before the core knows.
            open_request.client_disconnected = True
            self.server.post(ClientDisconnected(open_request))

    # -- writing ----------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        """Give a request its final answer, without waiting for the peer; the decision thread."""
        with self.lock:
            reply = self.session.answer(answer)
            if reply is None:
                return
            # A message that came behind the request begins now, however long that took.
            now_seconds = time.monotonic()
            self.last_activity_at_seconds = now_seconds
            self.phase_started_at_seconds = now_seconds
        self.write(reply)
        with self.lock:
            events = []
            if self.session.parser.buffer:
                events = self.session.next_events(self.server.clock.now_us())
        self._dispatch(events)

    def progress(self, done: int, of: int) -> None:
        """Ignore a job's progress: HTTP/1.1 has no message for it."""

    def write(self, reply: Reply) -> None:
        """Send a reply without waiting; what the peer does not take is left to a slow writer."""
        with self.lock:
            if self.slow_writer_active:
                self.queued_replies.append(reply)
                return
            try:
                if self.transport.send_available(reply.data):
                    self._on_sent(reply)
                    return
            except OSError:
                self.transport.shut_down()
                return
            self.slow_writer_active = True
        self.server.slow_writer_threads.submit(self._write_slowly, reply)

    def _write_slowly(self, reply: Reply) -> None:
        """Send the rest of a reply and those queued behind it, waiting for the peer."""
        while True:
            try:
                self.transport.flush()
            except OSError:
                self.transport.shut_down()
            with self.lock:
                if self.reader_ended:
                    self.slow_writer_active = False
                    self.transport.close()
                    return
                self._on_sent(reply)
                if not self.queued_replies:
                    self.slow_writer_active = False
                    return
                reply = self.queued_replies.popleft()
                self.transport.enqueue(reply.data)

    def _on_sent(self, reply: Reply) -> None:
        """Close the sending side behind the last reply; the caller holds the lock."""
        if reply.close:
            self._half_close(time.monotonic())

    def _half_close(self, now_seconds: float) -> None:
        """Shut down the sending side; the caller holds the lock.

        What the peer sends meanwhile is read to its end and dropped: a full close over unread bytes
        would reset the connection and could take the last reply with it (RFC 9112, 9.6).
        """
        self.phase_started_at_seconds = now_seconds
        self.transport.half_close()

    # -- as the server sees it: `ports.Connection` ------------------------------------------------

    def has_open_request(self) -> bool:
        """Tell whether a request awaits its answer."""
        return self.session.has_open_request

    def busy(self) -> bool:
        """Tell whether a shutdown should wait: something is owed, or a client may come back."""
        session = self.session
        if self._owes_answer() or self.slow_writer_active:
            return True
        if session.phase is SessionPhase.CLOSED:
            closed_seconds = time.monotonic() - self.phase_started_at_seconds
            return closed_seconds < self.server.limits.timeouts.close_grace_seconds
        is_idle_client = (
            session.has_sent_work
            and not session.is_worker
            and session.phase is SessionPhase.READING
        )
        return is_idle_client and not self.server.state.closing

    def _owes_answer(self) -> bool:
        """Tell whether a request is open, or a message half read that may yet be one.

        Guards the end of a shutdown against a crowd that connects and never finishes a message:
        after SIGTERM the front opens new connections for a short while only, and what an unknown
        peer began later is nobody's request.
        """
        session = self.session
        shutdown_started_at = self.server.state.shutdown_started_at
        if not session.is_unfinished:
            return False
        if session.has_open_request or session.has_sent_work or shutdown_started_at is None:
            return True
        arrivals_seconds = self.server.limits.shutdown.arrivals_seconds
        return self.accepted_at_seconds <= shutdown_started_at + arrivals_seconds

    def eviction_rank(self, now_seconds: float) -> tuple[EvictionRank, float]:
        """Return the rank, and since when it has been quiet, as `evict_connections` takes them."""
        with self.lock:
            session = self.session
            if session.has_open_request or self.slow_writer_active:
                return EvictionRank.NEVER, math.inf
            if session.phase is SessionPhase.CLOSED:
                # Counted from the last byte. Guards an error on its way to a peer that still sends:
                # evicted now, the connection would be reset and the error lost.
                return EvictionRank.DONE, self.last_activity_at_seconds
            since_seconds = (
                self.phase_started_at_seconds
                if session.is_reading_message
                else self.last_activity_at_seconds
            )
            if session.has_sent_work:
                return EvictionRank.IDLE, since_seconds
            is_unused = now_seconds - since_seconds >= self.server.limits.timeouts.unproven_seconds
            return (EvictionRank.UNUSED if is_unused else EvictionRank.NEW), since_seconds

    def evict(self) -> bool:
        """End the connection at once, unless something is owed; return whether it was ended.

        Guards the connection budget: peers that are slow or silent must not keep out others.
        """
        with self.lock:
            session = self.session
            if session.has_open_request or self.slow_writer_active:
                return False
            if session.is_idle and self.transport.has_unread():
                return False
            session.close()
            self.transport.shut_down()
            return True

    def close_if_idle(self) -> bool:
        """Close a client's connection between requests; return whether it was closed.

        It stays if bytes of the next request are here already.
        """
        with self.lock:
            session = self.session
            if not session.is_idle or session.is_worker or self.transport.has_unread():
                return False
            session.close()
            self._half_close(time.monotonic())
            return True

    def enforce_timeouts(self, now_seconds: float) -> None:
        """End what has gone on for too long.

        Guards the reader threads against half-open, silent and slow peers.
        """
        reply = None
        with self.lock:
            session = self.session
            since_seconds = (
                self.last_activity_at_seconds if session.is_idle else self.phase_started_at_seconds
            )
            timeout_seconds = session.state_timeout_seconds(self.server.limits)
            if self.slow_writer_active or now_seconds - since_seconds <= timeout_seconds:
                return
            if session.is_reading_message:
                reply = session.fail(ProtocolError(400, "too slow"))
            elif session.phase is SessionPhase.CLOSED:
                self.transport.shut_down()
            elif not self.transport.has_unread():
                session.close()
                self._half_close(now_seconds)
        if reply is not None:
            self.write(reply)
