"""Records that the policy keeps of workers, jobs and attempts, and the estimators on them."""

from collections import deque
from dataclasses import dataclass, field, replace
from itertools import takewhile
from math import exp, inf
from zlib import crc32

from stepstream.model.endpoints import Endpoint
from stepstream.model.events import JobSubmitted
from stepstream.model.settings import Effect, JobClass


class LoadReportLag:
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


MANY_DISPATCHERS = 8  # dispatchers; of more, each seldom has a job of its own on a worker


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


class PoolLoadEstimator:
    """The cap of a worker as one of many dispatchers sees it, often a part of one slot: how many slots of its
    own stand on a worker on average when jobs begin to start late there.

    Its own jobs on one worker say nothing of that where it seldom has one; those on a whole pool do.
    Pools go by `high`, True and False.
    """

    def __init__(self, now_us: int, dispatchers: int) -> None:
        self.many = dispatchers > MANY_DISPATCHERS
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


@dataclass(slots=True)
class ClassEjection:
    """A class whose jobs a worker took and never began."""

    pause_us: int = 0
    trial_us: int = 0  # when the next job may be sent
    judged_us: int = 0  # those sent before are under the verdict already


RECENT_US = LoadReportLag.LONGEST_US + LoadReportLag.AGES_US[-1]


@dataclass(eq=False)
class Worker:
    entry: Endpoint
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
    balks: dict[int, ClassEjection] = field(
        default_factory=dict
    )  # by class, those that keep away from it

    def __post_init__(self) -> None:
        self.mark = crc32(self.entry.worker_id.encode())  # stands for its id

    def balked(
        self, job_class: int, lost: "Attempt", now_us: int, first_us: int, longest_us: int
    ) -> None:
        """It had room and never began this one: none of its class for a while, longer after each trial."""
        balk = self.balks.setdefault(job_class, ClassEjection())
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
class InFlightJob:
    """A job whose final answer is still owed, or whose attempts are still out."""

    job: JobSubmitted
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
        if ran is None or self.kind.effect is Effect.IDEMPOTENT:
            return True
        return (
            self.kind.effect is Effect.IDEMPOTENT_WITH_KEY
            and now_us <= ran.sent_us + self.kind.idempotency_window_us
        )

    def may_have_run(self) -> Attempt | None:
        """The first attempt that is out or may have had its effect: repeats are bound to it."""
        return next((a for a in self.attempts if not a.clean), None)
