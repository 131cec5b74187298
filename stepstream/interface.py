"""What a Balancer is told (settings, events), what it answers (actions) and the records it keeps.

Times are whole microseconds on the caller's clock, which only moves forward.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import takewhile
from math import exp, inf, log
from zlib import crc32


class Effect(Enum):
    """What a repeat of a job of this class may do."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # repeats are dropped inside the key scope, for a while
    UNSAFE = "unsafe"  # must never run twice


class Result(Enum):
    """How an attempt ended. The last three prove that the job never ran there."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        return self in (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT)


class WorkerState(Enum):
    IN = "in"
    DRAINING = "draining"
    OUT = "out"


class ListKind(Enum):
    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # whoever is missing is gone
    PERSISTED = "persisted"  # the list kept from before a restart; may be old
    FAILED = "failed"  # a call for the list failed, or the watch broke; no entries


@dataclass(frozen=True)
class JobClass:
    goal_us: int  # an answer within this (plus stretch x its own work) earns full worth
    deadline_us: int
    effect: Effect = Effect.UNSAFE
    worth: float = 1.0
    late_worth: float = 0.0  # fraction earned after the goal and before the deadline
    stretch: float = 0.0
    key_scope: str = "cell"  # keyed only: "all", "zone" or "cell"
    window_us: int = 0  # keyed only: how long repeats are dropped
    kind: int = -1  # the one worker kind that runs it, -1 for any
    name: str = ""


@dataclass(frozen=True)
class Settings:
    classes: tuple[JobClass, ...]
    quotas_per_s: tuple[float, ...] = ()  # by tenant, for all dispatchers together
    over_share_worth: float = 1.0
    fleet_size: int = 1  # dispatchers that share the workers, this one included
    zone: int = 0
    must_ask: bool = False  # the worker list comes only when asked for
    must_ask_us: int = 10_000_000
    attempt_limit: int = 1
    may_probe: bool = False
    may_cancel: bool = False
    may_duplicate: bool = False
    may_advise_retry: bool = False
    max_retry_after_us: int = 0
    reports: str = "none"  # "answers", "probe" or "none"
    report_columns: tuple[str, ...] = ()  # by meaning: "queue", "free_slots"
    tells_start: bool = False
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    handshake_price: float = 0.0
    drain_grace_us: int = 0
    cold_share: float = 1.0
    warm_within_us: int = 0
    fall_multiple: float = 1.0
    fall_span_us: int = 1_000_000
    quantum_us: int = 1_000
    # What only a real dispatcher needs; the module decides nothing by it.
    report_names: tuple[str, ...] = ()  # of the columns, as the reports word them
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    grace_us: int = 0  # how long after a deadline a final answer still counts
    conn_idle_us: int = 10_000_000  # a worker closes a connection idle for so long
    dial_timeout_us: int = 250_000
    max_open: int = 20_000  # requests

    def tenant_name(self, tenant: int) -> str:
        return self.tenants[tenant] if 0 <= tenant < len(self.tenants) else ""

    @property
    def class_names(self) -> tuple[str, ...]:
        return tuple(kind.name for kind in self.classes)


@dataclass(frozen=True)
class WorkerEntry:
    worker: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.IN
    weight: float = 1.0
    started_us: int = 0  # 0: long ago
    runs: frozenset[str] | None = (
        None  # CLASS or TENANT/CLASS by name; None: whatever its kind allows
    )

    def able(self, kind: JobClass, tenant: str) -> bool:
        """Whether it runs a tenant's job of this class; a worker may have named what it runs."""
        if kind.kind not in (-1, self.kind):
            return False
        return self.runs is None or kind.name in self.runs or f"{tenant}/{kind.name}" in self.runs


@dataclass(frozen=True)
class WorkerList:
    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(frozen=True)
class Job:
    job: str
    job_class: int
    budget_us: int  # time left before the client gives up
    tenant: int = 0
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False


@dataclass(frozen=True)
class AttemptEnded:
    job: str
    attempt: int
    worker: str
    result: Result
    spent_us: int = 0
    job_ended: bool = False  # the client has its answer, by this attempt or before it
    report: dict[str, float] | None = None


@dataclass(frozen=True)
class Started:
    """The job has begun to run on the worker."""

    job: str
    attempt: int
    worker: str


@dataclass(frozen=True)
class Probed:
    worker: str
    ok: bool
    spent_us: int = 0
    report: dict[str, float] | None = None


@dataclass(frozen=True)
class ClientLeft:
    """No answer is owed any more."""

    job: str


@dataclass(frozen=True)
class Timer:
    token: int


