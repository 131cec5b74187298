"""Which repeats and retries are allowed for a job, by its effect and its attempts."""

from dataclasses import replace

import pytest

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.pools import Pool
from stepstream.model.settings import KeyScope
from stepstream.model.worker_records import Worker
from stepstream.policy.idempotency import (
    is_client_retry_harmless,
    may_repeat,
    workers_in_idempotency_scope,
)
from stepstream.policy.retries import may_attempt
from tests.model.builders import (
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    WITH_KEY,
    WITH_KEY_IN_ZONE,
    make_endpoint,
)

SENT_US = 1_000_000
WORKERS = [
    Worker(make_endpoint(index, zone=index % 2, cell=index), 0, 0, Pool()) for index in range(4)
]


def job_with_one_attempt(class_settings, *, never_ran):
    """Return a job with one attempt, on the first worker."""
    job = InFlightJob(JobSubmitted("a", 0, 1), class_settings, 0, 0, False, 1.0)
    job.attempts.append(Attempt(WORKERS[0], SENT_US, never_ran=never_ran))
    return job


@pytest.mark.parametrize(
    ("class_settings", "never_ran", "may_be_repeated", "is_retry_harmless"),
    [
        (IDEMPOTENT, False, True, True),
        (IDEMPOTENT, True, True, True),
        (NOT_IDEMPOTENT, False, False, False),
        (NOT_IDEMPOTENT, True, True, True),
        (WITH_KEY_IN_ZONE, False, True, False),
        (WITH_KEY, False, True, True),
    ],
    ids=[
        "idempotent",
        "idempotent, never ran",
        "not idempotent",
        "not idempotent, never ran",
        "key of a zone",
        "key",
    ],
)
def test_whether_a_job_may_repeat_depends_on_its_effect_and_on_a_possible_run(
    class_settings, never_ran, may_be_repeated, is_retry_harmless
):
    job = job_with_one_attempt(class_settings, never_ran=never_ran)
    assert may_repeat(job, SENT_US + 1) is may_be_repeated
    assert is_client_retry_harmless(job) is is_retry_harmless


def test_a_job_with_a_key_may_repeat_only_within_the_keys_window():
    job = job_with_one_attempt(WITH_KEY_IN_ZONE, never_ran=False)
    window_us = WITH_KEY_IN_ZONE.idempotency_window_us
    assert may_repeat(job, SENT_US + window_us)
    assert not may_repeat(job, SENT_US + window_us + 1)


@pytest.mark.parametrize(
    ("key_scope", "allowed_indexes"),
    [(KeyScope.ALL, [0, 1, 2, 3]), (KeyScope.ZONE, [0, 2]), (KeyScope.CELL, [0])],
)
def test_repeats_stay_in_the_key_scope_of_the_first_possible_run(key_scope, allowed_indexes):
    class_settings = replace(WITH_KEY_IN_ZONE, key_scope=key_scope)
    job = job_with_one_attempt(class_settings, never_ran=False)
    assert workers_in_idempotency_scope(job, WORKERS) == [
        WORKERS[index] for index in allowed_indexes
    ]
    never_ran = job_with_one_attempt(class_settings, never_ran=True)
    assert workers_in_idempotency_scope(never_ran, WORKERS) == WORKERS


def test_no_attempt_is_allowed_at_the_limit_or_after_the_job_has_ended():
    job = job_with_one_attempt(IDEMPOTENT, never_ran=False)
    assert may_attempt(job, 2, SENT_US)
    assert not may_attempt(job, 1, SENT_US)
    job.ended = True
    assert not may_attempt(job, 2, SENT_US)
