"""One member's part in all leases: its voter, if it is one, and its claims; free of I/O.

Letters between members hold several bodies each; what a member says to itself takes no letter. The fleet's
view is asked for nobody's vote: who votes stands in the rules.
"""

import random
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from stepstream.leases import messages as m
from stepstream.leases.claim import Claim, Numbers, State
from stepstream.leases.rules import Rules
from stepstream.leases.voter import Told, Voter

CHANGES = 512  # kept until they are written
AGAIN = 2  # times that a release is told once more: one that is lost costs the next holder a time to live
MOST_AGAIN = 4_096
FRAME = 40  # bytes of a letter round its bodies, at most


@dataclass(frozen=True, slots=True)
class Send:
    member: str
    letter: m.Letter


@dataclass(frozen=True, slots=True)
class Change:
    at: float
    lease: str
    proposer: str
    before: str
    after: str
    token: int


class Core:
    def __init__(
        self, name: str, process: str, rules: Rules, base: int, draw: random.Random, now: float
    ) -> None:
        """`process`: this start's name, of no other process ever; `base`: ballots begin above it, best the
        time of day in milliseconds: one that was set back costs refusals by the guard, never safety.
        """
        self.name, self.process, self.rules, self.draw = name, process, rules, draw
        self.numbers = Numbers(base)
        self.voter = Voter(rules, now) if name in rules.everyone else None
        self.claims: dict[str, Claim] = {}  # by proposer
        self.times: list[
            tuple[float, str]
        ] = []  # a heap of when claims are to be looked at; old times linger
        self.serial = 0
        self.again: deque[tuple[float, m.Release, int]] = deque(maxlen=MOST_AGAIN)
        self.foreign: dict[str, tuple[int, ...]] = {}  # members with other rules, as they said
        self.seen: dict[str, State] = {}
        self.changes: deque[Change] = deque(maxlen=CHANGES)
        self.looked = -inf  # the last tick
        self.inner: deque[m.Message] = deque()
        self.out: defaultdict[str, list[m.Message]] = defaultdict(list)

    # -- leases -------------------------------------------------------------------------------------------

    def acquire(self, now: float, lease: str, ttl: float, act: float) -> tuple[Claim, list[Send]]:
        """A claim that wants the lease from now on. Seconds; check `ttl` by `fault_of` first."""
        self.serial += 1
        proposer = f"{self.process}.{self.serial}"
        claim = Claim(self.rules, lease, proposer, ttl, act, self.numbers, self.draw, now)
        self.claims[proposer] = claim
        self.note(now, claim)
        self.after(now, claim, claim.tick(now))
        return claim, self.taken(now)

    def release(self, now: float, claim: Claim) -> list[Send]:
        bodies = claim.release(now)
        self.broadcast(bodies)
        self.end(now, claim, bodies)
        return self.taken(now)

    def lift(self, number: int) -> None:
        """A guarded resource has seen this token: later ballots are above it."""
        self.numbers.lift(number)

    def end(self, now: float, claim: Claim, bodies: list[m.Message]) -> None:
        self.note(now, claim)
        for body in bodies:
            self.again.append((now + self.rules.timeout, body, AGAIN))
        self.claims.pop(claim.proposer, None)
        self.seen.pop(claim.proposer, None)

    # -- what it is told ----------------------------------------------------------------------------------

    def handle(self, now: float, member: str, letter: m.Letter) -> list[Send]:
        """A letter of another member, by the name that the fleet's view gives its sender."""
        fits = set(letter.sets) & set(self.rules.marks)
        if not fits:
            self.foreign[member] = letter.sets
            if len(self.foreign) > self.rules.most:
                self.foreign.pop(next(iter(self.foreign)))
            for body in letter.bodies:
                if isinstance(body, m.Prepare | m.Propose):
                    self.out[member].append(m.Foreign(body.lease, body.ballot))
                elif isinstance(body, m.Foreign):
                    self.on_body(now, member, body)
            return self.taken(now)
        self.foreign.pop(member, None)
        for body in letter.bodies:
            self.on_body(now, member, body)
        return self.taken(now)

    def on_body(self, now: float, member: str, body: m.Message) -> None:
        if isinstance(body, m.ASKS):
            if self.voter is not None:
                self.tell(self.voter.handle(now, member, body))
        elif (claim := self.claims.get(body.ballot.proposer)) is not None:
            self.after(now, claim, claim.handle(now, member, body))

    def tick(self, now: float) -> list[Send]:
        self.looked = now
        if self.voter is not None:
            self.tell(self.voter.tick(now))
        while self.times and self.times[0][0] <= now:
            _, proposer = heappop(self.times)
            claim = self.claims.get(proposer)
            if claim is None:
                continue
            if now >= claim.next_at():
                self.after(now, claim, claim.tick(now))
            else:
                self.expect(claim)
        while self.again and now >= self.again[0][0]:
            _, body, left = self.again.popleft()
            self.broadcast([body])
            if left > 1:
                self.again.append((now + self.rules.timeout, body, left - 1))
        return self.taken(now)

    def next_at(self) -> float:
        due = self.times[0][0] if self.times else inf
        if self.again:
            due = min(due, self.again[0][0])
        return min(due, self.voter.due) if self.voter is not None else due

    def after(self, now: float, claim: Claim, bodies: list[m.Message]) -> None:
        self.broadcast(bodies)
        if claim.over:
            self.end(now, claim, bodies)
        else:
            self.note(now, claim)
            self.expect(claim)

    def expect(self, claim: Claim) -> None:
        """Its next time is put among the others, unless one of it that is no later stands there."""
        at = claim.next_at()
        if at < claim.expected_at or claim.expected_at <= self.looked:
            claim.expected_at = at
            heappush(self.times, (at, claim.proposer))

    def fade(self, now: float, lease: str | None = None) -> list[Send]:
        """No act begins and nothing is renewed, of one lease or all; those that only wait are withdrawn."""
        for claim in [x for x in self.claims.values() if lease in (None, x.lease)]:
            claim.fading = True
            if not claim.token:
                bodies = claim.release(now)
                self.broadcast(bodies)
                self.end(now, claim, bodies)
        return self.taken(now)

    def note(self, now: float, claim: Claim) -> None:
        before, after = self.seen.get(claim.proposer), claim.state(now)
        if before is not after:
            self.seen[claim.proposer] = after
            said = before.value if before is not None else ""
            self.changes.append(
                Change(now, claim.lease, claim.proposer, said, after.value, claim.token)
            )

    # -- sending ------------------------------------------------------------------------------------------

    def broadcast(self, bodies: list[m.Message]) -> None:
        self.tell([(voter, body) for body in bodies for voter in sorted(self.rules.everyone)])

    def tell(self, told: Iterable[Told]) -> None:
        for member, body in told:
            if member == self.name:
                self.inner.append(body)
            else:
                self.out[member].append(body)

    def taken(self, now: float) -> list[Send]:
        while self.inner:
            self.on_body(now, self.name, self.inner.popleft())
        sends = [
            Send(member, m.Letter(m.VERSION, self.rules.marks, tuple(part)))
            for member, bodies in self.out.items()
            for part in split(bodies)
        ]
        self.out.clear()
        return sends


def split(bodies: list[m.Message]) -> Iterable[list[m.Message]]:
    """Into letters that fit."""
    part: list[m.Message] = []
    left = m.LETTER - FRAME
    for body in bodies:
        need = m.size(body)
        if part and (need > left or len(part) >= m.MOST_BODIES):
            yield part
            part, left = [], m.LETTER - FRAME
        part.append(body)
        left -= need
    if part:
        yield part


def fault_of(rules: Rules, ttl: float, act: float) -> str:
    """Why a lease cannot be had for so long, naming the key, or ""."""
    if ttl < rules.shortest:
        return f"ttl_ms={ttl * 1000:.0f} is under {rules.shortest * 1000:.0f}, four times leases.timeout_ms"
    if ttl > rules.longest:
        return f"ttl_ms={ttl * 1000:.0f} is over leases.longest_s={rules.longest:g}"
    if not 0 < act <= ttl / 2:
        return f"act_ms={act * 1000:.0f} is not between 1 and half of ttl_ms={ttl * 1000:.0f}"
    return ""
