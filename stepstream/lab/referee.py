"""The four rules, held at nodes and clients, never at the dispatcher, and a run's worth; free of I/O.

1. Whatever a dispatcher took gets one final answer: served with what a node made for it, refused only if
trying again is harmless, or failed. 2. What may have run is not sent again beyond what its class allows. 3.
A node gets nothing new later than the grace after the dispatcher was told that it drains or is gone. 4. No
cold node is pushed over.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from stepstream.lab.site import Ask, Day

SLACK_US = 50_000  # on sockets every time limit is so much longer
WINDOW_US = 10_000_000
MOST_BREACHES = 100


class Final(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # the connection ended without an answer


@dataclass(slots=True)
class Attempt:
    """One arrival of a client's try at a node."""

    node: str
    cell: int
    at_us: int
    open: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class Try:
    attempts: list[Attempt] = field(default_factory=list)
    made: set[str] = field(default_factory=set)  # results that nodes gave for it
    finals: list[Final] = field(default_factory=list)


@dataclass(slots=True)
class Record:
    """What became of one job, all its tries together."""

    ask: Ask
    final: Final | None = None
    took_us: int = 0  # from the first try's sending to the last answer


@dataclass(slots=True)
class Figures:
    """A run's result. Shares from 0 to 1, times in milliseconds."""

    score: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    by_class: dict[str, dict[str, float]]
    by_tenant: dict[str, float]
    finals: dict[str, int]
    attempts: int
    breaches: list[str]


