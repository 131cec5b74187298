"""Verify one emulated day against the four delivery invariants, and score it.

The invariants are observed at the emulated nodes and clients, never at the dispatcher:

1. Every job that a dispatcher took gets exactly one final answer: served with a result that a node
   produced for it, refused only if a retry is harmless, or failed.
2. A job that may have run is not sent again beyond what its class allows.
3. A node receives no new work later than the grace period after the dispatcher was informed that
   the node drains or is gone.
4. No cold node is overloaded until it fails.

This module does no I/O. A `Verifier` owns all state of one day; it has no lock, so only the thread
of the event loop that plays the day may call it. All times are in microseconds on the clock of the
lab unless a name says otherwise.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from stepstream.lab.load.site import JobClassTable, PlannedRequest, Scenario

SOCKET_SLACK_US = 50_000
"""Tolerance that every time limit gets because requests travel over real sockets."""

WINDOW_US = 10_000_000
"""Length of the sliding windows of which the worst one enters the score."""

WINDOW_STEP_US = 1_000_000
MOST_BREACHES = 100
"""How many breaches a run records; later ones are dropped."""

SCORE_WEIGHT_WHOLE = 0.4
SCORE_WEIGHT_WINDOW = 0.3
SCORE_WEIGHT_CLASS = 0.2
SCORE_WEIGHT_TENANT = 0.1


class FinalOutcome(Enum):
    """How a request of a client ended; the values are keys of the printed and stored results."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    """The connection ended without an answer."""


@dataclass(slots=True)
class Attempt:
    """One arrival of a client's request at a node.

    The node clears `open` when the attempt ends and sets `never_ran` if it rejected the attempt
    before any work began.
    """

    node: str
    cell: int
    at_us: int
    open: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class Request:
    """One request of a client for a job, with all attempts of the dispatcher to serve it."""

    attempts: list[Attempt] = field(default_factory=list)
    results: set[str] = field(default_factory=set)
    """Results that nodes produced for this request."""
    finals: list[FinalOutcome] = field(default_factory=list)

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that a node did not reject before any work began."""
        return [attempt for attempt in self.attempts if not attempt.never_ran]


@dataclass(slots=True)
class Record:
    """The outcome of one job over all of its client's requests.

    `took_us` is the time from the scheduled sending of the first request to the last answer.
    """

    ask: PlannedRequest
    final: FinalOutcome | None = None
    took_us: int = 0


@dataclass(slots=True)
class Figures:
    """The result of a run. Shares are from 0 to 1, times in milliseconds."""

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


