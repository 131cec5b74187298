"""The links between dispatchers: what they do to datagrams, and a relay that does it to real ones.

The relay stands before every member: each advertises the relay's address for it, so that whatever goes to a
member passes here, and its sender is known by the address that it sends from.
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
DATAGRAM = 64 * 1024
LONGEST_WAIT = 0.05  # seconds


@dataclass
class Links:
    """What happens to a datagram; probabilities, seconds. A cut is of an ordered pair of names."""

    loss: float = 0.0
    doubled: float = 0.0
    delay: tuple[float, float] = (0.0005, 0.005)
    late: float = 0.0  # share of datagrams that take `late_s` more, and so come in another order
    late_s: float = 0.3
    cuts: set[tuple[str, str]] = field(default_factory=set)

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        others = list(other)
        for a in one:
            for b in others:
                if a != b:
                    self.cuts.add((a, b))
                    if both:
                        self.cuts.add((b, a))

    def heal(self) -> None:
        self.cuts.clear()

    def fate(self, draw: random.Random) -> Iterator[float]:
        """The delay of each copy of a datagram that arrives."""
        for _ in range(1 + (draw.random() < self.doubled)):
            if draw.random() >= self.loss:
                yield draw.uniform(*self.delay) + (
                    self.late_s if draw.random() < self.late else 0.0
                )


@dataclass(frozen=True, slots=True)
class Station:
    """One member: where others send to, and where it listens and sends from."""

    name: str
    front: socket.socket
    listen: Address


class Relay:
    """One thread. `links` may be changed while it runs; with `lock` held if several things go together."""

    def __init__(self, seed: int, links: Links | None = None) -> None:
        self.links, self.draw = links or Links(delay=(0.0, 0.0)), random.Random(seed)
        self.lock = threading.Lock()
        self.stations: dict[str, Station] = {}
        self.names: dict[Address, str] = {}  # by the address that a member sends from
        self.waiting: list[tuple[float, int, Station, bytes]] = []
        self.serial = count()
        self.poll = select.poll()
        self.by_number: dict[int, Station] = {}
        self.passed = self.dropped = 0
        self.closed = False

    def add(self, name: str, host: str, listen: Address) -> str:
        """The address to advertise for a member that listens there."""
        front = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        front.bind((host, 0))
        front.setblocking(False)
        station = Station(name, front, listen)
        with self.lock:
            self.stations[name] = self.by_number[front.fileno()] = station
            self.names[listen] = name
            self.poll.register(front, select.POLLIN)
        return f"{host}:{front.getsockname()[1]}"

    def run(self) -> None:
        while not self.closed:
            due = self.waiting[0][0] - time.monotonic() if self.waiting else LONGEST_WAIT
            for number, _ in self.poll.poll(min(max(due, 0.0), LONGEST_WAIT) * 1000):
                self.take(self.by_number[number])
            self.deliver()
        for station in self.stations.values():
            station.front.close()

    def take(self, station: Station) -> None:
        for _ in range(64):
            try:
                data, source = station.front.recvfrom(DATAGRAM)
            except OSError:
                return
            with self.lock:
                cut = (self.names.get(source, ""), station.name) in self.links.cuts
                delays = [] if cut else list(self.links.fate(self.draw))
            self.dropped += not delays
            for delay in delays:
                at = time.monotonic() + delay
                heapq.heappush(self.waiting, (at, next(self.serial), station, data))

    def deliver(self) -> None:
        now = time.monotonic()
        while self.waiting and self.waiting[0][0] <= now:
            _, _, station, data = heapq.heappop(self.waiting)
            self.passed += 1
            try:
                station.front.sendto(data, station.listen)
            except OSError:
                self.dropped += 1  # its process is not there, or its buffer is full
