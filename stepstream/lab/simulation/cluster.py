"""Simulate the processes of a cluster and the links between them, for any protocol.

`SimulatedCluster` is the common base of the clusters of membership and of leases. A cluster owns
the only random generator of its run, so a seed replays a whole run as long as the code draws the
random numbers in the same order.

A process is in one of three states:

- stopped: it has no protocol, and packets to it are lost.
- running: it receives packets and ticks when its protocol requests it.
- stalled: as after SIGSTOP. Packets wait in its socket's queue until the queue is full, and its
  tick waits. When the process resumes, it handles both.

`start` leads to running; `kill` and `leave` to stopped; `stall` and `resume` from running to
stalled and back. A process may be killed while it is stalled.

A cluster owns all state of its run. Only the thread that runs its timeline may touch it.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import ClassVar, Generic, TypeVar

from stepstream.lab.emulator.links import LinkPair, Links
from stepstream.lab.faults.injector import FaultInjector
from stepstream.lab.faults.schedule import Schedule
from stepstream.lab.simulation.errors import NotRecoveredError
from stepstream.lab.simulation.timeline import Timeline

STALL_FOREVER_SECONDS = 1e9
MAX_TICK_AT_SECONDS = 1e12
"""Replaces infinity, which a protocol returns as the time of a tick that is never due."""

SOCKET_QUEUE_PACKETS = 256
"""Capacity of the socket queue of a stalled process; further packets are lost."""


@dataclass(frozen=True, slots=True)
class Packet:
    """An encoded message on a link; `address` is the receiver's."""

    sender: str
    address: str
    data: bytes


@dataclass(eq=False)
class SimulatedProcess(ABC):
    """The simulated process of one member; times are in seconds of the timeline."""

    name: str
    stalled_until: float = 0.0
    tick_number: int = 0  # of the newest scheduled tick; earlier ones do nothing
    socket_queue: list[Packet] = field(default_factory=list)  # received while stalled

    @property
    @abstractmethod
    def is_running(self) -> bool:
        """Whether the process exists; true for a stalled process as well."""

    @abstractmethod
    def discard_state(self) -> None:
        """Drop all state that a process loses when it ends."""


ProcessT = TypeVar("ProcessT", bound=SimulatedProcess)


