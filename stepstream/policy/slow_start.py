"""Slow start: how much work a worker gets that is still warming up.

Dispatchers share nothing, so each gives such a worker what a warm one did for it of late, times the
overload multiple and the slow-start factor; tests/policy/test_cold.py has the arithmetic.
"""

from math import inf

from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker

USED_OVERLOAD_FRACTION = 0.6  # of the overload multiple; the rest is for chance


def is_admitted(state: PolicyState, job: InFlightJob, worker: Worker) -> bool:
    """Return whether a worker that is warming up may get this job."""
    window_us = state.settings.overload_window_us
    multiple = state.settings.overload_multiple * USED_OVERLOAD_FRACTION
    share = multiple * state.slow_start_factor(worker)  # of what a warm worker gets
    warm_interval_us = state.warm_worker_interval_us(job.request.job_class)
    interval_us = warm_interval_us / share if share else inf
    if interval_us <= window_us:
        return state.now_us - worker.last_attempt_us >= interval_us
    # Rarer attempts go by chance, drawn for each window: saved up, those of all dispatchers would
    # meet in a burst.
    if state.now_us >= worker.slow_start_window_ends_us:
        worker.slow_start_window_ends_us = state.now_us + window_us
        worker.admitted_in_window = state.rng.random() < window_us / interval_us
    return worker.admitted_in_window
