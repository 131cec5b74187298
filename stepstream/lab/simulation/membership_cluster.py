"""Simulate a membership cluster: every member runs the program's own `MembershipProtocol`.

`cluster` has the states of a process and the links. After a stall, a member first ticks and
then handles the packets in its socket queue, so that it can notice the stall by the late tick.
After every step of a member, `membership_invariants` checks what must hold.
"""

import random
from functools import partial

from stepstream.lab.emulator.links import Links
from stepstream.lab.simulation.cluster import Packet, SimulatedCluster
from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.membership_invariants import DeclaredDeath, MembershipInvariants
from stepstream.lab.simulation.membership_process import MembershipProcess
from stepstream.membership.member_count import MemberCount, observe
from stepstream.membership.messages import (
    MAX_CONFIRMED_DEATHS,
    MAX_DATAGRAM_BYTES,
    MemberRecord,
    MemberState,
    MemberStatus,
    Phase,
    decode,
    encode,
)
from stepstream.membership.outbox import OutgoingDatagram
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

CLUSTER_NAME = "lab"
SEED_MEMBERS = 3
FIRST_START_SECONDS = 1_000_000
"""Time of day at the start of a run, from which the members' generations follow."""

COUNT_INTERVAL_SECONDS = 0.5
"""Time between two counts of the members, as in the program."""

MILLISECONDS = 1000


