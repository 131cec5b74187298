"""Which jobs the score counts as served in time."""

from stepstream.lab.verification.observations import FinalOutcome
from stepstream.lab.verification.score import is_in_time


def test_a_job_served_within_its_latency_objective_is_in_time(verifier, submit_job):
    key = submit_job("nav-publish")
    record = verifier.records[key.job_number]
    verifier.on_response(record.planned.at_us + 1000, key, FinalOutcome.SERVED, "r")
    assert is_in_time(verifier.scenario.site, record)


def test_a_job_served_after_its_deadline_is_not_in_time(verifier, submit_job):
    key = submit_job("nav-publish")
    record = verifier.records[key.job_number]
    verifier.on_response(record.planned.at_us + 4_000_001, key, FinalOutcome.SERVED, "r")
    assert not is_in_time(verifier.scenario.site, record)


def test_a_failed_job_is_not_in_time(verifier, submit_job):
    key = submit_job("nav-publish")
    record = verifier.records[key.job_number]
    verifier.on_response(record.planned.at_us + 1000, key, FinalOutcome.FAILED)
    assert not is_in_time(verifier.scenario.site, record)
