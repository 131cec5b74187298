"""One member's view of the fleet: told the time and what arrives, it answers with what to send; free of I/O.

SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, suspicion, incarnations, refutation, news that
rides on probes. Lifeguard (Dadgar, Phillips, Currey 2017): local health, suspicion that shrinks with
confirmations, telling the suspect. Anti-entropy: whole exchanges with a random member now and then, and with
seeds and members held dead, so that a healed cut finds itself again. docs/fleet.md has what is promised.

Claims about a name are ordered (generation, address, incarnation, state) and the greatest holds: the merge of
two views is commutative, associative and idempotent. Seconds are the caller's, and only move forward.
"""

import random
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

import msgspec

from stepstream.membership import messages as m
from stepstream.membership.gossip import ROOM, Gossip, pages, sorted_out
from stepstream.membership.messages import Row, State
from stepstream.membership.suspicion import Suspicion, begun

PRESENT = (State.ALIVE, State.SUSPECT)
CHANGES = 512  # kept for those who watch
HISTORY = 8  # changes kept of each member
TAKE_OVER = (
    3.0  # seconds after its first word from others in which an earlier start's claim may still come
)
RELAYS = 64  # probes on behalf of others that are open at once
TELLERS = 8  # members that tell a suspect of it in a period, and that probe it next themselves
TELLING = 2**53  # number of a ping whose answer matters for what rides on it only
PARCELS = 1_024  # other subsystems' messages that wait to be taken
BURST = 16  # members told at once that they are held dead, or that this one leaves


@dataclass(frozen=True)
class Times:
    """Seconds, counts and multiples; docs/fleet.md has the unit, the default and what goes wrong."""

    period: float = 0.4  # between two probes of one member's
    timeout: float = 0.2  # of a direct probe, before others are asked to try
    helpers: int = 3  # that are asked
    suspicion: float = 3.0  # shortest suspicion, in periods times the fleet's logarithm
    slack: float = 6.0  # longest over shortest
    confirmations: int = 3  # independent ones that make it shortest
    gossip: float = 4.0  # how often news is passed on, times the fleet's logarithm
    sync: float = 5.0  # between two comparisons with a random member
    reach: float = 1.0  # between two tries at a seed or at a member held dead
    young: float = (
        10.0  # after its start the settings' word on the fleet's size is the least that counts
    )
    health: int = (
        8  # the worst that a member thinks of itself; stretches its periods; 0: Lifeguard off
    )
    forget: float = 86_400.0  # a death or leave is remembered at least so long
    most: int = 1_024  # names


@dataclass(frozen=True, slots=True)
class Send:
    address: str
    datagram: m.Datagram


@dataclass(frozen=True, slots=True)
class Change:
    """One thing that became so, for the log and for those who watch."""

    number: int
    at: float
    name: str
    before: str  # "" for a name heard of for the first time
    after: str
    by: str  # from whom it was heard
    why: str


@dataclass(slots=True)
class Member:
    row: Row
    since: float  # of its state
    by: str  # from whom that was heard
    suspicion: Suspicion | None = None
    history: "deque[Change]" = field(default_factory=lambda: deque(maxlen=HISTORY))


@dataclass(slots=True)
class Probe:
    seq: int
    target: str
    indirect_at: float
    ends_at: float
    acked: bool = False
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class Relayed:
    """A probe on behalf of another member."""

    seq: int  # its own
    address: str
    nack_at: float
    ends_at: float


@dataclass
class Counts:
    """Since the start."""

    probes: int = 0
    failed_probes: int = 0
    refutations: int = 0
    stalls: int = 0
    syncs: int = 0
    turned_away: int = 0  # names beyond the bound
    not_me: int = 0  # probes meant for another name at this address


def hashed(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest())


def word_hashed(word: m.Word) -> int:
    return hashed(f"{word.order!r}{word.worker}")


def witness_hashed(facts: m.Facts | None) -> int:
    """Of what decides who counts; the rest of the facts changes all the time and may be late."""
    return hashed(f"{facts.owner} {facts.ended}") if facts is not None and facts.ended else 0


