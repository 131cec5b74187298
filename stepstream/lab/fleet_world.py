"""Many views of the fleet in simulated time: no sockets, no threads, one seed replays everything.

The same `MembershipProtocol` as in the program. Links lose, delay, duplicate and reorder datagrams and are cut
by ordered pair; members stall, crash and restart. What must hold is checked after every step of a member.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.lab.fleet_faults import Play, Schedule
from stepstream.lab.links import Links
from stepstream.lab.timeline import Timeline
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
LOOK = (
    0.1  # seconds between two looks at whom a member holds dead; the bound is two hundred of these
)
HELD_DEAD = 40  # periods: no member that runs and is connected is held dead by another for longer
COUNTING = 0.5  # seconds between two looks at who counts, as in the program


class BrokenError(Exception):
    """An invariant does not hold; the text says which, when and for whom."""


@dataclass(eq=False)
class Sim:
    """One member's process."""

    name: str
    address: str
    view: MembershipProtocol | None = None  # None: not running
    started: float = 0.0
    stalled_until: float = 0.0
    due: int = 0  # number of the tick that counts
    held: list[tuple[bytes, str]] = field(default_factory=list)  # datagrams that wait out a stall
    seen: int = 0  # the newest change that was checked
    roster: MemberCount | None = None
    looked: float = -1.0  # for the next one
    dead: dict[tuple[str, float], float] = field(
        default_factory=dict
    )  # since when it wrongly holds whom so


class World(Timeline):
    def __init__(
        self, seed: int, members: int, times: ProtocolSettings, links: Links | None = None
    ) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        self.times, self.links = times, links or Links()
        self.sims = {}
        for k in range(members):
            name = f"n{k}"
            self.sims[name] = Sim(name, f"127.1.{k >> 8}.{k & 255}:7946")
        self.at = {sim.address: sim for sim in self.sims.values()}
        self.seeds = tuple(sim.address for sim in list(self.sims.values())[:3])
        self.best: dict[
            tuple[str, str], tuple
        ] = {}  # observer, name: the greatest claim seen ended
        self.sent = self.bytes = 0
        self.deaths: list[
            tuple[float, str, str, bool]
        ] = []  # when, observer, name, whether it was running
        self.clock_offset: dict[str, float] = {}  # of a member's time of day
        self.watch: Callable[[World, Sim], None] = check

    # -- members ------------------------------------------------------------------------------------------

    def start(
        self, name: str, seeds: tuple[str, ...] | None = None, generation: int | None = None
    ) -> None:
        sim = self.sims[name]
        if generation is None:
            generation = int((1_000_000 + self.now + self.clock_offset.get(name, 0.0)) * 1000)
        me = MemberRecord(name, sim.address, generation, 0, MemberState.ALIVE)
        draw = random.Random(self.draw.random())
        sim.view = MembershipProtocol(
            me, CLUSTER, self.seeds if seeds is None else seeds, self.times, draw, self.now
        )
        sim.started, sim.stalled_until, sim.held, sim.seen, sim.dead = self.now, 0.0, [], 0, {}
        self.schedule(sim)

    def start_all(self) -> None:
        for name in self.sims:
            self.start(name)

    def crash(self, name: str) -> None:
        self.sims[name].view = self.sims[name].roster = None
        self.sims[name].due += 1

    def leave(self, name: str) -> None:
        sim = self.sims[name]
        self.carry(sim, sim.view.leave(self.now))
        self.crash(name)

    def stall(self, name: str, seconds: float = 1e9) -> None:
        """SIGSTOP and SIGCONT: datagrams wait in its socket, up to what that holds."""
        sim = self.sims[name]
        sim.stalled_until = self.now + seconds
        if seconds < 1e9:
            self.call(seconds, lambda: self.wake(sim))

    def wake(self, sim: Sim) -> None:
        if sim.view is None or self.now < sim.stalled_until:
            return
        self.tick(sim)
        held, sim.held, sim.dead = sim.held, [], {}
        for data, to in held:
            self.arrive(data, to)

    def count_all(self, hold: float) -> None:
        """From now on each member counts the fleet and bears witness, as the program does (membership.subsystem)."""
        for sim in self.sims.values():
            self.call(self.draw.uniform(0, COUNTING), lambda sim=sim: self.count(sim, hold))

    def count(self, sim: Sim, hold: float) -> None:
        self.call(COUNTING, lambda: self.count(sim, hold))
        view = sim.view
        if view is None:
            sim.roster = None
        elif self.now >= sim.stalled_until:
            sim.roster = sim.roster or MemberCount(sim.name, hold)
            seen = observe(view.members, self.now)
            view.context.now = self.now
            ended = tuple(sim.roster.confirmed_deaths(seen)[:MAX_CONFIRMED_DEATHS])
            status = MemberStatus(sim.name, 0, 0, Phase.SERVING, 0, "", 0, 0, "", ended)
            view.statuses.publish(status)
            confirmations = {
                name: frozenset(status.confirmed_deaths)
                for name, status in view.statuses.by_owner.items()
            }
            sim.roster.update(seen, confirmations)

    def counted(self, name: str) -> int:
        roster = self.sims[name].roster
        return len(roster.names) if roster is not None else 0

    def running(self) -> list[Sim]:
        return [sim for sim in self.sims.values() if sim.view is not None]

    # -- a schedule's hand (fleet_faults.Fleet) -----------------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self.sims)

    def up(self, name: str) -> bool:
        return self.sims[name].view is not None

    def kill(self, name: str) -> None:
        self.crash(name)

    def go_on(self, name: str) -> None:
        sim = self.sims[name]
        if sim.stalled_until > self.now:
            sim.stalled_until = self.now
            self.wake(sim)

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        self.links.cuts, self.links.loss = pairs, loss

    def play(self, schedule: Schedule, settle: float) -> float:
        """The whole schedule from now on, then all whole: seconds until all agree; BrokenError if they
        have not by `settle`."""
        begun, play = self.now, Play(self, schedule)
        for at, _, what, fault in play.steps:
            self.run(max(begun + at - self.now, 0.0))
            play.do(what, fault)
        play.end()
        whole = self.now
        if not self.run(settle, self.agreed):
            raise BrokenError(f"not settled {settle} s after the last fault")
        return self.now - whole

    # -- time ---------------------------------------------------------------------------------------------

    def schedule(self, sim: Sim) -> None:
        sim.due += 1
        number = sim.due
        at = min(max(sim.view.next_tick_at(), self.now, sim.stalled_until), 1e12)
        heapq.heappush(self.queue, (at, next(self.serial), lambda: self.tick_if(sim, number)))

    def tick_if(self, sim: Sim, number: int) -> None:
        if sim.view is not None and sim.due == number and self.now >= sim.stalled_until:
            self.tick(sim)

    def tick(self, sim: Sim) -> None:
        self.carry(sim, sim.view.tick(self.now))
        self.watch(self, sim)
        self.schedule(sim)

    # -- links --------------------------------------------------------------------------------------------

    def carry(self, sim: Sim, sends: list[OutgoingDatagram]) -> None:
        for send in sends:
            data = encode(send.datagram)
            if len(data) > MAX_DATAGRAM_BYTES:
                raise BrokenError(
                    f"{self.now:.3f} s: a datagram of {len(data)} bytes from {sim.name}"
                )
            self.sent += 1
            self.bytes += len(data)
            to = self.at.get(send.address)
            if to is None or (sim.name, to.name) in self.links.cuts:
                continue
            for delay in self.links.fate(self.draw):
                self.call(delay, lambda d=data, to=send.address: self.arrive(d, to))

    def arrive(self, data: bytes, address: str) -> None:
        sim = self.at.get(address)
        if sim is None or sim.view is None:
            return
        if self.now < sim.stalled_until:
            if len(sim.held) < 256:
                sim.held.append((data, address))
            return
        before = sim.view.next_tick_at()
        self.carry(sim, sim.view.handle(self.now, decode(data, CLUSTER)))
        self.watch(self, sim)
        if sim.view.next_tick_at() < before:
            self.schedule(sim)

    # -- what is asked of it --------------------------------------------------------------------------------

    def agreed(self) -> bool:
        """All running members hold the same, and hold each other alive and nobody else."""
        views = [sim.view for sim in self.running()]
        if len({view.digest for view in views}) != 1:
            return False
        alive = {sim.name for sim in self.running()}
        return all(
            {n for n, x in view.members.by_name.items() if x.record.state is MemberState.ALIVE}
            == alive
            for view in views[:1]
        )

    def known(self, name: str, states: tuple[MemberState, ...]) -> bool:
        """Whether all running others hold this member in one of these states."""
        return all(
            sim.name == name
            or (x := sim.view.members.by_name.get(name)) is not None
            and x.record.state in states
            for sim in self.running()
        )


