"""Gearman's sockets and threads: connections in the house's budget, and a carrier for what the desk decides.

Each connection has a reader thread, as every inbound one does. What a peer does not take at once is kept
for it, up to a bound, and sent by one writer thread that waits on all such peers together: none holds up
another.
"""

import math
import os
import secrets
import select
import signal
import socket
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import GearmanSection, split_address
from stepstream.core.commands import Answer
from stepstream.core.requests import Call
from stepstream.gearman import codec
from stepstream.gearman.codec import GearmanError, Kind, Packet
from stepstream.gearman.desk import SOURCE, SUBMITS, Desk, House, Peer
from stepstream.gearman.jobs import Job
from stepstream.gearman.session import Reply, Session, Step
from stepstream.http.server import EvictionRank, InboundServer
from stepstream.model.events import HealthChecked
from stepstream.ports.access_control import AccessControl
from stepstream.ports.connections import ListenerSpec
from stepstream.runtime.log import log
from stepstream.runtime.threads import run_guarded, spawn_thread
from stepstream.runtime.transport import Transport

__all__ = ["SOURCE", "GearmanSide"]
KEEPALIVE = {"TCP_KEEPIDLE": 30, "TCP_KEEPINTVL": 10, "TCP_KEEPCNT": 3}  # seconds, seconds, probes
# Each of these has the module look at its whole list.
COSTLY = frozenset(
    (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT, Kind.CANT_DO, Kind.RESET_ABILITIES, Kind.SET_CLIENT_ID)
)
BUSY = codec.error("SERVER_FULL", "refused: too many connections")


