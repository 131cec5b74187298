"""A Gearman connection: its reader thread, its sending side, and how the inbound server sees it.

Each connection has a reader thread of the server's pool, which feeds the session and passes the
service its steps. Any thread sends, without waiting. What the peer does not take is buffered, up to
a bound, and left to the writer thread.

Locks are taken in this order: the front's, which guards the service and the session; the
connection's, which guards its sending side; the writer's. The server's lock is taken under the
front's, and the server calls a connection without holding its own. Times are monotonic seconds.
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
from stepstream.runtime.transport import Transport

KEEPALIVE_OPTIONS = {
    socket.TCP_KEEPIDLE: 30,  # seconds without a byte before the first probe
    socket.TCP_KEEPINTVL: 10,  # seconds between probes
    socket.TCP_KEEPCNT: 3,  # probes without an answer until the connection is dead
}


class ConnectionOwner(Protocol):
    """What a connection uses of the front that it belongs to."""

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
        """Pass on the service's output; the caller holds the lock."""


class GearmanConnection:
    """An inbound Gearman connection; a `ports.Connection`."""

    def __init__(self, transport: Transport, front: ConnectionOwner, *, is_external: bool) -> None:
        """`is_external`: its peer is not on a worker's host."""
        self.transport = transport
        self.front = front
        self.server = front.server
        self.is_external = is_external
        self.evicted = False  # guarded by the server's lock
        # Guards the transport's unsent bytes and the flags of the sending side: `ended`,
        # `last_reply_sent`, `sent_at_seconds`.
        self.lock = threading.Lock()
        self.ended = False  # the reader thread closes the socket
        self.last_reply_sent = False  # nothing is sent after it
        self.sent_at_seconds = 0.0  # when the peer last took some of the unsent bytes
        self.dropped = False  # the peer reads too little: its further messages are ignored
        # Guarded by the front's lock, so that a close sees a message that was received.
        self.unhandled_messages = 0
        self.closed_idle = False  # closed between messages: what comes later is ignored
        self.session = Session(front.server.limits)
        # A phase starts with the first byte of a message, or with the end of the last reply once
        # the session is closed. No lock guards these values: the server's checks may read one that
        # is a moment old. Only the reader thread uses the registration credit.
        now_seconds = time.monotonic()
        self.phase_started_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        self.registration_credit = RegistrationCredit(
            float(front.server.limits.gearman.registration_changes), now_seconds
        )
        with front.lock:
            self.peer = front.service.connect(self.session, peer_host(transport.sock))
            front.connections[self.peer] = self

    # -- the reader thread ------------------------------------------------------------------------

    def run(self) -> None:
        """Read until the connection ends, then end what it has open and close it."""
        try:
            self._enable_keepalive()
            self.transport.handshake()
            self.peer.certificate = self.transport.certificate
            self._read_until_end()
        except OSError:
            pass  # the connection has ended before its first message
        finally:
            self._end()

    def _enable_keepalive(self) -> None:
        # A sleeping worker sends nothing for hours: only the kernel detects that its host is gone.
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
                steps = self._receive(read_bytes)
            except OSError:
                return
            try:
                self._process(steps)
            except Exception as error:  # noqa: BLE001  whatever it is, the thread goes on to `_end`
                # Guards the thread: this connection ends and gives back what it holds.
                log_events.internal_fault(where="gearman", error=error)
                return

    def _receive(self, max_bytes: int) -> list[Step]:
        """Receive the bytes that have arrived, and feed the session; return what is complete.

        Bytes leave the kernel only under the front's lock: whoever closes the connection under it
        sees either unread bytes or unhandled messages.
        """
        now_seconds = time.monotonic()
        with self.front.lock:
            data = self.transport.receive_available(max_bytes)
            if self.closed_idle:
                return []
            if self.session.is_idle:
                self.phase_started_at_seconds = now_seconds
            self.last_activity_at_seconds = now_seconds
            steps = self.session.feed(data)
            self.unhandled_messages = len(steps)
        if steps:
            self.phase_started_at_seconds = now_seconds  # of the message that is partly here
        return steps

    def _process(self, steps: list[Step]) -> None:
        """Handle messages in order."""
        for step in steps:
            if self.dropped:
                return
            # One step at a time: no thread waits for the lock longer than for one step.
            self._throttle(step)
            with self.front.lock:
                self._handle(step)
                self.unhandled_messages -= 1
                self.front.flush()

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
        """Wait if the peer sends faster than is fair to all others.

        It waits in its own thread, and what it sends meanwhile waits in its own socket.
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
        """End what the connection has open, and close it."""
        with self.front.lock:
            self.front.service.disconnect(self.peer)
            self.front.flush()
            self.front.connections.pop(self.peer, None)
        with self.lock:
            self.ended = True
            self.front.writer.remove(self)
            self.transport.close()
        self.server.remove_connection(self)

    # -- sending ----------------------------------------------------------------------------------

    def send(self, data: bytes, *, close: bool = False) -> None:
        """Send without waiting; any thread may call it. After bytes with `close`, nothing is sent.

        The writer thread sends what the peer does not take. A peer that takes too little is
        dropped.
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
            if len(self.transport.unsent) > self.server.limits.sizes.unsent_bytes:
                # Guards memory against a peer that requests much and reads little.
                self._drop()
                return
            self.front.writer.add(self)

    def send_unsent(self) -> None:
        """Send more of the unsent bytes without waiting; the writer thread calls it."""
        with self.lock:
            before_bytes = len(self.transport.unsent)
            try:
                done = self.ended or self.dropped or self.transport.flush_available()
            except OSError:
                self._drop()
                done = True
            if len(self.transport.unsent) < before_bytes:
                self.sent_at_seconds = time.monotonic()
            if done and self.last_reply_sent:
                self._half_close()
            if done:
                self.front.writer.remove(self)

    def _drop(self) -> None:
        self.dropped = True
        self.transport.shut_down()

    def _half_close(self) -> None:
        """Shut down the sending side; a full close could reset it and take the last reply with it.

        The caller holds the connection's lock.
        """
        self.phase_started_at_seconds = time.monotonic()
        self.transport.half_close()

    # -- as the server sees it: `ports.Connection` ------------------------------------------------

    def has_open_request(self) -> bool:
        """Return whether the peer is owed the outcome of a job."""
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
        """Return the rank for eviction, and the time since which the connection is quiet."""
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
        """Return what a decision needs; each value is read once.

        A decision that closes the connection holds the front's lock.
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
            has_unhandled_messages=self.unhandled_messages > 0,
        )

    def _end_slow_message(self) -> None:
        error = FramingError("TOO_SLOW", "half a message, and then nothing")
        reply = self.session.close_with_error(error)
        self.send(reply.data, close=reply.close)


def peer_host(sock: socket.socket) -> str:
    """Return the address of a socket's peer; "-" if it has gone."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return "-"
