"""Whether the list of workers can still be trusted, by what its workers do; free of I/O, seconds passed in.

A watch that has fallen silent looks like a list without changes until its wait is over, up to a minute in a
large fleet. Meanwhile workers that the list calls ready have ended: their machines refuse connections. One
refusal is a crash that the list will tell of, seconds late; several that it goes on not to tell are a list
that is no longer heard.
"""

import random
from dataclasses import dataclass, field
from math import inf

LEAST = 2  # workers; one alone may have lost its process and not its machine's word
NOTICE = 2.0  # a list tells of a crash that late or later; a refusal older than this is not news on its way
SPREAD = 0.05  # for each dispatcher: all see a crash at once, and discovery answers one call after another
LONGEST_SPREAD = 10.0
AGAIN = (
    15.0  # between two doubts: a list that has been asked for anew and still says ready is believed
)
MOST = 256  # workers remembered


@dataclass
class StalenessDetector:
    """`fleet`: dispatchers that ask the same discovery."""

    fleet: int
    draw: random.Random
    refused_at: dict[str, float] = field(default_factory=dict)  # by worker: its first refusal
    due_at: float = inf
    last: float = -inf

    def refused(self, worker: str, now: float) -> None:
        """A worker that the list calls ready refuses connections."""
        if worker in self.refused_at or len(self.refused_at) >= MOST:
            return
        self.refused_at[worker] = now
        if len(self.refused_at) == LEAST:
            spread = min(SPREAD * (self.fleet - 1), LONGEST_SPREAD)
            self.due_at = max(now, self.last + AGAIN) + NOTICE + self.draw.uniform(0.0, spread)

    def reached(self, worker: str) -> None:
        """It takes connections."""
        if self.refused_at.pop(worker, None) is not None:
            self.settle()

    def told(self, workers: set[str] | None) -> None:
        """Discovery's word on these, or on all (None)."""
        for worker in (
            list(self.refused_at) if workers is None else workers & self.refused_at.keys()
        ):
            del self.refused_at[worker]
        self.settle()

    def settle(self) -> None:
        if len(self.refused_at) < LEAST:
            self.due_at = inf

    def due(self, now: float) -> bool:
        """Whether the list is to be asked for anew; true once, then not before AGAIN."""
        if now < self.due_at:
            return False
        self.refused_at.clear()
        self.due_at, self.last = inf, now
        return True
