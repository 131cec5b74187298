"""Simulated clusters: invariants under random faults, single scenarios, deliberate faults."""

import random

import pytest

from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule
from stepstream.lab.search.membership_search import MembershipSearch
from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.membership_cluster import CLUSTER_NAME, MembershipCluster
from stepstream.lab.simulation.membership_process import MembershipProcess
from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.messages import MemberRecord, MemberState
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings
from tests.membership import planted_membership_faults as planted
from tests.membership.membership_builders import SETTINGS, converged_cluster, member_names

RECOVERY_SECONDS = 20.0  # after the last fault; most clusters of 5 members need 1 s
PLANTED_FAULT_SEEDS = 40  # the invariants must detect a planted fault with one of them
FAULT_SECONDS = 20.0  # all random faults begin within this time


# -- random schedules, planted faults, exhaustive search -------------------------------------------


@pytest.mark.parametrize(("members", "seeds"), [(3, 20), (5, 25), (20, 2)])
def test_a_cluster_converges_after_random_schedules_of_faults(members, seeds):
    for seed in range(seeds):
        cluster = MembershipCluster(seed, members, SETTINGS)
        cluster.links.duplicate_probability = 0.05
        cluster.links.reorder_probability = 0.05
        cluster.start_all()
        cluster.run(3.0)
        try:
            cluster.play(generate_schedule(seed, cluster.names, FAULT_SECONDS), RECOVERY_SECONDS)
        except InvariantError as error:
            raise AssertionError(f"seed {seed}: {error}") from None


def play_random_schedules():
    for seed in range(PLANTED_FAULT_SEEDS):
        cluster = MembershipCluster(seed, 5, SETTINGS)
        cluster.start_all()
        cluster.run(3.0)
        cluster.play(generate_schedule(seed, cluster.names, FAULT_SECONDS), RECOVERY_SECONDS)


@pytest.mark.parametrize(
    "plant",
    [
        planted.precedence_ignores_process_starts,
        planted.false_claims_are_not_refuted,
        planted.dead_members_are_not_contacted,
        planted.dead_members_are_forgotten,
    ],
    ids=lambda plant: plant.__name__,
)
def test_the_invariants_detect_a_planted_fault(plant, monkeypatch):
    """Guards against invariant checks that cannot fail."""
    plant(monkeypatch)
    with pytest.raises(InvariantError):
        play_random_schedules()


def test_the_invariants_detect_a_connected_member_that_stays_declared_dead(monkeypatch):
    cluster = converged_cluster()
    cluster.links.cut(member_names(1), member_names(0, 2, 3, 4))
    cluster.run(40.0)  # n1 is cut off, so the others may declare it dead
    cluster.links.heal()
    planted.dead_members_are_not_contacted(monkeypatch)
    with pytest.raises(InvariantError, match=r"lists n\d+ as dead since"):
        cluster.run(30.0)


def test_three_members_converge_after_every_order_of_four_steps():
    search = MembershipSearch(max_depth=4)
    search.run()
    assert search.states > 1000
    assert search.converged_count >= 20


def test_the_search_detects_a_planted_fault(monkeypatch):
    planted.precedence_ignores_process_starts(monkeypatch)
    with pytest.raises(InvariantError):
        MembershipSearch(max_depth=4, convergence_interval=10).run()


def test_two_simulations_with_the_same_seed_are_equal():
    runs = []
    for _ in range(2):
        cluster = MembershipCluster(7, 5, SETTINGS)
        cluster.start_all()
        cluster.play(generate_schedule(7, cluster.names, 15.0), RECOVERY_SECONDS)
        deaths = cluster.declared_deaths
        runs.append((cluster.now, cluster.packets_sent, cluster.bytes_sent, deaths))
    assert runs[0] == runs[1]


# -- single scenarios ------------------------------------------------------------------------------


def link_fault(members, kind=FaultKind.CUT, seconds=15.0):
    return Fault(kind=kind, begin_seconds=0.0, duration_seconds=seconds, members=tuple(members))


