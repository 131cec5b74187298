"""Outlier ejection: workers that fail or run slowly get no work until a probation attempt succeeds.

The terms are Envoy's: outlier detection, ejection time, panic threshold. A single job class can be
ejected from a worker too; the worker still gets jobs of other classes.
"""

from stepstream.model.state import PolicyState
from stepstream.model.worker_records import ClassEjection, Worker

BASE_EJECTION_TIME_US = 1_000_000
MAX_EJECTION_TIME_US = 8_000_000
# If fewer of the workers are available, the workers are not at fault, and ejections are ignored.
PANIC_THRESHOLD_FRACTION = 0.5
# Three failures in a row exceed it.
MAX_FAILURE_RATE = 0.6
NEWEST_OUTCOME_WEIGHT = 0.3
# About the natural logarithm of 3: runs take three times as long as usual.
MAX_SLOWNESS_LOGARITHM = 1.1
NEWEST_RUN_WEIGHT = 0.15
SLOW_EJECTION_TIME_US = 3_000_000
# Given instead of a job class where the worker as a whole is meant.
ANY_CLASS = -1


def available_workers(state: PolicyState, workers: list[Worker], job_class: int) -> list[Worker]:
    """Return the workers that accept the class, or all workers if too few accept it."""
    available = accepting_workers(workers, job_class, state.now_us)
    return workers if _is_panic(len(available), len(workers)) else available


def accepting_workers(workers: list[Worker], job_class: int, now_us: int) -> list[Worker]:
    """Return the workers that accept the class; most have no ejection and are not examined."""
    return [
        worker
        for worker in workers
        if not (worker.ejection_time_us or worker.class_ejections)
        or accepts(worker, job_class, now_us)
    ]


def _is_panic(available_count: int, worker_count: int) -> bool:
    """Return whether so many workers are ejected that the cause is unlikely to be the workers."""
    return available_count < PANIC_THRESHOLD_FRACTION * worker_count


def accepts(worker: Worker, job_class: int, now_us: int) -> bool:
    """Return whether a worker may get a job of the class: no ejection, or probation is due."""
    return _accepts_jobs(worker, now_us) and _accepts_class(worker, job_class, now_us)


def _accepts_jobs(worker: Worker, now_us: int) -> bool:
    """Return whether the worker itself is not ejected, or its probation is due."""
    return not worker.ejection_time_us or now_us >= worker.next_probation_us


def _accepts_class(worker: Worker, job_class: int, now_us: int) -> bool:
    """Return whether the class is not ejected from the worker, or its probation is due."""
    ejection = worker.class_ejections.get(job_class)
    return ejection is None or now_us >= ejection.next_probation_us


def next_ejection_time_us(previous_us: int) -> int:
    """Return the time of an ejection after one of `previous_us`: twice as long, within bounds."""
    return min(max(2 * previous_us, BASE_EJECTION_TIME_US), MAX_EJECTION_TIME_US)


def eject(worker: Worker, ejection_time_us: int, now_us: int) -> None:
    """Eject a worker until a probation attempt succeeds; the first is due in `ejection_time_us`."""
    worker.ejection_time_us = ejection_time_us
    worker.next_probation_us = now_us + ejection_time_us


def eject_class(worker: Worker, job_class: int, attempt_sent_us: int, now_us: int) -> None:
    """Eject a class from a worker that lost an attempt of the class, sent at `attempt_sent_us`.

    Attempts that were sent before the latest ejection do not extend it, because they count as a
    part of its cause.
    """
    ejection = worker.class_ejections.setdefault(job_class, ClassEjection())
    if attempt_sent_us >= ejection.ejected_at_us:
        ejection.ejection_time_us = next_ejection_time_us(ejection.ejection_time_us)
        ejection.next_probation_us = now_us + ejection.ejection_time_us
        ejection.ejected_at_us = now_us


def postpone_next_probation(worker: Worker, job_class: int, now_us: int) -> None:
    """Allow the next probation attempt of a worker, or a class, one ejection time from now.

    Called for each attempt. Without an ejection it changes nothing.
    """
    if worker.ejection_time_us:
        worker.next_probation_us = now_us + worker.ejection_time_us
    if job_class in worker.class_ejections:
        ejection = worker.class_ejections[job_class]
        ejection.next_probation_us = now_us + ejection.ejection_time_us


def shorten_class_ejection(worker: Worker, job_class: int) -> None:
    """Halve a class's ejection time after the worker has started a job of the class.

    An ejection whose halved time is below BASE_EJECTION_TIME_US ends.
    """
    ejection = worker.class_ejections.get(job_class)
    if ejection is not None:
        ejection.ejection_time_us //= 2
        ejection.next_probation_us = 0
        if ejection.ejection_time_us < BASE_EJECTION_TIME_US:
            del worker.class_ejections[job_class]


def on_outcome(state: PolicyState, worker: Worker, *, failed: bool) -> None:
    """Eject a worker that fails steadily; end the ejection once a probation attempt succeeds."""
    worker.failure_rate += NEWEST_OUTCOME_WEIGHT * (failed - worker.failure_rate)
    if not failed and not _is_slow(worker):
        worker.ejection_time_us = 0
    elif _fails_steadily(worker) and state.now_us >= worker.next_probation_us:
        eject(worker, next_ejection_time_us(worker.ejection_time_us), state.now_us)


def record_run(state: PolicyState, worker: Worker, job_class: int, run_us: int) -> None:
    """Include the time of an ended run in its worker's slowness."""
    slowness = state.measurements.run_times.record_run(job_class, run_us)
    worker.slowness += NEWEST_RUN_WEIGHT * (slowness - worker.slowness)


def update_slow_ejections(state: PolicyState, *, spare_capacity: bool) -> None:
    """Eject slow workers while there is spare capacity; end their ejections while there is none.

    A fleet without spare capacity needs its slow workers.
    """
    _measure_open_runs(state)
    for worker in state.workers.eligible:
        if not _is_slow(worker) or _fails_steadily(worker):
            continue
        ejected = worker.ejection_time_us > 0
        if spare_capacity and not ejected:
            eject(worker, SLOW_EJECTION_TIME_US, state.now_us)
        elif ejected and not spare_capacity:
            _return_slow_worker(worker, state.now_us)


def _return_slow_worker(worker: Worker, now_us: int) -> None:
    """End a slow worker's ejection; for SLOW_EJECTION_TIME_US its failures cannot eject it."""
    worker.ejection_time_us = 0
    worker.next_probation_us = now_us + SLOW_EJECTION_TIME_US


def _is_slow(worker: Worker) -> bool:
    """Return whether a worker's runs take much longer than usual for their class."""
    return worker.slowness_with_open_runs > MAX_SLOWNESS_LOGARITHM


def _fails_steadily(worker: Worker) -> bool:
    """Return whether most of a worker's recent attempts have failed."""
    return worker.failure_rate > MAX_FAILURE_RATE


def _measure_open_runs(state: PolicyState) -> None:
    """Measure workers' slowness with their open runs, as few runs end on a slow worker."""
    run_times = state.measurements.run_times
    for worker in state.workers.eligible:
        worker.slowness_with_open_runs = worker.slowness
    for job in state.jobs.in_flight.values():
        for attempt in job.attempts:
            if attempt.open and attempt.started:
                worker = attempt.worker
                run_us = state.now_us - attempt.started_us
                slowness = run_times.slowness(job.request.job_class, run_us)
                increase = max(slowness - worker.slowness, 0.0)
                worker.slowness_with_open_runs += NEWEST_RUN_WEIGHT * increase
