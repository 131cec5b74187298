"""One attempt to hold one lease, from wanting it to its end; told its own monotonic time; free of I/O.

Prepare and propose at all voters, then renew in one round while the ballot still has its promises. The
lease is held until so long after the proposal was *sent* that a majority accepted: voters began to count
later, and count longer (rules.kept). A claim that was lost or released is over; who wants on makes another.
"""

import random
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from stepstream.leases import messages as m
from stepstream.leases.messages import Ballot
from stepstream.leases.rules import Rules

RENEW = 1 / 3  # of the time to live after a grant's sending
SLOTS = 30  # of a time to live, in which renewals go together
ROUNDS = 4  # of one ballot whose answers still count
BACKOFF = 5  # doublings of a pause at most


class State(Enum):
    WANTED = "wanted"
    HELD = "held"
    RENEWING = "renewing"  # asked, not yet heard
    DOUBTFUL = "doubtful"  # too late for a new act; what is in hand can still end
    LOST = "lost"
    RELEASED = "released"


class Phase(Enum):
    REST = 0
    PREPARING = 1
    PROPOSING = 2


@dataclass
class Numbers:
    """The highest ballot number that one process knows of, whatever the lease."""

    highest: int

    def next(self) -> int:
        self.highest += 1
        return self.highest

    def lift(self, number: int) -> None:
        self.highest = max(self.highest, number)


@dataclass(slots=True)
class Round:
    sent_at: float
    accepted: set[str] = field(default_factory=set)


