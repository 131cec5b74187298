"""Timers: when the periodic tasks run, and when the start of an attempt is due."""

from stepstream.model.actions import SetTimer, TimerToken
from stepstream.model.job_records import Attempt, AwaitedStart, InFlightJob
from stepstream.model.settings import JobClass
from stepstream.model.state import PolicyState
from stepstream.policy.pool_capacity import has_many_dispatchers

PERIOD_US = 500_000
START_DUE_OBJECTIVE_FRACTION = 0.4
# With many dispatchers caps are learned from overdue starts, so starts are due earlier.
START_DUE_OBJECTIVE_FRACTION_WITH_MANY = 0.2


def set_timer(state: PolicyState, token: TimerToken, at_us: int) -> None:
    """Ask for a timer that fires at this time."""
    state.actions.append(SetTimer(token, at_us))


def set_first_period(state: PolicyState) -> None:
    """End the first period at a random time, so that dispatchers do not act at the same moments."""
    first_us = state.now_us + state.rng.randrange(PERIOD_US)
    set_timer(state, TimerToken.PERIODIC_TASKS, first_us)


def set_next_period(state: PolicyState) -> None:
    """Set the timer of the next period."""
    set_timer(state, TimerToken.PERIODIC_TASKS, state.now_us + PERIOD_US)


def await_start(state: PolicyState, job: InFlightJob, attempt: Attempt) -> None:
    """Record when an attempt that was just sent should have started, where starts are reported."""
    if state.settings.reports_start:
        due_us = start_due_us(state, job.class_settings)
        state.jobs.awaited_starts.append(AwaitedStart(due_us, job, attempt))
        set_timer(state, TimerToken.START_DUE, due_us)


def start_due_us(state: PolicyState, job_class: JobClass) -> int:
    """Return the time by which an attempt that is sent now should have started.

    It is a fraction of the latency objective, so that a hedged request can still be in time.
    """
    fraction = (
        START_DUE_OBJECTIVE_FRACTION_WITH_MANY
        if has_many_dispatchers(state.settings)
        else START_DUE_OBJECTIVE_FRACTION
    )
    return state.now_us + int(fraction * job_class.latency_objective_us)


def take_overdue_starts(state: PolicyState) -> list[AwaitedStart]:
    """Return the awaited starts that are due and still missing, and remove all that are due."""
    awaited = state.jobs.awaited_starts
    due = [start for start in awaited if start.due_us <= state.now_us]
    state.jobs.awaited_starts = [start for start in awaited if start.due_us > state.now_us]
    return [start for start in due if start.attempt.open and not start.attempt.started]
