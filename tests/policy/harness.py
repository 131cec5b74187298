"""A load balancer on a clock that the test controls, and the actions that it returns."""

from stepstream.model.actions import Fail, PolicyAction, Reject, SetTimer, StartAttempt, TimerToken
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    HealthChecked,
    JobSubmitted,
    TimerFired,
)
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.policy.load_balancer import LoadBalancer
from tests.model.builders import IDEMPOTENT, make_endpoint

START_US = 1_000_000
# Settings of a platform whose workers report their load in their answers.
WITH_LOAD_REPORTS = {
    "load_report_source": LoadReportSource.ANSWERS,
    "load_report_columns": ("queue", "free_slots"),
}


class PolicyHarness:
    """One load balancer, its clock, its actions so far, and methods that send events to it."""

    def __init__(self, *classes, workers=4, endpoints=None, seed=1, **settings):
        """Create a load balancer with these workers; `settings` are fields of its settings."""
        fields = {"attempt_limit": 5, **settings}
        self.settings = Settings(classes=classes or (IDEMPOTENT,), **fields)
        self.now_us = START_US
        self.balancer = LoadBalancer(self.settings, seed, self.now_us)
        self.job_count = 0
        self.actions: list[PolicyAction] = []
        if endpoints is None:
            endpoints = [make_endpoint(number) for number in range(workers)]
        persisted = EndpointList(EndpointListKind.PERSISTED, tuple(endpoints))
        self.start_actions = self.handle(persisted)

    def handle(self, *events):
        """Send events to the load balancer as one round; return its actions."""
        actions = self.balancer.handle(self.now_us, list(events))
        self.actions += actions
        return actions

    def advance(self, duration_us):
        """Advance the clock without firing timers."""
        self.now_us += duration_us
        return self

    def submit(self, job_class=0, tenant=0, budget_us=None, **fields):
        """Submit a job; return its id and the actions."""
        self.job_count += 1
        job_id = f"{self.job_count:016x}"
        if budget_us is None:
            budget_us = self.settings.classes[job_class].deadline_us
        return job_id, self.handle(JobSubmitted(job_id, job_class, budget_us, tenant, **fields))

    def end_attempt(self, job_id, worker, result, attempt=0, job_ended=None, report=None):
        """Report the end of an attempt; by default only the result OK ends the job."""
        if job_ended is None:
            job_ended = result is AttemptResult.OK
        return self.handle(AttemptEnded(job_id, attempt, worker, result, 1000, job_ended, report))

    def serve(self, gap_us=1000, report=None, **fields):
        """Advance the clock, submit a job, end its first attempt with OK; return the worker id."""
        job_id, actions = self.advance(gap_us).submit(**fields)
        worker_id = first_worker_id(actions)
        self.end_attempt(job_id, worker_id, AttemptResult.OK, report=report)
        return worker_id

    def report_headroom(self, number, headroom):
        """Report a worker's headroom by a health check: free slots, or queued jobs if negative."""
        report = {"free_slots": max(headroom, 0.0), "queue": max(-headroom, 0.0)}
        worker_id = make_endpoint(number).worker_id
        return self.handle(HealthChecked(worker_id, True, 500, report))

    def report_headrooms(self, headrooms):
        """Report every worker's headroom, by health checks."""
        for number, headroom in enumerate(headrooms):
            self.report_headroom(number, headroom)

    def finish_period(self):
        """Advance to the end of the present period and fire the timers that are due."""
        period_end_us = max(
            action.at_us
            for action in self.actions
            if isinstance(action, SetTimer) and action.token is TimerToken.PERIODIC_TASKS
        )
        self.fire_timers(period_end_us - self.now_us)
        return self

    def fire_timers(self, duration_us=500_000):
        """Advance the clock and fire every timer that is due by then; return the actions."""
        self.now_us += duration_us
        due = [action for action in self.actions if self.is_due(action)]
        self.actions = [action for action in self.actions if not self.is_due(action)]
        return self.handle(*[TimerFired(timer.token) for timer in due])

    def is_due(self, action):
        """Return whether the action is a timer that is due now."""
        return isinstance(action, SetTimer) and action.at_us <= self.now_us


def started_attempts(actions):
    """Return the attempts that these actions start."""
    return [action for action in actions if isinstance(action, StartAttempt)]


def first_worker_id(actions):
    """Return the id of the worker of the first attempt that these actions start."""
    return started_attempts(actions)[0].worker_id


def attempt_worker_ids(actions):
    """Return the ids of the workers of the attempts that these actions start."""
    return [attempt.worker_id for attempt in started_attempts(actions)]


def final_actions(actions):
    """Return the rejections and failures of jobs among these actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]