class View:
    def __init__(
        self,
        me: Row,
        cluster: str,
        seeds: Iterable[str],
        times: Times,
        draw: random.Random,
        now: float,
    ) -> None:
        """`me`: alive, incarnation 0; `seeds`: addresses, its own among them does no harm."""
        self.me, self.cluster, self.times, self.draw, self.now = me, cluster, times, draw, now
        self.seeds = tuple(seeds)
        self.begun = now
        self.members: dict[str, Member] = {me.name: Member(me, now, me.name)}
        self.facts: dict[str, m.Facts] = {}
        self.facts_at: dict[str, float] = {}  # when they were heard here
        self.words: dict[str, m.Word] = {}
        self.digest = (
            me.mark
        )  # of all rows, words and witnesses; equal for views that hold the same
        self.gossip = Gossip(times.gossip)
        self.gossip.put(me)
        self.changes: deque[Change] = deque(maxlen=CHANGES)
        self.number = 0  # of the newest change
        self.counts = Counts()
        self.awareness = 0  # Lifeguard's local health: 0 is well
        self.joined = False  # has heard of any other member, from it
        self.joined_at = now
        self.superseded = (
            ""  # the address of a later start under this name; this one is passive then
        )
        self.leaving = False
        self.seq = draw.randrange(2**32)
        self.ring: list[str] = []  # probe order, drawn anew each time round
        self.suspects: dict[str, Member] = {}
        self.urgent = (
            ""  # a suspect to be probed next, out of turn; the latest only, so that rounds go on
        )
        self.here: set[str] = {me.name}  # names of those alive or suspect
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.paged: dict[str, float] = {}  # when pages went to an address last
        self.turned: set[str] = set()  # names beyond the bound, said once each
        # By chance, so that members that start together do not act in step.
        self.probe_at = now + draw.uniform(0, times.period)
        self.sync_at = now + draw.uniform(0, times.sync)
        self.reach_at = now
        self.hurried = False  # the next comparison was brought forward
        self.out: list[Send] = []
        self.parcels: deque[tuple[str, str, bytes]] = deque(maxlen=PARCELS)  # sender, kind, what
        self.looked = now

    # -- what it is asked ---------------------------------------------------------------------------------

    def next_at(self) -> float:
        """When `tick` is due."""
        if self.superseded or self.leaving:
            return inf
        due = min(self.probe_at, self.sync_at, self.reach_at)
        if self.probe is not None and not self.probe.acked and not self.probe.asked:
            due = min(due, self.probe.indirect_at)
        due = min([due, *(s.until for s in self.suspicions())])
        return min([due, *(min(r.nack_at, r.ends_at) for r in self.relayed.values())])

    def suspicions(self) -> Iterator[Suspicion]:
        return (x.suspicion for x in self.suspects.values())

    def others(self) -> list[str]:
        """Names of those alive or suspect but for this one, in an order that a seed repeats."""
        return sorted(self.here - {self.me.name})

    @property
    def settled(self) -> bool:
        """Nothing about any member is in doubt or on its way, as far as this one knows."""
        alone = not any(seed != self.me.address for seed in self.seeds)
        quiet = not any(True for _ in self.suspicions()) and not self.gossip.waiting(Row)
        return (self.joined or alone) and quiet and not self.superseded

    # -- what it is told ----------------------------------------------------------------------------------

    def handle(self, now: float, datagram: m.Datagram) -> list[Send]:
        self.now = now
        if self.superseded or self.leaving:
            return self.taken()
        sender = datagram.sender
        if sender.name == self.me.name:
            # A later start under this name, or this member's own datagram by way of a seed.
            self.claim(sender, sender.name)
            return self.taken()
        if not self.claim(sender, sender.name):
            return self.taken()
        if not self.joined:
            self.joined, self.joined_at = True, self.now
            self.compare(sender.address)
        for row in datagram.rows:
            self.claim(row, row.by or sender.name)
        for facts in datagram.facts:
            self.learn_facts(facts)
        for word in datagram.words:
            self.learn_word(word)
        self.on_body(sender, datagram.body)
        return self.taken()

    def on_body(self, sender: Row, body: m.Body) -> None:
        match body:
            case m.Ping(seq, target):
                if target == self.me.name:
                    self.send(sender.address, m.Ack(seq), sender.name)
                else:
                    self.counts.not_me += 1
            case m.Ack(seq):
                self.on_ack(seq)
            case m.PingFor(seq, target, address) if len(self.relayed) < RELAYS:
                self.seq += 1
                nack_at = self.now + 0.8 * self.times.timeout
                ends_at = self.now + self.times.period
                self.relayed[self.seq] = Relayed(seq, sender.address, nack_at, ends_at)
                self.send(address, m.Ping(self.seq, target), target)
            case m.Nack(seq):
                if self.probe is not None and self.probe.seq == seq:
                    self.probe.nacks += 1
            case m.Parcel(kind, data) if (
                self.members[sender.name].row.generation == sender.generation
            ):
                self.parcels.append(
                    (sender.name, kind, data)
                )  # an earlier start's are not its name's any more
            case m.Compare(digest) if digest != self.digest:
                self.send_pages(sender.address, reply=True)
                self.sync_soon()
            case m.Page(reply):
                if reply:
                    self.send_pages(sender.address, reply=False)
                self.sync_soon()

    def on_ack(self, seq: int) -> None:
        probe = self.probe
        if probe is not None and probe.seq == seq and not probe.acked:
            probe.acked = True
            self.awareness = max(self.awareness - 1, 0)
        elif (relayed := self.relayed.pop(seq, None)) is not None:
            self.send(relayed.address, m.Ack(relayed.seq))

    def tick(self, now: float) -> list[Send]:
        """Whatever is due by now."""
        late = now - max(self.next_at(), self.looked)
        self.now = self.looked = now
        if self.superseded or self.leaving:
            return self.taken()
        if late > max(self.times.timeout, 0.1):
            self.overslept(late)
        self.look_at_relayed()
        self.look_at_probe()
        self.look_at_suspects()
        if now >= self.sync_at:
            self.sync_at = now + self.times.sync * self.draw.uniform(0.75, 1.25)
            self.sync()
        if now >= self.reach_at:
            self.reach_at = now + self.times.reach * self.draw.uniform(0.75, 1.25)
            self.reach()
        return self.taken()

    def overslept(self, late: float) -> None:
        """Its own process stood still: what ran out meanwhile proves nothing about others."""
        self.counts.stalls += 1
        self.doubt_itself(1 + (late > self.times.period))
        self.probe = None
        self.probe_at = self.now
        self.relayed.clear()
        for suspicion in self.suspicions():
            suspicion.put_off(late)

    def doubt_itself(self, by: int) -> None:
        self.awareness = min(self.awareness + by, self.times.health)

    # -- probes -------------------------------------------------------------------------------------------

    def look_at_probe(self) -> None:
        probe = self.probe
        if (
            probe is not None
            and not probe.acked
            and not probe.asked
            and self.now >= probe.indirect_at
        ):
            self.ask_helpers(probe)
        if self.now < self.probe_at:
            return
        if probe is not None and not probe.acked:
            self.probe_failed(probe)
        self.probe = self.next_probe()
        self.tell_suspects()
        stretch = 1 + self.awareness
        self.probe_at = self.now + self.times.period * stretch

    def tell_suspects(self) -> None:
        """Once a period each suspect hears of it from a few members: one whose links come and go has so many
        chances to refute before its time is up, whatever the size of the fleet.
        """
        part = TELLERS / len(self.here)
        for member in list(self.suspects.values())[:BURST]:
            if self.draw.random() < part:
                self.compare(member.row.address, member.row.name)

    def next_probe(self) -> Probe | None:
        target = self.next_target()
        if target is None:
            return None
        self.counts.probes += 1
        self.seq += 1
        stretch = 1 + self.awareness
        ends_at = self.now + self.times.period * stretch
        self.send(self.members[target].row.address, m.Ping(self.seq, target), target)
        return Probe(self.seq, target, self.now + self.times.timeout * stretch, ends_at)

    def next_target(self) -> str | None:
        """Round in an order that is drawn anew each time: nobody waits longer than two rounds."""
        urgent, self.urgent = self.urgent, ""
        if urgent in self.suspects:
            return urgent
        while self.ring:
            name = self.ring.pop()
            member = self.members.get(name)
            if member is not None and member.row.state in PRESENT:
                return name
        self.ring = self.others()
        self.draw.shuffle(self.ring)
        return self.ring.pop() if self.ring else None

    def ask_helpers(self, probe: Probe) -> None:
        helpers = [n for n in self.others() if n != probe.target]
        helpers = self.draw.sample(helpers, min(self.times.helpers, len(helpers)))
        probe.asked = len(helpers) or -1  # asked once, be there helpers or none
        target = self.members.get(probe.target)
        if target is None:
            return
        for name in helpers:
            body = m.PingFor(probe.seq, probe.target, target.row.address)
            self.send(self.members[name].row.address, body, name)

    def probe_failed(self, probe: Probe) -> None:
        self.counts.failed_probes += 1
        missing = max(probe.asked, 0) - probe.nacks
        self.doubt_itself(missing if probe.asked > 0 else 1)
        member = self.members.get(probe.target)
        if member is not None and member.row.state in PRESENT:
            claim = msgspec.structs.replace(member.row, state=State.SUSPECT, by=self.me.name)
            self.claim(claim, self.me.name)

    def look_at_relayed(self) -> None:
        for seq, relayed in list(self.relayed.items()):
            if self.now >= relayed.nack_at:
                relayed.nack_at = inf
                self.send(relayed.address, m.Nack(relayed.seq))
            if self.now >= relayed.ends_at:
                del self.relayed[seq]

    def look_at_suspects(self) -> None:
        for member in list(self.suspects.values()):
            if self.now >= member.suspicion.until:
                dead = msgspec.structs.replace(member.row, state=State.DEAD, by=self.me.name)
                self.claim(dead, self.me.name)

    # -- claims -------------------------------------------------------------------------------------------

    def claim(self, row: Row, by: str) -> bool:
        """A claim about a member; False if there is no room for its name."""
        if row.name == self.me.name:
            self.about_me(row, by)
            return True
        member = self.members.get(row.name)
        if member is None:
            if not self.room_for(row.name):
                return False
            self.members[row.name] = Member(row, self.now, by)
            self.digest ^= row.mark
            if row.state in PRESENT:
                self.ring.insert(self.draw.randint(0, len(self.ring)), row.name)
            self.took(self.members[row.name], "", by, "heard of for the first time")
            return True
        if row.order > member.row.order:
            self.replace(member, row, by)
        elif row.order == member.row.order and member.suspicion is not None:
            if member.suspicion.confirmed(by):
                self.gossip.put(
                    row
                )  # a confirmation is news: others' suspicions shrink by it as well
        return True

    def replace(self, member: Member, row: Row, by: str) -> None:
        old, member.row = member.row, row
        self.digest ^= old.mark ^ row.mark
        before = state_name(old)
        why = reason(old, row)
        # A death claimed anew is a new one: the time for which it was held is no witness of it.
        anew = row.state is State.DEAD and old.incarnation != row.incarnation
        if old.state != row.state or old.generation != row.generation or anew:
            member.since = self.now
        member.by = by
        if row.state in PRESENT and old.state not in PRESENT:
            self.ring.insert(self.draw.randint(0, len(self.ring)), row.name)
        self.took(member, before, by, why)
        if row.state is State.DEAD and by != self.me.name:
            # Hearsay: it is told at once, so that one who lives can say so. Others are told by its answer.
            self.tell_dead(member)

    def tell_dead(self, member: Member) -> None:
        """What is held of it rides on a ping, and its refutation on the answer. No comparison: after a cut
        each member tells half the fleet so, and where views differ each comparison is answered with all that
        the other holds.
        """
        if len(self.out) < BURST:
            self.send(member.row.address, m.Ping(TELLING, member.row.name), member.row.name)

    def took(self, member: Member, before: str, by: str, why: str) -> None:
        """After a member's row has changed: suspicion, news, and a line for those who watch."""
        row = member.row
        if row.state is State.SUSPECT:
            count, t = len(self.here), self.times
            self.suspects[row.name] = member
            member.suspicion = begun(
                self.now, count, t.period, t.suspicion, t.slack, t.confirmations
            )
            member.suspicion.confirmed(by)
            if by != self.me.name and self.draw.random() < TELLERS / count:
                self.urgent = (
                    row.name
                )  # some look for themselves next: doubts are confirmed, or refuted
        elif member.suspicion is not None:
            member.suspicion = None
            del self.suspects[row.name]
        if row.state in PRESENT:
            self.here.add(row.name)
        else:
            self.here.discard(row.name)
        self.gossip.put(row)
        if before != state_name(row) or "start" in why:
            self.note(row.name, before, state_name(row), by, why)

    def note(self, name: str, before: str, after: str, by: str, why: str) -> None:
        self.number += 1
        change = Change(self.number, self.now, name, before, after, by, why)
        self.changes.append(change)
        self.members[name].history.append(change)

    def room_for(self, name: str) -> bool:
        if len(self.members) < self.times.most:
            return True
        old = [
            x
            for x in self.members.values()
            if x.row.state not in PRESENT and self.now - x.since >= self.times.forget
        ]
        if old:
            forgotten = min(old, key=lambda x: x.since).row
            del self.members[forgotten.name]
            self.digest ^= witness_hashed(self.facts.pop(forgotten.name, None))
            self.facts_at.pop(forgotten.name, None)
            self.digest ^= forgotten.mark
            return True
        self.counts.turned_away += 1
        if name not in self.turned and len(self.turned) < self.times.most:
            self.turned.add(name)
            self.number += 1
            why = f"no room: {self.times.most} names are known (fleet.most)"
            self.changes.append(
                Change(self.number, self.now, name, "", "turned away", self.me.name, why)
            )
        return False

    def about_me(self, row: Row, by: str) -> None:
        """Others' claims about this member: doubts are refuted, a later start under its name has it."""
        mine = self.me
        if row.order <= mine.order:
            return
        if row.generation == mine.generation and row.address == mine.address:
            self.counts.refutations += 1
            self.doubt_itself(1)
            self.renew(msgspec.structs.replace(mine, incarnation=row.incarnation + 1))
            self.note(mine.name, state_name(row), "alive", by, f"refuted what {by} said")
        elif self.now - (self.joined_at if self.joined else self.now) < TAKE_OVER:
            self.renew(msgspec.structs.replace(mine, generation=row.generation + 1, incarnation=0))
            why = "took the name over from an earlier start whose clock was ahead"
            self.note(mine.name, "alive", "alive", by, why)
        else:
            self.superseded = row.address
            why = (
                f"{row.address} started later under this name: stop one, or give each its own name"
            )
            self.note(mine.name, "alive", "superseded", by, why)

    def renew(self, row: Row) -> None:
        self.digest ^= self.me.mark ^ row.mark
        self.me = self.members[row.name].row = row
        self.gossip.put(row)
        facts = self.facts.get(row.name)
        if facts is not None and facts.generation != row.generation:
            self.facts[row.name] = msgspec.structs.replace(facts, generation=row.generation)
            self.gossip.put(self.facts[row.name])

    # -- facts and operators' words -----------------------------------------------------------------------

    def tell_facts(self, facts: m.Facts) -> None:
        """This member's own, whenever they have changed; owner, generation and count are filled in here."""
        old = self.facts.get(self.me.name)
        count = old.count + 1 if old is not None else 0
        new = msgspec.structs.replace(
            facts, owner=self.me.name, generation=self.me.generation, count=count
        )
        if old is None or msgspec.structs.replace(new, count=old.count) != old:
            self.hold_facts(new)

    def learn_facts(self, facts: m.Facts) -> None:
        old = self.facts.get(facts.owner)
        if facts.owner == self.me.name or facts.owner not in self.members:
            return  # its row goes before its facts, and is bounded
        if old is None or facts.order > old.order:
            self.hold_facts(facts)

    def hold_facts(self, facts: m.Facts) -> None:
        self.digest ^= witness_hashed(self.facts.get(facts.owner)) ^ witness_hashed(facts)
        self.facts[facts.owner], self.facts_at[facts.owner] = facts, self.now
        self.gossip.put(facts)

    def say(self, worker: str, out: bool, at_us: int) -> m.Word | None:
        """An operator's word at this dispatcher; None if there is no room for another worker."""
        if worker not in self.words and len(self.words) >= self.times.most:
            return None
        stamp = max((word.stamp for word in self.words.values()), default=0) + 1
        word = m.Word(worker, stamp, out, self.me.name, at_us)
        self.learn_word(word)
        return word

    def learn_word(self, word: m.Word) -> None:
        old = self.words.get(word.worker)
        if old is None and len(self.words) >= self.times.most:
            self.counts.turned_away += 1
            return
        if old is None or word.order > old.order:
            self.digest ^= word_hashed(word) ^ (word_hashed(old) if old is not None else 0)
            self.words[word.worker] = word
            self.gossip.put(word)

    # -- anti-entropy -------------------------------------------------------------------------------------

    def sync(self) -> None:
        self.hurried = False
        others = self.others()
        if others:
            self.counts.syncs += 1
            name = self.draw.choice(others)
            self.compare(self.members[name].row.address, name)

    def sync_soon(self) -> None:
        """Where two differ others do as well: each whole exchange is followed by one with somebody else."""
        if not self.hurried:
            self.hurried = True
            self.sync_at = min(
                self.sync_at, self.now + self.times.reach * self.draw.uniform(0.5, 1.0)
            )

    def reach(self) -> None:
        """A seed that nobody alive answers at, and a member held dead: the other side of a cut, perhaps."""
        alive = {self.members[name].row.address for name in self.here}
        seeds = [seed for seed in self.seeds if seed not in alive]
        if not self.joined:
            for seed in seeds[:BURST]:
                self.compare(seed, heard=False)
        elif seeds:
            self.compare(self.draw.choice(seeds), heard=False)
        dead = [x.row for x in self.members.values() if x.row.state is State.DEAD]
        if dead:
            row = self.draw.choice(dead)
            self.compare(row.address, row.name)

    def compare(self, address: str, name: str = "", heard: bool = True) -> None:
        self.send(address, m.Compare(self.digest), name, heard)

    def send_pages(self, address: str, reply: bool) -> None:
        """All that this member holds; a loss costs only that page until the next comparison."""
        if self.now - self.paged.get(address, -inf) < self.times.period / 2:
            return
        if len(self.paged) > self.times.most:
            self.paged.clear()
        self.paged[address] = self.now
        parts: list[msgspec.Struct] = [
            x.row for x in self.members.values() if x.row.name != self.me.name
        ]
        parts += self.words.values()
        parts += self.facts.values()
        for page in pages(iter(parts), ROOM - m.size(self.me)) or [[]]:
            self.emit(address, m.Page(reply), page)
        if not parts:
            self.emit(address, m.Page(reply), [])

    # -- sending ------------------------------------------------------------------------------------------

    def send(self, address: str, body: m.Body, name: str = "", heard: bool = True) -> None:
        """`name`: whom it is for, if known: one that is held suspect or dead is told so. `heard`: whether
        anybody is likely to be there; news is told so often and no more, and must not be spent on the dead.
        """
        room = ROOM - m.size(self.me) - m.size(body)
        parts: list[msgspec.Struct] = []
        member = self.members.get(name)
        if member is not None and member.row.state not in (State.ALIVE, State.LEFT):
            parts.append(member.row)
            room -= m.size(member.row)
            heard = heard and member.row.state is State.SUSPECT
        if heard:
            parts += self.gossip.take(len(self.members), room)
        self.emit(address, body, parts)

    def post(self, now: float, name: str, kind: str, data: bytes) -> list[Send]:
        """Another subsystem's message to a member, once, as likely to be lost as any datagram."""
        self.now = now
        member = self.members.get(name)
        if member is None or self.superseded or self.leaving:
            return []
        self.emit(member.row.address, m.Parcel(kind, data), [])
        return self.taken()

    def emit(self, address: str, body: m.Body, parts: list[msgspec.Struct]) -> None:
        self.out.append(
            Send(address, m.Datagram(m.VERSION, self.cluster, self.me, body, **sorted_out(parts)))
        )

    def taken(self) -> list[Send]:
        out, self.out = self.out, []
        return out

    # -- the end ------------------------------------------------------------------------------------------

    def leave(self, now: float) -> list[Send]:
        """A graceful stop, said to many at once; this member answers nothing from here on."""
        self.now = now
        if self.superseded or self.leaving:
            return []
        left = msgspec.structs.replace(self.me, state=State.LEFT)
        others = self.others()
        self.digest ^= self.me.mark ^ left.mark
        self.me = self.members[left.name].row = left
        self.here.discard(left.name)
        for name in self.draw.sample(others, min(BURST, len(others))):
            self.emit(self.members[name].row.address, m.Compare(self.digest), [left])
        self.leaving = True
        return self.taken()


def state_name(row: Row) -> str:
    return row.state.name.lower()


def reason(old: Row, new: Row) -> str:
    """Why the later claim holds, in words."""
    if new.generation != old.generation:
        return f"a later start (generation {new.generation} after {old.generation})"
    if new.address != old.address:
        return f"a second start in the same instant, at {new.address}"
    if new.incarnation != old.incarnation:
        return f"incarnation {new.incarnation} after {old.incarnation}"
    return {
        State.SUSPECT: "answered neither this prober nor its helpers",
        State.DEAD: "did not refute the suspicion in time",
        State.LEFT: "said that it leaves",
        State.ALIVE: "alive",
    }[new.state]
