"""Simulate leases without sockets or threads: members, their clocks and links, a guarded resource.

Every member runs the program's own `Participant`. One seed replays a whole run. After every step
no two processes may hold one lease, each by its own clock, also one that is stalled; operations
that the resource admitted never overlap, and its tokens never fall.

A `LeaseCluster` owns all state of its run. Only the thread that runs its timeline may touch it.
"""

import heapq
import random
from collections.abc import Callable, Iterator
from functools import partial
from math import inf

from stepstream.lab.emulator.links import Links
from stepstream.lab.faults.schedule import FaultInjector, Schedule
from stepstream.lab.simulation.lease_process import Process
from stepstream.lab.simulation.lease_workload import (
    CLOCK_TOLERANCE_SECONDS,
    Act,
    Grant,
    Resource,
    Task,
    TwoHoldersError,
)
from stepstream.lab.simulation.timeline import Timeline
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.envelopes import OutgoingEnvelope
from stepstream.leases.fencing import FencedError
from stepstream.leases.messages import decode, encode
from stepstream.leases.participant import Participant
from stepstream.leases.proposer import Proposer

STALL_FOREVER_SECONDS = 1e9
MAX_TICK_AT_SECONDS = 1e12  # bounds a tick that is never due, which the core gives as infinity
TICK_MARGIN_SECONDS = 1e-6  # past a tick's time, so that rounding never makes it too early
SOCKET_QUEUE_ENVELOPES = 256  # what the socket of a stalled process holds; the rest is lost
FIRST_START_SECONDS = 1_000  # time of day at the start of a run
MAX_TASK_START_SECONDS = 0.5
OPERATION_PAUSE_SECONDS = 0.01  # between two operations of one task
HOLDER_POLL_SECONDS = (0.02, 0.1)  # between two looks of a task that may not operate
START_SECONDS = 3.0  # how long `drawn` runs a new cluster
SHAPES = ((3, 5), (5, 7), (3, 10), (5, 10))  # acceptors, members