@dataclass(frozen=True)
class NewSettings:
    """The settings were replaced: what was learned stays, by the names of classes and tenants."""

    settings: Settings


Event = WorkerList | Job | AttemptEnded | Started | Probed | ClientLeft | Timer | NewSettings


@dataclass(frozen=True)
class Push:
    """Start an attempt; attempts of a job count 0, 1, 2 ... in the order of their pushes."""

    job: str
    worker: str
    limit_us: int = 0  # 0: until the client gives up


@dataclass(frozen=True)
class Refuse:
    """A final answer that promises the job never ran (or may be repeated without harm)."""

    job: str
    pause_us: int = 0


@dataclass(frozen=True)
class Fail:
    """A final answer that promises nothing."""

    job: str


@dataclass(frozen=True)
class Cancel:
    job: str
    attempt: int


@dataclass(frozen=True)
class Probe:
    worker: str


@dataclass(frozen=True)
class WakeMe:
    token: int
    at_us: int


@dataclass(frozen=True)
class WatchList:
    """Ask for the worker list's changes from here on."""

    active: bool = field(default=True)


@dataclass(frozen=True)
class FetchList:
    """Ask for the complete worker list once."""


@dataclass(frozen=True)
class Log:
    text: str


Action = Push | Refuse | Fail | Cancel | Probe | WakeMe | WatchList | FetchList | Log


SHORTEST_RUN_US = 1_000  # shorter runs tell nothing of their worker


def running(mean: float, new: float, weight: float) -> float:
    """A running mean with the newest value in; 0 stands for none so far."""
    return mean + weight * (new - mean) if mean else max(new, 1.0)


def carried(
    old: tuple[str, ...], new: tuple[str, ...], values: Sequence[float], fresh: float
) -> list[float]:
    """What was learned by name, in the order of the new names; `fresh` for a name not known before."""
    known = dict(zip(old, values, strict=False))
    return [known.get(name, fresh) for name in new]


class Runs:
    """How long jobs have taken, in running means."""

    def __init__(self, classes: int, start_us: int, weight: float) -> None:
        self.weight = weight
        self.mean_us = [0.0] * (
            classes + 1
        )  # from push to end, of served jobs, by class; last, of all
        self.usual = [
            0.0
        ] * classes  # from start to end, as a logarithm: few long jobs must not set it
        self.gap_us, self.last_us = 0.0, start_us  # between two served jobs; the last one

    def served(self, now_us: int, place: int, spent_us: int) -> None:
        for k in (place, -1):
            self.mean_us[k] = running(self.mean_us[k], spent_us, self.weight)
        self.gap_us, self.last_us = running(self.gap_us, now_us - self.last_us, self.weight), now_us

    def surplus(self, place: int, run_us: int) -> float:
        """How much longer than usual this run is, as a logarithm; 0 while nothing is known of its class."""
        usual = self.usual[place] if 0 <= place < len(self.usual) else 0.0
        return log(max(run_us, SHORTEST_RUN_US)) - usual if usual else 0.0

    def ran(self, place: int, run_us: int) -> float:
        if 0 <= place < len(self.usual):
            self.usual[place] = running(
                self.usual[place], log(max(run_us, SHORTEST_RUN_US)), self.weight
            )
        return self.surplus(place, run_us)

    def carry(self, old: tuple[str, ...], new: tuple[str, ...]) -> None:
        self.mean_us[:-1] = carried(old, new, self.mean_us, 0.0)
        self.usual = carried(old, new, self.usual, 0.0)


class ReportAge:
    """How old a report's news is, learned: of a few ages the one by which reports agree best with our pushes.

    Between two reports of a worker the free slots change by what we pushed and what ended an age before;
    what others push there makes every age err alike.
    """

    AGES_US = (20_000, 60_000, 150_000, 300_000)
    WEIGHT = 0.02  # of the newest error in the running means
    LONGEST_US = 2_000_000  # between two reports that are compared

    def __init__(self) -> None:
        self.errors = [0.0] * len(self.AGES_US)

    @property
    def us(self) -> int:
        return self.AGES_US[self.errors.index(min(self.errors))]

    def unseen(self, worker: "Worker", now_us: int) -> float:
        """Slots of our changes that a report heard now does not hold."""
        since_us = now_us - self.us
        newest = takewhile(lambda change: change[0] >= since_us, reversed(worker.recent))
        return sum(slots for _, slots in newest)

    def heard(self, worker: "Worker", now_us: int, free: float) -> None:
        before_us, before = worker.heard_us, worker.heard
        worker.heard_us, worker.heard = now_us, free
        if now_us - before_us > self.LONGEST_US:
            return
        ours = [0.0] * len(self.AGES_US)
        for at, slots in reversed(worker.recent):  # newest first: reports in answers come often
            if at + self.AGES_US[-1] < before_us:
                break
            for k, age_us in enumerate(self.AGES_US):
                ours[k] += slots * (before_us <= at + age_us < now_us)
        for k, mine in enumerate(ours):
            self.errors[k] += self.WEIGHT * ((free - before + mine) ** 2 - self.errors[k])