class GearmanSide:
    """The front and the carrier; `desk` holds all that is decided, under `lock`."""

    def __init__(
        self,
        section: GearmanSection,
        config: NodeConfig,
        house: InboundServer,
        signals: "SimpleQueue[int]",
        pending: Callable[[], int],
        gate: AccessControl | None = None,
    ) -> None:
        """`pending`: events that the core has yet to take; `gate`: who is calling, if that is asked."""
        self.house, self.signals, self.pending = house, signals, pending
        self.address = split_address(section.listen)
        self.lock = threading.RLock()
        asked = House(
            new_id=lambda: secrets.token_hex(8),
            full=house.is_overloaded,
            closing=lambda: house.state.closing,
            gate=gate,
            on_answer=self.on_answer,
            on_progress=self.on_progress,
        )
        self.desk = Desk(config.name, section, config.settings, house.limits, asked)
        self.writer = Writer(house)

    def listen(self) -> ListenerSpec:
        """OSError if the address cannot be had."""
        entrance = self.house.listen(self.address, self.open, lambda: BUSY)
        spawn_thread("gearman writer", self.writer.run)
        return entrance

    def listen_with_transport(
        self, address: tuple[str, int], link: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """The same over another kind of link; OSError if the address cannot be had."""
        return self.house.listen(
            address, lambda sock, guest: GearmanConnection(link(sock), self, guest), bytes
        )

    def open(self, sock: socket.socket, guest: bool) -> "GearmanConnection":
        return GearmanConnection(Transport(sock), self, guest)

    def reconfigure(self, section: GearmanSection, config: NodeConfig) -> None:
        with self.lock:
            self.desk.reconfigure(section, config.settings, self.house.limits)

    def look(self) -> None:
        with self.lock:
            self.desk.look(self.now_us())
            self.flush()

    def now_us(self) -> int:
        return self.house.clock.now_us()

    def flush(self) -> None:
        """With the lock held, so that bytes and events leave in the order in which they became due."""
        out = self.desk.take()
        for send in out.sends:
            connection: GearmanConnection | None = self.connections.get(send.peer)
            if connection is not None:
                connection.send(send.data, send.close)
        for event in out.events:
            self.house.post(event)

    @property
    def connections(self) -> "dict[Peer, GearmanConnection]":
        return self.writer.connections

    # -- the core's answers and calls: the decision thread -------------------------------------------------

    def on_answer(self, job: Job, answer: Answer) -> None:
        with self.lock:
            self.desk.answer(self.now_us(), job, answer)
            self.flush()

    def on_progress(self, job: Job, done: int, of: int) -> None:
        with self.lock:
            self.desk.progress(job, done, of)
            self.flush()

    def start(self, call: Call) -> None:
        with self.lock:
            self.desk.start(self.now_us(), call)
            self.flush()

    def stop(self, call: Call) -> None:
        with self.lock:
            self.desk.stop(call)

    def check_health(self, worker: str) -> None:
        """Gearman has no probe of a worker: whether its connection stands is all there is to know."""
        with self.lock:
            self.house.post(HealthChecked(worker, worker in self.desk.workers.members))


class GearmanConnection:
    """A connection's driver; a ports.Connection. Its thread reads, whoever has something to say sends."""

    def __init__(self, link: Transport, side: GearmanSide, guest: bool) -> None:
        self.link, self.side, self.house, self.is_external = link, side, side.house, guest
        self.evicted = False
        self.lock = threading.Lock()  # of the bytes that wait
        self.moved = 0.0  # when the peer last took some of them
        self.last_word = False
        self.ended = False
        self.session = Session(side.house.limits)
        self.dropped = False  # it is hung up on: what it said is of no interest any more
        self.begun = self.active = self.paid = time.monotonic()
        self.credit = float(side.house.limits.gearman.registration_changes)
        with side.lock:
            self.peer = side.desk.opened(self.session, peer_host(link.sock))
            side.connections[self.peer] = self

    # -- reading ------------------------------------------------------------------------------------------

    def run(self) -> None:
        try:
            self.prepare()
            self.link.handshake()
            self.peer.certificate = self.link.certificate
            self.read_on()
        except OSError:
            pass  # gone before its first word
        finally:
            self.end()

    def prepare(self) -> None:
        # A sleeping worker says nothing for hours: only the kernel can tell that its machine has gone.
        self.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in KEEPALIVE.items():
            self.link.sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)

    def read_on(self) -> None:
        while True:
            try:
                data = self.link.receive(self.house.limits.sizes.read_bytes)
            except OSError:
                return
            if not data:
                return
            try:
                self.on_data(data)
            except Exception as error:
                # Guards the program: what this peer has open is ended by the rules as its connection ends.
                log(f"fault in gearman: {type(error).__name__}: {error}")
                return

    def on_data(self, data: bytes) -> None:
        now = time.monotonic()
        if self.session.between:
            self.begun = now
        self.active = now
        side = self.side
        with side.lock:
            steps = self.session.feed(data)
        if steps:
            self.begun = now  # what is half here has begun with this
        for step in steps:
            if self.dropped:
                return
            # One step at a time: nobody waits for the lock longer than for one.
            self.hold_back(step)
            with side.lock:
                self.take(step)
                side.flush()

    def take(self, step: Step) -> None:
        desk, now_us = self.side.desk, self.side.now_us()
        match step:
            case Reply():
                desk.send(self.peer, step.data, step.close)
            case Packet():
                desk.on_packet(now_us, self.peer, step)
            case codec.Line(words):
                if desk.on_line(now_us, self.peer, words):
                    self.side.signals.put(signal.SIGTERM)

    def hold_back(self, step: Step) -> None:
        """Guards everybody else: what one peer may ask of the core and the lists is bounded by its own pace.

        It waits in its own thread, and what it sends on waits in its own socket.
        """
        limits, now = self.house.limits, time.monotonic()
        if isinstance(step, codec.Line) or (isinstance(step, Packet) and step.kind in COSTLY):
            earned = (now - self.paid) / limits.gearman.registration_change_pause_seconds
            self.credit, self.paid = (
                min(self.credit + earned, limits.gearman.registration_changes) - 1,
                now,
            )
            if self.credit < 0:
                time.sleep(limits.gearman.registration_change_pause_seconds)
        elif isinstance(step, Packet) and step.kind in SUBMITS:
            while self.side.pending() > limits.gearman.core_backlog_events and not self.ended:
                time.sleep(limits.gearman.core_backlog_check_seconds)

    def end(self) -> None:
        with self.side.lock:
            self.side.desk.closed(self.peer)
            self.side.flush()
            self.side.connections.pop(self.peer, None)
        with self.lock:
            self.ended = True
            self.side.writer.forget(self)
            self.link.close()
        self.house.remove_connection(self)

    # -- sending ------------------------------------------------------------------------------------------

    def send(self, data: bytes, close: bool = False) -> None:
        """Never waits: what is not taken now is the writer's, and a peer that takes nothing is given up."""
        with self.lock:
            if self.ended or self.last_word:
                return
            self.last_word = close
            waited = bool(self.link.unsent)
            try:
                gone = self.link.send_available(data)
            except OSError:
                self.drop()
                return
            if gone:
                if close:
                    self.half_close()
                return
            if not waited:
                self.moved = time.monotonic()
            if len(self.link.unsent) > self.house.limits.sizes.unsent_bytes:
                # Guards memory against a peer that asks for much and reads little.
                self.drop()
                return
            self.side.writer.want(self)

    def drop(self) -> None:
        self.dropped = True
        self.link.shut_down()

    def send_more(self) -> None:
        """The writer's turn."""
        with self.lock:
            before = len(self.link.unsent)
            try:
                gone = self.ended or self.dropped or self.link.flush_available()
            except OSError:
                self.drop()
                gone = True
            if len(self.link.unsent) < before:
                self.moved = time.monotonic()
            if gone and self.last_word:
                self.half_close()
            if gone:
                self.side.writer.forget(self)

    def half_close(self) -> None:
        """A full close could reset the connection and take the last word with it."""
        self.begun = time.monotonic()
        self.link.half_close()

    # -- as the house sees it -----------------------------------------------------------------------------

    def has_open_request(self) -> bool:
        return self.peer in self.side.desk.jobs.hanging

    def is_member(self) -> bool:
        return self.peer.member is not None

    def busy(self) -> bool:
        if self.session.closed:
            return bool(self.link.unsent)
        stays = self.session.proven and not self.is_member() and not self.house.state.closing
        return (
            self.has_open_request() or bool(self.link.unsent) or stays or not self.session.between
        )

    def eviction_rank(self, now: float) -> tuple[EvictionRank, float]:
        if self.has_open_request() or self.is_member() or self.link.unsent:
            return EvictionRank.NEVER, math.inf
        if self.session.closed:
            return EvictionRank.DONE, self.active
        if self.session.proven:
            return EvictionRank.IDLE, self.active
        return (
            EvictionRank.UNUSED
            if now - self.begun >= self.house.limits.timeouts.unproven_seconds
            else EvictionRank.NEW,
            self.begun,
        )

    def evict(self) -> bool:
        if self.has_open_request() or self.is_member():
            return False
        self.link.shut_down()
        return True

    def close_if_idle(self) -> bool:
        if (
            self.has_open_request()
            or self.is_member()
            or self.link.unsent
            or not self.session.between
        ):
            return False
        self.link.shut_down()
        return True

    def enforce_timeouts(self, now: float) -> None:
        """Guards against half a packet and silence, silent strangers, and peers that read nothing."""
        limits = self.house.limits
        if self.link.unsent and now - self.moved > limits.timeouts.write_seconds:
            self.link.shut_down()
        elif self.session.closed:
            if now - self.begun > limits.timeouts.linger_seconds:
                self.link.shut_down()
        elif not self.session.between:
            if now - self.begun > limits.timeouts.message_seconds:
                with self.side.lock:
                    reply = self.session.end(
                        GearmanError("TOO_SLOW", "half a message, and then nothing")
                    )
                    self.send(reply.data, reply.close)
        elif not self.session.proven:
            if now - self.begun > limits.timeouts.first_message_seconds:
                self.link.shut_down()
        elif (
            not self.has_open_request()
            and not self.is_member()
            and now - self.active > limits.timeouts.inbound_idle_seconds
        ):
            self.link.shut_down()


