"""The fleet's one thread and one UDP socket. Monotonic time for every wait."""

import random
import select
import socket
import threading
import time
from collections.abc import Callable

import structlog

from stepstream.config.limits import Limits
from stepstream.membership import messages as m
from stepstream.membership.view import Change, Send, View
from stepstream.runtime.log import RateLimitedLogger, log

LONGEST_WAIT = 0.5  # seconds
READS = 64  # datagrams before the timers are looked at again
LINES = 50  # changes written in one turn; more are counted in one line
ACTING = 0.2  # seconds between two looks at what follows from the view


def new_generation(draw: random.Random) -> int:
    """Of this start: its time of day, and chance for two starts in one millisecond."""
    return (time.time_ns() // 1_000_000) * 1024 + draw.randrange(1024)


class Driver:
    """`act` is called by the thread, a few times a second, with the view locked; it must not wait."""

    def __init__(
        self,
        address: tuple[str, int],
        view: View,
        limits: Limits,
        lines: structlog.BoundLogger,
        act: Callable[[float], None],
    ) -> None:
        """OSError if the address cannot be had. SO_REUSEPORT: a hot restart's two processes both listen."""
        self.view, self.lines, self.act = view, lines, act
        self.lock = threading.Lock()
        self.complaints = RateLimitedLogger("fleet datagram dropped:", limits)
        self.unsent = 0
        self.written = 0  # the newest change in the log
        self.acted = 0.0
        self.cpu_s = 0.0  # that the thread has used
        self.closed = False
        self.heard: dict[str, Callable[[str, bytes], None]] = {}  # by kind, who takes parcels
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.sock.bind(address)
            self.sock.setblocking(False)
        except OSError:
            self.sock.close()
            raise

    def run(self) -> None:
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        while not self.closed:
            try:
                self.turn(poll)
            except Exception as error:
                # Guards the view: a fault over one datagram must not end the membership of this process.
                log(f"fault in fleet: {type(error).__name__}: {error}")
                time.sleep(ACTING)
        self.sock.close()

    def turn(self, poll: "select.poll") -> None:
        with self.lock:
            due = self.view.next_at()
        poll.poll(min(max(due - time.monotonic(), 0.0), LONGEST_WAIT, ACTING) * 1000)
        with self.lock:
            # Timers before datagrams: a stall of this process is seen before what waited is believed.
            sends = self.view.tick(time.monotonic())
            sends += self.read()
            now = time.monotonic()
            if now - self.acted >= ACTING:
                self.acted, self.cpu_s = now, time.thread_time()
                self.act(now)
            fresh = self.fresh_changes()
            parcels = list(self.view.parcels)
            self.view.parcels.clear()
            self.closed = self.closed or bool(self.view.superseded)
        self.carry(sends)
        self.write(fresh)
        for sender, kind, data in parcels:
            if (take := self.heard.get(kind)) is not None:
                take(sender, data)

    def post(self, name: str, kind: str, data: bytes) -> None:
        """Any thread but one that has the view locked."""
        with self.lock:
            sends = self.view.post(time.monotonic(), name, kind, data)
        self.carry(sends)

    def read(self) -> list[Send]:
        sends: list[Send] = []
        for _ in range(READS):
            try:
                data, source = self.sock.recvfrom(m.DATAGRAM + 1)
            except OSError:
                break  # none left, or an error of a datagram sent earlier
            try:
                datagram = m.decode(data, self.view.cluster)
            except m.BadDatagramError as error:
                self.complaints.add(f"from {source[0]}:{source[1]}: {error}")
                continue
            sends += self.view.handle(time.monotonic(), datagram)
        return sends

    def carry(self, sends: list[Send]) -> None:
        for send in sends:
            host, _, port = send.address.rpartition(":")
            try:
                self.sock.sendto(m.encode(send.datagram), (host, int(port)))
            except (OSError, OverflowError):
                self.unsent += 1  # as if lost on the way

    def fresh_changes(self) -> list[Change]:
        fresh = [change for change in self.view.changes if change.number > self.written]
        self.written = self.view.number
        return fresh

    def write(self, changes: list[Change]) -> None:
        for change in changes[:LINES]:
            self.lines.info(
                "fleet member",
                member=change.name,
                before=change.before,
                after=change.after,
                by=change.by,
                why=change.why,
            )
        if len(changes) > LINES:
            self.lines.info("fleet members", more=len(changes) - LINES)

    def leave(self) -> None:
        """Said three times, in case of loss; then the thread ends."""
        with self.lock:
            sends = self.view.leave(time.monotonic())
        for _ in range(3 if sends else 0):
            self.carry(sends)
            time.sleep(0.02)
        self.closed = True
