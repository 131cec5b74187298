"""Workers that refused connections while nothing confirms the endpoint list."""

import pytest

from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import ConnectionRefused, EndpointCallFailed, EndpointListConfirmed
from stepstream.policy.unconfirmed_list import MAX_REPORT_DELAY_US, MAX_UNCONFIRMED_US
from tests.model.builders import make_endpoint
from tests.policy.harness import PolicyHarness

REFUSED = make_endpoint(0).worker_id
JOBS = 30


def workers_used(harness):
    """Serve some jobs; return the workers that got them."""
    return {harness.serve() for _ in range(JOBS)}


@pytest.mark.parametrize(
    ("unconfirmed_us", "refused_before_us", "is_used"),
    [
        (MAX_UNCONFIRMED_US, 0, False),
        (MAX_UNCONFIRMED_US, MAX_REPORT_DELAY_US, False),
        (MAX_UNCONFIRMED_US, MAX_REPORT_DELAY_US + 1, True),  # discovery would have said so
        (MAX_UNCONFIRMED_US - 2 * JOBS * 1000, 0, True),
    ],
)
def test_a_worker_that_refused_is_not_used_once_the_list_is_unconfirmed_for_too_long(
    unconfirmed_us, refused_before_us, is_used
):
    # Guards against jobs at a worker that was removed and is back, cold, as another process.
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSED))
    harness.advance(refused_before_us).handle(EndpointCallFailed())
    harness.advance(unconfirmed_us)
    assert (REFUSED in workers_used(harness)) is is_used


def test_a_watch_that_fell_silent_counts_from_its_begin():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSED), EndpointCallFailed(MAX_UNCONFIRMED_US))
    harness.handle(EndpointCallFailed())  # the call beside it
    assert REFUSED not in workers_used(harness)


def test_an_answer_of_discovery_makes_the_worker_usable_again():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSED), EndpointCallFailed(MAX_UNCONFIRMED_US))
    assert REFUSED not in workers_used(harness)
    harness.handle(EndpointListConfirmed())
    assert REFUSED in workers_used(harness)


def test_another_sources_list_does_not_confirm_that_of_discovery():
    harness = PolicyHarness(workers=4)
    harness.handle(ConnectionRefused(REFUSED), EndpointCallFailed(MAX_UNCONFIRMED_US))
    harness.handle(EndpointList(EndpointListKind.CHANGES, (make_endpoint(9),)))
    assert REFUSED not in workers_used(harness)


def test_where_all_workers_refused_all_are_used():
    harness = PolicyHarness(workers=2)
    refusals = [ConnectionRefused(make_endpoint(number).worker_id) for number in range(2)]
    harness.handle(*refusals, EndpointCallFailed(MAX_UNCONFIRMED_US))
    assert workers_used(harness)
