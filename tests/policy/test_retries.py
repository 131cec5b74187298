"""The answers to jobs that get no further attempt."""

import pytest

from stepstream.model.actions import Reject
from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.policy.retries import give_up
from tests.model.builders import IDEMPOTENT


@pytest.mark.parametrize(
    ("may_advise_retry", "priority", "retry_after_us"),
    [(True, False, 700_000), (True, True, 0), (False, False, 0)],
)
def test_only_ordinary_jobs_are_advised_to_wait(may_advise_retry, priority, retry_after_us):
    settings = Settings(
        classes=(IDEMPOTENT,), may_advise_retry=may_advise_retry, max_retry_after_us=700_000
    )
    state = PolicyState(settings, 1, 0)
    give_up(state, InFlightJob(JobSubmitted("a", 0, 1), IDEMPOTENT, 0, 0, priority, 1.0))
    assert state.actions == [Reject("a", retry_after_us)]
