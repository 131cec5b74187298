"""Faults of the network between dispatchers, and a UDP relay that injects them into real traffic.

The relay stands in front of every member: each member advertises the relay's address for it, so
every datagram to a member passes through the relay. The relay knows the sender by its address.
"""

import heapq
import random
import select
import socket
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count

Address = tuple[str, int]

DATAGRAM_BYTES = 64 * 1024
LONGEST_WAIT_SECONDS = 0.05
"""Longest wait for a datagram, so that a change of `closed` is noticed in time."""

MAX_DATAGRAMS_PER_TURN = 64
"""How many datagrams to one member are received before the next member has its turn."""

MILLISECONDS = 1000


@dataclass
class Links:
    """What happens to a datagram; shares are probabilities, times are in seconds.

    `late` is the share of datagrams that are delayed by `late_s` more, and so arrive out of order.
    `cuts` holds the ordered pairs of member names (from, to) between which nothing passes.
    """

    loss: float = 0.0
    doubled: float = 0.0
    delay: tuple[float, float] = (0.0005, 0.005)
    late: float = 0.0
    late_s: float = 0.3
    cuts: set[tuple[str, str]] = field(default_factory=set)

    def cut(
        self,
        one: Iterable[str],
        other: Iterable[str],
        both: bool = True,  # noqa: FBT001, FBT002  part of the interface of the rigs
    ) -> None:
        """Cut the links from each member of `one` to each of `other`, and back if `both`."""
        receivers = list(other)
        for sender in one:
            for receiver in receivers:
                if sender == receiver:
                    continue
                self.cuts.add((sender, receiver))
                if both:
                    self.cuts.add((receiver, sender))

    def heal(self) -> None:
        """Restore all links that were cut."""
        self.cuts.clear()

    def fate(self, draw: random.Random) -> Iterator[float]:
        """Yield the delay in seconds of each copy of a datagram that arrives.

        The order of the draws is part of what a seed stands for: whether the datagram is doubled,
        then for each copy whether it is lost, its delay, and whether it is late.
        """
        copies = 2 if draw.random() < self.doubled else 1
        for _ in range(copies):
            if draw.random() < self.loss:
                continue
            delay_seconds = draw.uniform(*self.delay)
            late_seconds = self.late_s if draw.random() < self.late else 0.0
            yield delay_seconds + late_seconds


@dataclass(frozen=True, slots=True)
class Station:
    """One member: the socket that others send to, and the address it listens and sends from."""

    name: str
    front: socket.socket
    listen: Address


class Relay:
    """Forward datagrams between members and inject the faults of `links`.

    The thread that calls `run` owns the delivery queue and the counters; any thread may call `add`.
    `lock` guards `stations`, `names` and `links`: `links` may be changed while the relay runs, with
    the lock held if several changes must take effect together. `closed` ends `run`.
    """

    def __init__(self, seed: int, links: Links | None = None) -> None:
        self.links = links or Links(delay=(0.0, 0.0))
        self.draw = random.Random(seed)
        self.lock = threading.Lock()
        self.stations: dict[str, Station] = {}
        self.names: dict[Address, str] = {}  # by the address that a member sends from
        # Due time by the monotonic clock, serial number for a stable order, receiver, payload.
        self.waiting: list[tuple[float, int, Station, bytes]] = []
        self.serial = count()
        self.poll = select.poll()
        self.by_file_descriptor: dict[int, Station] = {}
        self.passed = 0
        self.dropped = 0
        self.closed = False

    def add(self, name: str, host: str, listen: Address) -> str:
        """Open a socket for a member that listens there; return the address to advertise for it."""
        front = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        front.bind((host, 0))
        front.setblocking(False)  # noqa: FBT003  the socket's own interface
        station = Station(name, front, listen)
        with self.lock:
            self.stations[name] = station
            self.by_file_descriptor[front.fileno()] = station
            self.names[listen] = name
            self.poll.register(front, select.POLLIN)
        return f"{host}:{front.getsockname()[1]}"

    def run(self) -> None:
        """Receive and deliver datagrams until `closed` is set, then close all sockets."""
        while not self.closed:
            wait_seconds = LONGEST_WAIT_SECONDS
            if self.waiting:
                due_seconds = self.waiting[0][0] - time.monotonic()
                wait_seconds = min(max(due_seconds, 0.0), LONGEST_WAIT_SECONDS)
            for file_descriptor, _ in self.poll.poll(wait_seconds * MILLISECONDS):
                self.take(self.by_file_descriptor[file_descriptor])
            self.deliver()
        for station in self.stations.values():
            station.front.close()

    def take(self, station: Station) -> None:
        """Receive what was sent to one member and queue each copy that the links let pass."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, source = station.front.recvfrom(DATAGRAM_BYTES)
            except OSError:
                return  # nothing more has arrived
            with self.lock:
                cut = (self.names.get(source, ""), station.name) in self.links.cuts
                delays = [] if cut else list(self.links.fate(self.draw))
            if not delays:
                self.dropped += 1
            for delay_seconds in delays:
                due = time.monotonic() + delay_seconds
                heapq.heappush(self.waiting, (due, next(self.serial), station, data))

    def deliver(self) -> None:
        """Send every queued datagram that is due to its member."""
        now = time.monotonic()
        while self.waiting and self.waiting[0][0] <= now:
            _, _, station, data = heapq.heappop(self.waiting)
            self.passed += 1
            try:
                station.front.sendto(data, station.listen)
            except OSError:
                self.dropped += 1  # the member's process is gone, or its receive buffer is full
