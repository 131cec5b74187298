"""The verifier: how it records breaches, and which attempts it checks."""

from stepstream.lab.verification.observations import RequestKey
from stepstream.lab.verification.verifier import MAX_BREACHES


def test_a_breach_states_the_time_since_the_start_of_the_run(verifier):
    verifier.started_at_us = 2_000_000
    verifier.record_breach(3_500_000, "description")
    assert verifier.breaches == ["1.500 s: description"]


def test_at_most_max_breaches_are_recorded(verifier):
    for _ in range(MAX_BREACHES + 1):
        verifier.record_breach(1, "description")
    assert len(verifier.breaches) == MAX_BREACHES


def test_an_attempt_at_a_job_outside_the_scenario_is_counted_but_not_verified(verifier):
    verifier.on_drain_known(1, "a")
    verifier.on_arrival(10_000_000, RequestKey(-1, 0), "a", 0)
    assert verifier.attempt_count == 1
    assert not verifier.breaches


def test_new_work_for_a_worker_that_is_ready_again_is_no_breach(verifier, submit_job):
    verifier.on_drain_known(1, "a")
    verifier.on_worker_ready("a")
    verifier.on_arrival(10_000_000, submit_job("nav-publish"), "a", 0)
    assert not verifier.breaches
