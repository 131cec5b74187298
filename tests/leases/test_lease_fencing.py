"""The fencing guard of a resource."""

import pytest

from stepstream.leases.fencing import FencedError, FencingGuard


def test_a_guard_applies_effects_of_the_highest_token_and_none_of_an_older_one():
    guard, applied = FencingGuard(), []
    guard.apply(5, lambda: applied.append(5))
    guard.apply(5, lambda: applied.append(5))
    with pytest.raises(FencedError) as rejection:
        guard.apply(4, lambda: applied.append(4))
    assert applied == [5, 5]
    assert (rejection.value.token, rejection.value.highest_token) == (4, 5)
    assert guard.rejected_count == 1
