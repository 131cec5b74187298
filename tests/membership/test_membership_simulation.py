"""Simulated clusters: what must always hold, the hard cases, and faults planted on purpose."""

import random

import pytest
from membership_helpers import SETTINGS, names, world

from stepstream.lab.faults.schedule import Fault, Schedule, draw
from stepstream.lab.search.membership_search import Search
from stepstream.lab.simulation.membership_cluster import CLUSTER, InvariantError, MembershipCluster
from stepstream.membership import record_precedence
from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.messages import MemberRecord, MemberState
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings
from stepstream.membership.record_merge import RecordMerger

SETTLE_SECONDS = 20.0  # after the last fault, at 5 members; most settle in one


# -- drawn schedules, planted faults, exhaustive search -------------------------------------------


@pytest.mark.parametrize(("members", "seeds"), [(3, 20), (5, 25), (20, 2)])
def test_a_cluster_agrees_after_any_schedule_of_faults(members, seeds):
    for seed in range(seeds):
        made = MembershipCluster(seed, members, SETTINGS)
        made.links.doubled, made.links.late = 0.05, 0.05
        made.start_all()
        made.run(3.0)
        try:
            made.play(draw(seed, made.names, 20.0), SETTLE_SECONDS)
        except InvariantError as error:
            raise AssertionError(f"seed {seed}: {error}") from None


def old_records_win(monkeypatch):
    monkeypatch.setattr(record_precedence, "member_precedence", lambda r: (r.incarnation, r.state))


def nobody_refutes(monkeypatch):
    monkeypatch.setattr(RecordMerger, "merge_local", lambda *_: None)


def dead_members_are_not_contacted(monkeypatch):
    monkeypatch.setattr(AntiEntropy, "reconnect", lambda *_: None)
    monkeypatch.setattr(RecordMerger, "notify_dead", lambda *_: None)


def dead_members_are_forgotten(monkeypatch):
    merge = RecordMerger.merge

    def forgetful(self, record, reported_by):
        is_admitted = merge(self, record, reported_by)
        member = self.members.by_name.get(record.name)
        if member is not None and member.record.state is MemberState.DEAD:
            del self.members.by_name[record.name]
        return is_admitted

    monkeypatch.setattr(RecordMerger, "merge", forgetful)


PLANTED = [
    old_records_win,
    nobody_refutes,
    dead_members_are_not_contacted,
    dead_members_are_forgotten,
]


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_a_planted_fault_is_caught(plant, monkeypatch):
    """A checker that catches none proves nothing."""
    plant(monkeypatch)
    for seed in range(40):
        made = MembershipCluster(seed, 5, SETTINGS)
        made.start_all()
        try:
            made.run(3.0)
            made.play(draw(seed, made.names, 20.0), SETTLE_SECONDS)
        except InvariantError:
            return
    raise AssertionError("nothing noticed")


def test_a_connected_member_that_is_held_dead_for_long_is_noticed(
    monkeypatch,
):
    made = world()
    made.links.cut(names(1), names(0, 2, 3, 4))
    made.run(40.0)  # cut off: no fault of theirs
    made.links.heal()
    dead_members_are_not_contacted(monkeypatch)
    with pytest.raises(InvariantError, match="has held"):
        made.run(30.0)


def test_three_members_agree_after_every_order_of_four_steps(monkeypatch):
    search = Search(depth=4)
    search.run()
    assert search.states > 1000
    assert search.settled >= 20
    old_records_win(monkeypatch)
    with pytest.raises(InvariantError):
        Search(depth=4, settle_every=10).run()


def test_a_seed_replays_a_simulation():
    runs = []
    for _ in range(2):
        made = MembershipCluster(7, 5, SETTINGS)
        made.start_all()
        made.play(draw(7, made.names, 15.0), SETTLE_SECONDS)
        runs.append((made.now, made.sent, made.bytes, made.deaths))
    assert runs[0] == runs[1]


# -- hard cases ------------------------------------------------------------------------------------


def cut(who, kind="cut", length=15.0):
    return Fault(kind=kind, at=0.0, length=length, who=tuple(who))


