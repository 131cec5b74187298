"""The use of workers that refused connections while the endpoint list is unconfirmed."""

import pytest

from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import ConnectionRefused, EndpointCallFailed, EndpointListConfirmed
from stepstream.policy.unconfirmed_list import MAX_REPORT_DELAY_US, MAX_UNCONFIRMED_US
from tests.model.builders import make_endpoint
from tests.policy.harness import PolicyHarness

REFUSING_WORKER = make_endpoint(0).worker_id
JOB_COUNT = 30


def serve_jobs(harness):
    """Serve some jobs; return the ids of the workers that got them."""
    return {harness.serve() for _ in range(JOB_COUNT)}


@pytest.mark.parametrize(
    ("unconfirmed_us", "refused_before_us", "is_used"),
    [
        (MAX_UNCONFIRMED_US, 0, False),
        (MAX_UNCONFIRMED_US, MAX_REPORT_DELAY_US, False),
        # If the refusal meant that the process had ended, discovery would have reported the end
        # before the calls to discovery began to fail.
        (MAX_UNCONFIRMED_US, MAX_REPORT_DELAY_US + 1, True),
        (MAX_UNCONFIRMED_US - 2 * JOB_COUNT * 1000, 0, True),
    ],
)
def test_a_worker_that_refused_a_connection_is_not_used_with_a_long_unconfirmed_list(
    unconfirmed_us, refused_before_us, is_used
):
    # Guards against sending jobs to a removed worker whose address a new, cold process uses now.
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSING_WORKER))
    harness.advance(refused_before_us).handle(EndpointCallFailed())
    harness.advance(unconfirmed_us)
    assert (REFUSING_WORKER in serve_jobs(harness)) is is_used


def test_the_list_is_unconfirmed_since_the_begin_of_the_failed_watch():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSING_WORKER), EndpointCallFailed(MAX_UNCONFIRMED_US))
    harness.handle(EndpointCallFailed())  # a second failure does not restart the unconfirmed time
    assert REFUSING_WORKER not in serve_jobs(harness)


def test_an_answer_of_discovery_makes_the_worker_usable_again():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSING_WORKER), EndpointCallFailed(MAX_UNCONFIRMED_US))
    assert REFUSING_WORKER not in serve_jobs(harness)
    harness.handle(EndpointListConfirmed())
    assert REFUSING_WORKER in serve_jobs(harness)


def test_a_list_from_another_source_does_not_confirm_discoverys_list():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSING_WORKER), EndpointCallFailed(MAX_UNCONFIRMED_US))
    harness.handle(EndpointList(EndpointListKind.CHANGES, (make_endpoint(9),)))
    assert REFUSING_WORKER not in serve_jobs(harness)


def test_all_workers_are_used_if_all_have_refused_connections():
    harness = PolicyHarness(workers=2)
    refusals = [ConnectionRefused(make_endpoint(number).worker_id) for number in range(2)]
    harness.handle(*refusals, EndpointCallFailed(MAX_UNCONFIRMED_US))
    assert serve_jobs(harness)
