"""An emulated pricing node: slots, a FIFO waiting room, speed, cold start and toppling; it knows no socket.

The same class serves the loopback drivers and simulated time: whoever owns it says what time it is. Times
are whole microseconds, work is microseconds on a core of speed 1.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, inf

import numpy as np

COLD_STEP_US = 10_000  # a cold node's speed is taken as even for so long


@dataclass(frozen=True, slots=True)
class NodeSpec:
    name: str
    zone: str
    kind: str
    cell: int
    cores: int
    speed: float  # of a core, yardstick 1
    queue: int  # jobs that wait beyond those that run
    cold_share: float  # of its capacity at its start
    warm_us: int  # until it has all of it
    error_rate: float = 0.0
    progress_us: int = 2_000_000
    fall_multiple: float = 4.0
    fall_span_us: int = 2_000_000

    @property
    def slots(self) -> int:
        return self.cores

    @property
    def weight(self) -> float:
        """What a list says of its size: roughly what it can do."""
        return round(self.cores * self.speed, 1)


@dataclass(eq=False, slots=True)
class Task:
    """One attempt at a job as the node holds it; `about` is its driver's."""

    id: str
    work_us: int
    slots: int = 1
    about: object = None
    left_us: float = 0.0
    started_us: int = 0
    told_us: int = 0  # of the last progress

    def share(self) -> float:
        return 1.0 - max(self.left_us, 0.0) / self.work_us


class Word(Enum):
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class Offer(Enum):
    TAKEN = "taken"
    FULL = "full"
    ERROR = "error"  # it may have run
    DOWN = "down"


class Health(Enum):
    UP = "up"
    DOWN = "down"
    TOPPLED = "toppled"  # pushed over while cold: it stays down


@dataclass(frozen=True, slots=True)
class Happening:
    word: Word
    task: Task


@dataclass(eq=False)
class PricingNode:
    spec: NodeSpec
    rng: np.random.Generator
    at_us: int  # up to here all has happened
    started_us: int = 0  # 0: long ago, warm
    health: Health = Health.UP
    slow: float = 1.0  # so many times slower than usual
    fails: float = 0.0  # share of its jobs that fail at once
    running: dict[str, Task] = field(default_factory=dict)
    waiting: deque[Task] = field(default_factory=deque)
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # work offered while cold
    happened: list[Happening] = field(default_factory=list)

    # -- capacity -----------------------------------------------------------------------------------------

    def warmth(self, now_us: int) -> float:
        age = now_us - self.started_us
        if not self.started_us or age >= self.spec.warm_us:
            return 1.0
        return self.spec.cold_share + (1 - self.spec.cold_share) * max(age, 0) / self.spec.warm_us

    def is_cold(self, now_us: int) -> bool:
        return self.warmth(now_us) < 1.0

    def pace(self, now_us: int) -> float:
        """Work a microsecond on each running job."""
        return self.spec.speed * self.warmth(now_us) / self.slow

    @property
    def busy(self) -> int:
        return sum(task.slots for task in self.running.values())

    def report(self, now_us: int) -> dict[str, int]:
        """Its load: jobs that wait and free slots."""
        self.advance(now_us)
        return {"queue": len(self.waiting), "x0": max(self.spec.slots - self.busy, 0)}

    # -- its life -----------------------------------------------------------------------------------------

    def start(self, now_us: int) -> None:
        """A process that has just started: cold and empty."""
        self.started_us = self.at_us = now_us
        self.health, self.slow, self.fails = Health.UP, 1.0, 0.0
        self.sent.clear()

    def die(self, now_us: int, health: Health = Health.DOWN) -> list[Task]:
        """What it held is lost."""
        self.advance(now_us)
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.health = health
        return lost

    # -- jobs ---------------------------------------------------------------------------------------------

    def offer(self, now_us: int, task: Task) -> Offer:
        self.advance(now_us)
        if self.health is not Health.UP:
            return Offer.DOWN
        if self.topples(now_us, task.work_us):
            return Offer.DOWN
        if self.fails and self.rng.random() < self.fails:
            return Offer.ERROR
        if len(self.waiting) >= self.spec.queue and not self.fits(task):
            return Offer.FULL
        task.left_us = float(task.work_us)
        self.waiting.append(task)
        self.start_waiting(now_us)
        return Offer.TAKEN

    def topples(self, now_us: int, work_us: int) -> bool:
        """Whether this much work, with that of the span before, is over its fall multiple while cold."""
        if not self.is_cold(now_us):
            return False
        self.sent.append((now_us, work_us))
        while self.sent[0][0] <= now_us - self.spec.fall_span_us:
            self.sent.popleft()
        # Chance is allowed for: one longer job alone does not push a node over.
        bound = (
            self.spec.fall_multiple * self.spec.cores * self.pace(now_us) * self.spec.fall_span_us
        )
        return sum(work for _, work in self.sent) > bound and len(self.sent) > 2 * self.spec.cores

    def fits(self, task: Task) -> bool:
        return not self.waiting and self.busy + task.slots <= self.spec.slots

    def start_waiting(self, now_us: int) -> None:
        """In order: the first waits until it fits."""
        while (
            self.waiting
            and self.busy + min(self.waiting[0].slots, self.spec.slots) <= self.spec.slots
        ):
            task = self.waiting.popleft()
            task.started_us = task.told_us = now_us
            self.running[task.id] = task
            self.happened.append(Happening(Word.STARTED, task))

    def cancel(self, now_us: int, name: str) -> bool:
        """Work stops; whether it was there."""
        self.advance(now_us)
        found = self.running.pop(name, None) is not None
        kept = deque(task for task in self.waiting if task.id != name)
        found = found or len(kept) < len(self.waiting)
        self.waiting = kept
        self.start_waiting(now_us)
        return found

    def disturb(self, work_us: int) -> None:
        """Work beside its jobs: each of them is that much later for its share of the cores."""
        for task in self.running.values():
            task.left_us += work_us / self.spec.cores

    # -- time ---------------------------------------------------------------------------------------------

    def next_us(self) -> float:
        """When something happens next, if nothing is offered before; inf for never."""
        if not self.running or self.health is not Health.UP:
            return inf
        pace = self.pace(self.at_us)
        ends = min(task.left_us for task in self.running.values()) / pace
        tells = min(task.told_us for task in self.running.values()) + self.spec.progress_us
        due = min(self.at_us + max(ceil(ends), 1), tells)
        return min(due, self.at_us + COLD_STEP_US) if self.is_cold(self.at_us) else due

    def advance(self, now_us: int) -> None:
        """Plays all up to now; what happened is kept for `take`."""
        while (due := self.next_us()) <= now_us:
            self.step(int(due))
        self.step(now_us)

    def step(self, to_us: int) -> None:
        passed = max(to_us - self.at_us, 0)
        done = passed * self.pace(self.at_us)
        self.at_us = max(to_us, self.at_us)
        for task in list(self.running.values()):
            task.left_us -= done
            if task.left_us <= 0.5:
                del self.running[task.id]
                failed = self.spec.error_rate and self.rng.random() < self.spec.error_rate
                self.happened.append(Happening(Word.FAILED if failed else Word.DONE, task))
            elif self.at_us - task.told_us >= self.spec.progress_us:
                task.told_us = self.at_us
                self.happened.append(Happening(Word.RUNNING, task))
        self.start_waiting(self.at_us)

    def take(self) -> list[Happening]:
        happened, self.happened = self.happened, []
        return happened
