"""The rules of delivery: each rule reports its breach, and permitted runs cause no breach.

A case of `BREACHES` plays one job of the class `nav-publish` at a site whose drain grace is 500 ms.
The class is idempotent with a key: a job may be repeated for 6 s within one cell. To test a new
rule, add a function that breaks the rule, and a case with this function to `BREACHES`.
"""

import pytest

from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import JobEffect, read_site
from stepstream.lab.verification.observations import FinalOutcome, RequestKey
from stepstream.lab.verification.verifier import Verifier


def serve_unknown_result(verifier, key):
    verifier.on_response(5, key, FinalOutcome.SERVED, "x")


def lose_connection(verifier, key):
    verifier.on_response(5, key, FinalOutcome.LOST)


def respond_twice(verifier, key):
    verifier.on_response(5, key, FinalOutcome.FAILED)
    verifier.on_response(5, key, FinalOutcome.FAILED)


def reject_after_arrival(verifier, key):
    verifier.on_arrival(1, key, "a", 0)
    verifier.on_response(5, key, FinalOutcome.REJECTED)


def arrive_twice_at_one_worker(verifier, key):
    verifier.on_arrival(1, key, "a", 0)
    verifier.on_arrival(1, key, "a", 0)


def repeat_in_another_cell(verifier, key):
    verifier.on_arrival(1, key, "a", 0)
    verifier.on_arrival(1, key, "b", 1)


def repeat_after_the_idempotency_window(verifier, key):
    verifier.on_arrival(1, key, "a", 0)
    verifier.on_arrival(10_000_000, key, "b", 0)


def arrive_after_the_drain_grace(verifier, key):
    verifier.on_drain_known(1, "a")
    verifier.on_arrival(600_000, key, "a", 0)


def overload_a_worker_in_slow_start(verifier, _key):
    verifier.on_overload_failure(1, "a")


BREACHES = [
    pytest.param(serve_unknown_result, "no worker produced", id="unknown-result"),
    pytest.param(lose_connection, "lost", id="lost-connection"),
    pytest.param(respond_twice, "second final response", id="second-response"),
    pytest.param(
        reject_after_arrival, "refused though it may have run", id="rejected-after-arrival"
    ),
    pytest.param(arrive_twice_at_one_worker, "second open attempt", id="second-open-attempt"),
    pytest.param(repeat_in_another_cell, "outside the cell", id="repeated-in-another-cell"),
    pytest.param(
        repeat_after_the_idempotency_window,
        "after its idempotency window",
        id="repeated-after-the-window",
    ),
    pytest.param(arrive_after_the_drain_grace, "new work after the drain", id="after-drain"),
    pytest.param(
        overload_a_worker_in_slow_start, "overloaded until it failed", id="overload-in-slow-start"
    ),
]


@pytest.mark.parametrize(("break_rule", "expected_text"), BREACHES)
def test_a_broken_rule_records_exactly_one_breach(verifier, submit_job, break_rule, expected_text):
    break_rule(verifier, submit_job("nav-publish"))
    (breach,) = verifier.breaches
    assert expected_text in breach


def test_a_result_that_the_worker_produced_is_no_breach(verifier, submit_job):
    key = submit_job("nav-publish")
    verifier.on_arrival(10, key, "s-1", 0).open = False
    verifier.on_result(key, "r")
    verifier.on_response(1000, key, FinalOutcome.SERVED, "r")
    assert not verifier.breaches


def test_a_repetition_in_another_cell_is_allowed_if_the_first_attempt_never_ran(
    verifier, submit_job
):
    key = submit_job("nav-publish")
    first = verifier.on_arrival(1, key, "a", 0)
    first.open = False
    first.never_ran = True
    verifier.on_arrival(2, key, "b", 1)
    assert not verifier.breaches


def test_new_work_within_the_drain_grace_is_allowed(verifier, submit_job):
    key = submit_job("nav-publish")
    verifier.on_arrival(2, key, "b", 1)
    verifier.on_drain_known(3, "c")
    verifier.on_arrival(400_000, key, "c", 1)
    assert not verifier.breaches


def test_an_idempotent_job_may_run_twice_and_then_be_rejected(verifier, submit_job):
    key = submit_job("revalue")
    verifier.on_arrival(5, key, "a", 0)
    verifier.on_arrival(5, key, "b", 0)
    verifier.on_response(9, key, FinalOutcome.REJECTED)
    assert not verifier.breaches


def test_a_repetition_of_a_job_that_is_not_idempotent_is_a_breach():
    scenario = generate_scenario(read_site(name="probed"), seed=1, seconds=5, mix="http")
    effects = [job_class.effect for job_class in scenario.site.job_classes]
    job_number = next(
        request.number
        for request in scenario.requests
        if effects[request.class_index] is JobEffect.NOT_IDEMPOTENT
    )
    verifier = Verifier(scenario)
    verifier.on_arrival(1, RequestKey(job_number, 0), "a", 0)
    verifier.on_arrival(2, RequestKey(job_number, 0), "b", 0)
    (breach,) = verifier.breaches
    assert "sent again though it may have run" in breach