class Claim:
    """`proposer`: of this attempt and no other; seconds: `ttl` to live, `act` that one act takes at most."""

    def __init__(
        self,
        rules: Rules,
        lease: str,
        proposer: str,
        ttl: float,
        act: float,
        numbers: Numbers,
        draw: random.Random,
        now: float,
    ) -> None:
        self.rules, self.lease, self.proposer = rules, lease, proposer
        self.ttl = int(ttl * 1000) / 1000  # no longer than the voters are told
        self.act, self.numbers, self.draw = act, numbers, draw
        self.wanted_at = now
        self.phase, self.at = Phase.REST, now  # `at`: when the phase is looked at next
        self.ballot: Ballot | None = None
        self.promised: set[str] = set()
        self.negative: dict[str, float] = {}  # voters that did not promise, seconds until they may
        self.round = 0
        self.rounds: dict[int, Round] = {}
        self.expected_at = -inf  # kept by the core
        self.clean = False  # all that answered the last proposal accepted it: one round renews
        self.token = 0
        self.ends_at = -inf
        self.lost = self.released = False
        self.fading = False  # it is not renewed any more, and no act begins
        self.failures = 0
        self.tries = 0  # of one ballot's preparation
        self.holder = ""  # who may hold it, as a voter said last
        self.answered: dict[
            str, float
        ] = {}  # voters, when each last said anything but that it is silent

    # -- what it is asked ---------------------------------------------------------------------------------

    def held(self, now: float) -> bool:
        return not self.over and now < self.ends_at

    @property
    def over(self) -> bool:
        return self.lost or self.released

    def may_act(self, now: float) -> bool:
        """Whether an act begun now would surely end, within `act`, while nobody else can hold the lease."""
        return self.held(now) and self.ends_at - now > self.act and not self.fading

    def left(self, now: float) -> float:
        """Seconds for which it is held at least."""
        return max(self.ends_at - now, 0.0) if not self.over else 0.0

    def state(self, now: float) -> State:
        if self.released:
            return State.RELEASED
        if self.lost or (self.token and now >= self.ends_at):
            return State.LOST
        if not self.token:
            return State.WANTED
        if not self.may_act(now):
            return State.DOUBTFUL
        return State.HELD if self.phase is Phase.REST else State.RENEWING

    def next_at(self) -> float:
        if self.over:
            return inf
        return min(self.at, self.ends_at) if self.token else self.at

    # -- time ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[m.Message]:
        """What all voters are to be told."""
        if self.over:
            return []
        if self.token and now >= self.ends_at:
            self.lost = True
            return [
                self.farewell()
            ]  # it will not act again: whoever waits need not wait for the margin
        if self.token and self.fading:
            self.at = inf
        if now < self.at:
            return []
        match self.phase:
            case Phase.REST if self.token and self.clean:
                return self.propose(now)
            case Phase.REST:
                return self.prepare(now)
            case Phase.PREPARING if self.tries < 3 and not self.negative:
                return self.ask(now)  # the same ballot: what was lost on the way is asked for again
            case Phase.PREPARING:
                return self.pause(now)
            case Phase.PROPOSING if self.held(now) or self.round < ROUNDS:
                return self.propose(now) if self.clean else self.prepare(now)
        return self.pause(now)

    def prepare(self, now: float) -> list[m.Message]:
        self.ballot = Ballot(self.numbers.next(), self.proposer)
        self.promised, self.negative, self.tries = set(), {}, 0
        self.round, self.rounds, self.clean = 0, {}, False
        return self.ask(now)

    def ask(self, now: float) -> list[m.Message]:
        self.phase, self.at = Phase.PREPARING, now + self.rules.timeout
        self.tries += 1
        waited = min(int((now - self.wanted_at) * 1000), 86_400_000)
        return [m.Prepare(self.lease, self.ballot, int(self.ttl * 1000), waited)]

    def propose(self, now: float) -> list[m.Message]:
        self.phase, self.at = Phase.PROPOSING, now + self.rules.timeout
        self.round += 1
        self.rounds[self.round] = Round(now)
        self.rounds.pop(self.round - ROUNDS, None)
        self.clean = True
        token = self.token or self.ballot.number
        return [m.Propose(self.lease, self.ballot, self.round, token, int(self.ttl * 1000))]

    def pause(self, now: float, least: float = 0.0) -> list[m.Message]:
        """Nothing for a while, drawn by chance so that two in step get out of it."""
        self.failures = min(self.failures + 1, BACKOFF)
        longest = self.rules.timeout * (1 if self.token else 2**self.failures / 2)
        self.phase, self.at = Phase.REST, now + least + self.draw.uniform(0.1, 1.0) * longest
        self.clean = False
        return []

    # -- what voters say ----------------------------------------------------------------------------------

    def handle(self, now: float, member: str, body: m.Message) -> list[m.Message]:
        """What all voters are to be told for it."""
        if self.over:
            return []
        if self.token and now >= self.ends_at:
            return self.tick(now)
        if isinstance(body, m.Busy | m.Stale):
            self.numbers.lift(body.token if isinstance(body, m.Busy) else body.number)
        if isinstance(body, m.Free) and body.ballot.proposer == self.proposer:
            return self.on_free(now)
        if body.ballot != self.ballot or member not in self.rules.everyone:
            return []
        if not isinstance(body, m.Silent | m.Foreign):
            self.answered[member] = now
        match body:
            case m.Promised() if self.phase is Phase.PREPARING:
                self.promised.add(member)
                if self.rules.majority(self.promised):
                    return self.propose(now)
            case m.Accepted():
                self.on_accepted(now, member, body.round)
            case m.Stale() if self.phase is Phase.PROPOSING or self.token:
                self.clean = False  # a voter that restarted, or has promised another: the next is a whole one
                if not self.token:
                    return self.no(now, member, 0.0)
            case m.Busy(_, _, holder, _, left_ms):
                self.holder = holder or self.holder
                return self.no(now, member, left_ms / 1000)
            case m.Stale():
                return self.no(now, member, 0.0)
            case m.Silent(_, _, left_ms):
                return self.no(now, member, left_ms / 1000)
            case m.Foreign():
                return self.no(now, member, self.rules.proposer_waits())
        return []

    def on_accepted(self, now: float, member: str, number: int) -> None:
        made = self.rounds.get(number)
        if made is None:
            return
        made.accepted.add(member)
        ends_at = made.sent_at + self.ttl
        if self.rules.majority(made.accepted) and now < ends_at and ends_at > self.ends_at:
            self.token = self.token or self.ballot.number
            self.ends_at, self.failures = ends_at, 0
            # Renewals of many leases go together, in few letters.
            grid = self.ttl / SLOTS
            self.phase, self.at = (
                Phase.REST,
                max((made.sent_at + self.ttl * RENEW) // grid * grid, now),
            )

    def no(self, now: float, member: str, wait: float) -> list[m.Message]:
        """A voter has not promised, or not accepted; the ballot is given up once no majority is left."""
        self.negative[member] = wait
        if self.phase is Phase.REST or self.rules.majority(
            self.rules.everyone - self.negative.keys()
        ):
            return []
        if self.token:
            return self.pause(now)
        wait = min(self.negative.values())
        if wait <= 0:
            return self.pause(now)
        self.pause(now)
        # Bounded messages: one that waits asks again only to keep its place, or when it may be free.
        longest = self.rules.proposer_waits() * self.draw.uniform(0.6, 1.0)
        self.at = now + min(wait + self.draw.uniform(0.0, 0.1) * self.rules.timeout, longest)
        return []

    def on_free(self, now: float) -> list[m.Message]:
        if self.token or self.phase is not Phase.REST:
            return []
        self.failures = 0
        return self.prepare(now)

    # -- the end ------------------------------------------------------------------------------------------

    def release(self, now: float) -> list[m.Message]:
        """It will not act again; no act may be in hand. Any number of times."""
        if self.over:
            return []
        self.released = True
        return [self.farewell()] if self.ballot is not None else []

    def farewell(self) -> m.Release:
        return m.Release(self.lease, self.ballot)
