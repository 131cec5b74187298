"""Leases in simulated time: the real cores, clocks that run at different rates, a guarded resource.

One seed replays everything. After every step: at no instant do two processes hold one lease, each by its own
clock, also one that stands still; what the resource took whole never overlaps, and its tokens never fall.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from stepstream.lab.fleet_faults import Play, Schedule
from stepstream.lab.links import Links
from stepstream.lab.timeline import Timeline
from stepstream.leases import messages as m
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.participant import OutgoingEnvelope, Participant
from stepstream.leases.proposer import Proposer

HAIR = 1e-9  # seconds by which two clocks' sums may differ


class TwoHoldersError(Exception):
    """An invariant does not hold; the text says which, when and for whom."""


@dataclass(eq=False)
class Process:
    """One member's. `rate`: how fast its monotonic clock runs; `ahead`: of its time of day, seconds."""

    name: str
    rate: float = 1.0
    ahead: float = 0.0
    origin: float = 0.0
    core: Participant | None = None  # None: not running
    starts: int = 0
    stalled_until: float = 0.0
    due: int = 0
    held: list[tuple[str, bytes]] = field(default_factory=list)
    steps: list[Callable[[], None]] = field(
        default_factory=list
    )  # its tasks' that wait out a stall

    def local(self, now: float) -> float:
        return (now - self.origin) * self.rate

    def real(self, local: float) -> float:
        return self.origin + local / self.rate


@dataclass
class Act:
    token: int
    proposer: str
    begun: float
    ended: float = inf
    taken: bool = False


@dataclass
class Resource:
    """Guarded; an act begins and ends, and counts only if neither was fenced off."""

    guard: FencingGuard = field(default_factory=FencingGuard)
    acts: list[Act] = field(default_factory=list)

    def begin(self, now: float, token: int, proposer: str) -> Act:
        self.guard.admit(token)
        if self.acts and token < self.acts[-1].token:
            raise TwoHoldersError(
                f"{now:.3f} s: an act with token {token} after {self.acts[-1].token}"
            )
        act = Act(token, proposer, now)
        self.acts.append(act)
        return act

    def end(self, now: float, act: Act) -> None:
        self.guard.admit(act.token)
        act.ended, act.taken = now, True
        for other in self.acts:
            if other.taken and other.proposer != act.proposer and other.ended > act.begun + HAIR:
                if other.begun < act.ended - HAIR:
                    raise TwoHoldersError(
                        f"{now:.3f} s: acts of {other.proposer} and {act.proposer} overlap"
                    )


@dataclass(frozen=True)
class Task:
    """Wants a lease again and again: acts while it has it, for `hold`, then thinks. Seconds."""

    lease: str
    ttl: float = 4.0
    act: float = 0.8
    hold: float = 3.0
    think: float = 1.0


@dataclass
class Grant:
    """A time for which somebody held it, for the figures."""

    lease: str
    proposer: str
    token: int
    since: float