def check(world: World, sim: Sim) -> None:
    """After each step of a member: nobody ended comes back on the same claim, nobody who lives and is
    connected to it is held dead for long, and all is bounded."""
    view = sim.view
    check_held_dead(world, sim)
    most = world.times.max_members
    if len(view.members.by_name) > most or len(view.outbox.broadcasts.queued) > 3 * most:
        raise BrokenError(f"{world.now:.3f} s: {sim.name} holds more than its bound")
    events = view.members.events
    if events.last_number > sim.seen:
        fresh = min(events.last_number - sim.seen, len(events.recent))
        sim.seen = events.last_number
        for change in list(events.recent)[-fresh:]:
            member = view.members.by_name.get(change.name)
            if member is None:
                continue
            key, row = (f"{sim.name}@{sim.started}", change.name), member.record
            ended = world.best.get(key)
            if row.state in PRESENT:
                if ended is not None and row.precedence[:3] <= ended:
                    raise BrokenError(
                        f"{world.now:.3f} s: {sim.name} has {row.name} back on an old claim"
                    )
            elif ended is None or row.precedence[:3] > ended:
                world.best[key] = row.precedence[:3]
                if row.state is MemberState.DEAD:
                    lives = (
                        world.sims[row.name].view is not None if row.name in world.sims else False
                    )
                    world.deaths.append((world.now, sim.name, row.name, lives))


def check_held_dead(world: World, sim: Sim) -> None:
    if world.now < sim.looked + LOOK:
        return
    sim.looked, held = world.now, {}
    for name in sim.view.members.by_name.keys() - sim.view.members.present:
        other, cuts = world.sims.get(name), world.links.cuts
        if (
            other is None
            or other.view is None
            or other.stalled_until > world.now
            or sim.view.members.by_name[name].record.state is not MemberState.DEAD
            or {(sim.name, name), (name, sim.name)} & cuts
        ):
            continue
        since = held[name, other.started] = sim.dead.get((name, other.started), world.now)
        if world.now - since > HELD_DEAD * world.times.probe_interval_seconds:
            raise BrokenError(
                f"{world.now:.3f} s: {sim.name} has held {name} dead since {since:.3f} s"
            )
    sim.dead = held