class MembershipCluster(SimulatedCluster[MembershipProcess]):
    """Simulate members `n0`, `n1`, ... and the links between them.

    Attributes:
        settings: the protocol settings of every member.
        seeds: addresses of the members that a new one contacts first.
        process_by_address: the process that listens at each address.
        invariants: the checks of every step, and the deaths that members declared.

    """

    def __init__(
        self, seed: int, members: int, settings: ProtocolSettings, links: Links | None = None
    ) -> None:
        processes = [
            MembershipProcess(f"n{number}", address=f"127.1.{number >> 8}.{number & 255}:7946")
            for number in range(members)
        ]
        super().__init__(seed, processes, links)
        self.settings = settings
        self.seeds = tuple(process.address for process in processes[:SEED_MEMBERS])
        self.process_by_address = {process.address: process for process in processes}
        self.invariants = MembershipInvariants(self)

    # -- processes --------------------------------------------------------------------------------

    def add_process(self, key: str, process: MembershipProcess) -> None:
        """Add a process that does not run; packets to its address go to it from now on.

        `key` is its key in `processes`: its name, unless another process already has that name.
        """
        self.processes[key] = process
        self.process_by_address[process.address] = process

    def start(
        self, name: str, seeds: tuple[str, ...] | None = None, generation: int | None = None
    ) -> None:
        """Start a member's process; the default generation is its time of day in ms."""
        process = self.processes[name]
        if generation is None:
            generation = self.generation_now(process)
        record = MemberRecord(name, process.address, generation, 0, MemberState.ALIVE)
        rng = random.Random(self.rng.random())
        if seeds is None:
            seeds = self.seeds
        process.protocol = MembershipProtocol(
            record,
            CLUSTER_NAME,
            seeds,
            self.settings,
            rng,
            self.now,
            newest_generation=lambda: self.generation_now(process),
        )
        process.started_at = self.now
        process.stalled_until = 0.0
        process.socket_queue = []
        self.invariants.on_start(process)
        self.schedule_tick(process)

    def generation_now(self, process: MembershipProcess) -> int:
        """Return the generation of a start now, by the process's own time of day."""
        time_of_day = FIRST_START_SECONDS + self.now + process.clock_offset_seconds
        return int(time_of_day * MILLISECONDS)

    def announce_leave(self, process: MembershipProcess) -> None:
        """Let a member announce that it leaves."""
        self.send(process, process.running_protocol.leave(self.now))

    def process_at(self, address: str) -> MembershipProcess | None:
        """Return the process that listens at an address."""
        return self.process_by_address.get(address)

    def running(self) -> list[MembershipProcess]:
        """Return the members whose processes run, stalled ones included."""
        return [process for process in self.processes.values() if process.is_running]

    # -- the protocol's steps ---------------------------------------------------------------------

    def next_tick_at(self, process: MembershipProcess) -> float:
        """Return when a member wants its next tick; infinity if never."""
        return process.running_protocol.next_tick_at()

    def tick_protocol(self, process: MembershipProcess) -> None:
        """Let a member do what is due now, and send the datagrams that result."""
        self.send(process, process.running_protocol.tick(self.now))

    def handle_packet(self, process: MembershipProcess, packet: Packet) -> None:
        """Hand a datagram to a member."""
        protocol = process.running_protocol
        tick_at_before = protocol.next_tick_at()
        self.send(process, protocol.handle(self.now, decode(packet.data, CLUSTER_NAME)))
        self.check_invariants(process)
        if protocol.next_tick_at() < tick_at_before:
            self.schedule_tick(process)

    def catch_up_after_stall(self, process: MembershipProcess) -> None:
        """Tick a member, then hand it the packets of its socket queue."""
        self.tick(process)
        queued = process.socket_queue
        process.socket_queue = []
        self.invariants.on_stall_ended(process)
        for packet in queued:
            self.deliver(packet)

    def send(self, process: MembershipProcess, datagrams: list[OutgoingDatagram]) -> None:
        """Put a member's datagrams on the links; InvariantError if one is too long."""
        for outgoing in datagrams:
            data = encode(outgoing.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise InvariantError(
                    f"{self.now:.3f} s: datagram too long: {len(data)} bytes from {process.name}"
                )
            self.transmit(process, outgoing.address, data)

    def check_invariants(self, process: MembershipProcess) -> None:
        """Check what must hold after a step of this member; InvariantError if it does not."""
        self.invariants.check(process)

    @property
    def declared_deaths(self) -> list[DeclaredDeath]:
        """All deaths that members declared, oldest first."""
        return self.invariants.declared_deaths

    # -- counts of members ------------------------------------------------------------------------

    def start_counting(self, hold_seconds: float) -> None:
        """Let each member count the members and confirm deaths from now on.

        In the program, `membership.subsystem` does this. `hold_seconds` is passed to `MemberCount`.
        """
        for process in self.processes.values():
            delay_seconds = self.rng.uniform(0, COUNT_INTERVAL_SECONDS)
            self.call_later(delay_seconds, partial(self._count, process, hold_seconds))

    def _count(self, process: MembershipProcess, hold_seconds: float) -> None:
        """Count the members as one member sees them, and schedule its next count."""
        self.call_later(COUNT_INTERVAL_SECONDS, partial(self._count, process, hold_seconds))
        protocol = process.protocol
        if protocol is None:
            process.member_count = None
            return
        if self.is_stalled(process):
            return
        if process.member_count is None:
            process.member_count = MemberCount(process.name, hold_seconds)
        observed = observe(protocol.members, self.now)
        protocol.context.now = self.now
        deaths = tuple(process.member_count.confirmed_deaths(observed)[:MAX_CONFIRMED_DEATHS])
        status = MemberStatus(process.name, 0, 0, Phase.SERVING, 0, "", 0, 0, "", deaths)
        protocol.statuses.publish(status)
        confirmations = {
            name: frozenset(status.confirmed_deaths)
            for name, status in protocol.statuses.by_owner.items()
        }
        process.member_count.update(observed, confirmations)

    def counted_members(self, name: str) -> int:
        """Return how many members this member counts; 0 if it does not count."""
        member_count = self.processes[name].member_count
        return len(member_count.counted_names) if member_count is not None else 0

    # -- queries ----------------------------------------------------------------------------------

    def has_recovered(self) -> bool:
        """Return whether all running members agree."""
        return self.has_converged()

    def has_converged(self) -> bool:
        """Return whether all running members hold one list, in which exactly they are alive."""
        running = self.running()
        protocols = [process.running_protocol for process in running]
        if len({protocol.digest for protocol in protocols}) != 1:
            return False
        alive = {
            name
            for name, member in protocols[0].members.by_name.items()
            if member.record.state is MemberState.ALIVE
        }
        return alive == {process.name for process in running}

    def is_known_as(self, name: str, states: tuple[MemberState, ...]) -> bool:
        """Return whether all other running members hold this member in one of these states."""
        for process in self.running():
            if process.name == name:
                continue
            member = process.running_protocol.members.by_name.get(name)
            if member is None or member.record.state not in states:
                return False
        return True
