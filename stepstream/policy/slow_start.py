"""Slow start: how much work a worker gets while it is warming up.

Dispatchers do not communicate. Each one therefore starts from the number of attempts that a warm
worker recently served for it. It multiplies this number by a part of the overload multiple and by
the slow-start factor, and sends a worker that is warming up that many attempts.
The arithmetic is in tests/policy/test_cold.py.
"""

from math import inf

from stepstream.model.estimators import ALL_CLASSES
from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

# The rest of the overload multiple is a margin for random variation.
USED_OVERLOAD_MULTIPLE_FRACTION = 0.6


def slow_start_factor(state: PolicyState, worker: Worker) -> float:
    """Return the least fraction of its capacity that a worker has by now, from 0 to 1.

    It grows linearly within the slow-start time, from the cold capacity fraction to 1.
    """
    if state.now_us >= worker.slow_start_ends_us:
        return 1.0
    age_us = max(state.now_us - worker.endpoint.started_us, 0)
    progress = age_us / max(state.settings.slow_start_us, 1)
    initial_fraction = state.settings.cold_capacity_fraction
    return initial_fraction + (1 - initial_fraction) * progress


def update_warm_worker_equivalents(state: PolicyState) -> None:
    """Measure the capacity of all eligible workers, in warm-worker equivalents."""
    workers = state.workers
    workers.warm_worker_equivalents = sum(
        [slow_start_factor(state, worker) for worker in workers.eligible]
    )


def record_attempt(worker: Worker, now_us: int) -> None:
    """Record an attempt on a worker: it uses up the attempt that the window allows."""
    worker.last_attempt_us = now_us
    worker.admitted_in_window = False


def is_admitted(state: PolicyState, job: InFlightJob, worker: Worker) -> bool:
    """Return whether a worker that is warming up may get this job.

    If at least one attempt is due in each overload window, attempts are spaced evenly. Rarer ones
    are admitted at random, by one draw for each window. Unused attempts are not saved up, as all
    dispatchers would send the saved ones in one burst.
    """
    window_us = state.settings.overload_window_us
    interval_us = _attempt_interval_us(state, job, worker)
    if interval_us <= window_us:
        return state.now_us - worker.last_attempt_us >= interval_us
    if state.now_us >= worker.slow_start_window_ends_us:
        worker.slow_start_window_ends_us = state.now_us + window_us
        worker.admitted_in_window = state.rng.random() < window_us / interval_us
    return worker.admitted_in_window


def _attempt_interval_us(state: PolicyState, job: InFlightJob, worker: Worker) -> float:
    """Return the mean time between two attempts on a worker that is warming up."""
    multiple = state.settings.overload_multiple * USED_OVERLOAD_MULTIPLE_FRACTION
    rate_ratio = multiple * slow_start_factor(state, worker)  # relative to a warm worker
    warm_interval_us = warm_worker_interval_us(state, job.request.job_class)
    return warm_interval_us / rate_ratio if rate_ratio else inf


def warm_worker_interval_us(state: PolicyState, job_class: int) -> float:
    """Return the mean time between two jobs of this class that a warm worker serves for us.

    The class's mean run time scales it, as jobs that take longer load a worker more. Before any job
    is served, one job in an overload window is expected of all dispatchers together.
    """
    settings = state.settings
    run_times = state.measurements.run_times
    interval_us = run_times.served_interval_us
    interval_us = interval_us or settings.overload_window_us * settings.dispatcher_count
    class_mean_us = run_times.mean_elapsed_us[job_class]
    overall_mean_us = run_times.mean_elapsed_us[ALL_CLASSES]
    if class_mean_us and overall_mean_us:
        interval_us *= class_mean_us / overall_mean_us
    return interval_us * state.workers.warm_worker_equivalents