def crash(members, seconds):
    return link_fault(members, FaultKind.CRASH, seconds)


THREE_PARTITIONS = [
    link_fault(member_names(0, 1), seconds=25.0),
    link_fault(member_names(2), seconds=20.0),
]
LOSS = [Fault(kind=FaultKind.LOSS, begin_seconds=0.0, duration_seconds=60.0, loss_fraction=0.1)]
ROLLING_RESTART = [
    Fault(kind=FaultKind.RESTART, begin_seconds=number * 1.0, members=(f"n{number}",))
    for number in range(5)
]
LEAVES_IN_TURN = [
    Fault(
        kind=FaultKind.LEAVE,
        begin_seconds=number * 2.0,
        duration_seconds=1.0,
        members=(f"n{number}",),
    )
    for number in range(5)
]


@pytest.mark.parametrize(
    ("faults", "deaths_expected"),
    [
        pytest.param([link_fault(member_names(0, 1))], True, id="two members cut off"),
        pytest.param([link_fault(member_names(3))], True, id="one member cut off"),
        pytest.param(THREE_PARTITIONS, True, id="three partitions"),
        pytest.param(
            [link_fault(member_names(2), FaultKind.FLAP)], False, id="links of one member flap"
        ),
        pytest.param(
            [link_fault(member_names(0, 1, 2), FaultKind.FLAP)],
            False,
            id="links of three members flap",
        ),
        pytest.param(LOSS, False, id="lossy links"),
        pytest.param([crash(member_names(1, 2, 3, 4), 15.0)], True, id="all but one crash"),
        pytest.param([crash(member_names(0, 1, 2), 9.0)], True, id="three crash, with both seeds"),
        pytest.param(ROLLING_RESTART, False, id="rolling restart"),
        pytest.param(LEAVES_IN_TURN, False, id="members leave in turn"),
    ],
)
def test_a_cluster_converges_after_partitions_flaps_losses_and_restarts(faults, deaths_expected):
    for seed in range(3):
        cluster = converged_cluster(seed)
        cluster.play(Schedule(tuple(faults)), RECOVERY_SECONDS)
        assert bool(cluster.declared_deaths) == deaths_expected


@pytest.mark.parametrize("stall_seconds", [5.0, 60.0])
def test_a_stalled_process_declares_nobody_dead_and_rejoins_within_5_seconds(stall_seconds):
    cluster = converged_cluster()
    stalled_at = cluster.now
    cluster.stall("n2", stall_seconds)
    cluster.run(stall_seconds)
    assert cluster.is_known_as("n2", (MemberState.DEAD,))
    assert cluster.run(10.0, cluster.has_converged)
    assert "n2" not in {death.observer for death in cluster.declared_deaths}
    protocol = cluster.processes["n2"].protocol
    assert protocol.context.metrics.stalls == 1
    assert protocol.members.local.incarnation <= 2
    assert cluster.now - stalled_at < stall_seconds + 5.0


def test_nobody_is_declared_dead_where_every_process_stalls():
    """Guards against false deaths on a machine so busy that each process stalls for up to 1 s."""
    cluster = converged_cluster(3, members=8)
    for _ in range(60):
        for process in cluster.processes.values():
            if cluster.rng.random() < 0.3:
                cluster.stall(process.name, cluster.rng.uniform(0.1, 1.0))
        cluster.run(1.0)
    assert not cluster.declared_deaths
    assert cluster.run(RECOVERY_SECONDS, cluster.has_converged)


def test_indirect_probes_prevent_deaths_in_a_one_way_partition():
    """Datagrams from n0 do not reach n2, but they reach all other members."""
    cluster = converged_cluster()
    cluster.links.cut_pairs = {("n0", "n2")}
    cluster.run(30.0)
    assert not cluster.declared_deaths


