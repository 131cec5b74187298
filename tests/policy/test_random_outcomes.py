"""The retry rules under random outcomes and list changes, and with unusual settings and events."""

import random
from dataclasses import dataclass, field

import pytest

from stepstream.model.actions import Fail, Reject, StartAttempt
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked, JobAbandoned
from stepstream.model.settings import Effect, KeyScope
from tests.case_ids import case_id
from tests.model.builders import (
    HIGH_PRIORITY,
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    WITH_KEY,
    WITH_KEY_IN_ZONE,
    make_endpoint,
)
from tests.policy.harness import (
    WITH_LOAD_REPORTS,
    PolicyHarness,
    final_actions,
    started_attempts,
)

CLASSES = (IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY_IN_ZONE, WITH_KEY, HIGH_PRIORITY)
WORKER_COUNT = 6
STEPS = 800
STEPS_WITH_JOBS = 600


@dataclass
class RecordedAttempt:
    """An attempt as the balancer started it."""

    worker_id: str
    started_at_us: int
    never_ran: bool = False  # True if the result proves it


@dataclass
class RecordedJob:
    """A submitted job, its attempts, and whether it has its final answer."""

    job_class: int
    deadline_us: int
    answered: bool = False
    attempts: list[RecordedAttempt] = field(default_factory=list)

    @property
    def settings(self):
        """The settings of the job's class."""
        return CLASSES[self.job_class]


@dataclass(frozen=True, order=True)
class AttemptEnd:
    """When an attempt that is in flight ends; ordered by time."""

    at_us: int
    job_id: str
    number: int
    worker_id: str


class RandomOutcomes:
    """Ends attempts at random, and checks each of the load balancer's actions by the rules."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        endpoints = [make_endpoint(number, zone=number % 2) for number in range(WORKER_COUNT)]
        self.zones = {endpoint.worker_id: endpoint.zone for endpoint in endpoints}
        self.harness = PolicyHarness(
            *CLASSES,
            endpoints=endpoints,
            may_cancel=True,
            may_hedge=True,
            quotas_per_s=(5.0, 5.0),
            over_quota_weight_fraction=0.1,
            reports_start=True,
        )
        self.jobs: dict[str, RecordedJob] = {}
        self.in_flight: list[AttemptEnd] = []
        self.inactive_workers: set[str] = set()

    # -- checks ---------------------------------------------------------------------------------

    def check(self, actions):
        """Check actions against the rules, and record them."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_start(action)
                self.record_start(action)
            elif isinstance(action, Reject | Fail):
                self.check_answer(action)
                self.jobs[action.job_id].answered = True

    def check_start(self, action):
        job = self.jobs[action.job_id]
        assert not job.answered
        assert action.worker_id not in self.inactive_workers
        may_have_run = [attempt for attempt in job.attempts if not attempt.never_ran]
        if job.settings.effect is Effect.NOT_IDEMPOTENT:
            assert not may_have_run
        if job.settings.effect is Effect.IDEMPOTENT_WITH_KEY and may_have_run:
            first = may_have_run[0]
            window_end_us = first.started_at_us + job.settings.idempotency_window_us
            assert self.harness.now_us <= window_end_us
            in_zone = self.zones[first.worker_id] == self.zones[action.worker_id]
            assert job.settings.key_scope is KeyScope.ALL or in_zone

    def check_answer(self, action):
        job = self.jobs[action.job_id]
        assert not job.answered
        assert self.harness.now_us <= job.deadline_us
        is_idempotent = job.settings.effect is Effect.IDEMPOTENT
        if isinstance(action, Fail) or is_idempotent or job.settings.key_scope is KeyScope.ALL:
            return
        assert all(attempt.never_ran for attempt in job.attempts)

    # -- events ---------------------------------------------------------------------------------

    def record_start(self, action):
        """Record an attempt, and choose at random when it ends."""
        job = self.jobs[action.job_id]
        now_us = self.harness.now_us
        job.attempts.append(RecordedAttempt(action.worker_id, now_us))
        timeout_us = action.timeout_us or job.settings.deadline_us
        latest_us = now_us + min(timeout_us, job.deadline_us - now_us)
        at_us = min(now_us + self.random.randrange(1000, 3_000_000), latest_us)
        number = len(job.attempts) - 1
        self.in_flight.append(AttemptEnd(at_us, action.job_id, number, action.worker_id))

    def end_attempt(self, end):
        """End an attempt with a random result, or with a timeout from the job's deadline on."""
        job = self.jobs[end.job_id]
        result = self.random.choice(list(AttemptResult))
        if end.at_us >= job.deadline_us:
            result = AttemptResult.TIMEOUT
        job.attempts[end.number].never_ran = result.never_ran
        job.answered = job.answered or result is AttemptResult.OK
        actions = self.harness.end_attempt(
            end.job_id, end.worker_id, result, end.number, job.answered
        )
        self.check(actions)

    def start_some_attempts(self):
        """Report the start of about a tenth of the attempts."""
        for end in list(self.in_flight):
            if self.random.random() < 0.1:
                started = AttemptStarted(end.job_id, end.number, end.worker_id)
                self.check(self.harness.handle(started))

    def end_due_attempts(self, until_us):
        """End the attempts that are due, in their order."""
        while due := min((end for end in self.in_flight if end.at_us <= until_us), default=None):
            self.in_flight.remove(due)
            self.harness.now_us = max(self.harness.now_us, due.at_us)
            self.end_attempt(due)
        self.harness.now_us = until_us
        self.check(self.harness.fire_timers(0))

    def submit(self):
        """Submit a job of a random class and tenant."""
        job_class = self.random.randrange(len(CLASSES))
        job_id = f"{self.harness.job_count + 1:016x}"
        deadline_us = self.harness.now_us + CLASSES[job_class].deadline_us
        self.jobs[job_id] = RecordedJob(job_class, deadline_us)
        self.check(self.harness.submit(job_class, tenant=self.random.randrange(2))[1])

    def change_endpoint(self):
        """Send a list change with a random worker in a random state."""
        number = self.random.randrange(WORKER_COUNT)
        state = self.random.choice(list(EndpointState))
        is_active = state is EndpointState.ACTIVE
        started_us = self.harness.now_us if is_active else 0
        endpoint = make_endpoint(number, zone=number % 2, state=state, started_us=started_us)
        if is_active:
            self.inactive_workers.discard(endpoint.worker_id)
        else:
            self.inactive_workers.add(endpoint.worker_id)
        self.check(self.harness.handle(EndpointList(EndpointListKind.CHANGES, (endpoint,))))

    def run(self):
        """Run all steps; in the last ones no job is submitted, so that all jobs can end."""
        for step in range(STEPS):
            self.start_some_attempts()
            until_us = self.harness.now_us + self.random.randrange(1000, 60_000)
            self.end_due_attempts(until_us)
            if step < STEPS_WITH_JOBS:
                self.submit()
            if self.random.random() < 0.02:
                self.change_endpoint()


