"""Rejections of jobs on arrival, decided from the state of one dispatcher."""

import pytest

from stepstream.model.actions import Reject, StartAttempt
from stepstream.model.events import JobSubmitted
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.state import PolicyState
from stepstream.model.worker_records import Worker
from stepstream.policy import capacity
from stepstream.policy.admission import on_job_submitted
from tests.model.builders import IDEMPOTENT, make_endpoint

NOW_US = 10_000_000
SETTINGS = Settings(
    classes=(IDEMPOTENT,),
    load_report_source=LoadReportSource.ANSWERS,
    may_advise_retry=True,
    max_retry_after_us=2 * IDEMPOTENT.latency_objective_us,
)


@pytest.mark.parametrize(
    ("free_slots", "client_retry", "rejected"),
    [(2.0, False, False), (2.0, True, True), (4.0, True, False)],
)
def test_a_stale_retry_is_rejected_with_less_than_one_workers_headroom(
    free_slots, client_retry, rejected
):
    state = PolicyState(SETTINGS, 1, NOW_US)
    worker = Worker(make_endpoint(0), 0, 0, state.pools.low_set)
    worker.busy_slots = 4.0 - free_slots
    worker.headroom = free_slots
    worker.headroom_at_us = NOW_US
    state.workers.eligible = [worker]
    state.measurements.job_mix.mean_weight = 5.0  # the job below is an ordinary one
    capacity.measure_common_cap(state)
    on_job_submitted(state, JobSubmitted("a", 0, 5_000_000, client_retry=client_retry))
    (action,) = state.actions
    assert isinstance(action, Reject if rejected else StartAttempt)