class LeaseWorld(Timeline):
    """`names`: all members; the voters are the rules'. Drift is drawn within the rules' bound."""

    def __init__(
        self, seed: int, names: list[str], rules: LeaseConfiguration, links: Links | None = None
    ) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        self.rules, self.links = rules, links or Links()
        self.processes = {name: Process(name) for name in names}
        for process in self.processes.values():
            process.rate = 1.0 + self.draw.choice((-1, -1, 0, 1, 1)) * rules.max_clock_drift
        self.resources: dict[str, Resource] = {}
        self.grants: list[Grant] = []
        self.given: dict[str, str] = {}  # by lease, who was seen to hold it last
        self.tasks: dict[str, list[Task]] = {name: [] for name in names}
        self.sent = self.bodies = 0
        self.fenced = 0  # effects that the guard refused

    # -- processes (a schedule's hand: fleet_faults.Fleet) ---------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self.processes)

    def up(self, name: str) -> bool:
        return self.processes[name].core is not None

    def start(self, name: str) -> None:
        process = self.processes[name]
        process.starts += 1
        process.origin, process.stalled_until, process.held, process.steps = self.now, 0.0, [], []
        base = max(int((1_000 + self.now + process.ahead) * 1000), 0)
        draw = random.Random(self.draw.random())
        process.core = Participant(name, f"{name}@{process.starts}", self.rules, base, draw, 0.0)
        self.schedule(process)
        for task in self.tasks[name]:
            self.step(
                process, self.draw.uniform(0.0, 0.5), lambda task=task: self.work(process, task)
            )

    def start_all(self) -> None:
        for name in self.processes:
            self.start(name)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.core, process.due = None, process.due + 1

    def leave(self, name: str) -> None:
        """SIGTERM: all is released, the acts in hand having ended."""
        process = self.processes[name]
        for claim in list(process.core.proposers.values()):
            self.carry(process, process.core.release(process.local(self.now), claim))
        self.kill(name)

    def stall(self, name: str, seconds: float = 1e9) -> None:
        process = self.processes[name]
        process.stalled_until = self.now + seconds
        if seconds < 1e9:
            self.call(seconds, lambda: self.wake(process))

    def go_on(self, name: str) -> None:
        process = self.processes[name]
        if process.stalled_until > self.now:
            process.stalled_until = self.now
            self.wake(process)

    def wake(self, process: Process) -> None:
        if process.core is None or self.now < process.stalled_until:
            return
        # Whatever order the machine lets it go on in: its tasks, its timers, what waited in its socket.
        todo = [lambda: self.tick(process)]
        todo += [lambda x=x: self.arrive(*x, process.name) for x in process.held]
        todo += process.steps
        process.held, process.steps = [], []
        self.draw.shuffle(todo)
        for step in todo:
            if process.core is not None:
                step()
        if process.core is not None:
            self.schedule(process)

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        self.links.cuts, self.links.loss = pairs, loss

    # -- time and links -------------------------------------------------------------------------------------

    def schedule(self, process: Process) -> None:
        process.due += 1
        number = process.due
        at = min(
            max(process.real(process.core.next_tick_at()), self.now, process.stalled_until), 1e12
        )
        heapq.heappush(
            self.queue, (at + 1e-6, next(self.serial), lambda: self.tick_if(process, number))
        )

    def tick_if(self, process: Process, number: int) -> None:
        if process.core is not None and process.due == number and self.now >= process.stalled_until:
            self.tick(process)

    def tick(self, process: Process) -> None:
        self.carry(process, process.core.tick(process.local(self.now)))
        self.check()
        self.schedule(process)

    def carry(self, process: Process, sends: list[OutgoingEnvelope]) -> None:
        for send in sends:
            data = m.encode(send.envelope)
            self.sent += 1
            self.bodies += len(send.envelope.messages)
            if (process.name, send.member) in self.links.cuts or send.member not in self.processes:
                continue
            for delay in self.links.fate(self.draw):
                self.call(delay, lambda d=data, to=send.member: self.arrive(process.name, d, to))

    def arrive(self, sender: str, data: bytes, name: str) -> None:
        process = self.processes[name]
        if process.core is None:
            return
        if self.now < process.stalled_until:
            if len(process.held) < 256:
                process.held.append((sender, data))
            return
        self.carry(process, process.core.handle(process.local(self.now), sender, m.decode(data)))
        self.check()
        self.schedule(process)

    # -- tasks ----------------------------------------------------------------------------------------------

    def step(self, process: Process, after: float, step: Callable[[], None]) -> None:
        """One of a task's, by the same start of the process; it waits out a stall."""
        start = process.starts

        def go() -> None:
            if process.core is None or process.starts != start:
                return
            if self.now < process.stalled_until:
                process.steps.append(go)
            else:
                step()
                self.check()
                self.schedule(process)

        self.call(after, go)

    def work(self, process: Process, task: Task) -> None:
        now = process.local(self.now)
        claim, sends = process.core.acquire(now, task.lease, task.ttl, task.act)
        self.carry(process, sends)
        self.turn(process, claim, task, inf)

    def turn(self, process: Process, claim: Proposer, task: Task, since: float) -> None:
        """Looks at its lease and acts if it may: the check comes right before the act. `since`: it acts."""
        now = process.local(self.now)
        if claim.is_over:
            pause = self.draw.uniform(0.5, 1.5) * task.think
            self.step(process, pause, lambda: self.work(process, task))
        elif now - since > task.hold:
            self.let_go(process, claim, task)
        elif claim.may_begin_operation(now):
            # Between the check and the write anything may happen to the process.
            length = self.draw.uniform(0.2, 1.0) * task.act / (1 + self.rules.max_clock_drift)
            then = (process, claim, task, min(since, now))
            self.step(process, length * 0.3, lambda: self.begin(*then, length * 0.7))
        else:
            pause = self.draw.uniform(0.02, 0.1)
            self.step(process, pause, lambda: self.turn(process, claim, task, since))

    def begin(
        self, process: Process, claim: Proposer, task: Task, since: float, length: float
    ) -> None:
        resource = self.resources.setdefault(claim.lease, Resource())
        try:
            act = resource.begin(self.now, claim.token, claim.proposer_id)
        except FencedError as error:
            self.behind(process, claim, task, error)
            return
        self.step(process, length, lambda: self.end(process, claim, task, since, act))

    def end(self, process: Process, claim: Proposer, task: Task, since: float, act: Act) -> None:
        try:
            self.resources[claim.lease].end(self.now, act)
        except FencedError as error:
            self.behind(process, claim, task, error)
            return
        self.step(process, 0.01, lambda: self.turn(process, claim, task, since))

    def behind(self, process: Process, claim: Proposer, task: Task, error: FencedError) -> None:
        """The resource has seen a higher token: this grant is of no use."""
        self.fenced += 1
        if error.highest_token == error.token:
            raise TwoHoldersError(
                f"{self.now:.3f} s: {claim.proposer_id} was refused by its own token"
            )
        process.core.advance_ballots_past(error.highest_token)
        self.let_go(process, claim, task)

    def let_go(self, process: Process, claim: Proposer, task: Task) -> None:
        self.carry(process, process.core.release(process.local(self.now), claim))
        self.turn(process, claim, task, inf)

    def play(self, schedule: Schedule, within: float) -> float:
        """The whole schedule from now on, then all whole: seconds until every lease is held.
        TwoHoldersError if an invariant broke, or if that took longer than `within`.
        """
        begun, play = self.now, Play(self, schedule)
        for at, _, what, fault in play.steps:
            self.run(max(begun + at - self.now, 0.0))
            play.do(what, fault)
            self.check()
        play.end()
        whole = self.now
        wanted = {task.lease for tasks in self.tasks.values() for task in tasks}
        if not self.run(within, lambda: all(self.holders(lease) for lease in wanted)):
            raise TwoHoldersError(
                f"not all of {sorted(wanted)} are held {within} s after the last fault"
            )
        return self.now - whole

    # -- what must hold -------------------------------------------------------------------------------------

    def holders(self, lease: str) -> list[str]:
        """Whoever would find that it holds the lease if it looked at its clock now."""
        return [
            claim.proposer_id
            for process in self.processes.values()
            if process.core is not None
            for claim in process.core.proposers.values()
            if claim.lease == lease
            and claim.token
            and not claim.is_over
            and process.real(claim.expires_at) > self.now + HAIR
        ]

    def check(self) -> None:
        for lease in {
            x.lease
            for p in self.processes.values()
            if p.core is not None
            for x in p.core.proposers.values()
        }:
            found = self.holders(lease)
            if len(found) > 1:
                raise TwoHoldersError(f"{self.now:.3f} s: {lease} is held by {' and '.join(found)}")
            if found and self.given.get(lease) != found[0]:
                self.given[lease] = found[0]
                claim = next(
                    p.core.proposers[found[0]]
                    for p in self.processes.values()
                    if p.core is not None and found[0] in p.core.proposers
                )
                self.grants.append(Grant(lease, found[0], claim.token, self.now))


SHAPES = ((3, 5), (5, 7), (3, 10), (5, 10))  # voters, members


def drawn(seed: int, drift: float = 0.01) -> LeaseWorld:
    """A world with one lease that every member wants, its clocks, links and voters drawn by the seed."""
    voters, members = SHAPES[seed % len(SHAPES)]
    names = [f"n{k}" for k in range(members)]
    world = LeaseWorld(
        seed,
        names,
        LeaseConfiguration(tuple(names[:voters]), max_ttl_seconds=6.0, max_clock_drift=drift),
    )
    pick = world.draw.choice
    world.links = Links(
        doubled=0.05,
        late=pick((0.0, 0.03, 0.1)),
        late_s=pick((0.4, 7.0)),
        delay=(0.0005, pick((0.005, 0.12))),
    )
    for name, process in world.processes.items():
        world.tasks[name] = [Task("x", hold=pick((3.0, 3.0, 1e6)))]
        process.ahead = pick(
            (0.0, 0.0, -500.0, 300.0)
        )  # from its second start on its time of day may be back
    world.start_all()
    world.run(3.0)
    return world