class SimulatedCluster(Timeline, ABC, Generic[ProcessT]):
    """Simulate a cluster; a subclass adds the protocol. It implements `FaultTarget`.

    Attributes:
        rng: the source of every random number of the run.
        links: the properties of all links; they may change while the cluster runs.
        processes: all processes by member name, running or not.
        packets_sent: number of packets that processes sent, lost ones included.
        bytes_sent: the sum of the lengths of these packets.

    """

    tick_margin_seconds: ClassVar[float] = 0.0
    """Added to the time of each tick, so that rounding of clocks does not make the tick early."""

    def __init__(
        self, seed: int, processes: Iterable[ProcessT], links: Links | None = None
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.links = links or Links()
        self.processes = {process.name: process for process in processes}
        self.packets_sent = 0
        self.bytes_sent = 0

    # -- implemented by the protocol's cluster ----------------------------------------------------

    @abstractmethod
    def start(self, name: str) -> None:
        """Start a member's process."""

    @abstractmethod
    def announce_leave(self, process: ProcessT) -> None:
        """Send what a process sends before it stops gracefully."""

    @abstractmethod
    def next_tick_at(self, process: ProcessT) -> float:
        """Return when a running process wants its next tick; infinity if never."""

    @abstractmethod
    def tick_protocol(self, process: ProcessT) -> None:
        """Let a process do what is due now, and send the packets that result."""

    @abstractmethod
    def handle_packet(self, process: ProcessT, packet: Packet) -> None:
        """Hand a packet to a process that runs and is not stalled.

        Implementations check the invariants and schedule the next tick afterwards.
        """

    @abstractmethod
    def catch_up_after_stall(self, process: ProcessT) -> None:
        """Let a process that has just resumed do what waited during its stall."""

    @abstractmethod
    def process_at(self, address: str) -> ProcessT | None:
        """Return the process that listens at an address."""

    @abstractmethod
    def check_invariants(self, process: ProcessT) -> None:
        """Check what must hold after a step of this process; InvariantError if it does not."""

    @abstractmethod
    def has_recovered(self) -> bool:
        """Return whether the cluster has reached the state that must follow the last fault."""

    def after_fault_step(self) -> None:
        """Do what a protocol needs right after a fault begins or ends; nothing by default."""

    # -- FaultTarget of faults.injector -----------------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all members, running or not."""
        return tuple(self.processes)

    def is_running(self, name: str) -> bool:
        """Return whether a member's process exists; true for a stalled process as well."""
        return self.processes[name].is_running

    def start_all(self) -> None:
        """Start every member, in the order of `names`."""
        for name in self.processes:
            self.start(name)

    def kill(self, name: str) -> None:
        """End a member's process as SIGKILL does, without notice to the others."""
        process = self.processes[name]
        process.discard_state()
        process.tick_number += 1

    def leave(self, name: str) -> None:
        """End a member's process as SIGTERM does, after it has announced that it leaves."""
        self.announce_leave(self.processes[name])
        self.kill(name)

    def stall(self, name: str, seconds: float = STALL_FOREVER_SECONDS) -> None:
        """Suspend a process as SIGSTOP does, for `seconds` or by default until `resume`."""
        process = self.processes[name]
        process.stalled_until = self.now + seconds
        if seconds < STALL_FOREVER_SECONDS:
            self.call_later(seconds, partial(self._end_stall, process))

    def resume(self, name: str) -> None:
        """Resume a member's process, as SIGCONT does, if it is stalled."""
        process = self.processes[name]
        if self.is_stalled(process):
            process.stalled_until = self.now
            self._end_stall(process)

    def set_link_faults(self, cut_pairs: set[LinkPair], loss_probability: float) -> None:
        """Replace the cut links and the probability that a packet is lost."""
        self.links.cut_pairs = cut_pairs
        self.links.loss_probability = loss_probability

    def play(self, schedule: Schedule, max_recovery_seconds: float) -> float:
        """Play a fault schedule from now on, then end all faults.

        Return the seconds from the end of all faults until the cluster has recovered.

        Raises:
            NotRecoveredError: the cluster has not recovered after `max_recovery_seconds`.
            InvariantError: an invariant did not hold meanwhile.

        """
        started_at = self.now
        injector = FaultInjector(self, schedule)
        for step in injector.steps:
            self.run(max(started_at + step.at_seconds - self.now, 0.0))
            injector.apply(step.transition, step.fault)
            self.after_fault_step()
        injector.end_all()
        faults_ended_at = self.now
        if not self.run(max_recovery_seconds, self.has_recovered):
            raise NotRecoveredError(
                f"{self.now:.3f} s: not recovered {max_recovery_seconds} s after the last fault"
            )
        return self.now - faults_ended_at

    # -- ticks and stalls -------------------------------------------------------------------------

    def is_stalled(self, process: ProcessT) -> bool:
        """Return whether a process is stalled now."""
        return self.now < process.stalled_until

    def schedule_tick(self, process: ProcessT) -> None:
        """Schedule a process's next tick, which replaces the tick that was scheduled before."""
        process.tick_number += 1
        requested_at = max(self.next_tick_at(process), self.now, process.stalled_until)
        due_at = min(requested_at, MAX_TICK_AT_SECONDS) + self.tick_margin_seconds
        self.call_at(due_at, partial(self._tick_if_current, process, process.tick_number))

    def _tick_if_current(self, process: ProcessT, tick_number: int) -> None:
        """Tick a process unless this tick was replaced or the process has ended or is stalled."""
        is_current = process.tick_number == tick_number
        if process.is_running and is_current and not self.is_stalled(process):
            self.tick(process)

    def tick(self, process: ProcessT) -> None:
        """Let a process do what is due, check the invariants, and schedule its next tick."""
        self.tick_protocol(process)
        self.check_invariants(process)
        self.schedule_tick(process)

    def _end_stall(self, process: ProcessT) -> None:
        """Resume a process, unless it has ended meanwhile or a later stall still lasts."""
        if process.is_running and not self.is_stalled(process):
            self.catch_up_after_stall(process)

    # -- links ------------------------------------------------------------------------------------

    def transmit(self, sender: ProcessT, address: str, data: bytes) -> None:
        """Send a packet over the link to an address; the packet arrives never, once or twice."""
        self.packets_sent += 1
        self.bytes_sent += len(data)
        receiver = self.process_at(address)
        if receiver is None or (sender.name, receiver.name) in self.links.cut_pairs:
            return
        packet = Packet(sender.name, address, data)
        for delay_seconds in self.links.sample_delays(self.rng):
            self.call_later(delay_seconds, partial(self.deliver, packet))

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet to the process at its address; queue it while the process is stalled."""
        process = self.process_at(packet.address)
        if process is None or not process.is_running:
            return
        if not self.is_stalled(process):
            self.handle_packet(process, packet)
        elif len(process.socket_queue) < SOCKET_QUEUE_PACKETS:
            process.socket_queue.append(packet)