def test_only_the_member_whose_datagrams_are_all_lost_is_declared_dead():
    """n0 receives datagrams, but no other member receives one from it."""
    cluster = converged_cluster()
    cluster.links.cut_pairs = {("n0", other) for other in member_names(1, 2, 3, 4)}
    cluster.run(30.0)
    deaths_at_others = [death for death in cluster.declared_deaths if death.observer != "n0"]
    assert {death.member for death in deaths_at_others} == {"n0"}
    cluster.links.heal()
    assert cluster.run(RECOVERY_SECONDS, cluster.has_converged)


def test_the_later_of_two_starts_keeps_the_name_and_the_earlier_reports_it_once():
    cluster = converged_cluster()
    earlier = cluster.processes["n4"]
    later = MembershipProcess("n4", address="127.1.9.9:7946")
    cluster.add_process("later n4", later)
    cluster.run(5.0)
    generation = earlier.protocol.members.local.generation + 5000
    later.protocol = MembershipProtocol(
        MemberRecord("n4", later.address, generation, 0, MemberState.ALIVE),
        CLUSTER_NAME,
        cluster.seeds,
        SETTINGS,
        random.Random(3),
        cluster.now,
    )
    cluster.schedule_tick(later)
    assert cluster.run(RECOVERY_SECONDS, lambda: earlier.protocol.members.superseded_by is not None)
    cluster.run(10.0)
    events = earlier.protocol.members.events.recent
    (superseded,) = [event for event in events if event.after == "superseded"]
    assert later.address in superseded.reason
    assert "its own name" in superseded.reason
    others = [process.protocol for process in cluster.running() if process is not earlier]
    addresses = {protocol.members.by_name["n4"].record.address for protocol in others}
    assert addresses == {later.address}
    assert later.protocol.members.superseded_by is None


@pytest.mark.parametrize("clock_offset_seconds", [-5.0, -3600.0])
def test_a_process_that_restarts_with_its_clock_set_back_takes_over_its_name(clock_offset_seconds):
    cluster = converged_cluster()
    process = cluster.processes["n1"]
    process.clock_offset_seconds = clock_offset_seconds
    cluster.kill("n1")
    cluster.start("n1")  # at once, before any other member notices the crash
    assert cluster.run(RECOVERY_SECONDS, cluster.has_converged)
    events = process.protocol.members.events.recent
    assert any("clock was ahead" in event.reason for event in events)


def test_a_new_member_at_a_dead_members_address_is_told_apart_from_it():
    cluster = converged_cluster()
    cluster.kill("n3")
    newcomer = MembershipProcess("newcomer", address=cluster.processes["n3"].address)
    cluster.add_process("newcomer", newcomer)
    cluster.start("newcomer")

    def are_told_apart():
        return cluster.is_known_as("n3", (MemberState.DEAD,)) and cluster.is_known_as(
            "newcomer", (MemberState.ALIVE,)
        )

    assert cluster.run(30.0, are_told_apart)
    assert newcomer.protocol.context.metrics.misdirected_pings > 0


def test_a_member_whose_seeds_are_all_dead_joins_once_one_is_back():
    cluster = MembershipCluster(2, 5, SETTINGS)
    joining = cluster.processes["n4"]
    cluster.start("n4", seeds=(joining.address, cluster.processes["n0"].address))
    cluster.run(10.0)
    assert joining.protocol.members.joined_at is None
    assert not joining.protocol.is_settled
    for name in member_names(0, 1, 2, 3):
        cluster.start(name)
    assert cluster.run(RECOVERY_SECONDS, cluster.has_converged)


def members_declared_dead_on_lossy_links(settings):
    """Return how many of 20 running members are declared dead if each link loses 30 %."""
    cluster = converged_cluster(5, members=20, settings=settings)
    cluster.links.loss_probability = 0.3
    cluster.run(120.0)
    return len({death.member for death in cluster.declared_deaths})


