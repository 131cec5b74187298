"""Running means, and how long jobs take."""

from collections.abc import Sequence
from math import log

SHORTEST_RUN_US = 1_000  # shorter runs tell nothing of their worker


def running_mean(mean: float, new: float, weight: float) -> float:
    """A running mean with the newest value in; 0 stands for none so far."""
    return mean + weight * (new - mean) if mean else max(new, 1.0)


def carry_over(
    old: tuple[str, ...], new: tuple[str, ...], values: Sequence[float], fresh: float
) -> list[float]:
    """What was learned by name, in the order of the new names; `fresh` for a name not known before."""
    known = dict(zip(old, values, strict=False))
    return [known.get(name, fresh) for name in new]


class RunTimeEstimator:
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
            self.mean_us[k] = running_mean(self.mean_us[k], spent_us, self.weight)
        self.gap_us, self.last_us = (
            running_mean(self.gap_us, now_us - self.last_us, self.weight),
            now_us,
        )

    def surplus(self, place: int, run_us: int) -> float:
        """How much longer than usual this run is, as a logarithm; 0 while nothing is known of its class."""
        usual = self.usual[place] if 0 <= place < len(self.usual) else 0.0
        return log(max(run_us, SHORTEST_RUN_US)) - usual if usual else 0.0

    def ran(self, place: int, run_us: int) -> float:
        if 0 <= place < len(self.usual):
            self.usual[place] = running_mean(
                self.usual[place], log(max(run_us, SHORTEST_RUN_US)), self.weight
            )
        return self.surplus(place, run_us)

    def carry(self, old: tuple[str, ...], new: tuple[str, ...]) -> None:
        self.mean_us[:-1] = carry_over(old, new, self.mean_us, 0.0)
        self.usual = carry_over(old, new, self.usual, 0.0)
