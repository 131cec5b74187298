"""Waiting for headroom: how long a job may wait, in which order, and its expected wait."""

from stepstream.model.actions import TimerToken
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import JobClass
from stepstream.model.state import PolicyState
from stepstream.policy import timers

# The rest of the latency objective is for the run.
MAX_WAIT_OBJECTIVE_FRACTION = 0.8


def wait_until_us(state: PolicyState, job_class: JobClass) -> int:
    """Return until when a job that arrives now may wait for headroom."""
    return state.now_us + int(MAX_WAIT_OBJECTIVE_FRACTION * job_class.latency_objective_us)


def latest_start_us(state: PolicyState, job: InFlightJob) -> int:
    """Return the latest time to start an attempt; after it the job would hardly be in time."""
    return min(job.wait_until_us, job.deadline_us - state.settings.scheduling_quantum_us)


def expected_wait_us(state: PolicyState) -> float:
    """Return how long one more waiting job would wait, at the rate at which our jobs end.

    It is 0 before the first job has ended.
    """
    jobs_ahead = sum([not job.ended for job in state.jobs.waiting_for_headroom])
    return state.measurements.run_times.served_interval_us * (1 + jobs_ahead)


def waiting_priority_slots(state: PolicyState) -> float:
    """Return the slots of the priority jobs that wait for headroom."""
    waiting = state.jobs.waiting_for_headroom
    return sum([job.request.slots for job in waiting if job.priority and not job.ended])


def add_waiting_job(state: PolicyState, job: InFlightJob) -> None:
    """Let a job wait for headroom, with one timer for the end of its wait."""
    state.jobs.waiting_for_headroom.append(job)
    if not job.wait_timer_set:
        timers.set_timer(state, TimerToken.WAIT_EXPIRED, latest_start_us(state, job))
        job.wait_timer_set = True


def take_waiting_jobs(state: PolicyState) -> list[InFlightJob]:
    """Return the jobs that wait for headroom, and remove them from the waiting ones.

    Priority jobs come first, and jobs of equal priority in the order in which they began to wait.
    """
    if not state.jobs.waiting_for_headroom:
        return []
    waiting = [job for job in state.jobs.waiting_for_headroom if not job.ended]
    waiting.sort(key=lambda job: not job.priority)
    state.jobs.waiting_for_headroom = []
    return waiting


def take_waiting_jobs_due(state: PolicyState) -> bool:
    """Return whether to try the waiting jobs again, and clear the flag."""
    is_due = state.workers.waiting_jobs_due
    state.workers.waiting_jobs_due = False
    return is_due
