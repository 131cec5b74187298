"""Records of jobs in flight."""

from dataclasses import replace

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from tests.model.builders import IDEMPOTENT


def test_a_job_finds_its_class_by_name_after_a_reload():
    job = InFlightJob(JobSubmitted("a", 0, 1), replace(IDEMPOTENT, name="b"), 0, 0, False, 1.0)
    job.reclassify(("a", "b"))
    assert job.request.job_class == 1
    job.reclassify(("a",))
    assert job.request.job_class == -1
