"""One state of three membership protocols and the datagrams between them, and its possible events.

Events are deliveries, losses and duplicates of datagrams, steps of time, and restarts. The random
numbers inside a protocol come from one fixed seed. States are copied by `pickle`, as an event may
change any part of a protocol.
"""

import pickle
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import methodcaller

from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.membership_invariants import EndedVersions
from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MemberRecord,
    MemberState,
    decode,
    encode,
)
from stepstream.membership.outbox import OutgoingDatagram
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

CLUSTER_NAME = "search"
MEMBERS = 3
SEEDS = ("127.0.0.1:1", "127.0.0.1:2")
RANDOM_SEED = 7
"""Seed of the random numbers of every protocol."""

SETTINGS = ProtocolSettings(
    probe_interval_seconds=0.5,
    probe_timeout_seconds=0.2,
    anti_entropy_interval_seconds=1.0,
    reconnect_interval_seconds=0.5,
    suspicion_multiplier=1.0,
    suspicion_max_multiplier=2.0,
    startup_hold_seconds=2.0,
)
MAX_REORDERED = 3
"""How many of the oldest datagrams in flight may be the next to arrive."""

MAX_IN_FLIGHT = 2 * MAX_REORDERED
"""Greatest number of datagrams in flight; when there are more, the oldest are lost."""

CONVERGENCE_ROUNDS = 80
"""Rounds within which all members must agree: each is a step of time, then every delivery."""

CONVERGENCE_STEP_SECONDS = 0.25
TIME_DIGITS = 3  # decimals of the seconds until a tick in a state's key

Event = Callable[["MembershipState"], None]


@dataclass
class MembershipState:
    """The state of all members and of the datagrams between them.

    Attributes:
        now: seconds since the first state.
        protocols: the members' protocols, by address.
        in_flight: the receiver's address and the datagram, oldest first.
        restarts: the number of restarts on the path to this state.
        ended_versions: the records that each observer saw end.

    """

    now: float
    protocols: dict[str, MembershipProtocol]
    in_flight: list[tuple[str, bytes]]
    restarts: int = 0
    ended_versions: EndedVersions = field(default_factory=EndedVersions)

    @classmethod
    def initial(cls) -> "MembershipState":
        """Return the state in which all members have just started."""
        state = cls(0.0, {}, [])
        for number in range(MEMBERS):
            state.start(f"127.0.0.1:{number + 1}", f"n{number}", 1)
        return state

    def start(self, address: str, name: str, generation: int) -> None:
        """Start a member; it replaces the one at its address."""
        record = MemberRecord(name, address, generation, 0, MemberState.ALIVE)
        rng = random.Random(RANDOM_SEED)
        self.protocols[address] = MembershipProtocol(
            record, CLUSTER_NAME, SEEDS, SETTINGS, rng, self.now
        )

    def copy(self) -> "MembershipState":
        """Return a copy that shares nothing with this state."""
        copied: MembershipState = pickle.loads(pickle.dumps(self))
        return copied

    def key(self) -> object:
        """Return what distinguishes this state from other states, as a hashable value."""
        protocols = tuple(
            (
                protocol.digest,
                protocol.context.local_health.score,
                protocol.detector.probe is not None and protocol.detector.probe.target,
                round(protocol.next_tick_at() - self.now, TIME_DIGITS),
            )
            for protocol in self.protocols.values()
        )
        return protocols, tuple(self.in_flight), self.restarts

    # -- events -----------------------------------------------------------------------------------

    def events(self, max_restarts: int, step_seconds: float) -> Iterator[tuple[str, Event]]:
        """Yield each event that may come next: its name and the function that applies it."""
        yield "time", methodcaller("advance_time", step_seconds)
        for index in range(min(len(self.in_flight), MAX_REORDERED)):
            yield f"deliver {index}", methodcaller("deliver", index)
            yield f"lose {index}", methodcaller("lose", index)
            yield f"duplicate {index}", methodcaller("deliver_duplicate", index)
        if self.restarts < max_restarts:
            for address in self.protocols:
                yield f"restart {address}", methodcaller("restart", address)

    def advance_time(self, step_seconds: float) -> None:
        """Advance time by one step, and let each member do what is due."""
        self.now += step_seconds
        for protocol in self.protocols.values():
            if protocol.next_tick_at() <= self.now:
                # Otherwise the protocol takes the search's time step for a stall of its process.
                protocol.ticked_at = self.now
                self.send(protocol.tick(self.now))
            self.check_no_return_of_ended_records(protocol)

    def deliver(self, index: int) -> None:
        """Deliver a datagram in flight."""
        address, data = self.in_flight.pop(index)
        self.receive(address, data)

    def deliver_duplicate(self, index: int) -> None:
        """Deliver a copy of a datagram, which stays in flight."""
        address, data = self.in_flight[index]
        self.receive(address, data)

    def lose(self, index: int) -> None:
        """Drop a datagram in flight."""
        del self.in_flight[index]

    def restart(self, address: str) -> None:
        """Restart a member with the next generation, and forget what it observed."""
        record = self.protocols[address].members.local
        self.restarts += 1
        self.ended_versions.forget_observer(record.name)
        self.start(address, record.name, record.generation + 1)

    # -- messages ---------------------------------------------------------------------------------

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        """Put datagrams in flight; InvariantError if one is too long."""
        for outgoing in datagrams:
            data = encode(outgoing.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise InvariantError(f"{self.now:.3f} s: datagram too long: {len(data)} bytes")
            self.in_flight.append((outgoing.address, data))
        self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def receive(self, address: str, data: bytes) -> None:
        """Hand a datagram to the member at this address, if there is one."""
        protocol = self.protocols.get(address)
        if protocol is not None:
            self.send(protocol.handle(self.now, decode(data, CLUSTER_NAME)))
            self.check_no_return_of_ended_records(protocol)

    # -- invariants -------------------------------------------------------------------------------

    def check_no_return_of_ended_records(self, protocol: MembershipProtocol) -> None:
        """Check every record that a member holds; see `EndedVersions`."""
        observer = protocol.members.local_name
        for member in protocol.members.by_name.values():
            self.ended_versions.observe(self.now, observer, member.record)

    def converges(self) -> bool:
        """Return whether all agree within `CONVERGENCE_ROUNDS` if no datagram is lost or late."""
        for _ in range(CONVERGENCE_ROUNDS):
            self.advance_time(CONVERGENCE_STEP_SECONDS)
            while self.in_flight:
                self.deliver(0)
            if self.has_converged():
                return True
        return False

    def has_converged(self) -> bool:
        """Return whether all members hold the same list, in which all are present."""
        protocols = self.protocols.values()
        if len({protocol.digest for protocol in protocols}) != 1:
            return False
        return all(len(protocol.members.present) == MEMBERS for protocol in protocols)