@pytest.mark.parametrize("seed", range(12))
def test_the_retry_rules_hold_under_random_outcomes_and_list_changes(seed):
    outcomes = RandomOutcomes(seed)
    outcomes.run()
    assert outcomes.jobs
    assert all(job.answered for job in outcomes.jobs.values())
    assert not outcomes.harness.balancer.state.jobs.in_flight  # the records of all jobs are removed


class UnusualEvents:
    """Answers each attempt with events that no correct platform sends."""

    def __init__(self, harness):
        self.harness = harness
        self.answered = set()

    def answer_attempts(self):
        """Answer the attempts that have no answer yet."""
        for index, attempt in enumerate(started_attempts(self.harness.actions)):
            if (attempt.job_id, index) not in self.answered:
                self.answered.add((attempt.job_id, index))
                self.answer(attempt, {"free_slots": -3.0} if index % 2 else {})
        self.harness.handle(HealthChecked("nobody", True, 1, {"free_slots": 1.0}))

    def answer(self, attempt, report):
        """Report starts and ends of attempts, most of which do not exist."""
        job_id = attempt.job_id
        worker_id = attempt.worker_id
        self.harness.handle(
            AttemptStarted(job_id, 7, worker_id),
            AttemptStarted("gone", 0, worker_id),
            JobAbandoned("gone"),
        )
        for number in range(5):
            self.harness.end_attempt(job_id, worker_id, AttemptResult.OK, number, True, report)
        self.harness.end_attempt("gone", worker_id, AttemptResult.OK)


@pytest.mark.parametrize("dispatcher_count", [1, 500])
@pytest.mark.parametrize("quotas", [(), (0.0, 0.0), (0.0, 5.0)], ids=case_id)
def test_unusual_settings_and_events_lose_no_job(dispatcher_count, quotas):
    harness = PolicyHarness(
        IDEMPOTENT,
        NOT_IDEMPOTENT,
        workers=1,
        may_hedge=True,
        may_cancel=True,
        dispatcher_count=dispatcher_count,
        quotas_per_s=quotas,
        over_quota_weight_fraction=0.1,
        may_check_health=True,
        reports_start=True,
        **WITH_LOAD_REPORTS,
    )
    events = UnusualEvents(harness)
    for number in range(40):
        harness.advance(20_000).submit(number % 2, tenant=number % 3)
        events.answer_attempts()
        harness.fire_timers(100_000)
        events.answer_attempts()
    harness.handle(EndpointList(EndpointListKind.COMPLETE, ()))
    job_id, actions = harness.submit()
    actions += [action for _ in range(4) for action in harness.fire_timers(2_000_000)]
    assert job_id in [action.job_id for action in final_actions(actions)]
    assert not harness.balancer.state.jobs.in_flight
