"""Simulate members that contend for leases: every member runs the program's own `Participant`.

`cluster` has the states of a process and the links. Each process has a monotonic clock with its own
rate, and a time of day. After a stall, the operating system may run the tick, the tasks and the
received envelopes of a process in any order; here the order is random. After every step of a
process, `lease_invariants` checks what must hold.
"""

import random
from functools import partial
from typing import ClassVar

from stepstream.lab.emulator.links import Links
from stepstream.lab.simulation.cluster import Packet, SimulatedCluster
from stepstream.lab.simulation.guarded_resource import GuardedResource
from stepstream.lab.simulation.lease_invariants import LeaseInvariants, ObservedGrant
from stepstream.lab.simulation.lease_process import LeaseProcess
from stepstream.lab.simulation.lease_tasks import Task, TaskRun
from stepstream.lab.simulation.timeline import Step
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.envelopes import OutgoingEnvelope
from stepstream.leases.messages import decode, encode
from stepstream.leases.participant import Participant

FIRST_START_SECONDS = 1_000
"""Time of day at the start of a run, from which the first ballots follow."""

MAX_TASK_START_SECONDS = 0.5
"""Longest time from the start of a process to the start of a task."""

CLOCK_ERRORS = (-1, -1, 0, 1, 1)
"""Errors of a clock's rate, in units of the largest drift; each process has a random one."""

MILLISECONDS = 1000


class LeaseCluster(SimulatedCluster[LeaseProcess]):
    """Simulate members that want leases; the acceptors are those of the configuration.

    Each clock has a random rate, within the configuration's bound on clock drift.

    Attributes:
        configuration: of the leases; changes apply to processes that start afterwards.
        tasks: by member, the tasks that its process runs from each start on.
        resources: the guarded resources, by lease.
        messages_sent: number of messages in the envelopes that were sent.
        fenced_operations: number of operations that a guard rejected.
        invariants: the checks of every step, and the grants that were observed.

    """

    # Longer than the rounding error of a process's clock, which could make a tick too early.
    tick_margin_seconds: ClassVar[float] = 1e-6

    def __init__(
        self,
        seed: int,
        names: list[str],
        configuration: LeaseConfiguration,
        links: Links | None = None,
    ) -> None:
        super().__init__(seed, [LeaseProcess(name) for name in names], links)
        self.configuration = configuration
        for process in self.processes.values():
            clock_error = self.rng.choice(CLOCK_ERRORS) * configuration.max_clock_drift
            process.clock_rate = 1.0 + clock_error
        self.tasks: dict[str, list[Task]] = {name: [] for name in names}
        self.resources: dict[str, GuardedResource] = {}
        self.messages_sent = 0
        self.fenced_operations = 0
        self.invariants = LeaseInvariants(self.processes.values())

    # -- processes --------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a member's process and its tasks; its first ballot follows its time of day."""
        process = self.processes[name]
        process.starts += 1
        process.clock_origin = self.now
        process.stalled_until = 0.0
        process.socket_queue = []
        process.stalled_steps = []
        time_of_day = FIRST_START_SECONDS + self.now + process.clock_offset_seconds
        first_ballot = max(int(time_of_day * MILLISECONDS), 0)
        rng = random.Random(self.rng.random())
        process.participant = Participant(
            name, f"{name}@{process.starts}", self.configuration, first_ballot, rng, 0.0
        )
        self.schedule_tick(process)
        for task in self.tasks[name]:
            delay_seconds = self.rng.uniform(0.0, MAX_TASK_START_SECONDS)
            run = TaskRun(self, process, task)
            self.call_in_process(process, delay_seconds, run.acquire)

    def announce_leave(self, process: LeaseProcess) -> None:
        """Let a process release all leases; its operations have ended."""
        participant = process.running_participant
        for proposer in list(participant.proposers.values()):
            now = process.to_local_time(self.now)
            self.send(process, participant.release(now, proposer))

    def process_at(self, address: str) -> LeaseProcess | None:
        """Return the process of a member, whose address is its name."""
        return self.processes.get(address)

    # -- the protocol's steps ---------------------------------------------------------------------

    def next_tick_at(self, process: LeaseProcess) -> float:
        """Return when a process wants its next tick; infinity if never."""
        return process.to_timeline(process.running_participant.next_tick_at())

    def tick_protocol(self, process: LeaseProcess) -> None:
        """Let a process do what is due now, and send the envelopes that result."""
        now = process.to_local_time(self.now)
        self.send(process, process.running_participant.tick(now))

    def handle_packet(self, process: LeaseProcess, packet: Packet) -> None:
        """Hand an envelope to a process."""
        now = process.to_local_time(self.now)
        envelope = decode(packet.data)
        self.send(process, process.running_participant.handle(now, packet.sender, envelope))
        self.check_invariants(process)
        self.schedule_tick(process)

    def catch_up_after_stall(self, process: LeaseProcess) -> None:
        """Run the tick, the envelopes and the tasks that waited, in a random order."""
        steps: list[Step] = [partial(self.tick, process)]
        steps += [partial(self.deliver, packet) for packet in process.socket_queue]
        steps += process.stalled_steps
        process.socket_queue = []
        process.stalled_steps = []
        self.rng.shuffle(steps)
        for step in steps:
            if process.is_running:
                step()
        if process.is_running:
            self.schedule_tick(process)

    def send(self, process: LeaseProcess, envelopes: list[OutgoingEnvelope]) -> None:
        """Put a process's envelopes on the links."""
        for outgoing in envelopes:
            self.messages_sent += len(outgoing.envelope.messages)
            self.transmit(process, outgoing.member, encode(outgoing.envelope))

    # -- tasks ------------------------------------------------------------------------------------

    def start_task(self, name: str, task: Task) -> None:
        """Let a running member begin a further task at once."""
        TaskRun(self, self.processes[name], task).acquire()

    def call_in_process(self, process: LeaseProcess, delay_seconds: float, step: Step) -> None:
        """Run a step of a task later, unless the process ends or is restarted before.

        A step that comes due during a stall waits for the end of the stall.
        """
        start_number = process.starts

        def run_step() -> None:
            if not process.is_running or process.starts != start_number:
                return
            if self.is_stalled(process):
                process.stalled_steps.append(run_step)
                return
            step()
            self.check_invariants(process)
            self.schedule_tick(process)

        self.call_later(delay_seconds, run_step)

    # -- invariants -------------------------------------------------------------------------------

    def check_invariants(self, _process: LeaseProcess) -> None:
        """Check all leases; TwoHoldersError if one has two holders."""
        self.invariants.check(self.now)

    def after_fault_step(self) -> None:
        """Check all leases: a fault may end or start a holder."""
        self.invariants.check(self.now)

    @property
    def grants(self) -> list[ObservedGrant]:
        """All grants that were observed, oldest first."""
        return self.invariants.grants

    def holders(self, lease: str) -> list[str]:
        """Return the proposers that hold the lease now by their own clocks."""
        return [holder.proposer_id for holder in self.invariants.holders(self.now, lease)]

    def has_recovered(self) -> bool:
        """Return whether every lease that a task wants is held."""
        contended = {task.lease for tasks in self.tasks.values() for task in tasks}
        return all(self.holders(lease) for lease in contended)
