"""A discrete-event clock: scheduled steps run in the order of their times.

Steps of one instant run in the order in which they were scheduled, so that a seed replays exactly.
A `Timeline` owns its queue and its clock and belongs to one thread. All times are in seconds.
"""

import heapq
from collections.abc import Callable
from itertools import count

CHECK_INTERVAL_SECONDS = 0.1
"""Least simulated time between two evaluations of the condition that ends a run."""


class Timeline:
    """A simulated clock, `now` in seconds from zero, and the queue of steps that advance it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = count()

    def call(self, after: float, step: Callable[[], None]) -> None:
        """Schedule a step to run `after` seconds from now."""
        heapq.heappush(self.queue, (self.now + after, next(self.serial), step))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Run the steps that are due within `seconds`, or until a condition holds.

        The condition is evaluated after a step, once in `CHECK_INTERVAL_SECONDS` at most, and at
        the end. Return whether it came true; False where there is none.
        """
        end = self.now + seconds
        next_check = self.now
        while self.queue and self.queue[0][0] <= end:
            due, _, step = heapq.heappop(self.queue)
            self.now = due
            step()
            if until is not None and due >= next_check:
                if until():
                    return True
                next_check = due + CHECK_INTERVAL_SECONDS
        self.now = end
        return until() if until is not None else False