MANY = 8  # dispatchers; of more, each seldom has a job of its own on a worker
LEVEL_US = 1_000_000  # over which the busy slots of a pool are averaged
SETTLED_US = 2_000_000  # after a start the levels are those of a running dispatcher
LEAST_CAPS = (
    1.5  # slots; the least that the caps of a pool make up, else it would never be tried again
)
LATE_PART = 0.4  # part of late starts at which a pool is at its caps
CAP_STEP = 0.1  # what one late start takes off the cap
HIGH_PART = (
    18 / 26
)  # the safety factor: what of its cap a worker of the High Set may be loaded with
FULL = 2  # a cap is at most so many times what runs of ours where jobs wait
FAR = 3  # a cap so many times the present load is not told to be higher by starts in time


class Share:
    """The cap of a worker as one of many dispatchers sees it, often a part of one slot: how many slots of its
    own stand on a worker on average when jobs begin to start late there.

    Its own jobs on one worker say nothing of that where it seldom has one; those on a whole pool do.
    Pools go by `high`, True and False.
    """

    def __init__(self, now_us: int, dispatchers: int) -> None:
        self.many = dispatchers > MANY
        self.cap, self.now_us, self.begun_us = inf, now_us, now_us
        self.busy = {True: 0.0, False: 0.0}  # by pool: slots of our unfinished pushes,
        self.level = {True: 0.0, False: 0.0}  # the same averaged over LEVEL_US,
        self.running = {True: 0.0, False: 0.0}  # those that have started,
        self.run_level = {True: 0.0, False: 0.0}  # averaged,
        self.count = {True: 0, False: 0}  # and workers

    def advance(self, now_us: int) -> None:
        part = 1 - exp(-(now_us - self.now_us) / LEVEL_US)
        self.now_us = now_us
        for high in (True, False):
            self.level[high] += part * (self.busy[high] - self.level[high])
            self.run_level[high] += part * (self.running[high] - self.run_level[high])

    def recount(self, workers: "list[Worker]") -> None:
        for high in (True, False):
            pool = [worker for worker in workers if worker.high == high]
            self.busy[high] = sum(worker.busy_slots for worker in pool)
            self.running[high] = sum(worker.running_slots for worker in pool)
            self.count[high] = len(pool)

    def moved(self, high: bool, slots: float) -> None:
        self.busy[high] += slots

    def ran(self, high: bool, slots: float) -> None:
        self.running[high] += slots

    def started(self, high: bool, late: bool) -> None:
        """A start, late or in time: the cap settles where LATE_PART of them are late.

        Only what contradicts it moves it: while a pool is over its caps late starts are no news, or the cap
        would sink with the load that the refusals take away.
        """
        if self.now_us < self.begun_us + SETTLED_US:
            return
        workers = max(self.count[high], 1)
        mean, run = self.level[high] / workers, self.run_level[high] / workers
        if late and run:
            # Where jobs wait the slots are taken: what runs of ours is our part of them, whatever waits.
            self.cap = min(self.cap, FULL * run)
            self.cap *= 1 - CAP_STEP * (mean <= self.cap)
        elif not late and self.cap < FAR * mean:
            self.cap *= 1 + CAP_STEP * LATE_PART / (1 - LATE_PART)
        self.cap = max(self.cap, LEAST_CAPS / workers)

    def room(self, high: bool) -> float:
        """The pool's summed caps less its summed busy slots."""
        cap = self.cap * (HIGH_PART if high else 1.0)
        return inf if cap == inf else cap * self.count[high] - self.level[high]


# What a Balancer remembers: plain records, all decisions are in balance.py.


@dataclass(slots=True)
class Balk:
    """A class whose jobs a worker took and never began."""

    pause_us: int = 0
    trial_us: int = 0  # when the next job may be sent
    judged_us: int = 0  # those sent before are under the verdict already


RECENT_US = ReportAge.LONGEST_US + ReportAge.AGES_US[-1]


