"""Smooth weighted round robin, as nginx does it; the workers' records hold the current weights."""

from collections.abc import Sequence
from operator import attrgetter

from stepstream.model.worker_records import Worker

_current_weight = attrgetter("current_weight")


def choose_next(workers: Sequence[Worker], weights: Sequence[float]) -> Worker:
    """Return the worker whose turn it is: the one with the largest current weight.

    Each choice raises all current weights by the workers' weights, and lowers that of the chosen
    worker by the sum of the weights. So the workers' turns are in proportion to their weights, and
    the turns of one worker are spread out.
    """
    for worker, weight in zip(workers, weights, strict=True):
        worker.current_weight += weight
    chosen = max(workers, key=_current_weight)
    chosen.current_weight -= sum(weights)
    return chosen
