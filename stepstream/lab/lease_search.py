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
from stepstream.leases.acceptor import Acceptor, LeaseRecord
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.proposer import BallotSequence, ProposalRound, Proposer
from stepstream.leases.wait_queue import WaitQueue

LEASE, TTL = "x", 2.0
VOTERS, PROPOSERS = ("v0", "v1", "v2"), ("a", "b")
HEARD = (m.Promise, m.Accepted)
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
    voters: dict[str, Acceptor]
    boxes: dict[str, frozenset[int]]
    claims: tuple[Proposer, ...]
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
                name in claim.promised_by,
                tuple(n for n, one in claim.rounds.items() if name in one.accepted_by),
            )
            for claim in self.claims
        )
        return state_of(self.voters[name]), counted


def state_of(voter: Acceptor) -> object:
    record = voter.records.get(LEASE)
    if record is None:
        return voter.recovering_until
    promised = (
        (record.promised.number, record.promised.proposer) if record.promised is not None else None
    )
    grant = record.grant
    kept = (
        (grant.ballot.number, grant.ballot.proposer, grant.expires_at)
        if grant is not None
        else None
    )
    return voter.recovering_until, promised, record.promise_released, kept


def claim_key(claim: Proposer) -> object:
    rounds = tuple(
        (n, one.sent_at, len(one.accepted_by)) for n, one in sorted(claim.rounds.items())
    )
    ballot = claim.ballot.number if claim.ballot is not None else 0
    return (
        ballot,
        len(claim.promised_by),
        rounds,
        claim.token,
        claim.expires_at,
        claim.is_over,
        claim.phase.value,
    )


def own_voter(voter: Acceptor) -> Acceptor:
    made = Acceptor.__new__(Acceptor)
    made.__dict__.update(voter.__dict__)
    record = voter.records.get(LEASE)
    if record is not None:
        fresh = LeaseRecord(
            WaitQueue(voter.configuration),
            record.promised,
            record.promise_released,
            record.grant,
            record.free_since,
        )
        made.records = {LEASE: fresh}
    else:
        made.records = {}
    return made


def own_claim(claim: Proposer) -> Proposer:
    made = Proposer.__new__(Proposer)
    made.__dict__.update(claim.__dict__)
    made.ballots = BallotSequence(claim.ballots.highest)
    made.promised_by, made.rejections, made.answered_at = set(claim.promised_by), {}, {}
    made.rounds = {
        n: ProposalRound(one.sent_at, set(one.accepted_by)) for n, one in claim.rounds.items()
    }
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
                    claim.is_held(self.local(then, k)) for k, claim in enumerate(then.claims)
                )
                self.held += holders > 0
                if holders > 1:
                    raise TwoHoldersError(" / ".join(unrolled((path, name))))
                todo.append((then, (path, name)))
        return True

    def first(self) -> Situation:
        rules = LeaseConfiguration(
            VOTERS,
            max_clock_drift=self.bounds.drift,
            max_ttl_seconds=TTL,
            round_timeout_seconds=TTL / 4,
            head_start_seconds=0.0,
        )
        claims = tuple(
            Proposer(rules, LEASE, name, TTL, TTL / 4, BallotSequence(0), random.Random(1), 0.0)
            for name in PROPOSERS
        )
        voters = {name: Acceptor(rules, -1e6) for name in VOTERS}
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
                fresh = Acceptor(situation.voters[name].configuration, self.clock(situation))
                then.voters = {**situation.voters, name: fresh}
                yield f"{name} restarts", then
        for k, claim in enumerate(situation.claims):
            if not claim.is_over:
                yield from self.tries(situation, k, claim)

    def tries(
        self, situation: Situation, k: int, claim: Proposer
    ) -> Iterator[tuple[str, Situation]]:
        bounds, who = self.bounds, PROPOSERS[k]
        if situation.asked[k] < bounds.ballots[k]:
            for skip in (0, 1):
                then, mine = self.touched(situation, k)
                mine.ballots.highest += skip
                then.asked = tuple(n + (j == k) for j, n in enumerate(situation.asked))
                self.say(then, k, mine.begin_ballot(self.local(then, k)))
                yield f"{who} prepares {mine.ballot.number}", then
        if (
            claim.rounds
            and claim.configuration.is_quorum(claim.promised_by)
            and situation.renewals < bounds.renewals
        ):
            then, mine = self.touched(situation, k)
            then.renewals += 1
            self.say(then, k, mine.propose(self.local(then, k)))
            yield f"{who} proposes again", then
        if bounds.releases and claim.token:
            then, mine = self.touched(situation, k)
            self.say(then, k, mine.release())
            yield f"{who} releases", then

    def touched(self, situation: Situation, k: int) -> tuple[Situation, Proposer]:
        then, mine = situation.copy(), own_claim(situation.claims[k])
        then.claims = tuple(mine if j == k else claim for j, claim in enumerate(situation.claims))
        return then, mine

    def later(self, situation: Situation) -> Situation:
        then = situation.copy()
        then.now += 1.0
        for k in range(len(PROPOSERS)):
            claim = then.claims[k]
            if claim.token and not claim.is_over and self.local(then, k) >= claim.expires_at:
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
        if claim.is_over or body.ballot != claim.ballot:
            return None
        if isinstance(body, m.Promise) and name in claim.promised_by:
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