@dataclass(eq=False)
class Worker:
    entry: WorkerEntry
    warm_us: int  # from here on it is surely warm
    last_cold_us: float  # our last push to it while cold, or when we learned of its start
    cold_span_us: float = -inf  # the end of the span for which was drawn
    cold_chance: bool = False  # whether one push may go to it while cold
    high: bool = False
    turn: float = 0.0  # weighted round robin: the worker with the largest turn is next
    busy_slots: float = 0.0  # slots of our unfinished pushes
    running_slots: float = 0.0  # of these, that have started
    cap: float | None = None
    room: float = 0.0  # free slots less waiting jobs by its last report, kept up with our pushes
    room_us: float = -inf  # the time of that report
    heard_us: float = -inf  # when the last report came, whatever was learned since
    heard: float = 0.0  # free slots less waiting jobs by it
    recent: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # our latest changes, some unseen by reports
    failures: float = 0.0
    pace: float = (
        0.0  # how much longer than usual its runs take: mean of the logarithms of ended ones
    )
    pace_now: float = 0.0  # the same with those that are not over yet
    pause_us: int = 0  # above 0: out of both pools until the trial succeeds
    trial_us: int = 0  # when the next trial may be sent
    balks: dict[int, Balk] = field(default_factory=dict)  # by class, those that keep away from it

    def __post_init__(self) -> None:
        self.mark = crc32(self.entry.worker.encode())  # stands for its id

    def balked(
        self, job_class: int, lost: "Attempt", now_us: int, first_us: int, longest_us: int
    ) -> None:
        """It had room and never began this one: none of its class for a while, longer after each trial."""
        balk = self.balks.setdefault(job_class, Balk())
        if lost.sent_us >= balk.judged_us:
            balk.pause_us = min(max(2 * balk.pause_us, first_us), longest_us)
            balk.trial_us, balk.judged_us = now_us + balk.pause_us, now_us

    def tried(self, job_class: int, now_us: int) -> None:
        """One trial at a time."""
        if job_class in self.balks:
            self.balks[job_class].trial_us = now_us + self.balks[job_class].pause_us

    def began(self, job_class: int, first_us: int) -> None:
        """It takes them after all: the next one at once, and after the last pause as many as ever."""
        balk = self.balks.get(job_class)
        if balk is not None:
            balk.pause_us, balk.trial_us = balk.pause_us // 2, 0
            if balk.pause_us < first_us:
                del self.balks[job_class]

    def fit(self, job_class: int, now_us: int) -> bool:
        """Whether it is in its pool, or due for a trial, for jobs of this class; -1: of any."""
        balk = self.balks.get(job_class)
        return (balk is None or now_us >= balk.trial_us) and (
            not self.pause_us or now_us >= self.trial_us
        )

    def change_busy(self, now_us: int, slots: float) -> None:
        self.busy_slots += slots
        self.recent.append((now_us, slots))
        while self.recent[0][0] < now_us - RECENT_US:
            self.recent.popleft()
        self.room -= slots


@dataclass(eq=False)
class Attempt:
    worker: Worker
    sent_us: int
    open: bool = True
    started_us: int = 0  # 0: not yet, as far as we were told
    late: bool = False  # it had not started when it should have
    lost: bool = False  # it never will, by its worker's report
    clean: bool = False  # proven never to have run

    @property
    def started(self) -> bool:
        return self.started_us > 0

    @property
    def unbegun(self) -> bool:
        """Late, still out and not yet known to be lost."""
        return self.late and self.open and not self.started and not self.lost


@dataclass(eq=False)
class Held:
    """A job whose final answer is still owed, or whose attempts are still out."""

    job: Job
    kind: JobClass
    arrived_us: int
    deadline_us: int
    priority: bool
    excess: bool = False  # past its tenant's share
    attempts: list[Attempt] = field(default_factory=list)
    waited: bool = False  # a timer rings at the end of its patience
    ended: bool = False

    def move(self, names: tuple[str, ...]) -> None:
        """Settings were replaced: the job keeps its terms, its class may stand elsewhere or be gone (-1)."""
        place = names.index(self.kind.name) if self.kind.name in names else -1
        self.job = replace(self.job, job_class=place)

    def attempt(self, number: int) -> Attempt | None:
        return self.attempts[number] if 0 <= number < len(self.attempts) else None

    def repeatable(self, now_us: int) -> bool:
        """Whether the rules let it be sent again, within its key scope."""
        ran = self.may_have_run()
        if ran is None or self.kind.effect is Effect.SAFE:
            return True
        return self.kind.effect is Effect.KEYED and now_us <= ran.sent_us + self.kind.window_us

    def may_have_run(self) -> Attempt | None:
        """The first attempt that is out or may have had its effect: repeats are bound to it."""
        return next((a for a in self.attempts if not a.clean), None)
