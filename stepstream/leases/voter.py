"""One voter: what it has promised and accepted, in memory only; told its own monotonic time; free of I/O.

It answers prepares and proposals so that of all ballots for a lease at most one at a time has a majority's
unexpired acceptance. What it had promised before a restart it cannot know, so it is silent until all of
that is over. Who waits is kept in order as a courtesy: nothing about safety rests on it.
"""

from dataclasses import dataclass, field
from math import inf

from stepstream.leases import messages as m
from stepstream.leases.messages import Ballot
from stepstream.leases.rules import Rules

Told = tuple[str, m.Message]  # member, what it is told


@dataclass(slots=True)
class Grant:
    """An accepted proposal, for the voter's part."""

    ballot: Ballot
    token: int
    until: float


@dataclass(slots=True)
class Waiter:
    member: str
    ballot: Ballot
    since: float  # it has wanted the lease, by its own word
    heard: float
    told: bool = False  # that it is its turn


@dataclass(slots=True)
class Record:
    """Of one lease."""

    promised: Ballot | None = None
    closed: bool = False  # the promised ballot was released: nothing of it is accepted any more
    grant: Grant | None = None
    free_since: float = -inf
    waiters: dict[str, Waiter] = field(default_factory=dict)  # by proposer


class Voter:
    def __init__(self, rules: Rules, now: float) -> None:
        self.rules = rules
        self.silent_until = now + rules.silence
        self.records: dict[str, Record] = {}
        self.floor = 0  # the highest number of what was forgotten
        self.due = inf  # the next time at which a grant runs out or a turn comes

    def silent(self, now: float) -> float:
        """Seconds for which it will say nothing yet."""
        return max(self.silent_until - now, 0.0)

    def handle(self, now: float, member: str, body: m.Message) -> list[Told]:
        """A proposer's call, and what is told to whom for it."""
        told = self.tick(now)
        if (left := self.silent(now)) > 0:
            if not isinstance(body, m.Release):
                told.append((member, m.Silent(body.lease, body.ballot, to_ms(left))))
            return told
        match body:
            case m.Prepare():
                told.append((member, self.on_prepare(now, member, body)))
            case m.Propose():
                told.append((member, self.on_propose(now, body)))
            case m.Release():
                told += self.on_release(now, body)
        return told

    def on_prepare(self, now: float, member: str, body: m.Prepare) -> m.Message:
        lease, ballot = body.lease, body.ballot
        record = self.records.get(lease)
        if record is None:
            if not self.room():
                return m.Busy(lease, ballot, "", 0, to_ms(self.rules.longest))
            record = self.records[lease] = Record(free_since=now)
        grant = record.grant
        if grant is not None and grant.ballot.proposer != ballot.proposer:
            self.enlist(now, member, record, body)
            return m.Busy(
                lease, ballot, grant.ballot.proposer, grant.token, to_ms(grant.until - now)
            )
        if grant is None and (wait := self.turn_in(now, record, ballot.proposer)) > 0:
            self.enlist(now, member, record, body)
            return m.Busy(lease, ballot, "", 0, to_ms(wait))
        if ballot == record.promised and not record.closed:
            return m.Promised(lease, ballot)
        top = max(record.promised.number if record.promised is not None else 0, self.floor)
        if ballot.number <= top:
            return m.Stale(lease, ballot, top)
        record.promised, record.closed = ballot, False
        return m.Promised(lease, ballot)

    def on_propose(self, now: float, body: m.Propose) -> m.Message:
        record = self.records.get(body.lease)
        if record is None or record.promised != body.ballot or record.closed:
            top = (
                record.promised.number
                if record is not None and record.promised is not None
                else self.floor
            )
            return m.Stale(body.lease, body.ballot, top)
        until = now + self.rules.kept(body.ttl_ms / 1000)
        record.grant = Grant(body.ballot, body.token, until)
        record.waiters.pop(body.ballot.proposer, None)
        self.due = min(self.due, until)
        return m.Accepted(body.lease, body.ballot, body.round)

    def on_release(self, now: float, body: m.Release) -> list[Told]:
        record, ballot = self.records.get(body.lease), body.ballot
        if record is None:
            return []
        record.waiters.pop(ballot.proposer, None)
        if covers(ballot, record.promised):
            record.closed = True
        if record.grant is not None and covers(ballot, record.grant.ballot):
            record.grant, record.free_since = None, now
            return self.call_next(now, body.lease, record)
        return []

    # -- who waits ----------------------------------------------------------------------------------------

    def enlist(self, now: float, member: str, record: Record, body: m.Prepare) -> None:
        proposer = body.ballot.proposer
        since = now - body.waited_ms / 1000
        known = record.waiters.get(proposer)
        if known is None and len(record.waiters) >= self.rules.most_waiting:
            self.drop_silent(now, record)
            if len(record.waiters) >= self.rules.most_waiting:
                return
        if known is not None:
            since = min(
                since, known.since
            )  # one that was long on its way does not go back in the row
        told = known is not None and known.told
        record.waiters[proposer] = Waiter(member, body.ballot, since, now, told)
        if record.grant is None:
            self.due = min(self.due, now + self.rules.turn)

    def drop_silent(self, now: float, record: Record) -> None:
        """Those that have not asked again for three times as long as they would."""
        oldest = now - 3 * self.rules.proposer_waits()
        record.waiters = {name: x for name, x in record.waiters.items() if x.heard >= oldest}

    def row(self, now: float, record: Record) -> list[Waiter]:
        self.drop_silent(now, record)
        return sorted(record.waiters.values(), key=lambda x: (x.since, x.ballot.proposer))

    def turn_in(self, now: float, record: Record, proposer: str) -> float:
        """Seconds until a proposer may go first: one more of the row for each turn that the lease is free."""
        before = 0
        for waiter in self.row(now, record):
            if waiter.ballot.proposer == proposer:
                break
            before += 1
        return record.free_since + before * self.rules.turn - now

    def call_next(self, now: float, lease: str, record: Record) -> list[Told]:
        told: list[Told] = []
        for place, waiter in enumerate(self.row(now, record)):
            at = record.free_since + place * self.rules.turn
            if at > now:
                self.due = min(self.due, at)
                break
            if not waiter.told:
                waiter.told = True
                told.append((waiter.member, m.Free(lease, waiter.ballot)))
        return told

    # -- time ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Told]:
        """Grants that have run out, and turns that have come."""
        if now < self.due:
            return []
        self.due, told = inf, []
        for lease, record in self.records.items():
            if record.grant is not None and now >= record.grant.until:
                record.free_since = record.grant.until
                record.grant = None
            if record.grant is not None:
                self.due = min(self.due, record.grant.until)
            elif record.waiters:
                told += self.call_next(now, lease, record)
        return told

    def room(self) -> bool:
        """For one more lease; one that nobody holds or waits for is forgotten, its number is not."""
        if len(self.records) < self.rules.most:
            return True
        for lease, record in self.records.items():
            if record.grant is None and not record.waiters:
                self.floor = max(
                    self.floor, record.promised.number if record.promised is not None else 0
                )
                del self.records[lease]
                return True
        return False


def covers(released: Ballot, ballot: Ballot | None) -> bool:
    """Whether a release is of this grant: an earlier grant's, arriving late, must not end a later one."""
    return (
        ballot is not None
        and ballot.proposer == released.proposer
        and ballot.number <= released.number
    )


def to_ms(seconds: float) -> int:
    """Rounded up."""
    return min(int(max(seconds, 0.0) * 1000) + 1, 86_400_000)
