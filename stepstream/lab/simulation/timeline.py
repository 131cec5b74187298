"""A discrete-event clock: scheduled steps run in the order of their times.

Steps with the same time run in the order in which they were scheduled, so that a run with the same
seed is repeated exactly.
A `Timeline` owns its queue and its clock and belongs to one thread. All times are in seconds.
"""

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

Step = Callable[[], None]

CHECK_INTERVAL_SECONDS = 0.1
"""Shortest simulated time between two evaluations of the condition that ends a run."""


class ScheduledStep(NamedTuple):
    """A step and its time; it sorts by the time, then by the order of scheduling."""

    due_at: float
    serial: int
    step: Step


class Timeline:
    """A simulated clock, `now` in seconds from zero, and the queue of steps that advance it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[ScheduledStep] = []
        self._serial = count()

    def call_at(self, due_at: float, step: Step) -> None:
        """Schedule a step to run at a time, which must not lie in the past."""
        heapq.heappush(self._queue, ScheduledStep(due_at, next(self._serial), step))

    def call_later(self, delay_seconds: float, step: Step) -> None:
        """Schedule a step to run `delay_seconds` from now."""
        self.call_at(self.now + delay_seconds, step)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Run the steps that are due within `seconds`, or until a condition holds.

        The condition is evaluated after a step, at most once in `CHECK_INTERVAL_SECONDS`, and at
        the end. Return whether the condition became true; False if there is no condition.
        """
        end = self.now + seconds
        next_check = self.now
        while self._queue and self._queue[0].due_at <= end:
            scheduled = heapq.heappop(self._queue)
            self.now = scheduled.due_at
            scheduled.step()
            if until is not None and scheduled.due_at >= next_check:
                if until():
                    return True
                next_check = scheduled.due_at + CHECK_INTERVAL_SECONDS
        self.now = end
        return until() if until is not None else False
