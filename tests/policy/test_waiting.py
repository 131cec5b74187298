"""The order of the jobs that wait for headroom."""

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.policy.waiting import add_waiting_job, take_waiting_jobs
from tests.model.builders import IDEMPOTENT


def test_priority_jobs_that_wait_come_first_and_others_keep_their_order():
    state = PolicyState(Settings(classes=(IDEMPOTENT,)), 1, 0)
    for job_id, priority in (("a", False), ("b", True), ("c", False), ("d", True), ("e", False)):
        job = InFlightJob(JobSubmitted(job_id, 0, 1), IDEMPOTENT, 0, 0, priority, 1.0)
        job.ended = job_id == "c"  # this job was answered while it waited
        add_waiting_job(state, job)
    assert [job.request.job_id for job in take_waiting_jobs(state)] == ["b", "d", "a", "e"]
    assert take_waiting_jobs(state) == []
