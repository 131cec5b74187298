"""Three views, every order of what may happen to them, to a stated depth: deliveries, losses, duplicates,
time and restarts. What is drawn at random inside a view is one fixed draw; all else is tried.
"""

import pickle
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from stepstream.lab.fleet_world import BrokenError
from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    PRESENT,
    MemberRecord,
    MemberState,
    decode,
    encode,
)
from stepstream.membership.outbox import OutgoingDatagram
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

CLUSTER = "search"
MOST_WAITING = (
    3  # datagrams under way between which there is a choice; the oldest beyond that are lost
)
FAIR_ROUNDS = 80  # of time and whole delivery after which all must agree


@dataclass
class Search:
    """`restarts`: how many a path may hold; `step`: seconds by which time moves on."""

    depth: int
    restarts: int = 1
    step: float = 0.25
    settle_every: int = (
        50  # of so many new states one is played on with whole links, until all agree
    )
    states: int = 0
    settled: int = 0
    seen: set[int] = field(default_factory=set)

    def run(self) -> None:
        """BrokenError with the path that led there."""
        self.visit(Situation.first(), self.depth, ())

    def visit(self, situation: "Situation", depth: int, path: tuple[str, ...]) -> None:
        key = hash((situation.key(), depth))
        if key in self.seen:
            return
        self.seen.add(key)
        self.states += 1
        if self.states % self.settle_every == 0:
            self.settled += 1
            if not situation.copy().agrees_in_the_end():
                raise BrokenError(f"not settled after {path}")
        if not depth:
            return
        frozen = pickle.dumps(situation)
        for name, act in situation.choices(self.restarts, self.step):
            then: Situation = pickle.loads(frozen)
            try:
                getattr(then, act[0])(*act[1:])
            except BrokenError as error:
                raise BrokenError(f"{error} after {(*path, name)}") from None
            self.visit(then, depth - 1, (*path, name))


@dataclass
class Situation:
    now: float
    views: dict[str, MembershipProtocol]
    waiting: list[tuple[str, bytes]]  # address and datagram, oldest first
    restarts: int = 0
    ended: dict[tuple[str, str], tuple] = field(default_factory=dict)

    @classmethod
    def first(cls) -> "Situation":
        made = cls(0.0, {}, [])
        for k in range(3):
            made.begin(f"127.0.0.1:{k + 1}", f"n{k}", 1)
        return made

    def begin(self, address: str, name: str, generation: int) -> None:
        row = MemberRecord(name, address, generation, 0, MemberState.ALIVE)
        times = ProtocolSettings(
            probe_interval_seconds=0.5,
            probe_timeout_seconds=0.2,
            anti_entropy_interval_seconds=1.0,
            reconnect_interval_seconds=0.5,
            suspicion_multiplier=1.0,
            suspicion_max_multiplier=2.0,
            startup_hold_seconds=2.0,
        )
        seeds = ("127.0.0.1:1", "127.0.0.1:2")
        self.views[address] = MembershipProtocol(
            row, CLUSTER, seeds, times, random.Random(7), self.now
        )

    def copy(self) -> "Situation":
        return pickle.loads(pickle.dumps(self))

    def key(self) -> object:
        views = tuple(
            (
                v.digest,
                v.context.local_health.score,
                v.detector.probe is not None and v.detector.probe.target,
                round(v.next_tick_at() - self.now, 3),
            )
            for v in self.views.values()
        )
        return views, tuple(self.waiting), self.restarts

    def choices(self, restarts: int, step: float) -> Iterator[tuple[str, tuple]]:
        yield "time", ("move_on", step)
        for k in range(min(len(self.waiting), MOST_WAITING)):
            yield f"deliver {k}", ("deliver", k)
            yield f"lose {k}", ("lose", k)
            yield f"double {k}", ("deliver", k, True)
        if self.restarts < restarts:
            for address in self.views:
                yield f"restart {address}", ("restart", address)

    def carry(self, sends: list[OutgoingDatagram]) -> None:
        for send in sends:
            data = encode(send.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise BrokenError(f"{len(data)} bytes")
            self.waiting.append((send.address, data))
        self.waiting = self.waiting[-2 * MOST_WAITING :]

    def move_on(self, step: float) -> None:
        self.now += step
        for view in self.views.values():
            if view.next_tick_at() <= self.now:
                view.ticked_at = self.now  # no stall: the step is the search's, not the process's
                self.carry(view.tick(self.now))
            self.check(view)

    def deliver(self, k: int, again: bool = False) -> None:
        address, data = self.waiting[k] if again else self.waiting.pop(k)
        if address in self.views:
            view = self.views[address]
            self.carry(view.handle(self.now, decode(data, CLUSTER)))
            self.check(view)

    def lose(self, k: int) -> None:
        del self.waiting[k]

    def restart(self, address: str) -> None:
        old = self.views[address].members.local
        self.restarts += 1
        self.ended = {key: x for key, x in self.ended.items() if key[0] != old.name}
        self.begin(address, old.name, old.generation + 1)

    def check(self, view: MembershipProtocol) -> None:
        """Nobody ended is back on the same claim."""
        for name, member in view.members.by_name.items():
            key, row = (view.members.local_name, name), member.record
            if row.state not in PRESENT:
                self.ended[key] = max(row.precedence[:3], self.ended.get(key, row.precedence[:3]))
            elif key in self.ended and row.precedence[:3] <= self.ended[key]:
                raise BrokenError(f"{view.members.local_name} has {name} back on an old claim")

    def agrees_in_the_end(self) -> bool:
        for _ in range(FAIR_ROUNDS):
            self.move_on(0.25)
            while self.waiting:
                self.deliver(0)
            if len({view.digest for view in self.views.values()}) == 1 and all(
                len(view.members.present) == 3 for view in self.views.values()
            ):
                return True
        return False
