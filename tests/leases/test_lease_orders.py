"""A search through all orders of events in a small configuration of leases.

benchmarks/leases.py searches larger configurations.
"""

import pytest

from stepstream.lab.search.lease_model import Bounds
from stepstream.lab.search.lease_search import LeaseSearch
from stepstream.lab.simulation.errors import TwoHoldersError
from tests.leases import planted_lease_faults as planted


def test_three_acceptors_and_two_proposers_have_one_holder_in_every_order():
    search = LeaseSearch(Bounds(renewals=0, restarts=0, releases=False, time_steps=1))
    assert search.run()
    assert search.states > 5_000
    assert search.states_with_holder > 500


@pytest.mark.parametrize(
    "plant",
    [
        planted.no_recovery_wait,
        planted.no_drift_margin,
        planted.quorum_off_by_one,
        planted.acceptance_without_a_promise,
    ],
    ids=lambda plant: plant.__name__,
)
def test_the_search_catches_a_planted_fault(plant, monkeypatch):
    plant(monkeypatch)
    bounds = Bounds(renewals=0, restarts=1, releases=False, time_steps=2)
    search = LeaseSearch(bounds, max_states=400_000)
    with pytest.raises(TwoHoldersError, match="Accepted"):
        search.run()


def test_a_search_that_reaches_its_bound_on_states_is_not_complete():
    search = LeaseSearch(Bounds(), max_states=100)
    assert not search.run()
    assert search.states == 100
