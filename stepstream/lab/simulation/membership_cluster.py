"""Simulate a membership cluster without sockets or threads; a seed replays a whole run.

Every member runs the program's own `MembershipProtocol`. Links lose, delay, duplicate and reorder
datagrams and are cut by ordered pair; members stall, crash and restart. The invariants are checked
after every step of a member.

A `MembershipCluster` owns all state of its run. Only the thread that runs its timeline may touch
it.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from stepstream.lab.emulator.links import Links
from stepstream.lab.faults.schedule import FaultInjector, Schedule
from stepstream.lab.simulation.timeline import Timeline
from stepstream.membership import record_precedence
from stepstream.membership.member_count import MemberCount, observe
from stepstream.membership.messages import (
    MAX_CONFIRMED_DEATHS,
    MAX_DATAGRAM_BYTES,
    PRESENT,
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

CLUSTER = "lab"
FALSE_DEATH_CHECK_SECONDS = 0.1  # between two checks of one member; the bound is 200 of these
MAX_FALSE_DEATH_PERIODS = 40  # probe intervals for which a reachable member may be believed dead
COUNT_INTERVAL_SECONDS = 0.5  # between two counts of the members, as in the program
STALL_FOREVER_SECONDS = 1e9
MAX_TICK_AT_SECONDS = 1e12  # bounds a tick that is never due, which the protocol gives as infinity
SOCKET_QUEUE_DATAGRAMS = 256  # what the socket of a stalled process holds; the rest is lost
MAX_BROADCASTS_PER_MEMBER = 3
SEED_MEMBERS = 3
FIRST_START_SECONDS = 1_000_000  # time of day at the start of a run

Claim = tuple[int, str, int]  # generation, address, incarnation


class InvariantError(Exception):
    """Report an invariant that does not hold: which one, at what time and for which member."""


@dataclass(eq=False)
class SimulatedMember:
    """Hold the simulated process of one member; times are in seconds of the timeline."""

    name: str
    address: str
    view: MembershipProtocol | None = None  # None: not running
    started: float = 0.0
    stalled_until: float = 0.0
    tick_number: int = 0  # of the scheduled tick that counts; earlier ones are void
    socket_queue: list[tuple[bytes, str]] = field(default_factory=list)  # received while stalled
    checked_event: int = 0  # number of the newest membership event that was checked
    member_count: MemberCount | None = None
    false_deaths_checked_at: float = -1.0
    # By name and start of a running, reachable member: since when this one believes it dead.
    false_deaths: dict[tuple[str, float], float] = field(default_factory=dict)

    @property
    def running_view(self) -> MembershipProtocol:
        """Return the protocol of a running process; RuntimeError if it does not run."""
        if self.view is None:
            raise RuntimeError(f"member {self.name} is not running")
        return self.view


class MembershipCluster(Timeline):
    """Simulate members `n0`, `n1`, ... and the links between them."""

    def __init__(
        self, seed: int, members: int, times: ProtocolSettings, links: Links | None = None
    ) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        self.times = times
        self.links = links or Links()
        self.sims: dict[str, SimulatedMember] = {}
        for number in range(members):
            name = f"n{number}"
            self.sims[name] = SimulatedMember(name, f"127.1.{number >> 8}.{number & 255}:7946")
        self.at = {sim.address: sim for sim in self.sims.values()}
        self.seeds = tuple(sim.address for sim in list(self.sims.values())[:SEED_MEMBERS])
        # By observer's start and member: the greatest claim that the observer saw end.
        self.ended_claims: dict[tuple[str, str], Claim] = {}
        self.sent = 0  # datagrams
        self.bytes = 0
        # Time, observer, member believed dead, whether that was running.
        self.deaths: list[tuple[float, str, str, bool]] = []
        self.clock_offset: dict[str, float] = {}  # by member, seconds of its time of day
        self.check_step: Callable[[MembershipCluster, SimulatedMember], None] = check

    # -- members ----------------------------------------------------------------------------------

    def start(
        self, name: str, seeds: tuple[str, ...] | None = None, generation: int | None = None
    ) -> None:
        """Start a member's process; its generation is by default its time of day in ms."""
        sim = self.sims[name]
        if generation is None:
            time_of_day = FIRST_START_SECONDS + self.now + self.clock_offset.get(name, 0.0)
            generation = int(time_of_day * 1000)
        record = MemberRecord(name, sim.address, generation, 0, MemberState.ALIVE)
        rng = random.Random(self.draw.random())
        sim.view = MembershipProtocol(
            record, CLUSTER, self.seeds if seeds is None else seeds, self.times, rng, self.now
        )
        sim.started = self.now
        sim.stalled_until = 0.0
        sim.socket_queue = []
        sim.checked_event = 0
        sim.false_deaths = {}
        self.schedule(sim)

    def start_all(self) -> None:
        """Start every member, in the order of their numbers."""
        for name in self.sims:
            self.start(name)

    def crash(self, name: str) -> None:
        """End a member's process without notice to the others."""
        sim = self.sims[name]
        sim.view = None
        sim.member_count = None
        sim.tick_number += 1

    def leave(self, name: str) -> None:
        """Let a member announce its leave, then end its process."""
        sim = self.sims[name]
        self.send(sim, sim.running_view.leave(self.now))
        self.crash(name)

    def stall(self, name: str, seconds: float = STALL_FOREVER_SECONDS) -> None:
        """Stop a process as SIGSTOP does, and continue it after that time unless it is forever.

        Datagrams wait in its socket meanwhile, up to what that holds.
        """
        sim = self.sims[name]
        sim.stalled_until = self.now + seconds
        if seconds < STALL_FOREVER_SECONDS:
            self.call(seconds, partial(self.wake, sim))

    def wake(self, sim: SimulatedMember) -> None:
        """Continue a stalled process: first its timers, then what waited in its socket."""
        if sim.view is None or self.now < sim.stalled_until:
            return
        self.tick(sim)
        queued = sim.socket_queue
        sim.socket_queue = []
        sim.false_deaths = {}
        for data, address in queued:
            self.receive(data, address)

    def count_all(self, hold: float) -> None:
        """Let each member count the members and confirm deaths from now on.

        `membership.subsystem` does so in the program. `hold`: `MemberCount`'s, in seconds.
        """
        for sim in self.sims.values():
            self.call(self.draw.uniform(0, COUNT_INTERVAL_SECONDS), partial(self.count, sim, hold))

    def count(self, sim: SimulatedMember, hold: float) -> None:
        """Count the members as one member sees them, and schedule its next count."""
        self.call(COUNT_INTERVAL_SECONDS, partial(self.count, sim, hold))
        view = sim.view
        if view is None:
            sim.member_count = None
        elif self.now >= sim.stalled_until:
            sim.member_count = sim.member_count or MemberCount(sim.name, hold)
            observed = observe(view.members, self.now)
            view.context.now = self.now
            deaths = tuple(sim.member_count.confirmed_deaths(observed)[:MAX_CONFIRMED_DEATHS])
            status = MemberStatus(sim.name, 0, 0, Phase.SERVING, 0, "", 0, 0, "", deaths)
            view.statuses.publish(status)
            confirmations = {
                name: frozenset(status.confirmed_deaths)
                for name, status in view.statuses.by_owner.items()
            }
            sim.member_count.update(observed, confirmations)

    def counted(self, name: str) -> int:
        """Return how many members this one counts; 0 if it does not count."""
        member_count = self.sims[name].member_count
        return len(member_count.names) if member_count is not None else 0

    def running(self) -> list[SimulatedMember]:
        """Return the members whose processes run, stalled ones included."""
        return [sim for sim in self.sims.values() if sim.view is not None]

    # -- faults.schedule.FaultTarget ---------------------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all members, running or not."""
        return tuple(self.sims)

    def up(self, name: str) -> bool:
        """Return whether a member's process runs."""
        return self.sims[name].view is not None

    def kill(self, name: str) -> None:
        """End a member's process as SIGKILL does."""
        self.crash(name)

    def go_on(self, name: str) -> None:
        """Continue a member's process, as SIGCONT does, if it is stalled."""
        sim = self.sims[name]
        if sim.stalled_until > self.now:
            sim.stalled_until = self.now
            self.wake(sim)

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        """Set which ordered pairs are cut, and the probability of loss, from now on."""
        self.links.cuts = pairs
        self.links.loss = loss

    def play(self, schedule: Schedule, settle: float) -> float:
        """Play a fault schedule from now on, then end all faults.

        Return the seconds from there until all members agree; BrokenError if they do not within
        `settle` seconds or if an invariant broke.
        """
        started = self.now
        play = FaultInjector(self, schedule)
        for at, _, what, fault in play.steps:
            self.run(max(started + at - self.now, 0.0))
            play.do(what, fault)
        play.end()
        faults_ended = self.now
        if not self.run(settle, self.agreed):
            raise InvariantError(f"not settled {settle} s after the last fault")
        return self.now - faults_ended

    # -- time -------------------------------------------------------------------------------------

    def schedule(self, sim: SimulatedMember) -> None:
        """Schedule a member's next tick; it replaces the one that was scheduled before."""
        sim.tick_number += 1
        due_at = max(sim.running_view.next_tick_at(), self.now, sim.stalled_until)
        step: Callable[[], None] = partial(self.tick_if, sim, sim.tick_number)
        heapq.heappush(self.queue, (min(due_at, MAX_TICK_AT_SECONDS), next(self.serial), step))

    def tick_if(self, sim: SimulatedMember, number: int) -> None:
        """Tick a member unless this tick was replaced, or its process ended or stalls."""
        if sim.view is not None and sim.tick_number == number and self.now >= sim.stalled_until:
            self.tick(sim)

    def tick(self, sim: SimulatedMember) -> None:
        """Let a member do what is due, check it, and schedule its next tick."""
        self.send(sim, sim.running_view.tick(self.now))
        self.check_step(self, sim)
        self.schedule(sim)

    # -- links ------------------------------------------------------------------------------------

    def send(self, sim: SimulatedMember, datagrams: list[OutgoingDatagram]) -> None:
        """Put a member's datagrams on the links; BrokenError if one is too long."""
        for outgoing in datagrams:
            data = encode(outgoing.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise InvariantError(
                    f"{self.now:.3f} s: a datagram of {len(data)} bytes from {sim.name}"
                )
            self.sent += 1
            self.bytes += len(data)
            receiver = self.at.get(outgoing.address)
            if receiver is None or (sim.name, receiver.name) in self.links.cuts:
                continue
            for delay in self.links.fate(self.draw):
                self.call(delay, partial(self.receive, data, outgoing.address))

    def receive(self, data: bytes, address: str) -> None:
        """Hand a datagram to the member at this address; queue it while that stalls."""
        sim = self.at.get(address)
        if sim is None or sim.view is None:
            return
        if self.now < sim.stalled_until:
            if len(sim.socket_queue) < SOCKET_QUEUE_DATAGRAMS:
                sim.socket_queue.append((data, address))
            return
        tick_at_before = sim.view.next_tick_at()
        self.send(sim, sim.view.handle(self.now, decode(data, CLUSTER)))
        self.check_step(self, sim)
        if sim.view.next_tick_at() < tick_at_before:
            self.schedule(sim)

    # -- queries ----------------------------------------------------------------------------------

    def agreed(self) -> bool:
        """Return whether all running members hold one list: each other alive, and nobody else."""
        views = [sim.running_view for sim in self.running()]
        if len({view.digest for view in views}) != 1:
            return False
        running = {sim.name for sim in self.running()}
        alive = {
            name
            for name, member in views[0].members.by_name.items()
            if member.record.state is MemberState.ALIVE
        }
        return alive == running

    def known(self, name: str, states: tuple[MemberState, ...]) -> bool:
        """Return whether all other running members hold this one in one of these states."""
        for sim in self.running():
            if sim.name == name:
                continue
            member = sim.running_view.members.by_name.get(name)
            if member is None or member.record.state not in states:
                return False
        return True


def check(world: MembershipCluster, sim: SimulatedMember) -> None:
    """Check the invariants after a step of a member; BrokenError if one does not hold.

    No ended member comes back on the same claim, no running and reachable member is believed dead
    for long, and all state is bounded.
    """
    view = sim.running_view
    check_false_deaths(world, sim)
    max_members = world.times.max_members
    max_broadcasts = MAX_BROADCASTS_PER_MEMBER * max_members
    if (
        len(view.members.by_name) > max_members
        or len(view.outbox.broadcasts.queued) > max_broadcasts
    ):
        raise InvariantError(f"{world.now:.3f} s: {sim.name} holds more than its bound")
    events = view.members.events
    if events.last_number > sim.checked_event:
        unchecked = min(events.last_number - sim.checked_event, len(events.recent))
        sim.checked_event = events.last_number
        for event in list(events.recent)[-unchecked:]:
            member = view.members.by_name.get(event.name)
            if member is not None:
                check_claim(world, sim, member.record)


def check_claim(world: MembershipCluster, sim: SimulatedMember, record: MemberRecord) -> None:
    """Check a changed record against the claims that its observer saw end; note a new end."""
    key = (f"{sim.name}@{sim.started}", record.name)
    claim = record_precedence.member_precedence(record)[:3]  # without the state
    ended = world.ended_claims.get(key)
    if record.state in PRESENT:
        if ended is not None and claim <= ended:
            raise InvariantError(
                f"{world.now:.3f} s: {sim.name} has {record.name} back on an old claim"
            )
    elif ended is None or claim > ended:
        world.ended_claims[key] = claim
        if record.state is MemberState.DEAD:
            is_running = record.name in world.sims and world.up(record.name)
            world.deaths.append((world.now, sim.name, record.name, is_running))


def check_false_deaths(world: MembershipCluster, sim: SimulatedMember) -> None:
    """Check that a member believes no running and reachable one dead for too long."""
    if world.now < sim.false_deaths_checked_at + FALSE_DEATH_CHECK_SECONDS:
        return
    sim.false_deaths_checked_at = world.now
    max_seconds = MAX_FALSE_DEATH_PERIODS * world.times.probe_interval_seconds
    members = sim.running_view.members
    false_deaths = {}
    for name in members.by_name.keys() - members.present:
        other = world.sims.get(name)
        if (
            other is None
            or other.view is None
            or other.stalled_until > world.now
            or members.by_name[name].record.state is not MemberState.DEAD
            or {(sim.name, name), (name, sim.name)} & world.links.cuts
        ):
            continue
        key = (name, other.started)
        since = false_deaths[key] = sim.false_deaths.get(key, world.now)
        if world.now - since > max_seconds:
            raise InvariantError(
                f"{world.now:.3f} s: {sim.name} has held {name} dead since {since:.3f} s"
            )
    sim.false_deaths = false_deaths
