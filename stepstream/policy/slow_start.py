"""Slow start: how much work a worker gets that is still warming up.

Dispatchers share nothing, so each gives such a worker what a warm one did for it of late, times the
overload multiple and the slow-start factor; tests/policy/test_cold.py has the arithmetic.
"""

from math import inf

from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

USED_OVERLOAD_FRACTION = 0.6  # of the overload multiple; the rest is for chance


def slow_start_factor(state: PolicyState, worker: Worker) -> float:
    """Return the least fraction of its capacity that a worker has by now."""
    if state.now_us >= worker.slow_start_ends_us:
        return 1.0
    settings = state.settings
    age_us = max(state.now_us - worker.endpoint.started_us, 0)
    progress = age_us / max(settings.slow_start_us, 1)
    return settings.cold_capacity_fraction + (1 - settings.cold_capacity_fraction) * progress


def count_warm_workers(state: PolicyState) -> None:
    """Sum up the capacity of all eligible workers, in warm ones."""
    state.warm_worker_count = sum(
        slow_start_factor(state, worker) for worker in state.eligible_workers
    )


def is_admitted(state: PolicyState, job: InFlightJob, worker: Worker) -> bool:
    """Return whether a worker that is warming up may get this job."""
    interval_us = _interval_us(state, job, worker)
    window_us = state.settings.overload_window_us
    if interval_us <= window_us:
        return state.now_us - worker.last_attempt_us >= interval_us
    # Rarer attempts go by chance, drawn for each window: saved up, those of all dispatchers would
    # meet in a burst.
    if state.now_us >= worker.slow_start_window_ends_us:
        worker.slow_start_window_ends_us = state.now_us + window_us
        worker.admitted_in_window = state.rng.random() < window_us / interval_us
    return worker.admitted_in_window


def _interval_us(state: PolicyState, job: InFlightJob, worker: Worker) -> float:
    """Return the mean time between two of our attempts on a worker that is warming up."""
    settings = state.settings
    share = settings.overload_multiple * USED_OVERLOAD_FRACTION * slow_start_factor(state, worker)
    if not share:
        return inf  # it may begin with nothing
    interval_us = state.run_times.served_interval_us
    interval_us = interval_us or settings.overload_window_us * settings.dispatcher_count
    class_mean_us = state.run_times.mean_us[job.request.job_class]
    overall_mean_us = state.run_times.mean_us[-1]
    if class_mean_us and overall_mean_us:
        interval_us *= class_mean_us / overall_mean_us
    return interval_us * state.warm_worker_count / share