class Writer:
    """One thread for all peers that do not take their bytes at once; it costs nothing while all do."""

    def __init__(self, house: InboundServer) -> None:
        self.house = house
        self.connections: dict[Peer, GearmanConnection] = {}
        self.lock = threading.Lock()
        self.poll = select.poll()
        self.wanted: dict[int, GearmanConnection] = {}
        self.wake_read, self.wake_write = os.pipe()
        os.set_blocking(self.wake_write, False)
        self.poll.register(self.wake_read, select.POLLIN)

    def want(self, connection: GearmanConnection) -> None:
        """Called with the connection's lock held."""
        with self.lock:
            number = connection.link.sock.fileno()
            if number < 0 or number in self.wanted:
                return
            self.wanted[number] = connection
            self.poll.register(number, select.POLLOUT)
        try:
            os.write(self.wake_write, b"x")
        except BlockingIOError:
            pass  # it is awake as it is

    def forget(self, connection: GearmanConnection) -> None:
        """Before the descriptor is closed: its number may be another's at once."""
        with self.lock:
            number = connection.link.sock.fileno()
            if self.wanted.get(number) is connection:
                del self.wanted[number]
                self.poll.unregister(number)

    def run(self) -> None:
        while True:
            run_guarded("gearman writer", self.turn)

    def turn(self) -> None:
        for number, _ in self.poll.poll():
            if number == self.wake_read:
                os.read(self.wake_read, 4096)
                continue
            connection = self.wanted.get(number)
            if connection is not None:
                connection.send_more()


def peer_host(sock: socket.socket) -> str:
    try:
        return sock.getpeername()[0]
    except OSError:
        return "-"
