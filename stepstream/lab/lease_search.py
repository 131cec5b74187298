"""A small configuration of leases in every order of what may happen to it: three voters, two proposers.

The program's own voters and claims. Every message ever sent may be delivered at any later time, again and
again, or never: so loss, delay without bound, doubling and every order are all tried. Time moves on by steps;
voters restart; proposers prepare (with a number as it comes, or one that skips some), propose again and
release whenever they could, however early or late. Bounded are ballots, renewals, restarts and time. Answers
that only move a proposer's next try (busy, stale, silent, your turn) are left out: any try is tried anyhow.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from stepstream.leases import messages as m
from stepstream.leases.claim import Claim, Numbers, Round
from stepstream.leases.rules import Rules
from stepstream.leases.voter import Record, Voter

LEASE, TTL = "x", 2.0
VOTERS, PROPOSERS = ("v0", "v1", "v2"), ("a", "b")
HEARD = (m.Promised, m.Accepted)
RATES = {
    "a": -1,
    "b": 0,
}  # times the drift: a holder whose clock runs slow among voters whose clocks run fast


class TwoHoldersError(Exception):
    """The text is the path that led there."""


@dataclass(frozen=True)
class Bounds:
    ballots: tuple[int, int] = (1, 1)
    renewals: int = 1
    restarts: int = 1
    steps: int = 3  # of a second: how long a path may last
    drift: float = 0.125
    releases: bool = True


@dataclass
class Situation:
    """Whatever an act does not touch is shared with the situation before it. `boxes`: by voter, numbers of
    the messages ever sent between it and the proposers.
    """

    now: float
    voters: dict[str, Voter]
    boxes: dict[str, frozenset[int]]
    claims: tuple[Claim, ...]
    renewals: int = 0
    restarts: int = 0
    asked: tuple[int, ...] = (0, 0)  # ballots begun

    def copy(self) -> "Situation":
        made = Situation.__new__(Situation)
        made.__dict__.update(self.__dict__)
        return made

    def key(self) -> int:
        """Alike for situations that differ only in which voter is which: all start and are clocked alike."""
        voters = sorted(hash((self.voter_key(name), self.boxes[name])) for name in VOTERS)
        claims = tuple(claim_key(claim) for claim in self.claims)
        return hash((self.now, tuple(voters), claims, self.renewals, self.restarts, self.asked))

    def voter_key(self, name: str) -> object:
        counted = tuple(
            (
                name in claim.promised,
                tuple(n for n, one in claim.rounds.items() if name in one.accepted),
            )
            for claim in self.claims
        )
        return state_of(self.voters[name]), counted


def state_of(voter: Voter) -> object:
    record = voter.records.get(LEASE)
    if record is None:
        return voter.silent_until
    promised = (
        (record.promised.number, record.promised.proposer) if record.promised is not None else None
    )
    grant = record.grant
    kept = (grant.ballot.number, grant.ballot.proposer, grant.until) if grant is not None else None
    return voter.silent_until, promised, record.closed, kept


def claim_key(claim: Claim) -> object:
    rounds = tuple((n, one.sent_at, len(one.accepted)) for n, one in sorted(claim.rounds.items()))
    ballot = claim.ballot.number if claim.ballot is not None else 0
    return (
        ballot,
        len(claim.promised),
        rounds,
        claim.token,
        claim.ends_at,
        claim.over,
        claim.phase.value,
    )


def own_voter(voter: Voter) -> Voter:
    made = Voter.__new__(Voter)
    made.__dict__.update(voter.__dict__)
    record = voter.records.get(LEASE)
    if record is not None:
        fresh = Record(record.promised, record.closed, record.grant, record.free_since, {})
        made.records = {LEASE: fresh}
    else:
        made.records = {}
    return made


def own_claim(claim: Claim) -> Claim:
    made = Claim.__new__(Claim)
    made.__dict__.update(claim.__dict__)
    made.numbers = Numbers(claim.numbers.highest)
    made.promised, made.negative, made.answered = set(claim.promised), {}, {}
    made.rounds = {n: Round(one.sent_at, set(one.accepted)) for n, one in claim.rounds.items()}
    return made


@dataclass
class Search:
    """`most`: states after which it gives up, unfinished."""

    bounds: Bounds
    most: int = 10_000_000
    seen: set[int] = field(default_factory=set)
    held: int = 0  # states in which somebody holds the lease
    messages: list[tuple[int, m.Message]] = field(default_factory=list)  # proposer, what; both ways
    numbers: dict[tuple[int, m.Message], int] = field(default_factory=dict)

    @property
    def states(self) -> int:
        return len(self.seen)

    def run(self) -> bool:
        """Whether everything was tried; TwoHoldersError with the path that led there."""
        todo: list[tuple[Situation, tuple]] = [(self.first(), ())]
        while todo:
            situation, path = todo.pop()
            for name, then in self.nexts(situation):
                if (key := then.key()) in self.seen:
                    continue
                self.seen.add(key)
                if len(self.seen) >= self.most:
                    return False
                holders = sum(
                    claim.held(self.local(then, k)) for k, claim in enumerate(then.claims)
                )
                self.held += holders > 0
                if holders > 1:
                    raise TwoHoldersError(" / ".join(unrolled((path, name))))
                todo.append((then, (path, name)))
        return True

    def first(self) -> Situation:
        rules = Rules(VOTERS, drift=self.bounds.drift, longest=TTL, timeout=TTL / 4, turn=0.0)
        claims = tuple(
            Claim(rules, LEASE, name, TTL, TTL / 4, Numbers(0), random.Random(1), 0.0)
            for name in PROPOSERS
        )
        voters = {name: Voter(rules, -1e6) for name in VOTERS}
        return Situation(0.0, voters, dict.fromkeys(VOTERS, frozenset()), claims)

    def local(self, situation: Situation, k: int) -> float:
        return situation.now * (1.0 + self.bounds.drift * RATES[PROPOSERS[k]])

    def clock(self, situation: Situation) -> float:
        """The voters'."""
        return situation.now * (1.0 + self.bounds.drift)

    # -- what may happen next -------------------------------------------------------------------------------

    def nexts(self, situation: Situation) -> Iterator[tuple[str, Situation]]:
        bounds = self.bounds
        if situation.now < bounds.steps:
            yield "time", self.later(situation)
        for name in VOTERS:
            for number in situation.boxes[name]:
                k, body = self.messages[number]
                then = (
                    self.heard(situation, name, k, body)
                    if isinstance(body, HEARD)
                    else self.asked(situation, name, k, body)
                )
                if then is not None:
                    yield f"{type(body).__name__} {name} {PROPOSERS[k]}", then
            if situation.restarts < bounds.restarts:
                then = situation.copy()
                then.restarts += 1
                fresh = Voter(situation.voters[name].rules, self.clock(situation))
                then.voters = {**situation.voters, name: fresh}
                yield f"{name} restarts", then
        for k, claim in enumerate(situation.claims):
            if not claim.over:
                yield from self.tries(situation, k, claim)

    def tries(self, situation: Situation, k: int, claim: Claim) -> Iterator[tuple[str, Situation]]:
        bounds, who = self.bounds, PROPOSERS[k]
        if situation.asked[k] < bounds.ballots[k]:
            for skip in (0, 1):
                then, mine = self.touched(situation, k)
                mine.numbers.highest += skip
                then.asked = tuple(n + (j == k) for j, n in enumerate(situation.asked))
                self.say(then, k, mine.prepare(self.local(then, k)))
                yield f"{who} prepares {mine.ballot.number}", then
        if (
            claim.rounds
            and claim.rules.majority(claim.promised)
            and situation.renewals < bounds.renewals
        ):
            then, mine = self.touched(situation, k)
            then.renewals += 1
            self.say(then, k, mine.propose(self.local(then, k)))
            yield f"{who} proposes again", then
        if bounds.releases and claim.token:
            then, mine = self.touched(situation, k)
            self.say(then, k, mine.release(self.local(then, k)))
            yield f"{who} releases", then

    def touched(self, situation: Situation, k: int) -> tuple[Situation, Claim]:
        then, mine = situation.copy(), own_claim(situation.claims[k])
        then.claims = tuple(mine if j == k else claim for j, claim in enumerate(situation.claims))
        return then, mine

    def later(self, situation: Situation) -> Situation:
        then = situation.copy()
        then.now += 1.0
        for k in range(len(PROPOSERS)):
            claim = then.claims[k]
            if claim.token and not claim.over and self.local(then, k) >= claim.ends_at:
                moved, mine = self.touched(then, k)
                then = moved
                self.say(then, k, mine.tick(self.local(then, k)))
        then.voters = {name: own_voter(voter) for name, voter in then.voters.items()}
        for voter in then.voters.values():
            voter.tick(self.clock(then))
        return then

    def asked(self, situation: Situation, name: str, k: int, body: m.Message) -> Situation | None:
        """A voter is asked; None if that changes nothing."""
        old = situation.voters[name]
        voter = own_voter(old)
        told = voter.handle(self.clock(situation), PROPOSERS[k], body)
        box = situation.boxes[name] | {self.number(k, x) for _, x in told if isinstance(x, HEARD)}
        if box == situation.boxes[name] and state_of(voter) == state_of(old):
            return None
        then = situation.copy()
        then.voters, then.boxes = {**situation.voters, name: voter}, {**situation.boxes, name: box}
        return then

    def heard(self, situation: Situation, name: str, k: int, body: m.Message) -> Situation | None:
        """A proposer hears an answer; None if that is no news."""
        claim = situation.claims[k]
        if claim.over or body.ballot != claim.ballot:
            return None
        if isinstance(body, m.Promised) and name in claim.promised:
            return None
        then, mine = self.touched(situation, k)
        self.say(then, k, mine.handle(self.local(then, k), name, body))
        return then

    def number(self, k: int, body: m.Message) -> int:
        if (k, body) not in self.numbers:
            self.numbers[k, body] = len(self.messages)
            self.messages.append((k, body))
        return self.numbers[k, body]

    def say(self, then: Situation, k: int, bodies: list[m.Message]) -> None:
        if bodies:
            # What matters of a prepare is its ballot: how long somebody has waited is for comfort.
            plain = [msg_without_wait(body) for body in bodies]
            fresh = {self.number(k, body) for body in plain}
            then.boxes = {name: box | fresh for name, box in then.boxes.items()}


def msg_without_wait(body: m.Message) -> m.Message:
    return (
        m.Prepare(body.lease, body.ballot, body.ttl_ms, 0) if isinstance(body, m.Prepare) else body
    )


def unrolled(path: tuple) -> list[str]:
    names: list[str] = []
    while path:
        path, name = path
        names.append(name)
    return names[::-1]
