"""Leases in simulated time under random schedules of faults.

benchmarks/leases.py runs thousands of schedules.
"""

import pytest

from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.guarded_resource import GuardedResource
from tests.leases import planted_lease_faults as planted
from tests.leases.lease_builders import cluster_after_faults

SEEDS = 40
SEEDS_PER_PLANTED_FAULT = 120  # one of them must reveal the fault


def test_under_random_faults_a_lease_has_one_holder_and_is_held_again_afterwards():
    operations = 0
    for seed in range(SEEDS):
        try:
            cluster = cluster_after_faults(seed)
        except InvariantError as error:
            raise AssertionError(f"seed {seed}: {error}") from None
        operations += cluster.resources.get("x", GuardedResource()).completed_operations()
    assert operations > 500


def test_the_same_seed_gives_the_same_run():
    first, second = cluster_after_faults(5), cluster_after_faults(5)
    assert first.packets_sent == second.packets_sent > 0
    assert first.grants == second.grants


def play_seeds(max_clock_drift):
    for seed in range(SEEDS_PER_PLANTED_FAULT):
        cluster_after_faults(seed, max_clock_drift)


@pytest.mark.parametrize(
    ("plant", "max_clock_drift"),
    [
        (planted.no_recovery_wait, 0.01),
        (planted.no_drift_margin, 0.1),
        (planted.quorum_off_by_one, 0.01),
        (planted.acceptance_without_a_promise, 0.01),
        (planted.guard_rejects_its_own_token, 0.01),
        (planted.guard_rejects_nobody, 0.01),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_schedules_catch_a_planted_fault(plant, max_clock_drift, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(InvariantError):
        play_seeds(max_clock_drift)
