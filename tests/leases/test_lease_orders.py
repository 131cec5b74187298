"""A small configuration of leases in every order of events; larger ones are in benchmarks/leases.py."""

import lease_helpers as planted
import pytest

from stepstream.lab.search.lease_search import Bounds, Search, TwoHoldersError


def test_three_acceptors_and_two_proposers_have_one_holder_in_every_order():
    search = Search(Bounds(renewals=0, restarts=0, releases=False, steps=1))
    assert search.run()
    assert search.states > 5_000
    assert search.held > 500


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
    search = Search(Bounds(renewals=0, restarts=1, releases=False, steps=2), most=400_000)
    with pytest.raises(TwoHoldersError, match="Accepted"):
        search.run()
