"""A Gearman connection: its reader thread, its sending side and its `ports.Connection` interface.

Each connection has a reader thread from the server's pool. The thread feeds received bytes to the
session and passes the resulting steps to the service. Any thread may send; sending never blocks.
Bytes that the peer does not accept at once are buffered, up to a limit, and the writer thread sends
them later.

Locks are taken in this order: the front's, which guards the service and the session; the
connection's, which guards its sending side; the writer's. The server's lock is taken under the
front's. The server holds no lock of its own while it calls a connection. Times are monotonic
seconds.
"""

import signal
import socket
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Protocol

from stepstream.gearman import connection_rules
from stepstream.gearman.codec import Packet, TextLine
from stepstream.gearman.connection_rules import ConnectionView, RegistrationCredit, TimeoutAction
from stepstream.gearman.errors import FramingError
from stepstream.gearman.peers import Peer
from stepstream.gearman.service import GearmanService
from stepstream.gearman.session import Reply, Session, Step
from stepstream.gearman.writer import Writer
from stepstream.http.server import InboundServer
from stepstream.ports.connections import EvictionState
from stepstream.runtime import log_events
from stepstream.runtime.byte_budget import ByteReservation
from stepstream.runtime.transport import Transport

KEEPALIVE_OPTIONS = {
    socket.TCP_KEEPIDLE: 30,  # seconds without a byte before the first probe
    socket.TCP_KEEPINTVL: 10,  # seconds between probes
    socket.TCP_KEEPCNT: 3,  # unanswered probes after which the connection is dead
}


class ConnectionOwner(Protocol):
    """The part of the front that its connections use."""

    server: InboundServer
    signals: "SimpleQueue[int]"
    pending_event_count: Callable[[], int]
    lock: threading.RLock  # guards `service` and `connections`
    service: GearmanService
    connections: "dict[Peer, GearmanConnection]"
    writer: Writer

    def now_us(self) -> int:
        """Return the time on the node's clock in microseconds."""

    def flush(self) -> None:
        """Send and post the service's output; the caller holds the lock."""


