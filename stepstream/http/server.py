"""Inbound connections: one reader thread each, within one budget whatever their protocol."""

import math
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import IntEnum

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
from stepstream.http import platform_api as platform
from stepstream.http.codec import ProtocolError
from stepstream.http.session import HttpSession, Reply, ServerState, SessionPhase, Step
from stepstream.ports.connections import Connection, ListenerSpec
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import log
from stepstream.runtime.sockets import set_socket_timeout, shut_down
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport


class EvictionRank(IntEnum):
    """Who makes room first.

    An idle client's next request costs a new connection and no more; a new connection may be that of a client
    that takes its time, and closed before its first request that request has failed.
    """

    DONE = 1
    STRANGER = 2  # without a job or news for a good while
    IDLE = 3
    NEW = 4
    NEVER = 5  # a request is open


class ClientConnection:
    """A connection's driver. Its thread reads; whoever has an answer writes, never waiting for the peer."""

    def __init__(self, link: Transport, house: "InboundServer", guest: bool = True) -> None:
        self.link, self.house, self.is_external = (
            link,
            house,
            guest,
        )  # guest: not from a worker's host
        self.lock = threading.Lock()
        self.session = HttpSession(house.limits, house.state, link)
        self.writing = False  # a late writer is at work on the rest of an answer
        self.late: deque[Reply] = deque()  # what has come behind that
        self.ended = False  # the reader has left; the late writer closes the socket
        self.evicted = False  # it has made room and counts among those that leave
        # The last byte or answer; the current message's first byte or, once closed, the last answer's end.
        self.active = self.begun = self.came = time.monotonic()

    def run(self) -> None:
        try:
            self.read_on()
        finally:
            with self.lock:
                left = self.session.closed()
                self.ended = True
                if self.writing:
                    # Guards the late writer: a number closed under its hands may be another's socket by then.
                    self.link.shut_down()
                else:
                    self.link.close()
            self.house.forget(self)
            self.let_go(left)

    def let_go(self, left: Request | None) -> None:
        """Its client has gone: no call of it begins any more, also before the core has heard."""
        if left is not None:
            left.client_disconnected = True
            self.house.post(ClientDisconnected(left))

    def read_on(self) -> None:
        limits = self.house.limits
        set_socket_timeout(self.link.sock, socket.SO_SNDTIMEO, limits.timeouts.write_seconds)
        try:
            self.link.handshake()
        except OSError:
            return
        while True:
            try:
                if not self.link.wait_readable(limits.sizes.read_bytes):
                    return
            except OSError:
                return
            if not self.survives():
                return

    def enforce_timeouts(self, now: float) -> None:
        """Guards against half-open, silent and dawdling peers, which would hold their thread for ever."""
        with self.lock:
            session = self.session
            since = self.active if session.between else self.begun
            if self.writing or now - since <= session.patience(self.house.limits):
                return
            reply = None
            if session.phase is SessionPhase.READING and not session.between:
                reply = session.refuse(ProtocolError(400, "too slow"))
            elif session.phase is SessionPhase.CLOSED or not self.link.has_unread():
                if session.phase is SessionPhase.CLOSED:
                    self.link.shut_down()
                else:
                    self.part(now)
        if reply is not None:
            self.write(reply)

    def survives(self) -> bool:
        """Guards a request against a fault in this thread: it is answered all the same."""
        try:
            return self.on_data()
        except Exception as error:
            log(f"fault in inbound: {type(error).__name__}: {error}")
            with self.lock:
                request = self.session.request
                reply = None if request else self.session.refuse(ProtocolError(500, "fault"))
            if request:
                self.house.post(RequestFaulted(request))
            else:
                self.write(reply)
            return True

    def on_data(self) -> bool:
        """Takes what has come; false once its connection is to be closed.

        Bytes leave the kernel under the lock only: whoever ends the connection sees those that nobody has
        taken, and no request can be taken before its end and looked at after it.
        """
        with self.lock:
            data = self.link.receive_available(self.house.limits.sizes.read_bytes)
            now_us, now = self.house.clock.now_us(), time.monotonic()
            if self.session.phase is SessionPhase.CLOSED:
                # Guards against a peer that goes on sending after its last answer.
                self.active = now
                return now - self.begun < self.house.limits.timeouts.linger_seconds
            if self.session.between and self.session.answered:
                self.begun = now
            self.active = now
            steps = self.session.feed(data, now_us)
            # Guards against a peer that drips its message: each byte alone would renew its time.
            reading = self.session.phase is SessionPhase.READING and not self.session.between
            if reading and now - self.begun > self.session.patience(self.house.limits):
                steps.append(self.session.refuse(ProtocolError(400, "too slow")))
        self.take(steps)
        return True

    def take(self, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Reply():
                    self.write(step)
                    if step.close:
                        with self.lock:
                            left = self.session.closed()
                        # An error ends the connection: it was the answer to what was open too.
                        self.let_go(left)
                case Request():
                    step.response_sink = self
                    self.house.post(RequestReceived(step))
                case JobNotification():
                    self.house.post(step)

    def answer(self, answer: Answer) -> None:
        """Called by the decision thread: what the peer does not take at once goes to a late writer."""
        with self.lock:
            reply = self.session.answer(answer)
            if reply is None:
                return
            # What has come behind the request begins now, however long that took.
            self.active = self.begun = time.monotonic()
        self.write(reply)
        with self.lock:
            steps = (
                self.session.steps(self.house.clock.now_us()) if self.session.parser.buffer else []
            )
        self.take(steps)

    def write(self, reply: Reply) -> None:
        with self.lock:
            if self.writing:
                # Guards the order of bytes: one thread at a time sends.
                self.late.append(reply)
                return
            try:
                if self.link.send_available(reply.data):
                    self.finish(reply)
                    return
            except OSError:
                self.link.shut_down()
                return
            self.writing = True
        self.house.writers.submit(self.write_rest, reply)

    def write_rest(self, reply: Reply) -> None:
        while True:
            try:
                self.link.flush()
            except OSError:
                self.link.shut_down()
            with self.lock:
                if self.ended:
                    self.writing = False
                    self.link.close()
                    return
                self.finish(reply)
                if not self.late:
                    self.writing = False
                    return
                reply = self.late.popleft()
                self.link.enqueue(reply.data)

    def finish(self, reply: Reply) -> None:
        """Half a close: a full one could reset the connection and take the answer with it."""
        if reply.close:
            self.begun = (
                time.monotonic()
            )  # what it lingers from; the last byte says whether it may make room
            self.link.half_close()

    def progress(self, done: int, of: int) -> None:
        """HTTP/1.1 has no words for it."""

    def has_open_request(self) -> bool:
        return self.session.phase is SessionPhase.WAITING

    def busy(self) -> bool:
        session = self.session
        stays = session.proven and not session.of_worker and session.phase is SessionPhase.READING
        parting = session.phase is SessionPhase.CLOSED and (
            time.monotonic() - self.begun < self.house.limits.timeouts.close_grace_seconds
        )
        return self.owes() or self.writing or parting or (stays and not self.house.state.closing)

    def owes(self) -> bool:
        """A request is open, or a message half read that may yet be one of the front's.

        Guards the end of a stop against a crowd that connects and never finishes a message: after SIGTERM the
        front sends new connections for 0.4 s at most, and what a stranger began later is nobody's request.
        """
        session, left_at = self.session, self.house.state.shutdown_started_at
        if not session.owes:
            return False
        if session.phase is SessionPhase.WAITING or session.proven or left_at is None:
            return True
        return self.came <= left_at + self.house.limits.shutdown.arrivals_seconds

    def eviction_rank(self, now: float) -> tuple[EvictionRank, float]:
        """The least makes room first, and among equals the one quiet for longest."""
        with self.lock:
            session = self.session
            if session.phase is SessionPhase.WAITING or self.writing:
                return EvictionRank.NEVER, math.inf
            since = self.begun if session.owes else self.active
            if session.phase is SessionPhase.CLOSED:
                # Guards an error on its way to a peer that still sends: ended now, a reset would overtake it.
                return EvictionRank.DONE, since
            if session.proven:
                return EvictionRank.IDLE, since
            return (
                EvictionRank.STRANGER
                if now - since >= self.house.limits.timeouts.unproven_seconds
                else EvictionRank.NEW,
                since,
            )

    def part(self, now: float) -> None:
        """With the lock held, between messages: half a close; what the peer sent meanwhile is read to its end
        and dropped, for a close over unread bytes would reset the connection.
        """
        self.session.closed()
        self.begun = now
        self.link.half_close()

    def evict(self) -> bool:
        """Guards the budget: peers that dawdle or say nothing must not keep out those that work."""
        with self.lock:
            if (
                self.session.phase is SessionPhase.WAITING
                or self.writing
                or (self.session.between and self.link.has_unread())
            ):
                return False
            self.session.closed()
            self.link.shut_down()
            return True

    def close_if_idle(self) -> bool:
        """Between requests only, and not if bytes of the next one are here already."""
        with self.lock:
            if not self.session.between or self.session.of_worker or self.link.has_unread():
                return False
            self.part(time.monotonic())
            return True


class InboundServer:
    """The listening sockets, and every inbound connection within the one budget, whatever its protocol."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        side: platform.ClientApi,
        post: Callable[[Event], None],
        known_host: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """`known_host` tells a worker's host: news must get in when strangers take every other place."""
        self.known_host = known_host
        self.limits, self.clock, self.post = limits, clock, post
        self.state = ServerState(side)
        self.state.is_overloaded = self.crowded
        self.readers = ThreadPool("inbound", limits.connections.inbound)
        self.writers = ThreadPool("late writer", limits.connections.slow_writer_threads)
        self.lock = threading.Lock()
        self.connections: set[Connection] = set()
        self.external_count = 0  # of these, not from a worker's host
        self.evicted_count = 0  # connections that have made room but are not closed yet
        self.lingering: deque[tuple[float, socket.socket]] = (
            deque()
        )  # shut by us, and when to close them
        self.rejected_count = 0
        self.listeners: list[ListenerSpec] = []

    def reconfigure(self, limits: Limits, side: platform.ClientApi) -> None:
        """After a reload; connections beyond a smaller budget stay until they end."""
        self.limits, self.state.side = limits, side
        self.readers.max_threads, self.writers.max_threads = (
            limits.connections.inbound,
            limits.connections.slow_writer_threads,
        )

    def bind(self, address: tuple[str, int]) -> ListenerSpec:
        """The platform's entrance, not open yet: its address is ours, and who connects is refused. A hot
        restart's new process has it beside the old one (SO_REUSEPORT).
        """
        make = lambda sock, guest: ClientConnection(Transport(sock), self, guest)  # noqa: E731
        return self.listen(address, make, self.http_refusal, shared=True, opened=False)

    def start_listening(self, entrance: ListenerSpec) -> None:
        entrance.listener.listen(self.limits.connections.listen_backlog)

    def listen_with_transport(
        self, address: tuple[str, int], link: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """HTTP over another kind of link; what is full there says so by its end."""
        return self.listen(
            address, lambda sock, guest: ClientConnection(link(sock), self, guest), bytes
        )

    def http_refusal(self) -> bytes:
        return platform.overload_answer(self.state.side.settings.max_retry_after_us, True)

    def listen(
        self,
        address: tuple[str, int],
        make: Callable[[socket.socket, bool], Connection],
        refusal: Callable[[], bytes],
        shared: bool = False,
        opened: bool = True,
    ) -> ListenerSpec:
        """Listens on one more address, for any protocol; OSError if it cannot be had.

        `shared`: with SO_REUSEPORT, so that two processes of this user may listen there at once.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # A restart must not wait for the connections of the process before it.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(address)
            if opened:
                listener.listen(self.limits.connections.listen_backlog)
        except OSError:
            listener.close()
            raise
        entrance = ListenerSpec(listener, make, refusal)
        self.listeners.append(entrance)
        return entrance

    def accept_loop(self, entrance: ListenerSpec) -> None:
        while True:
            try:
                sock, peer = entrance.listener.accept()
            except OSError as error:
                if entrance.listener.fileno() < 0:
                    return
                # Guards against a peer gone before its accept, or no descriptor left: neither may end this.
                log(f"accept failed: {error}")
                time.sleep(self.limits.timeouts.accept_retry_seconds)
                continue
            self.admit(entrance, sock, peer[0])

    def admit(self, entrance: ListenerSpec, sock: socket.socket, host: str) -> None:
        guest = not self.known_host(host)
        if self.full(guest):
            self.make_room()
        if self.full(guest):
            self.fail_fast(entrance, sock)
            return
        inbound = entrance.create_connection(sock, guest)
        with self.lock:
            self.connections.add(inbound)
            self.external_count += guest
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass
        # Threads are kept: workers bring each piece of news on a connection of its own.
        self.readers.submit(inbound.run)

    def full(self, guest: bool) -> bool:
        limits = self.limits
        with self.lock:
            if (
                len(self.connections) + self.evicted_count
                >= limits.connections.inbound + limits.connections.evicted_unclosed
            ):
                return True
            if (
                guest
                and self.external_count
                >= limits.connections.inbound - limits.connections.reserved_for_workers
            ):
                return True
            return len(self.connections) >= limits.connections.inbound

    def make_room(self) -> None:
        """Several at a time, or each of a flood would look through all."""
        now, made = time.monotonic(), 0
        with self.lock:
            every = list(self.connections)
        first = None
        for rank, since, k in sorted(
            (*inbound.eviction_rank(now), k) for k, inbound in enumerate(every)
        ):
            # Those that cost their clients something go only while nobody else does.
            if made == self.limits.connections.evictions_at_once or (made and rank > first):
                return
            if now - since >= self.limits.timeouts.evictable_idle_seconds and every[k].evict():
                first, made = rank, made + 1
                self.leave(every[k])

    def leave(self, inbound: Connection) -> None:
        """Its place is free at once; its descriptor only when its thread has closed it."""
        with self.lock:
            if self.strike(inbound):
                self.evicted_count += 1
                inbound.evicted = True

    def strike(self, inbound: Connection) -> bool:
        """With the lock held."""
        if inbound not in self.connections:
            return False
        self.connections.discard(inbound)
        self.external_count -= inbound.is_external
        return True

    def enforce_timeouts(self) -> None:
        """Every while: ends what has gone on for too long."""
        now = time.monotonic()
        with self.lock:
            every = list(self.connections)
        for inbound in every:
            inbound.enforce_timeouts(now)
        self.end_lingering(now)

    def linger(self, sock: socket.socket, seconds: float) -> None:
        """Closes a connection that we have shut, a while later and without a thread: closed over bytes that
        its peer sends meanwhile, it would be reset, and what was told last could be lost with it.
        """
        with self.lock:
            self.lingering.append((time.monotonic() + seconds, sock))
            oldest = (
                self.lingering.popleft()[1]
                if len(self.lingering) > self.limits.connections.lingering
                else None
            )
        if oldest is not None:
            self.read_out(oldest)
            oldest.close()

    def end_lingering(self, now: float) -> None:
        with self.lock:
            waiting, self.lingering = self.lingering, deque()
        kept = []
        for until, sock in waiting:
            self.read_out(sock)
            if now > until:
                sock.close()
            else:
                kept.append((until, sock))
        with self.lock:
            self.lingering.extendleft(reversed(kept))

    def read_out(self, sock: socket.socket) -> None:
        """Drops what has come."""
        try:
            while sock.recv(self.limits.sizes.read_bytes, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # nothing more, or no connection

    def fail_fast(self, entrance: ListenerSpec, sock: socket.socket) -> None:
        """Over budget: refused before a byte is read, without a thread."""
        self.rejected_count += 1
        try:
            sock.send(entrance.overload_response(), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        self.linger(sock, self.limits.timeouts.rejected_linger_seconds)

    def forget(self, inbound: Connection) -> None:
        with self.lock:
            self.strike(inbound)
            self.evicted_count -= inbound.evicted
            inbound.evicted = False

    def crowded(self) -> bool:
        """Only open requests count: connections between requests make room when news needs it."""
        most = self.limits.connections.open_requests
        if len(self.connections) < most:
            return False
        with self.lock:
            return sum(inbound.has_open_request() for inbound in self.connections) >= most

    def close_idle(self) -> None:
        with self.lock:
            every = list(self.connections)
        for inbound in every:
            inbound.close_if_idle()

    def busy(self) -> bool:
        """Something is owed, or, until connections are closed, a client may use the one it has."""
        with self.lock:
            return any(inbound.busy() for inbound in self.connections)

    def close_listeners(self) -> None:
        for entrance in self.listeners:
            self.close_listener(entrance)

    def close_listener(self, entrance: ListenerSpec) -> None:
        """Guards connections that the kernel has accepted: they are taken before the listener goes."""
        if entrance.listener.fileno() < 0:
            return
        entrance.listener.setblocking(False)
        try:
            while True:
                sock, peer = entrance.listener.accept()
                sock.setblocking(True)
                self.admit(entrance, sock, peer[0])
        except OSError:
            pass
        shut_down(entrance.listener)
        entrance.listener.close()