def test_lifeguard_reduces_false_deaths_on_lossy_links():
    """Compare with plain SWIM: the same program with Lifeguard's parts switched off."""
    plain_swim = ProtocolSettings(
        max_local_health_score=0, suspicion_max_multiplier=1.0, suspicion_confirmations=0
    )
    lifeguard = ProtocolSettings(max_local_health_score=8)
    false_deaths = members_declared_dead_on_lossy_links(lifeguard)
    assert false_deaths < members_declared_dead_on_lossy_links(plain_swim)


@pytest.mark.parametrize("members", [5, 20, 50])
def test_a_crash_is_detected_within_10_seconds(members):
    cluster = converged_cluster(4, members=members)
    cluster.run(13.0)
    cluster.kill("n1")
    killed_at = cluster.now
    assert cluster.run(15.0, lambda: cluster.is_known_as("n1", (MemberState.DEAD,)))
    assert cluster.now - killed_at < 10.0


@pytest.mark.parametrize("members", [5, 20, 50])
def test_the_traffic_of_a_member_stays_bounded_at_any_cluster_size(members):
    cluster = converged_cluster(4, members=members)
    cluster.run(3.0)
    packets_before = cluster.packets_sent
    bytes_before = cluster.bytes_sent
    cluster.run(10.0)
    member_seconds = members * 10.0
    assert (cluster.packets_sent - packets_before) / member_seconds < 6
    assert (cluster.bytes_sent - bytes_before) / member_seconds < 400


# -- maintenance records and the count of dispatchers ----------------------------------------------


def put_in_maintenance(cluster, name, in_maintenance, at_us):
    maintenance = cluster.processes[name].protocol.maintenance
    maintenance.record("s-1", in_maintenance=in_maintenance, recorded_at_us=at_us)


def has_worker_in_maintenance(process):
    record = process.protocol.maintenance.by_worker.get("s-1")
    return record is not None and record.in_maintenance


@pytest.mark.parametrize("sends_pages", [True, False])
def test_a_maintenance_record_reaches_partitioned_and_restarted_members_by_anti_entropy(
    sends_pages, monkeypatch
):
    """Without pages, the record does not reach them.

    Dissemination sends each update only a limited number of times.
    """
    if not sends_pages:
        monkeypatch.setattr(AntiEntropy, "send_pages", lambda *_, **__: None)
    cluster = converged_cluster()
    cluster.links.cut(member_names(4), member_names(0, 1, 2, 3))
    cluster.run(1.0)
    put_in_maintenance(cluster, "n0", True, 1)
    cluster.run(10.0)
    cluster.kill("n0")
    cluster.kill("n1")
    cluster.start("n1")
    cluster.links.heal()

    def all_are_in_maintenance():
        return all(has_worker_in_maintenance(process) for process in cluster.running())

    assert cluster.run(RECOVERY_SECONDS, all_are_in_maintenance) == sends_pages


@pytest.mark.parametrize("seed", range(6))
def test_concurrent_opposite_maintenance_records_end_in_maintenance_everywhere(seed):
    cluster = converged_cluster(seed)
    put_in_maintenance(cluster, "n0", True, 1)
    put_in_maintenance(cluster, "n3", False, 2)
    assert cluster.run(RECOVERY_SECONDS, cluster.has_converged)
    cluster.run(5.0)
    assert {has_worker_in_maintenance(process) for process in cluster.running()} == {True}


@pytest.mark.parametrize("seed", range(12))
def test_a_majority_cut_off_from_all_seeds_counts_only_its_own_members(seed):
    """Guards against confirmations of deaths that do not reach the whole majority.

    Digests to dead members must not use up the limited number of transmissions of each update.
    Anti-entropy must send a lost confirmation again.
    """
    cluster = converged_cluster(seed)
    cluster.start_counting(2.0)
    cluster.run(5.0)
    minority = member_names(0, 1)
    majority = member_names(2, 3, 4)
    cluster.links.cut(minority, majority)
    cluster.processes["n2"].protocol.anti_entropy.seeds = cluster.seeds[:2]
    assert cluster.run(40.0, lambda: {cluster.counted_members(name) for name in majority} == {3})
    assert {cluster.counted_members(name) for name in minority} == {5}
