"""Leases in simulated time, under drawn schedules of faults; thousands are in benchmarks/leases.py."""

import lease_helpers as planted
import pytest
from lease_helpers import play_schedule

from stepstream.lab.simulation.lease_workload import Resource, TwoHoldersError


def test_under_any_faults_a_lease_has_one_holder_and_is_held_again_afterwards():
    operations = 0
    for seed in range(40):
        try:
            resource = play_schedule(seed).resources.get("x", Resource())
        except TwoHoldersError as error:
            raise AssertionError(f"seed {seed}: {error}") from None
        operations += sum(act.taken for act in resource.acts)
    assert operations > 500


def test_one_seed_replays_everything():
    first, second = play_schedule(5), play_schedule(5)
    assert first.sent == second.sent > 0
    assert first.grants == second.grants


def play_many(drift):
    for seed in range(120):
        play_schedule(seed, drift)


@pytest.mark.parametrize(
    ("plant", "drift"),
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
def test_schedules_catch_a_planted_fault(plant, drift, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(TwoHoldersError):
        play_many(drift)