class LeaseCluster(Timeline):
    """Simulate members that want leases; the acceptors are those of the configuration.

    The rate of each clock is drawn within the configuration's bound on clock drift.
    """

    def __init__(
        self, seed: int, names: list[str], rules: LeaseConfiguration, links: Links | None = None
    ) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        self.rules = rules
        self.links = links or Links()
        self.processes = {name: Process(name) for name in names}
        for process in self.processes.values():
            process.rate = 1.0 + self.draw.choice((-1, -1, 0, 1, 1)) * rules.max_clock_drift
        self.resources: dict[str, Resource] = {}  # by lease
        self.grants: list[Grant] = []
        self.last_holder: dict[str, str] = {}  # by lease, the proposer last seen to hold it
        self.tasks: dict[str, list[Task]] = {name: [] for name in names}
        self.sent = 0  # envelopes
        self.bodies = 0  # messages in them
        self.fenced = 0  # operations that the guard rejected

    # -- faults.schedule.FaultTarget ---------------------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all members, running or not."""
        return tuple(self.processes)

    def up(self, name: str) -> bool:
        """Return whether a member's process runs."""
        return self.processes[name].core is not None

    def start(self, name: str) -> None:
        """Start a member's process and its tasks; its first ballot follows its time of day."""
        process = self.processes[name]
        process.starts += 1
        process.origin = self.now
        process.stalled_until = 0.0
        process.socket_queue = []
        process.stalled_steps = []
        first_ballot = max(int((FIRST_START_SECONDS + self.now + process.ahead) * 1000), 0)
        rng = random.Random(self.draw.random())
        process.core = Participant(
            name, f"{name}@{process.starts}", self.rules, first_ballot, rng, 0.0
        )
        self.schedule(process)
        for task in self.tasks[name]:
            pause = self.draw.uniform(0.0, MAX_TASK_START_SECONDS)
            self.call_task(process, pause, partial(self.work, process, task))

    def start_all(self) -> None:
        """Start every member, in the order of their names as given."""
        for name in self.processes:
            self.start(name)

    def kill(self, name: str) -> None:
        """End a member's process as SIGKILL does."""
        process = self.processes[name]
        process.core = None
        process.tick_number += 1

    def leave(self, name: str) -> None:
        """End a member's process as SIGTERM does: it releases all leases, its operations ended."""
        process = self.processes[name]
        core = process.running_core
        for proposer in list(core.proposers.values()):
            self.send(process, core.release(process.local(self.now), proposer))
        self.kill(name)

    def stall(self, name: str, seconds: float = STALL_FOREVER_SECONDS) -> None:
        """Stop a process as SIGSTOP does, and continue it after that time unless it is forever."""
        process = self.processes[name]
        process.stalled_until = self.now + seconds
        if seconds < STALL_FOREVER_SECONDS:
            self.call(seconds, partial(self.wake, process))

    def go_on(self, name: str) -> None:
        """Continue a member's process, as SIGCONT does, if it is stalled."""
        process = self.processes[name]
        if process.stalled_until > self.now:
            process.stalled_until = self.now
            self.wake(process)

    def wake(self, process: Process) -> None:
        """Continue a stalled process: its timers, tasks and received envelopes in a drawn order."""
        if process.core is None or self.now < process.stalled_until:
            return
        # The operating system may run them in any order.
        steps: list[Callable[[], None]] = [partial(self.tick, process)]
        steps += [
            partial(self.receive, sender, data, process.name)
            for sender, data in process.socket_queue
        ]
        steps += process.stalled_steps
        process.socket_queue = []
        process.stalled_steps = []
        self.draw.shuffle(steps)
        for step in steps:
            if self.up(process.name):
                step()
        if self.up(process.name):
            self.schedule(process)

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        """Set which ordered pairs are cut, and the probability of loss, from now on."""
        self.links.cuts = pairs
        self.links.loss = loss

    def play(self, schedule: Schedule, within: float) -> float:
        """Play a fault schedule from now on, then end all faults.

        Return the seconds from there until every wanted lease is held; TwoHoldersError if that
        takes longer than `within` seconds or if an invariant broke.
        """
        started = self.now
        play = FaultInjector(self, schedule)
        for at, _, what, fault in play.steps:
            self.run(max(started + at - self.now, 0.0))
            play.do(what, fault)
            self.check()
        play.end()
        faults_ended = self.now
        wanted = {task.lease for tasks in self.tasks.values() for task in tasks}
        if not self.run(within, lambda: all(self.holders(lease) for lease in wanted)):
            raise TwoHoldersError(
                f"not all of {sorted(wanted)} are held {within} s after the last fault"
            )
        return self.now - faults_ended

    # -- time and links ---------------------------------------------------------------------------

    def schedule(self, process: Process) -> None:
        """Schedule a process's next tick; it replaces the one that was scheduled before."""
        process.tick_number += 1
        due_at = max(
            process.real(process.running_core.next_tick_at()), self.now, process.stalled_until
        )
        at = min(due_at, MAX_TICK_AT_SECONDS) + TICK_MARGIN_SECONDS
        step: Callable[[], None] = partial(self.tick_if, process, process.tick_number)
        heapq.heappush(self.queue, (at, next(self.serial), step))

    def tick_if(self, process: Process, number: int) -> None:
        """Tick a process unless this tick was replaced, or the process ended or stalls."""
        is_current = process.tick_number == number
        if process.core is not None and is_current and self.now >= process.stalled_until:
            self.tick(process)

    def tick(self, process: Process) -> None:
        """Let a process do what is due, check the leases, and schedule its next tick."""
        self.send(process, process.running_core.tick(process.local(self.now)))
        self.check()
        self.schedule(process)

    def send(self, process: Process, envelopes: list[OutgoingEnvelope]) -> None:
        """Put a process's envelopes on the links."""
        for outgoing in envelopes:
            data = encode(outgoing.envelope)
            receiver = outgoing.member
            self.sent += 1
            self.bodies += len(outgoing.envelope.messages)
            if (process.name, receiver) in self.links.cuts or receiver not in self.processes:
                continue
            for delay in self.links.fate(self.draw):
                self.call(delay, partial(self.receive, process.name, data, receiver))

    def receive(self, sender: str, data: bytes, name: str) -> None:
        """Hand an envelope to a member; queue it while that stalls."""
        process = self.processes[name]
        if process.core is None:
            return
        if self.now < process.stalled_until:
            if len(process.socket_queue) < SOCKET_QUEUE_ENVELOPES:
                process.socket_queue.append((sender, data))
            return
        envelope = decode(data)
        self.send(process, process.core.handle(process.local(self.now), sender, envelope))
        self.check()
        self.schedule(process)

    # -- tasks ------------------------------------------------------------------------------------

    def call_task(self, process: Process, after: float, step: Callable[[], None]) -> None:
        """Run a step of a task after that many seconds, if the process was not restarted.

        A step that comes due during a stall waits for its end.
        """
        start = process.starts

        def run_step() -> None:
            if process.core is None or process.starts != start:
                return
            if self.now < process.stalled_until:
                process.stalled_steps.append(run_step)
            else:
                step()
                self.check()
                self.schedule(process)

        self.call(after, run_step)

    def work(self, process: Process, task: Task) -> None:
        """Let a task begin to acquire its lease."""
        now = process.local(self.now)
        proposer, envelopes = process.running_core.acquire(now, task.lease, task.ttl, task.act)
        self.send(process, envelopes)
        self.continue_task(process, proposer, task, inf)

    def continue_task(self, process: Process, proposer: Proposer, task: Task, since: float) -> None:
        """Let a task look at its lease and operate if it may, the check right before the operation.

        `since`: local time of its first operation under this lease, infinity before that.
        """
        now = process.local(self.now)
        if proposer.is_over:
            pause = self.draw.uniform(0.5, 1.5) * task.think
            self.call_task(process, pause, partial(self.work, process, task))
        elif now - since > task.hold:
            self.release(process, proposer, task)
        elif proposer.may_begin_operation(now):
            # Anything may happen to the process between the check and the write.
            length = self.draw.uniform(0.2, 1.0) * task.act / (1 + self.rules.max_clock_drift)
            begin = partial(
                self.begin_operation, process, proposer, task, min(since, now), length * 0.7
            )
            self.call_task(process, length * 0.3, begin)
        else:
            pause = self.draw.uniform(*HOLDER_POLL_SECONDS)
            look_again = partial(self.continue_task, process, proposer, task, since)
            self.call_task(process, pause, look_again)

    def begin_operation(
        self, process: Process, proposer: Proposer, task: Task, since: float, seconds: float
    ) -> None:
        """Begin an operation on the resource that takes so many seconds."""
        resource = self.resources.setdefault(proposer.lease, Resource())
        try:
            act = resource.begin(self.now, proposer.token, proposer.proposer_id)
        except FencedError as error:
            self.on_fenced(process, proposer, task, error)
            return
        end = partial(self.end_operation, process, proposer, task, since, act)
        self.call_task(process, seconds, end)

    def end_operation(
        self, process: Process, proposer: Proposer, task: Task, since: float, act: Act
    ) -> None:
        """End an operation on the resource."""
        try:
            self.resources[proposer.lease].end(self.now, act)
        except FencedError as error:
            self.on_fenced(process, proposer, task, error)
            return
        next_step = partial(self.continue_task, process, proposer, task, since)
        self.call_task(process, OPERATION_PAUSE_SECONDS, next_step)

    def on_fenced(
        self, process: Process, proposer: Proposer, task: Task, error: FencedError
    ) -> None:
        """Give up a lease whose token is behind one that the resource has seen."""
        self.fenced += 1
        if error.highest_token == error.token:
            raise TwoHoldersError(
                f"{self.now:.3f} s: {proposer.proposer_id} was refused by its own token"
            )
        process.running_core.advance_ballots_past(error.highest_token)
        self.release(process, proposer, task)

    def release(self, process: Process, proposer: Proposer, task: Task) -> None:
        """Let a task release its lease."""
        now = process.local(self.now)
        self.send(process, process.running_core.release(now, proposer))
        self.continue_task(process, proposer, task, inf)

    # -- invariants -------------------------------------------------------------------------------

    def proposers(self) -> Iterator[tuple[Process, Proposer]]:
        """Yield the proposers of all running processes."""
        for process in self.processes.values():
            if process.core is not None:
                for proposer in process.core.proposers.values():
                    yield process, proposer

    def holders(self, lease: str) -> list[str]:
        """Return the proposers that would find now, by their own clocks, that they hold it."""
        expired_at = self.now + CLOCK_TOLERANCE_SECONDS
        return [
            proposer.proposer_id
            for process, proposer in self.proposers()
            if proposer.lease == lease
            and proposer.token
            and not proposer.is_over
            and process.real(proposer.expires_at) > expired_at
        ]

    def check(self) -> None:
        """Check that every lease has one holder at most, and record a new one; TwoHoldersError."""
        for lease in {proposer.lease for _, proposer in self.proposers()}:
            holders = self.holders(lease)
            if len(holders) > 1:
                raise TwoHoldersError(
                    f"{self.now:.3f} s: {lease} is held by {' and '.join(holders)}"
                )
            if holders and self.last_holder.get(lease) != holders[0]:
                self.last_holder[lease] = holders[0]
                token = next(
                    proposer.token
                    for _, proposer in self.proposers()
                    if proposer.proposer_id == holders[0]
                )
                self.grants.append(Grant(lease, holders[0], token, self.now))


def drawn(seed: int, drift: float = 0.01) -> LeaseCluster:
    """Return a started cluster with one lease that every member wants.

    The seed draws its clocks, links and acceptors; `drift` is the bound on the clocks' rates.
    """
    acceptors, members = SHAPES[seed % len(SHAPES)]
    names = [f"n{number}" for number in range(members)]
    rules = LeaseConfiguration(tuple(names[:acceptors]), max_ttl_seconds=6.0, max_clock_drift=drift)
    world = LeaseCluster(seed, names, rules)
    pick = world.draw.choice
    world.links = Links(
        doubled=0.05,
        late=pick((0.0, 0.03, 0.1)),
        late_s=pick((0.4, 7.0)),
        delay=(0.0005, pick((0.005, 0.12))),
    )
    for name, process in world.processes.items():
        world.tasks[name] = [Task("x", hold=pick((3.0, 3.0, 1e6)))]
        # Members disagree on the time of day, from which their first ballots follow.
        process.ahead = pick((0.0, 0.0, -500.0, 300.0))
    world.start_all()
    world.run(START_SECONDS)
    return world
