"""Emulate a worker: slots, a FIFO queue, speed, slow start and overload while warming up.

The model does no I/O and reads no clock: its owner, a loopback driver or simulated time, passes the
time to each call. Times are whole microseconds; work is microseconds on a core of speed 1. A model
belongs to the one thread (or event loop) of its owner.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, inf
from typing import Any, NamedTuple

import numpy as np

SLOW_START_STEP_US = 10_000  # during slow start, the capacity is constant for this long
MIN_OVERLOAD_TASKS_PER_CORE = 2  # up to this many are no overload: they may be long by chance
FINISHED_BELOW_US = 0.5  # counts as no remaining work: times are rounded to microseconds


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """The properties of a worker that stay the same through faults and restarts."""

    name: str
    zone: str
    kind: str
    cell: int
    cores: int
    speed: float  # of a core, relative to the reference core's 1
    queue_capacity: int  # jobs that may wait beyond those that run
    initial_capacity_fraction: float  # capacity at the start over full capacity, 0 to 1
    slow_start_us: int  # time from the start to full capacity
    error_rate: float = 0.0  # fraction of the jobs that fail at their end, 0 to 1
    progress_interval_us: int = 2_000_000  # between two progress events of a job
    # A worker in slow start fails if the work offered within the window exceeds this multiple of
    # what it can do in that time.
    overload_multiple: float = 4.0
    overload_window_us: int = 2_000_000

    @property
    def slots(self) -> int:
        """Return the number of slots, which is that of the cores."""
        return self.cores

    @property
    def weight(self) -> float:
        """Return the weight for the endpoint list: roughly the worker's capacity."""
        return round(self.cores * self.speed, 1)


@dataclass(eq=False, slots=True)
class Task:
    """One attempt at a job on the worker. The driver owns `context`; the model never reads it."""

    id: str
    work_us: int
    slots: int = 1
    context: Any = None
    remaining_us: float = 0.0  # work that is still to do
    progress_sent_at_us: int = 0

    def completed_fraction(self) -> float:
        """Return the fraction of the work that is done, 0 to 1."""
        return 1.0 - max(self.remaining_us, 0.0) / self.work_us


class TaskState(Enum):
    """A change of a task's state; the values are the states of the platform's job notifications."""

    STARTED = "started"
    RUNNING = "running"  # the event reports progress
    DONE = "done"
    FAILED = "failed"


class SubmissionResult(Enum):
    """The worker's answer to an offered task."""

    ACCEPTED = "accepted"
    FULL = "full"
    ERROR = "error"  # the task may have run
    DOWN = "down"


class Health(Enum):
    """Whether the worker's process runs."""

    UP = "up"
    DOWN = "down"
    OVERLOADED = "overloaded"  # failed under overload while warming up: down until the next start


@dataclass(frozen=True, slots=True)
class TaskEvent:
    """A change of one task, which the driver reports to the dispatcher."""

    state: TaskState
    task: Task


class OfferedWork(NamedTuple):
    """The work of one offered task, and when it was offered."""

    at_us: int
    work_us: int


