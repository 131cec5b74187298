"""A Gearman connection: its reader thread, its sending side, and how the inbound server sees it.

Each connection has a reader thread of the server's pool, which feeds the session and brings the
service what comes out. Any thread sends, without waiting; what the peer does not take is kept, up
to a bound, and left to the writer thread.

Locks are taken in this order: the front's, which guards the service and the session; the
connection's, which guards its sending side; the writer's. The server's lock is taken under the
front's, and the server calls a connection without holding its own. Times are monotonic seconds.
"""

import math
import signal
import socket
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Protocol

from stepstream.gearman.codec import Kind, Line, Packet
from stepstream.gearman.errors import FramingError
from stepstream.gearman.job_admission import SUBMISSIONS
from stepstream.gearman.peers import Peer
from stepstream.gearman.service import GearmanService
from stepstream.gearman.session import Reply, Session, Step
from stepstream.gearman.writer import Writer
from stepstream.http.eviction import EvictionRank
from stepstream.http.server import InboundServer
from stepstream.runtime import log_events
from stepstream.runtime.transport import Transport

KEEPALIVE_OPTIONS = {
    socket.TCP_KEEPIDLE: 30,  # seconds of silence before the first probe
    socket.TCP_KEEPINTVL: 10,  # seconds between probes
    socket.TCP_KEEPCNT: 3,  # probes without an answer until the connection is dead
}
# Each of these makes the policy go through its whole list of workers.
REGISTRATION_CHANGES = frozenset(
    (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT, Kind.CANT_DO, Kind.RESET_ABILITIES, Kind.SET_CLIENT_ID)
)


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
        self.last_reply_sent = False  # nothing more is sent
        self.sent_at_seconds = 0.0  # when the peer last took some of the unsent bytes
        self.dropped = False  # the peer reads too little: nothing more of it is handled
        self.session = Session(front.server.limits)
        # A phase starts with the first byte of a message, or with the end of the last reply once
        # the session is closed. Single values without a lock: the server's checks may read one that
        # is a moment old. The registration credit is the reader thread's alone.
        now_seconds = time.monotonic()
        self.phase_started_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        self.credit_updated_at_seconds = now_seconds
        self.registration_credit = float(front.server.limits.gearman.registration_changes)
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
            pass  # it has ended before its first message
        finally:
            self._end()

    def _enable_keepalive(self) -> None:
        # A sleeping worker sends nothing for hours: only the kernel can tell that its host is gone.
        sock = self.transport.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE_OPTIONS.items():
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def _read_until_end(self) -> None:
        while True:
            try:
                data = self.transport.receive(self.server.limits.sizes.read_bytes)
            except OSError:
                return
            if not data:
                return
            try:
                self._process(data)
            except Exception as error:  # noqa: BLE001  whatever it is, the thread goes on to `_end`
                # Guards the program: what this peer has open ends as with its connection.
                log_events.internal_fault(where="gearman", error=error)
                return

    def _process(self, data: bytes) -> None:
        """Feed the session, and handle what is complete."""
        now_seconds = time.monotonic()
        if self.session.is_idle:
            self.phase_started_at_seconds = now_seconds
        self.last_activity_at_seconds = now_seconds
        with self.front.lock:
            steps = self.session.feed(data)
        if steps:
            self.phase_started_at_seconds = now_seconds  # of the message that is partly here
        for step in steps:
            if self.dropped:
                return
            # One step at a time: nobody waits for the lock longer than for one.
            self._throttle(step)
            with self.front.lock:
                self._handle(step)
                self.front.flush()

    def _handle(self, step: Step) -> None:
        """Bring a step to the service; the caller holds the front's lock."""
        service = self.front.service
        now_us = self.front.now_us()
        match step:
            case Reply():
                service.send(self.peer, step.data, close=step.close)
            case Packet():
                service.on_packet(now_us, self.peer, step)
            case Line(tokens):
                if service.on_text_command(now_us, self.peer, tokens):
                    self.front.signals.put(signal.SIGTERM)

    def _throttle(self, step: Step) -> None:
        """Wait, if the peer sends faster than is fair to all others.

        It waits in its own thread, and what it sends on waits in its own socket.
        """
        if isinstance(step, Line):
            self._spend_registration_credit()
        elif isinstance(step, Packet):
            if step.kind in REGISTRATION_CHANGES:
                self._spend_registration_credit()
            elif step.kind in SUBMISSIONS:
                self._wait_for_core()

    def _spend_registration_credit(self) -> None:
        """Wait a pause once the credit is spent; it grows by one each pause, up to its bound."""
        limits = self.server.limits.gearman
        pause_seconds = limits.registration_change_pause_seconds
        now_seconds = time.monotonic()
        earned = (now_seconds - self.credit_updated_at_seconds) / pause_seconds
        self.registration_credit = (
            min(self.registration_credit + earned, limits.registration_changes) - 1
        )
        self.credit_updated_at_seconds = now_seconds
        if self.registration_credit < 0:
            time.sleep(pause_seconds)

    def _wait_for_core(self) -> None:
        """Wait while the core has too many events to take."""
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
        """Send without waiting; any thread. After bytes with `close`, nothing more is sent.

        What the peer does not take is left to the writer thread. A peer that takes too little is
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
        """Send on from the unsent bytes, without waiting; the writer thread."""
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
        """Tell whether the peer is owed the outcome of a job."""
        return self.peer in self.front.service.state.jobs.submissions

    def is_worker(self) -> bool:
        """Tell whether the peer is a worker."""
        return self.peer.worker is not None

    def busy(self) -> bool:
        """Tell whether a shutdown should wait: something is owed, or a client may come back."""
        if self.session.closed:
            return bool(self.transport.unsent)
        may_come_back = (
            self.session.has_sent_work and not self.is_worker() and not self.server.state.closing
        )
        return (
            self.has_open_request()
            or bool(self.transport.unsent)
            or may_come_back
            or not self.session.is_idle
        )

    def eviction_rank(self, now: float) -> tuple[EvictionRank, float]:
        """Return the rank, and since when it has been quiet, as `evict_connections` takes them."""
        if self._is_in_use() or self.transport.unsent:
            return EvictionRank.NEVER, math.inf
        if self.session.closed:
            return EvictionRank.DONE, self.last_activity_at_seconds
        if self.session.has_sent_work:
            return EvictionRank.IDLE, self.last_activity_at_seconds
        since_seconds = self.phase_started_at_seconds
        is_unused = now - since_seconds >= self.server.limits.timeouts.unproven_seconds
        return (EvictionRank.UNUSED if is_unused else EvictionRank.NEW), since_seconds

    def evict(self) -> bool:
        """End the connection at once, unless it is in use; return whether it was ended."""
        if self._is_in_use():
            return False
        self.transport.shut_down()
        return True

    def close_if_idle(self) -> bool:
        """Close a client's connection between messages; return whether it was closed."""
        if self._is_in_use() or self.transport.unsent or not self.session.is_idle:
            return False
        self.transport.shut_down()
        return True

    def enforce_timeouts(self, now: float) -> None:
        """End what has gone on for too long.

        Guards the reader threads against half a message, silent peers, and peers that read nothing.
        """
        timeouts = self.server.limits.timeouts
        phase_seconds = now - self.phase_started_at_seconds
        if self.transport.unsent and now - self.sent_at_seconds > timeouts.write_seconds:
            self.transport.shut_down()
        elif self.session.closed:
            if phase_seconds > timeouts.linger_seconds:
                self.transport.shut_down()
        elif not self.session.is_idle:
            if phase_seconds > timeouts.message_seconds:
                self._end_slow_message()
        elif not self.session.has_sent_work:
            if phase_seconds > timeouts.first_message_seconds:
                self.transport.shut_down()
        elif not self._is_in_use() and self._idle_seconds(now) > timeouts.inbound_idle_seconds:
            self.transport.shut_down()

    def _idle_seconds(self, now: float) -> float:
        return now - self.last_activity_at_seconds

    def _end_slow_message(self) -> None:
        with self.front.lock:
            error = FramingError("TOO_SLOW", "half a message, and then nothing")
            reply = self.session.close_with_error(error)
            self.send(reply.data, close=reply.close)

    def _is_in_use(self) -> bool:
        return self.has_open_request() or self.is_worker()


def peer_host(sock: socket.socket) -> str:
    """Return the address of a socket's peer; "-" if it has gone."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return "-"