class GearmanConnection:
    """An inbound Gearman connection; a `ports.Connection`."""

    def __init__(self, transport: Transport, front: ConnectionOwner, *, is_external: bool) -> None:
        """Register a connection with the front; `is_external`: no worker is on the peer's host."""
        self.transport = transport
        self.front = front
        self.server = front.server
        self.is_external = is_external
        self.evicted = False  # guarded by the server's lock
        self.backlog_seconds = 0.0
        # Guards the transport's unsent bytes and the flags of the sending side: `ended`,
        # `last_reply_sent`, `sent_at_seconds`.
        self.lock = threading.Lock()
        self.ended = False  # the socket is closed, or about to be closed by the reader thread
        self.last_reply_sent = False  # nothing is sent after it
        self.sent_at_seconds = 0.0  # when the peer last took some of the unsent bytes
        self.dropped = False  # the peer reads too little: its further messages are ignored
        # The next two are guarded by the front's lock, so that whoever closes the connection sees
        # the messages that were received.
        self.has_unhandled_messages = False
        self.closed_idle = False  # closed between messages: bytes that arrive later are ignored
        self.session = Session(front.server.limits)
        self.buffered_memory = ByteReservation(front.server.overload_manager.buffered_memory)
        # A phase starts with the first byte of a message or, once the session is closed, with the
        # end of the last reply. No lock guards these times: the server's checks tolerate values
        # that are slightly out of date. Only the reader thread uses the registration credit.
        now_seconds = time.monotonic()
        self.phase_started_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        self.registration_credit = RegistrationCredit(
            float(front.server.limits.gearman.registration_changes), now_seconds
        )
        with front.lock:
            self.peer = front.service.connect(self.session, peer_host(transport.sock))
            self.peer.has_left = transport.has_peer_left
            front.connections[self.peer] = self

    # -- the reader thread ------------------------------------------------------------------------

    def run(self) -> None:
        """Read until the connection ends; then end its open jobs and its worker, and close it."""
        try:
            self._enable_keepalive()
            self.transport.handshake()
            self.peer.certificate = self.transport.certificate
            self._read_until_end()
        except OSError:
            pass  # the connection ended before its first message
        finally:
            self._end()

    def _enable_keepalive(self) -> None:
        # A sleeping worker sends nothing for hours; only keep-alive detects that its host is gone.
        sock = self.transport.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE_OPTIONS.items():
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def _read_until_end(self) -> None:
        read_bytes = self.server.limits.sizes.read_bytes
        while True:
            try:
                if not self.transport.wait_readable(read_bytes):
                    return
                self._receive(read_bytes)
            except OSError:
                return
            try:
                self._process()
            except Exception as error:  # noqa: BLE001  on any error the thread must reach `_end`
                # The fault ends this connection only: `_end` frees its jobs, worker and socket.
                log_events.internal_fault(where="gearman", error=error)
                return

    def _receive(self, max_bytes: int) -> None:
        """Receive the bytes that have arrived and pass them to the session.

        Bytes are read from the kernel only under the front's lock. A caller that closes the
        connection under that lock sees received data either as unread bytes or as unhandled
        messages.
        """
        now_seconds = time.monotonic()
        with self.front.lock:
            data = self.transport.receive_available(max_bytes)
            if self.closed_idle:
                return
            if self.session.is_idle:
                self.phase_started_at_seconds = now_seconds
            self.last_activity_at_seconds = now_seconds
            self.session.receive(data)
            self.has_unhandled_messages = True

    def _process(self) -> None:
        """Handle the received messages in order, one at a time, so that none waits in memory."""
        while not self.dropped and (step := self._next_step()) is not None:
            # The lock is released after each step, so that other threads wait for one step at most.
            self._throttle(step)
            with self.front.lock:
                self._handle(step)
                self.front.flush()
            # A message may be partly received; its phase starts now.
            self.phase_started_at_seconds = self.last_activity_at_seconds
        self._count_buffered_bytes()
        self.server.overload_manager.relieve()

    def _next_step(self) -> Step | None:
        """Return the next received message's step; None, once all of them are handled."""
        with self.front.lock:
            step = self.session.next_step()
            self.has_unhandled_messages = step is not None
            return step

    def _count_buffered_bytes(self) -> None:
        """Count what this connection holds against the server's budget."""
        self.buffered_memory.resize(self.session.held_bytes + len(self.transport.unsent))

    def _handle(self, step: Step) -> None:
        """Pass a step to the service; the caller holds the front's lock."""
        service = self.front.service
        now_us = self.front.now_us()
        match step:
            case Reply():
                service.send(self.peer, step.data, close=step.close)
            case Packet():
                service.on_packet(now_us, self.peer, step)
            case TextLine(tokens):
                if service.on_text_command(now_us, self.peer, tokens):
                    self.front.signals.put(signal.SIGTERM)

    def _throttle(self, step: Step) -> None:
        """Wait if the peer sends faster than is fair to the other peers.

        Only this connection's reader thread waits; further bytes of the peer wait in its socket.
        """
        if connection_rules.costs_registration_credit(step):
            limits = self.server.limits.gearman
            pause_seconds = self.registration_credit.spend(time.monotonic(), limits)
            if pause_seconds > 0:
                time.sleep(pause_seconds)
        elif connection_rules.waits_for_core(step):
            self._wait_for_core()

    def _wait_for_core(self) -> None:
        """Wait while the core has a backlog of events."""
        limits = self.server.limits.gearman
        while self.front.pending_event_count() > limits.core_backlog_events and not self.ended:
            time.sleep(limits.core_backlog_check_seconds)

    def _end(self) -> None:
        """End the connection's open jobs and its worker, and close it."""
        with self.front.lock:
            self.front.service.disconnect(self.peer)
            self.front.flush()
            self.front.connections.pop(self.peer, None)
        with self.lock:
            self.ended = True
            self.front.writer.remove(self)
            self.transport.close()
            self.buffered_memory.release()
        self.server.remove_connection(self)

    # -- sending ----------------------------------------------------------------------------------

    def send(self, data: bytes, *, close: bool = False) -> None:
        """Send without blocking; any thread may call it. Nothing is sent after bytes with `close`.

        The writer thread sends what the peer does not accept at once. A peer with too many unsent
        bytes is dropped.
        """
        with self.lock:
            if self.ended or self.last_reply_sent:
                return
            self.last_reply_sent = close
            had_unsent = bool(self.transport.unsent)
            try:
                all_sent = self.transport.send_available(data)
            except OSError:
                self._drop()
                return
            if all_sent:
                if close:
                    self._half_close()
                return
            if not had_unsent:
                self.sent_at_seconds = time.monotonic()
            self._count_buffered_bytes()
            if len(self.transport.unsent) > self.server.limits.sizes.unsent_bytes:
                # Limits memory: the peer requests much and reads little.
                self._drop()
                return
            self.front.writer.add(self)

    def send_unsent(self) -> None:
        """Send more of the unsent bytes without blocking; the writer thread calls it."""
        with self.lock:
            before_bytes = len(self.transport.unsent)
            try:
                done = self.ended or self.dropped or self.transport.flush_available()
            except OSError:
                self._drop()
                done = True
            if len(self.transport.unsent) < before_bytes:
                self.sent_at_seconds = time.monotonic()
            self._count_buffered_bytes()
            if done and self.last_reply_sent:
                self._half_close()
            if done:
                self.front.writer.remove(self)

    def _drop(self) -> None:
        self.dropped = True
        self.transport.shut_down()

    def _half_close(self) -> None:
        """Shut down the sending side; the caller holds the connection's lock.

        A full close could reset the connection, and the peer would lose the last reply.
        """
        self.phase_started_at_seconds = time.monotonic()
        self.transport.half_close()

    # -- `ports.Connection`, called by the server -------------------------------------------------

    def has_open_request(self) -> bool:
        """Return whether the peer waits for the outcome of a job."""
        return self.peer in self.front.service.state.jobs.submissions

    def is_worker(self) -> bool:
        """Return whether the peer is a worker."""
        return self.peer.worker is not None

    def delays_shutdown(self) -> bool:
        """Return whether a shutdown waits for this connection."""
        return connection_rules.delays_shutdown(
            self._view(), server_is_closing=self.server.state.closing
        )

    def eviction_state(self, now: float) -> EvictionState:
        """Return the rank for eviction, and the time since which the connection is inactive."""
        unproven_seconds = self.server.limits.timeouts.evict_silent_after_seconds
        return connection_rules.eviction_state(self._view(), now, unproven_seconds)

    def evict(self) -> bool:
        """End the connection at once, unless it is in use; return whether it was ended."""
        with self.front.lock:
            view = self._view()
            if view.is_in_use or (view.session_idle and self.transport.has_unread()):
                return False
            self.closed_idle = True
            self.transport.shut_down()
            return True

    def buffered_bytes(self) -> int:
        """Return how many bytes of an unfinished packet and of unsent ones the connection holds."""
        return self.buffered_memory.size_bytes

    def shed_buffered_message(self) -> None:
        """End a peer that reads too little, or reply to an unfinished packet with an error."""
        with self.front.lock:
            if self.transport.unsent:
                self._drop()
            elif not self.session.is_idle:
                error = FramingError("SERVER_FULL", "refused: too many unfinished packets are held")
                reply = self.session.close_with_error(error)
                self.send(reply.data, close=reply.close)
            self._count_buffered_bytes()

    def close_if_idle(self) -> bool:
        """Close a client's connection between messages; return whether it was closed."""
        with self.front.lock:
            if not connection_rules.closes_when_idle(self._view()) or self.transport.has_unread():
                return False
            self.closed_idle = True
            self.transport.shut_down()
            return True

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection, or reply to a slow message, if a timeout has passed."""
        timeouts = self.server.limits.timeouts
        with self.front.lock:
            match connection_rules.timeout_action(self._view(), now, timeouts):
                case TimeoutAction.CLOSE:
                    self.closed_idle = True
                    self.transport.shut_down()
                case TimeoutAction.REPLY_AND_CLOSE:
                    self._end_slow_message()

    def _view(self) -> ConnectionView:
        """Return a snapshot for a decision; each value is read once.

        A caller that may close the connection holds the front's lock.
        """
        return ConnectionView(
            is_worker=self.is_worker(),
            has_open_request=self.has_open_request(),
            has_unsent_bytes=bool(self.transport.unsent),
            session_closed=self.session.closed,
            session_idle=self.session.is_idle,
            has_sent_work=self.session.has_sent_work,
            phase_started_at_seconds=self.phase_started_at_seconds,
            last_activity_at_seconds=self.last_activity_at_seconds,
            sent_at_seconds=self.sent_at_seconds,
            has_unhandled_messages=self.has_unhandled_messages,
        )

    def _end_slow_message(self) -> None:
        error = FramingError("TOO_SLOW", "half a message, and then nothing")
        reply = self.session.close_with_error(error)
        self.send(reply.data, close=reply.close)


def peer_host(sock: socket.socket) -> str:
    """Return the address of a socket's peer; "-" if the peer has disconnected."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return "-"