@dataclass(eq=False)
class WorkerModel:
    """The model of one worker. `rng` decides which jobs fail; nothing else is random."""

    spec: WorkerSpec
    rng: np.random.Generator
    advanced_to_us: int  # the time up to which the state is computed
    started_at_us: int = 0  # 0: started long ago, at full capacity
    health: Health = Health.UP
    slowdown_factor: float = 1.0  # fault: factor by which the worker is slower than usual
    error_fraction: float = 0.0  # fault: fraction of the offered tasks that fail at once, 0 to 1
    running: dict[str, Task] = field(default_factory=dict)
    waiting: deque[Task] = field(default_factory=deque)
    # Work offered while warming up, within the spec's `overload_window_us`.
    offered_while_warming_up: deque[OfferedWork] = field(default_factory=deque)
    events: list[TaskEvent] = field(default_factory=list)  # not yet returned by `take_events`

    # -- capacity --

    def slow_start_factor(self, now_us: int) -> float:
        """Return present capacity over full capacity, which rises linearly during slow start."""
        age_us = now_us - self.started_at_us
        if not self.started_at_us or age_us >= self.spec.slow_start_us:
            return 1.0
        return (
            self.spec.initial_capacity_fraction
            + (1 - self.spec.initial_capacity_fraction) * max(age_us, 0) / self.spec.slow_start_us
        )

    def is_warming_up(self, now_us: int) -> bool:
        """Return whether the worker is still warming up."""
        return self.slow_start_factor(now_us) < 1.0

    def work_rate(self, now_us: int) -> float:
        """Return the work done on each running task in one microsecond."""
        return self.spec.speed * self.slow_start_factor(now_us) / self.slowdown_factor

    @property
    def busy_slots(self) -> int:
        """Return the number of slots that running tasks occupy."""
        return sum(task.slots for task in self.running.values())

    def load_report(self, now_us: int) -> dict[str, int]:
        """Return the load report: waiting tasks and free slots, under the platform's names."""
        self.advance(now_us)
        return {"queue": len(self.waiting), "x0": max(self.spec.slots - self.busy_slots, 0)}

    # -- process life cycle --

    def start(self, now_us: int) -> None:
        """Start a new process, in slow start and without faults."""
        self.started_at_us = now_us
        self.advanced_to_us = now_us
        self.health = Health.UP
        self.slowdown_factor = 1.0
        self.error_fraction = 0.0
        self.offered_while_warming_up.clear()

    def terminate(self, now_us: int, health: Health = Health.DOWN) -> list[Task]:
        """End the process; return the tasks that were running or waiting, which are lost."""
        self.advance(now_us)
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.health = health
        return lost

    # -- tasks --

    def submit(self, now_us: int, task: Task) -> SubmissionResult:
        """Offer a task to the worker; if the result is `ACCEPTED`, the task runs or waits."""
        self.advance(now_us)
        if self.health is not Health.UP:
            return SubmissionResult.DOWN
        if self.overloads_while_warming_up(now_us, task.work_us):
            return SubmissionResult.DOWN
        if self.error_fraction and self.rng.random() < self.error_fraction:
            return SubmissionResult.ERROR
        if len(self.waiting) >= self.spec.queue_capacity and not self.can_start_now(task):
            return SubmissionResult.FULL
        task.remaining_us = float(task.work_us)
        self.waiting.append(task)
        self.start_waiting(now_us)
        return SubmissionResult.ACCEPTED

    def overloads_while_warming_up(self, now_us: int, work_us: int) -> bool:
        """Record work offered during slow start; return whether recent work exceeds the limit."""
        if not self.is_warming_up(now_us):
            return False
        self.offered_while_warming_up.append(OfferedWork(now_us, work_us))
        while self.offered_while_warming_up[0].at_us <= now_us - self.spec.overload_window_us:
            self.offered_while_warming_up.popleft()
        limit_us = (
            self.spec.overload_multiple
            * self.spec.cores
            * self.work_rate(now_us)
            * self.spec.overload_window_us
        )
        offered_us = sum(offered.work_us for offered in self.offered_while_warming_up)
        min_tasks = MIN_OVERLOAD_TASKS_PER_CORE * self.spec.cores
        return offered_us > limit_us and len(self.offered_while_warming_up) > min_tasks

    def can_start_now(self, task: Task) -> bool:
        """Return whether the task could start at once."""
        return not self.waiting and self.busy_slots + task.slots <= self.spec.slots

    def start_waiting(self, now_us: int) -> None:
        """Start waiting tasks in order: none starts before the tasks that have waited longer.

        A task that needs more slots than the worker has starts once all of them are free.
        """
        while (
            self.waiting
            and self.busy_slots + min(self.waiting[0].slots, self.spec.slots) <= self.spec.slots
        ):
            task = self.waiting.popleft()
            task.progress_sent_at_us = now_us
            self.running[task.id] = task
            self.events.append(TaskEvent(TaskState.STARTED, task))

    def cancel(self, now_us: int, task_id: str) -> bool:
        """Remove a task; return whether it was running or waiting."""
        self.advance(now_us)
        found = self.running.pop(task_id, None) is not None
        remaining = deque(task for task in self.waiting if task.id != task_id)
        found = found or len(remaining) < len(self.waiting)
        self.waiting = remaining
        self.start_waiting(now_us)
        return found

    def add_side_work(self, work_us: int) -> None:
        """Add other work, such as a health check, which delays each running task."""
        for task in self.running.values():
            task.remaining_us += work_us / self.spec.cores

    # -- time --

    def next_event_us(self) -> float:
        """Return when the next event is due if no task is offered before; infinity if none is."""
        if not self.running or self.health is not Health.UP:
            return inf
        rate = self.work_rate(self.advanced_to_us)
        first_end_us = min(task.remaining_us for task in self.running.values()) / rate
        next_progress_us = (
            min(task.progress_sent_at_us for task in self.running.values())
            + self.spec.progress_interval_us
        )
        due_us = min(self.advanced_to_us + max(ceil(first_end_us), 1), next_progress_us)
        if self.is_warming_up(self.advanced_to_us):
            return min(due_us, self.advanced_to_us + SLOW_START_STEP_US)
        return due_us

    def advance(self, now_us: int) -> None:
        """Advance the model to `now_us`; `take_events` returns the events."""
        while (due_us := self.next_event_us()) <= now_us:
            self._advance_at_constant_rate(int(due_us))
        self._advance_at_constant_rate(now_us)

    def _advance_at_constant_rate(self, to_us: int) -> None:
        """Advance to `to_us` at the present work rate; no event may be due before `to_us`."""
        elapsed_us = max(to_us - self.advanced_to_us, 0)
        done_us = elapsed_us * self.work_rate(self.advanced_to_us)
        self.advanced_to_us = max(to_us, self.advanced_to_us)
        for task in list(self.running.values()):
            task.remaining_us -= done_us
            if task.remaining_us <= FINISHED_BELOW_US:
                del self.running[task.id]
                failed = self.spec.error_rate and self.rng.random() < self.spec.error_rate
                self.events.append(TaskEvent(TaskState.FAILED if failed else TaskState.DONE, task))
            elif self.advanced_to_us - task.progress_sent_at_us >= self.spec.progress_interval_us:
                task.progress_sent_at_us = self.advanced_to_us
                self.events.append(TaskEvent(TaskState.RUNNING, task))
        self.start_waiting(self.advanced_to_us)

    def take_events(self) -> list[TaskEvent]:
        """Return the events since the last call, oldest first."""
        events = self.events
        self.events = []
        return events
