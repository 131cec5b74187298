"""Search every order of events of three membership protocols, to a stated depth.

Events are deliveries, losses and duplicates of datagrams, steps of time, and restarts. The random
numbers inside a protocol come from one fixed seed; every other choice is tried.

A `Search` owns its situations; only the thread that runs it may touch them.
"""

import pickle
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import methodcaller

from stepstream.lab.simulation.membership_cluster import Claim, InvariantError
from stepstream.membership import record_precedence
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
MEMBERS = 3
SEEDS = ("127.0.0.1:1", "127.0.0.1:2")
RANDOM_SEED = 7  # of every protocol
SETTINGS = ProtocolSettings(
    probe_interval_seconds=0.5,
    probe_timeout_seconds=0.2,
    anti_entropy_interval_seconds=1.0,
    reconnect_interval_seconds=0.5,
    suspicion_multiplier=1.0,
    suspicion_max_multiplier=2.0,
    startup_hold_seconds=2.0,
)
MAX_CHOICES = 3  # of the datagrams in flight, those of which any may be the next
MAX_IN_FLIGHT = 2 * MAX_CHOICES  # datagrams; the oldest beyond that are lost
FAIR_ROUNDS = 80  # of time and full delivery after which all must agree
FAIR_STEP_SECONDS = 0.25


@dataclass
class Search:
    """Search all paths of up to `depth` events.

    `restarts`: how many a path may hold. `step`: seconds by which time moves on. `settle_every`:
    one of so many new states is continued on working links until all agree.
    """

    depth: int
    restarts: int = 1
    step: float = 0.25
    settle_every: int = 50
    states: int = 0
    settled: int = 0
    seen: set[int] = field(default_factory=set)  # hashes of state and remaining depth

    def run(self) -> None:
        """Search from the first situation; BrokenError names the path to a broken invariant."""
        self.visit(Situation.first(), self.depth, ())

    def visit(self, situation: "Situation", depth: int, path: tuple[str, ...]) -> None:
        """Try every event after a situation, to the remaining depth, unless it was seen before."""
        key = hash((situation.key(), depth))
        if key in self.seen:
            return
        self.seen.add(key)
        self.states += 1
        if self.states % self.settle_every == 0:
            self.settled += 1
            if not situation.copy().agrees_in_the_end():
                raise InvariantError(f"not settled after {path}")
        if not depth:
            return
        pickled = pickle.dumps(situation)
        for name, apply_event in situation.choices(self.restarts, self.step):
            successor: Situation = pickle.loads(pickled)
            try:
                apply_event(successor)
            except InvariantError as error:
                raise InvariantError(f"{error} after {(*path, name)}") from error
            self.visit(successor, depth - 1, (*path, name))


@dataclass
class Situation:
    """Hold the state of all members and of the datagrams between them."""

    now: float  # seconds
    views: dict[str, MembershipProtocol]  # by address
    in_flight: list[tuple[str, bytes]]  # address and datagram, oldest first
    restarts: int = 0
    # By observer and member: the greatest claim that the observer saw end.
    ended_claims: dict[tuple[str, str], Claim] = field(default_factory=dict)

    @classmethod
    def first(cls) -> "Situation":
        """Return the situation in which all members have just started."""
        situation = cls(0.0, {}, [])
        for number in range(MEMBERS):
            situation.begin(f"127.0.0.1:{number + 1}", f"n{number}", 1)
        return situation

    def begin(self, address: str, name: str, generation: int) -> None:
        """Start a member; it replaces the one at its address."""
        record = MemberRecord(name, address, generation, 0, MemberState.ALIVE)
        self.views[address] = MembershipProtocol(
            record, CLUSTER, SEEDS, SETTINGS, random.Random(RANDOM_SEED), self.now
        )

    def copy(self) -> "Situation":
        """Return a copy that shares nothing with this situation."""
        copied: Situation = pickle.loads(pickle.dumps(self))
        return copied

    def key(self) -> object:
        """Return what tells this state from others, as a hashable value."""
        views = tuple(
            (
                view.digest,
                view.context.local_health.score,
                view.detector.probe is not None and view.detector.probe.target,
                round(view.next_tick_at() - self.now, 3),
            )
            for view in self.views.values()
        )
        return views, tuple(self.in_flight), self.restarts

    def choices(
        self, max_restarts: int, step: float
    ) -> Iterator[tuple[str, Callable[["Situation"], None]]]:
        """Yield each event that may come next: its name, and what applies it to a situation."""
        yield "time", methodcaller("move_on", step)
        for index in range(min(len(self.in_flight), MAX_CHOICES)):
            yield f"deliver {index}", methodcaller("deliver", index)
            yield f"lose {index}", methodcaller("lose", index)
            yield f"double {index}", methodcaller("deliver_duplicate", index)
        if self.restarts < max_restarts:
            for address in self.views:
                yield f"restart {address}", methodcaller("restart", address)

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        """Put datagrams in flight; BrokenError if one is too long."""
        for outgoing in datagrams:
            data = encode(outgoing.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise InvariantError(f"{len(data)} bytes")
            self.in_flight.append((outgoing.address, data))
        self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def move_on(self, step: float) -> None:
        """Move time on by so many seconds, and let each member do what is due."""
        self.now += step
        for view in self.views.values():
            if view.next_tick_at() <= self.now:
                # The step is the search's: the protocol must not take it for a stall of its own.
                view.ticked_at = self.now
                self.send(view.tick(self.now))
            self.check(view)

    def deliver(self, index: int) -> None:
        """Deliver a datagram in flight."""
        address, data = self.in_flight.pop(index)
        self.receive(address, data)

    def deliver_duplicate(self, index: int) -> None:
        """Deliver a copy of a datagram, which stays in flight."""
        address, data = self.in_flight[index]
        self.receive(address, data)

    def receive(self, address: str, data: bytes) -> None:
        """Hand a datagram to the member at this address, if there is one."""
        if address in self.views:
            view = self.views[address]
            self.send(view.handle(self.now, decode(data, CLUSTER)))
            self.check(view)

    def lose(self, index: int) -> None:
        """Drop a datagram in flight."""
        del self.in_flight[index]

    def restart(self, address: str) -> None:
        """Restart a member with the next generation; what it observed is forgotten."""
        record = self.views[address].members.local
        self.restarts += 1
        self.ended_claims = {
            key: claim for key, claim in self.ended_claims.items() if key[0] != record.name
        }
        self.begin(address, record.name, record.generation + 1)

    def check(self, view: MembershipProtocol) -> None:
        """Check that no ended member came back on the same claim; BrokenError if one did."""
        observer = view.members.local_name
        for name, member in view.members.by_name.items():
            key = (observer, name)
            claim = record_precedence.member_precedence(member.record)[:3]  # without the state
            if member.record.state not in PRESENT:
                self.ended_claims[key] = max(claim, self.ended_claims.get(key, claim))
            elif key in self.ended_claims and claim <= self.ended_claims[key]:
                raise InvariantError(f"{observer} has {name} back on an old claim")

    def agrees_in_the_end(self) -> bool:
        """Return whether all come to agree once no datagram is lost or late."""
        for _ in range(FAIR_ROUNDS):
            self.move_on(FAIR_STEP_SECONDS)
            while self.in_flight:
                self.deliver(0)
            views = self.views.values()
            if len({view.digest for view in views}) == 1 and all(
                len(view.members.present) == MEMBERS for view in views
            ):
                return True
        return False
