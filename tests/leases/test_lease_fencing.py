"""The fencing guard of a resource."""

import pytest

from stepstream.leases.fencing import FencedError, FencingGuard


def test_a_guard_takes_an_effect_whole_or_not_at_all():
    guard, taken = FencingGuard(), []
    guard.apply(5, lambda: taken.append(5))
    guard.apply(5, lambda: taken.append(5))
    with pytest.raises(FencedError) as rejection:
        guard.apply(4, lambda: taken.append(4))
    assert taken == [5, 5]
    assert (rejection.value.token, rejection.value.highest_token) == (4, 5)
    assert guard.rejected_count == 1