@pytest.mark.parametrize(
    ("faults", "deaths_expected"),
    [
        ([cut(names(0, 1))], True),
        ([cut(names(3))], True),
        ([cut(names(0, 1), length=25.0), cut(names(2), length=20.0)], True),  # three islands
        ([cut(names(2), "flap")], False),
        ([cut(names(0, 1, 2), "flap")], False),
        ([Fault(kind="loss", at=0.0, length=60.0, size=0.1)], False),
        ([Fault(kind="crash", at=0.0, length=15.0, who=tuple(names(1, 2, 3, 4)))], True),
        ([Fault(kind="crash", at=0.0, length=9.0, who=tuple(names(0, 1, 2)))], True),  # all seeds
        ([Fault(kind="restart", at=k * 1.0, who=(f"n{k}",)) for k in range(5)], False),  # rolling
        ([Fault(kind="leave", at=k * 2.0, length=1.0, who=(f"n{k}",)) for k in range(5)], False),
    ],
    ids=[
        "halves",
        "one",
        "islands",
        "flap one",
        "flap most",
        "loss",
        "all but one",
        "seeds",
        "rolling",
        "leave",
    ],
)
def test_a_cluster_agrees_after_partitions_flaps_losses_and_restarts(faults, deaths_expected):
    for seed in range(3):
        made = world(seed)
        made.play(Schedule(tuple(faults)), SETTLE_SECONDS)
        assert bool(made.deaths) == deaths_expected


def test_a_stalled_process_declares_nobody_dead_and_returns():
    for seconds in (5.0, 60.0):
        made = world()
        begun = made.now
        made.stall("n2", seconds)
        made.run(seconds)
        assert made.known("n2", (MemberState.DEAD,))
        assert made.run(10.0, made.agreed)
        assert not [death for death in made.deaths if death[1] == "n2"]
        back = made.sims["n2"].view
        assert back.context.metrics.stalls == 1
        assert back.members.local.incarnation <= 2
        assert made.now - begun < seconds + 5.0


def test_nobody_is_declared_dead_where_every_process_stalls():
    """A machine so busy that each member stands still for up to a second again and again."""
    made = world(3, members=8)
    for _ in range(60):
        for sim in made.sims.values():
            if made.draw.random() < 0.3:
                made.stall(sim.name, made.draw.uniform(0.1, 1.0))
        made.run(1.0)
    assert not made.deaths
    assert made.run(SETTLE_SECONDS, made.agreed)


def test_indirect_probes_bridge_a_one_way_partition():
    """n2 receives nothing from n0 but the others do: nobody dies."""
    made = world()
    made.links.cuts = {("n0", "n2")}
    made.run(30.0)
    assert not made.deaths
    made.links.cuts = {("n0", other) for other in names(1, 2, 3, 4)}
    made.run(30.0)
    # It hears and is not heard: the others hold it dead, and nobody else.
    assert {death[2] for death in made.deaths if death[1] != "n0"} == {"n0"}
    made.links.heal()
    assert made.run(SETTLE_SECONDS, made.agreed)


def test_a_name_started_twice_goes_to_the_later_start_and_the_earlier_reports_it_once():
    made = world()
    old = made.sims["n4"]
    twin = made.sims["twin"] = type(old)("n4", "127.1.9.9:7946")
    made.at[twin.address] = twin
    made.run(5.0)
    twin.view = MembershipProtocol(
        MemberRecord(
            "n4", twin.address, old.view.members.local.generation + 5000, 0, MemberState.ALIVE
        ),
        CLUSTER,
        made.seeds,
        SETTINGS,
        random.Random(3),
        made.now,
    )
    made.schedule(twin)
    assert made.run(SETTLE_SECONDS, lambda: old.view.members.superseded_by is not None)
    made.run(10.0)
    events = old.view.members.events.recent
    yields = [event for event in events if event.after == "superseded"]
    assert len(yields) == 1
    assert twin.address in yields[0].reason
    assert "its own name" in yields[0].reason
    others = [sim.view for sim in made.running() if sim is not old]
    assert {view.members.by_name["n4"].record.address for view in others} == {twin.address}
    assert twin.view.members.superseded_by is None


def test_a_restart_with_its_clock_set_back_takes_its_name_over():
    for offset in (-5.0, -3600.0):
        made = world()
        made.clock_offset["n1"] = offset
        made.crash("n1")
        made.start("n1")  # at once: its death is not known yet
        assert made.run(SETTLE_SECONDS, made.agreed)
        assert any(
            "clock was ahead" in event.reason
            for event in made.sims["n1"].view.members.events.recent
        )