class Verifier:
    """Observe the requests of one day, record each breach of an invariant and score the run.

    A request's key is the number of its job in the schedule and the number of the client's try.
    """

    def __init__(self, day: Scenario) -> None:
        self.day = day
        self.begun_us = 0
        self.requests: dict[tuple[int, int], Request] = {}
        self.records: dict[int, Record] = {}
        # By node: when the dispatcher was first informed that it drains or is gone.
        self.drain_known_since_us: dict[str, int] = {}
        self.breaches: list[str] = []
        self.attempt_count = 0

    def breach(self, now_us: int, text: str) -> None:
        """Record a breach with its time since the start of the run, up to `MOST_BREACHES`."""
        if len(self.breaches) < MOST_BREACHES:
            self.breaches.append(f"{(now_us - self.begun_us) / 1e6:.3f} s: {text}")

    # -- at the nodes -----------------------------------------------------------------------------

    def drain_told(self, now_us: int, node: str) -> None:
        """Note that the dispatcher knows from now on that the node drains or is gone."""
        self.drain_known_since_us.setdefault(node, now_us)

    def ready_again(self, node: str) -> None:
        """Note that the node accepts new work again."""
        self.drain_known_since_us.pop(node, None)

    def arrived(self, now_us: int, key: tuple[int, int], node: str, cell: int) -> Attempt:
        """Record that an attempt reached a node, and verify invariants 2 and 3."""
        self.attempt_count += 1
        attempt = Attempt(node, cell, now_us)
        if not 0 <= key[0] < len(self.day.asks):
            return attempt  # from a client that is not part of the schedule
        request = self.requests.setdefault(key, Request())
        job_class = self.day.site.job[self.day.asks[key[0]].job_class]
        label = f"{job_class.name} {key[0]} try {key[1]} at {node}"
        self._verify_drain(now_us, node, label)
        self._verify_repetition(attempt, request, job_class, label)
        request.attempts.append(attempt)
        return attempt

    def _verify_drain(self, now_us: int, node: str, label: str) -> None:
        """Verify that a new attempt is within the grace period of a drain of its node, if any."""
        since_us = self.drain_known_since_us.get(node)
        if since_us is None:
            return
        grace_us = self.day.site.drain_grace_ms * 1000 + SOCKET_SLACK_US
        if now_us > since_us + grace_us:
            elapsed_seconds = (now_us - since_us) / 1e6
            self.breach(now_us, f"new work after the drain: {label}, {elapsed_seconds:.3f} s")

    def _verify_repetition(
        self, attempt: Attempt, request: Request, job_class: JobClassTable, label: str
    ) -> None:
        """Verify that a new attempt beside the earlier ones is allowed by the class's effect."""
        now_us = attempt.at_us
        earlier = request.may_have_run()
        if any(other.node == attempt.node and other.open for other in earlier):
            self.breach(now_us, f"a second open call to one node: {label}")
        if not earlier:
            return
        if job_class.effect == "side_effect":
            self.breach(now_us, f"sent again though it may have run: {label}")
        if job_class.effect == "token":
            first = earlier[0]
            if first.cell != attempt.cell:
                self.breach(now_us, f"repeated outside its cell: {label}")
            if now_us > first.at_us + job_class.window_ms * 1000 + SOCKET_SLACK_US:
                self.breach(now_us, f"repeated past its window: {label}")

    def made(self, key: tuple[int, int], result: str) -> None:
        """Record a result that a node produced for a request."""
        if key in self.requests:
            self.requests[key].results.add(result)

    def toppled(self, now_us: int, node: str) -> None:
        """Record that a cold node failed under overload: a breach of invariant 4."""
        self.breach(now_us, f"a cold node was pushed over: {node}")

    # -- at the clients ---------------------------------------------------------------------------

    def asked(self, ask: PlannedRequest) -> None:
        """Record that a client submits a job of the schedule."""
        self.records[ask.number] = Record(ask)

    def answered(
        self, now_us: int, key: tuple[int, int], final: FinalOutcome, result: str | None = None
    ) -> None:
        """Record the final answer to a request, and verify invariant 1."""
        request = self.requests.setdefault(key, Request())
        request.finals.append(final)
        record = self.records[key[0]]
        record.final = final
        record.took_us = now_us - self.begun_us - record.ask.at_us
        job_class = self.day.site.job[record.ask.job_class]
        label = f"{job_class.name} {key[0]} try {key[1]}"
        if len(request.finals) > 1:
            self.breach(now_us, f"a second final answer: {label}")
        if final is FinalOutcome.LOST:
            self.breach(now_us, f"lost: {label}")
        if final is FinalOutcome.SERVED and result not in request.results:
            self.breach(now_us, f"served with what no node made: {label}")
        if final is FinalOutcome.REFUSED and job_class.effect != "pure" and request.may_have_run():
            self.breach(now_us, f"refused though it may have run: {label}")

    # -- the score --------------------------------------------------------------------------------

    def latency_objective_us(self, ask: PlannedRequest) -> float:
        """Return the latency objective of a job: its class's, stretched by its work, to a limit."""
        job_class = self.day.site.job[ask.job_class]
        objective_us = job_class.aim_ms * 1000 + job_class.stretch * ask.work_us
        return min(objective_us, job_class.deadline_ms * 1000)

    def in_time(self, record: Record) -> bool:
        """Return whether a job was served within its latency objective."""
        objective_us = self.latency_objective_us(record.ask)
        return record.final is FinalOutcome.SERVED and record.took_us <= objective_us

    def share(self, records: list[Record]) -> float:
        """Return the value served in time over the value asked for; 1 where nothing was asked."""
        if not records:
            return 1.0
        values = [self._value(record) for record in records]
        served = sum(
            value for value, record in zip(values, records, strict=True) if self.in_time(record)
        )
        return served / sum(values)

    def _value(self, record: Record) -> float:
        """Return what a job counts for: its class's worth, times its work if the site says so."""
        worth = self.day.site.job[record.ask.job_class].worth
        if self.day.site.worth_by == "work":
            return worth * record.ask.work_us * record.ask.slots
        return worth

    def figures(self) -> Figures:
        """Score the run: the whole day, and its worst window, class and tenant."""
        site = self.day.site
        records = list(self.records.values())
        by_class = {
            job_class.name: self.class_row([r for r in records if r.ask.job_class == index])
            for index, job_class in enumerate(site.job)
        }
        by_tenant = {
            tenant.name: self.share([r for r in records if r.ask.tenant == index])
            for index, tenant in enumerate(site.tenant)
        }
        whole = self.share(records)
        worst_window = min(self._window_shares(records))
        worst_class = min(row["in_time"] for row in by_class.values())
        worst_tenant = min(by_tenant.values())
        return Figures(
            score=SCORE_WEIGHT_WHOLE * whole
            + SCORE_WEIGHT_WINDOW * worst_window
            + SCORE_WEIGHT_CLASS * worst_class
            + SCORE_WEIGHT_TENANT * worst_tenant,
            whole=whole,
            worst_window=worst_window,
            worst_class=worst_class,
            worst_tenant=worst_tenant,
            by_class=by_class,
            by_tenant=by_tenant,
            finals=dict(Counter(r.final.value if r.final else "none" for r in records)),
            attempts=self.attempt_count,
            breaches=list(self.breaches),
        )

    def _window_shares(self, records: list[Record]) -> Iterable[float]:
        """Yield the share of each sliding window by the jobs scheduled within it."""
        last_start_us = max(self.day.seconds * 1_000_000 - WINDOW_US, 0)
        for start_us in range(0, last_start_us + 1, WINDOW_STEP_US):
            end_us = start_us + WINDOW_US
            yield self.share([r for r in records if start_us <= r.ask.at_us < end_us])

    def class_row(self, records: list[Record]) -> dict[str, float]:
        """Return one class's row of the results; the latencies are of its served jobs."""
        latencies_ms = sorted(r.took_us / 1000 for r in records if r.final is FinalOutcome.SERVED)
        count = Counter(r.final for r in records)
        return {
            "asked": len(records),
            "in_time": self.share(records),
            "served": count[FinalOutcome.SERVED],
            "refused": count[FinalOutcome.REFUSED],
            "failed": count[FinalOutcome.FAILED],
            "p50_ms": quantile(latencies_ms, 0.5),
            "p99_ms": quantile(latencies_ms, 0.99),
        }


def quantile(ordered: list[float], part: float) -> float:
    """Return the value at the given part, from 0 to 1, of an ordered list; 0 where it is empty."""
    if not ordered:
        return 0.0
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