class Referee:
    def __init__(self, day: Day) -> None:
        self.day = day
        self.begun_us = 0
        self.tries: dict[tuple[int, int], Try] = {}
        self.records: dict[int, Record] = {}
        self.told: dict[str, int] = {}  # by node: since when its drain is told, in microseconds
        self.breaches: list[str] = []
        self.count = 0

    def breach(self, now_us: int, text: str) -> None:
        if len(self.breaches) < MOST_BREACHES:
            self.breaches.append(f"{(now_us - self.begun_us) / 1e6:.3f} s: {text}")

    # -- at the nodes -------------------------------------------------------------------------------------

    def drain_told(self, now_us: int, node: str) -> None:
        self.told.setdefault(node, now_us)

    def ready_again(self, node: str) -> None:
        self.told.pop(node, None)

    def arrived(self, now_us: int, key: tuple[int, int], node: str, cell: int) -> Attempt:
        """A try's attempt has reached a node: rules 2 and 3."""
        self.count += 1
        if not 0 <= key[0] < len(self.day.asks):
            return Attempt(node, cell, now_us)  # of a client that the schedule does not know
        tried = self.tries.setdefault(key, Try())
        part = self.day.site.job[self.day.asks[key[0]].job_class]
        name = f"{part.name} {key[0]} try {key[1]} at {node}"
        grace_us = self.day.site.drain_grace_ms * 1000 + SLACK_US
        if node in self.told and now_us > self.told[node] + grace_us:
            self.breach(
                now_us,
                f"new work after the drain: {name}, {(now_us - self.told[node]) / 1e6:.3f} s",
            )
        if any(a.node == node and a.open and not a.never_ran for a in tried.attempts):
            self.breach(now_us, f"a second open call to one node: {name}")
        ran = [a for a in tried.attempts if not a.never_ran]
        if ran and part.effect == "side_effect":
            self.breach(now_us, f"sent again though it may have run: {name}")
        if ran and part.effect == "token":
            if ran[0].cell != cell:
                self.breach(now_us, f"repeated outside its cell: {name}")
            if now_us > ran[0].at_us + part.window_ms * 1000 + SLACK_US:
                self.breach(now_us, f"repeated past its window: {name}")
        attempt = Attempt(node, cell, now_us)
        tried.attempts.append(attempt)
        return attempt

    def made(self, key: tuple[int, int], result: str) -> None:
        if key in self.tries:
            self.tries[key].made.add(result)

    def toppled(self, now_us: int, node: str) -> None:
        self.breach(now_us, f"a cold node was pushed over: {node}")

    # -- at the clients -----------------------------------------------------------------------------------

    def asked(self, ask: Ask) -> None:
        self.records[ask.number] = Record(ask)

    def answered(
        self, now_us: int, key: tuple[int, int], final: Final, result: str | None = None
    ) -> None:
        """A try's final answer: rule 1."""
        tried = self.tries.setdefault(key, Try())
        tried.finals.append(final)
        record = self.records[key[0]]
        record.final, record.took_us = final, now_us - self.begun_us - record.ask.at_us
        part = self.day.site.job[record.ask.job_class]
        if len(tried.finals) > 1:
            self.breach(now_us, f"a second final answer: {part.name} {key[0]} try {key[1]}")
        if final is Final.LOST:
            self.breach(now_us, f"lost: {part.name} {key[0]} try {key[1]}")
        if final is Final.SERVED and result not in tried.made:
            self.breach(now_us, f"served with what no node made: {part.name} {key[0]} try {key[1]}")
        may_have_run = any(not a.never_ran for a in tried.attempts)
        if final is Final.REFUSED and part.effect != "pure" and may_have_run:
            self.breach(
                now_us, f"refused though it may have run: {part.name} {key[0]} try {key[1]}"
            )

    # -- the score ----------------------------------------------------------------------------------------

    def aim_us(self, ask: Ask) -> float:
        part = self.day.site.job[ask.job_class]
        return min(part.aim_ms * 1000 + part.stretch * ask.work_us, part.deadline_ms * 1000)

    def in_time(self, record: Record) -> bool:
        return record.final is Final.SERVED and record.took_us <= self.aim_us(record.ask)

    def share(self, records: list[Record]) -> float:
        """Worth answered within its aim over worth asked for; 1 where nothing was asked."""
        site = self.day.site
        worth = [site.job[r.ask.job_class].worth for r in records]
        if site.worth_by == "work":
            worth = [w * r.ask.work_us * r.ask.slots for w, r in zip(worth, records, strict=True)]
        got = sum(w for w, r in zip(worth, records, strict=True) if self.in_time(r))
        return got / sum(worth) if worth else 1.0

    def figures(self) -> Figures:
        site, every = self.day.site, list(self.records.values())
        starts = range(0, max(self.day.seconds * 1_000_000 - WINDOW_US, 0) + 1, 1_000_000)
        windows = [
            self.share([r for r in every if s <= r.ask.at_us < s + WINDOW_US]) for s in starts
        ]
        classes = {
            p.name: [r for r in every if r.ask.job_class == k] for k, p in enumerate(site.job)
        }
        tenants = {
            t.name: [r for r in every if r.ask.tenant == k] for k, t in enumerate(site.tenant)
        }
        whole, worst = self.share(every), min(windows)
        by_class = {name: self.class_row(records) for name, records in classes.items()}
        by_tenant = {name: self.share(records) for name, records in tenants.items()}
        worst_class = min(row["in_time"] for row in by_class.values())
        worst_tenant = min(by_tenant.values())
        return Figures(
            score=0.4 * whole + 0.3 * worst + 0.2 * worst_class + 0.1 * worst_tenant,
            whole=whole,
            worst_window=worst,
            worst_class=worst_class,
            worst_tenant=worst_tenant,
            by_class=by_class,
            by_tenant=by_tenant,
            finals=dict(Counter((r.final.value if r.final else "none") for r in every)),
            attempts=self.count,
            breaches=list(self.breaches),
        )

    def class_row(self, records: list[Record]) -> dict[str, float]:
        took = sorted(r.took_us / 1000 for r in records if r.final is Final.SERVED)
        count = Counter(r.final for r in records)
        return {
            "asked": len(records),
            "in_time": self.share(records),
            "served": count[Final.SERVED],
            "refused": count[Final.REFUSED],
            "failed": count[Final.FAILED],
            "p50_ms": quantile(took, 0.5),
            "p99_ms": quantile(took, 0.99),
        }


def quantile(ordered: list[float], part: float) -> float:
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0