def test_an_address_with_a_new_owner_is_distinguished_from_the_former():
    made = world()
    made.crash("n3")
    heir = made.sims["heir"] = type(made.sims["n3"])("heir", made.sims["n3"].address)
    made.at[heir.address] = heir
    made.start("heir")
    assert made.run(
        30.0,
        lambda: made.known("n3", (MemberState.DEAD,)) and made.known("heir", (MemberState.ALIVE,)),
    )
    assert heir.view.context.metrics.misdirected_pings > 0


def test_a_member_whose_seeds_are_all_dead_joins_once_one_is_back():
    made = MembershipCluster(2, 5, SETTINGS)
    made.start("n4", seeds=(made.sims["n4"].address, made.sims["n0"].address))  # itself among them
    made.run(10.0)
    assert made.sims["n4"].view.members.joined_at is None
    assert not made.sims["n4"].view.is_settled
    for name in names(0, 1, 2, 3):
        made.start(name)
    assert made.run(SETTLE_SECONDS, made.agreed)


def test_lifeguard_reduces_false_deaths_on_lossy_links():
    """Against plain SWIM, the same program with them off, three in ten lost on every link."""
    wrong = {}
    plain = {"suspicion_max_multiplier": 1.0, "suspicion_confirmations": 0}
    for health in (0, 8):
        more = {} if health else plain
        cluster_settings = ProtocolSettings(max_local_health_score=health, **more)
        made = world(5, members=20, settings=cluster_settings)
        made.links.loss = 0.3
        made.run(120.0)
        wrong[health] = len({name for _, _, name, _ in made.deaths})
    assert wrong[8] < wrong[0]


def test_a_crash_is_detected_in_time_and_the_load_is_flat_in_the_size():
    load = []
    for members in (5, 20, 50):
        made = world(4, members=members)
        made.run(3.0)
        sent, size = made.sent, made.bytes
        made.run(10.0)
        load.append(((made.sent - sent) / members / 10, (made.bytes - size) / members / 10))
        made.crash("n1")
        begun = made.now
        assert made.run(15.0, lambda made=made: made.known("n1", (MemberState.DEAD,)))
        assert made.now - begun < 10.0
    assert max(count for count, _ in load) < 6
    assert max(size for _, size in load) < 400


# -- maintenance records and the count ------------------------------------------------------------


def put_in_maintenance(made, name, in_maintenance, at_us):
    maintenance = made.sims[name].view.maintenance
    maintenance.record("s-1", in_maintenance=in_maintenance, recorded_at_us=at_us)


def is_in_maintenance(sim):
    record = sim.view.maintenance.by_worker.get("s-1")
    return record is not None and record.in_maintenance


@pytest.mark.parametrize("pages", [True, False])
def test_a_maintenance_record_reaches_partitioned_and_restarted_members_by_anti_entropy(
    pages, monkeypatch
):
    """Not without pages: dissemination sends each update a limited number of times."""
    if not pages:
        monkeypatch.setattr(AntiEntropy, "send_pages", lambda *_, **__: None)
    made = world()
    made.links.cut(names(4), names(0, 1, 2, 3))
    made.run(1.0)
    put_in_maintenance(made, "n0", True, 1)
    made.run(10.0)
    made.crash("n0")
    made.crash("n1")
    made.start("n1")
    made.links.heal()

    def everywhere():
        return all(is_in_maintenance(sim) for sim in made.running())

    assert made.run(SETTLE_SECONDS, everywhere) == pages


def test_concurrent_opposite_maintenance_records_end_in_maintenance_everywhere():
    for seed in range(6):
        made = world(seed)
        put_in_maintenance(made, "n0", True, 1)
        put_in_maintenance(made, "n3", False, 2)
        assert made.run(SETTLE_SECONDS, made.agreed)
        made.run(5.0)
        assert {is_in_maintenance(sim) for sim in made.running()} == {True}


def test_the_majority_counts_itself_alone_though_its_seeds_are_on_the_other_side():
    """Digests to the dead must not use up updates, and a lost confirmation is sent again."""
    for seed in range(12):
        made = world(seed)
        made.count_all(2.0)
        made.run(5.0)
        made.links.cut(names(0, 1), names(2, 3, 4))
        made.sims["n2"].view.anti_entropy.seeds = made.seeds[:2]
        assert made.run(40.0, lambda made=made: {made.counted(n) for n in names(2, 3, 4)} == {3}), (
            seed
        )
        assert {made.counted(n) for n in names(0, 1)} == {5}
