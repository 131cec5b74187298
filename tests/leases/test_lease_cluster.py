"""Hard cases of several members in simulated time."""

import pytest
from lease_helpers import ACCEPTORS, CONFIGURATION, no_drift_margin, recovered_world

from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.lease_workload import Task, TwoHoldersError
from stepstream.leases.configuration import LeaseConfiguration

FOREVER = 1e6  # seconds


def world_with_a_slow_holder():
    """n3, whose clock runs slow among fast ones, holds the lease and is cut off; n4 waits for it."""
    configuration = LeaseConfiguration(ACCEPTORS, max_ttl_seconds=6.0, max_clock_drift=0.05)
    world = LeaseCluster(1, [f"n{k}" for k in range(5)], configuration)
    for name, process in world.processes.items():
        process.rate = 0.95 if name == "n3" else 1.05
    world.tasks["n3"] = [Task("x", hold=FOREVER)]
    world.start_all()
    world.run(12.0)
    world.work(world.processes["n4"], Task("x", hold=FOREVER))
    world.run(5.0)
    assert world.holders("x") == ["n3@1.1"]
    world.links.cut(["n3"], ["n0", "n1", "n2", "n4"])
    return world


def test_a_slow_clock_among_fast_ones_hands_over_safely():
    world = world_with_a_slow_holder()
    world.run(12.0)
    assert world.holders("x") == ["n4@1.1"]


def test_a_slow_clock_among_fast_ones_needs_the_drift_margin(monkeypatch):
    no_drift_margin(monkeypatch)
    world = world_with_a_slow_holder()
    with pytest.raises(TwoHoldersError):
        world.run(12.0)


def test_a_healthy_holder_keeps_lease_and_token_through_the_restart_of_each_acceptor_in_turn():
    world = recovered_world(tasks=[("n4", Task("x", hold=FOREVER))])
    world.run(3.0)
    world.work(world.processes["n3"], Task("x"))
    (holder,) = world.holders("x")
    for name in ACCEPTORS:
        world.kill(name)
        world.run(0.2)
        world.start(name)
        world.run(CONFIGURATION.recovery_seconds + 2.0)
    assert world.holders("x") == [holder]
    assert len(world.grants) == 1
    assert world.grants[0].token == min(act.token for act in world.resources["x"].acts)


def test_after_a_restart_of_all_acceptors_nothing_is_granted_for_the_longest_time_to_live():
    world = recovered_world(tasks=[("n4", Task("x", hold=FOREVER)), ("n3", Task("x"))])
    world.run(3.0)
    for name in ACCEPTORS:
        world.kill(name)
        world.start(name)
    restarted_at, grants_before = world.now, len(world.grants)
    world.run(CONFIGURATION.recovery_seconds * 0.98)
    assert len(world.grants) == grants_before
    assert world.run(3.0, lambda: len(world.grants) > grants_before)
    assert world.grants[-1].since - restarted_at >= 6.0


@pytest.mark.parametrize("clock_change_seconds", [-3600.0, 0.0])
def test_tokens_grow_past_a_restart_of_all_members_with_clocks_set_back(clock_change_seconds):
    world = recovered_world(tasks=[(f"n{k}", Task("x")) for k in range(5)])
    world.run(5.0)
    token_before = world.resources["x"].guard.highest_token
    for name, process in world.processes.items():
        process.ahead = clock_change_seconds
        world.kill(name)
        world.start(name)
    acts = world.resources["x"].acts
    assert world.run(30.0, lambda: acts[-1].token > token_before and acts[-1].taken)
    # It costs a rejection by the guard and another ballot, never safety.
    assert (world.fenced > 0) == (clock_change_seconds < 0)


def test_a_release_lets_the_next_waiter_in_at_once_and_a_hundred_waiters_all_get_the_lease():
    tasks = [(f"n{k % 10}", Task("x", act=0.3, hold=0.1, think=1e5)) for k in range(100)]
    world = recovered_world(members=10, tasks=tasks)
    messages_before = world.bodies
    begun_at = world.now
    assert world.run(300.0, lambda: len(world.grants) >= 100)
    assert len({grant.proposer for grant in world.grants}) == 100  # nobody twice before all once
    gaps = [
        later.since - earlier.since
        for earlier, later in zip(world.grants, world.grants[1:], strict=False)
    ]
    assert sorted(gaps)[50] < 1.0
    messages_per_second = (world.bodies - messages_before) / (world.now - begun_at)
    assert messages_per_second < 1_000  # for a hundred waiters


@pytest.mark.parametrize("seed", range(30))
def test_two_proposers_in_step_get_out_of_it(seed):
    tasks = [("n3", Task("x", hold=FOREVER)), ("n4", Task("x", hold=FOREVER))]
    world = recovered_world(seed, tasks=tasks)
    assert world.run(CONFIGURATION.recovery_seconds + 5.0, lambda: bool(world.holders("x")))


OLD, NEW = ACCEPTORS, ("n3", "n4", "n5")
OLD_ONLY = LeaseConfiguration(OLD, max_ttl_seconds=2.0)
BOTH = LeaseConfiguration(NEW, OLD, max_ttl_seconds=2.0)
NEW_ONLY = LeaseConfiguration(NEW, max_ttl_seconds=2.0)


def world_after_reconfiguration(steps):
    """Every member takes one configuration, acceptors first, before any goes on to the next."""
    world = LeaseCluster(3, [f"n{k}" for k in range(8)], steps[0])
    for name in world.names:
        world.tasks[name] = [Task("x", ttl=2.0, act=0.4, hold=FOREVER, think=0.5)]
    world.start_all()
    world.run(5.0)
    for configuration in steps[1:]:
        world.rules = configuration
        others = [name for name in world.names if name not in configuration.acceptors]
        for names in (configuration.acceptors, others):
            for name in names:
                world.kill(name)
                world.start(name)
                world.run(0.4)
            world.run(5.0)
    return world


def test_acceptors_are_changed_by_way_of_both_sets():
    world = world_after_reconfiguration([OLD_ONLY, BOTH, NEW_ONLY])
    assert world.holders("x")
    assert world.grants[-1].since > world.now - 30


def test_a_change_of_acceptors_without_the_step_of_both_sets_is_caught():
    with pytest.raises(TwoHoldersError):
        world_after_reconfiguration([OLD_ONLY, NEW_ONLY])
