"""Hedged requests beside attempts whose starts are overdue."""

import pytest

from stepstream.model.actions import StartAttempt
from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import Attempt, AwaitedStart, InFlightJob
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy.hedging import on_starts_due
from tests.case_ids import case_id
from tests.model.builders import IDEMPOTENT, make_endpoint

NOW_US = 10_000_000


def workers_of_hedged_requests(busy_slots, **settings):
    """Return the workers that get hedged requests if one of two workers has an overdue attempt."""
    permissions = {"may_hedge": True, "attempt_limit": 2, **settings}
    state = PolicyState(Settings(classes=(IDEMPOTENT,), **permissions), 1, NOW_US)
    state.measurements.common_cap = 1.0
    overdue, other = (
        Worker(make_endpoint(index), 0, 0, state.pools.high_set) for index in range(2)
    )
    state.workers.eligible = [overdue, other]
    overdue.busy_slots = 1.0
    other.busy_slots = busy_slots
    deadline_us = NOW_US + 1_000_000
    job = InFlightJob(JobSubmitted("a", 0, 1), IDEMPOTENT, deadline_us, deadline_us, True, 1.0)
    job.attempts.append(Attempt(overdue, NOW_US - 100_000))
    state.jobs.awaited_starts.append(AwaitedStart(NOW_US, job, job.attempts[0]))
    on_starts_due(state)
    return [action.worker_id for action in state.actions if isinstance(action, StartAttempt)]


@pytest.mark.parametrize(("busy_slots", "is_hedged"), [(0.0, True), (1.0, False)])
def test_a_hedged_request_goes_to_a_worker_with_the_slots_for_it(busy_slots, is_hedged):
    # A cap that was not measured does not delay a priority job, but prevents a hedged request.
    assert workers_of_hedged_requests(busy_slots) == [make_endpoint(1).worker_id] * is_hedged


@pytest.mark.parametrize("forbidden", [{"may_hedge": False}, {"attempt_limit": 1}], ids=case_id)
def test_no_hedged_request_is_sent_where_the_platform_or_the_attempt_limit_forbids_it(forbidden):
    assert workers_of_hedged_requests(0.0, **forbidden) == []
