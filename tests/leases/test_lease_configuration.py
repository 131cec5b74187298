"""The bounds on a lease's time to live and operation time."""

import pytest

from stepstream.leases.configuration import LeaseTimesError, check_lease_times
from tests.leases.lease_builders import CONFIGURATION


@pytest.mark.parametrize(
    ("ttl_seconds", "operation_seconds", "key"),
    [
        (1.0, 0.3, "ttl_ms=1000"),
        (7.0, 1.0, "ttl_ms=7000"),
        (4.0, 2.5, "act_ms"),
        (4.0, 0.0, "act_ms"),
    ],
)
def test_a_time_out_of_bounds_is_rejected_with_its_key(ttl_seconds, operation_seconds, key):
    with pytest.raises(LeaseTimesError) as rejection:
        check_lease_times(CONFIGURATION, ttl_seconds, operation_seconds)
    assert str(rejection.value).startswith(key)
    assert isinstance(rejection.value, ValueError)


def test_times_within_bounds_are_accepted():
    check_lease_times(CONFIGURATION, 4.0, 1.0)
