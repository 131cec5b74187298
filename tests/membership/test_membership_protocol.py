"""The fleet's view in simulated time: what must always hold, each hard case, faults planted on purpose."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.lab.fleet_faults import Fault, Schedule, draw
from stepstream.lab.fleet_search import Search
from stepstream.lab.fleet_world import CLUSTER, BrokenError, World
from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.member_count import MemberCount, ObservedMember
from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    Ack,
    Datagram,
    InvalidDatagramError,
    MaintenanceRecord,
    MemberRecord,
    MemberState,
    MemberStatus,
    Phase,
    PingRequest,
    decode,
    encode,
)
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings
from stepstream.membership.record_merge import RecordMerger

SETTINGS = ProtocolSettings()
SETTLE = 20.0  # seconds after the last fault, at 5 members; most settle in one


def world(seed=1, members=5, times=SETTINGS, **links):
    made = World(seed, members, times)
    for name, value in links.items():
        setattr(made.links, name, value)
    made.start_all()
    assert made.run(20.0, made.agreed)
    return made


def names(*numbers):
    return [f"n{k}" for k in numbers]


def protocol(settings=SETTINGS, name="me", seeds=()):
    return MembershipProtocol(
        MemberRecord(name, "127.0.0.1:1", 1000, 0, MemberState.ALIVE),
        CLUSTER,
        seeds,
        settings,
        random.Random(1),
        0.0,
    )


LOCAL = protocol().members.local


# -- claims -----------------------------------------------------------------------------------------------

RECORDS = st.builds(
    MemberRecord,
    name=st.sampled_from(["a", "b", "c"]),
    address=st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"]),
    generation=st.integers(1, 3),
    incarnation=st.integers(0, 2),
    state=st.sampled_from(MemberState),
)
MAINTENANCE_RECORDS = st.builds(
    MaintenanceRecord,
    worker=st.sampled_from(["s-1", "s-2"]),
    lamport_time=st.integers(1, 3),
    in_maintenance=st.booleans(),
    recorded_by=st.sampled_from(["a", "b"]),
    recorded_at_us=st.just(7),
)


STATUSES = st.builds(
    lambda owner, generation, revision: MemberStatus(
        owner,
        generation,
        revision,
        Phase.SERVING,
        0,
        "",
        revision,
        0,
        "",
        (generation, revision) if revision else (),
    ),
    owner=st.sampled_from(["a", "b"]),
    generation=st.integers(1, 2),
    revision=st.integers(0, 3),
)


def merged(records, maintenance, statuses):
    """All that a member holds after it has merged these, in their order."""
    made = protocol()
    for record in records:
        made.merger.merge(record, "x")
    for record in maintenance:
        made.maintenance.merge(record)
    for status in statuses:
        made.statuses.merge(status)
    held = {name: member.record for name, member in made.members.by_name.items()}
    return made.digest, held, made.maintenance.by_worker, made.statuses.by_owner


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(RECORDS, max_size=12),
    st.lists(MAINTENANCE_RECORDS, max_size=6),
    st.lists(STATUSES, max_size=6),
    st.randoms(use_true_random=False),
)
def test_the_merge_is_commutative_associative_and_idempotent(records, maintenance, statuses, rng):
    once = merged(records, maintenance, statuses)
    records_again = records + rng.sample(records, len(records) // 2)
    maintenance_again = maintenance + maintenance[:2]
    statuses_again = statuses + statuses[:2]
    for shuffled in (records_again, maintenance_again, statuses_again):
        rng.shuffle(shuffled)
    assert merged(records_again, maintenance_again, statuses_again) == once
    for name, record in once[1].items():
        if name != "me":
            assert record.precedence == max(r.precedence for r in records if r.name == name)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.data())
def test_bytes_from_anywhere_are_a_datagram_or_dropped(data):
    whole = encode(
        Datagram(
            PROTOCOL_VERSION,
            CLUSTER,
            LOCAL,
            PingRequest(3, "n1", "127.0.0.1:5"),
            member_records=(LOCAL,) * 3,
        )
    )
    part = bytearray(whole[: data.draw(st.integers(0, len(whole)))])
    for _ in range(data.draw(st.integers(0, 3))):
        if part:
            part[data.draw(st.integers(0, len(part) - 1))] = data.draw(st.integers(0, 255))
    target = protocol(name="n1")
    try:
        told = decode(bytes(part), CLUSTER)
    except InvalidDatagramError:
        return
    target.handle(1.0, told)  # whatever is readable is also bounded
    assert len(target.members.by_name) <= 1 + 4
    assert told.cluster == CLUSTER


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"\xc1" * 10, "unreadable"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "over"),
        (encode(Datagram(2, CLUSTER, LOCAL, Ack(1))), "version 2"),
        (encode(Datagram(1, "other", LOCAL, Ack(1))), "cluster 'other'"),
        (
            encode(
                Datagram(
                    1, CLUSTER, MemberRecord("a b", "127.0.0.1:1", 1, 0, MemberState.ALIVE), Ack(1)
                )
            ),
            "unreadable",
        ),
        (
            encode(
                Datagram(1, CLUSTER, MemberRecord("a", "host:1", 1, 0, MemberState.ALIVE), Ack(1))
            ),
            "unreadable",
        ),
        (
            encode(
                Datagram(
                    1,
                    CLUSTER,
                    MemberRecord("a", "127.0.0.1:1", 2**60, 0, MemberState.ALIVE),
                    Ack(1),
                )
            ),
            "unreadable",
        ),
    ],
)
def test_a_datagram_that_is_not_ours_is_dropped_with_its_reason(data, why):
    with pytest.raises(InvalidDatagramError, match=why):
        decode(data, CLUSTER)


def test_more_names_than_the_bound_are_turned_away_by_name_and_a_forgotten_one_makes_room():
    made = protocol(ProtocolSettings(max_members=3, tombstone_timeout_seconds=100.0))
    for k, name in enumerate("abcd"):
        made.merger.merge(MemberRecord(name, f"127.0.0.1:{k + 2}", 1, 0, MemberState.ALIVE), name)
    assert set(made.members.by_name) == {"me", "a", "b"}
    assert made.context.metrics.rejected_names == 2
    assert [event.name for event in made.members.events.recent if event.after == "turned away"] == [
        "c",
        "d",
    ]
    made.merger.merge(MemberRecord("a", "127.0.0.1:2", 1, 0, MemberState.DEAD), "b")
    made.context.now = 99.0
    assert not made.merger.merge(MemberRecord("c", "127.0.0.1:4", 1, 0, MemberState.ALIVE), "c")
    made.context.now = 100.0
    assert made.merger.merge(MemberRecord("c", "127.0.0.1:4", 1, 0, MemberState.ALIVE), "c")
    assert "a" not in made.members.by_name


# -- schedules --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("members", "seeds"), [(3, 20), (5, 25), (20, 2)])
def test_whatever_befalls_the_fleet_it_settles_on_one_view(members, seeds):
    for seed in range(seeds):
        made = World(seed, members, SETTINGS)
        made.links.doubled, made.links.late = 0.05, 0.05
        made.start_all()
        made.run(3.0)
        try:
            made.play(draw(seed, made.names, 20.0), SETTLE)
        except BrokenError as error:
            raise AssertionError(f"seed {seed}: {error}") from None


def old_claims_win(monkeypatch):
    monkeypatch.setattr(MemberRecord, "precedence", property(lambda r: (r.incarnation, r.state)))


def nobody_refutes(monkeypatch):
    monkeypatch.setattr(RecordMerger, "merge_local", lambda *_: None)


def the_dead_are_not_called(monkeypatch):
    monkeypatch.setattr(AntiEntropy, "reconnect", lambda *_: None)
    monkeypatch.setattr(RecordMerger, "notify_dead", lambda *_: None)


def the_dead_are_forgotten(monkeypatch):
    merge = RecordMerger.merge

    def forgetful(self, record, reported_by):
        is_admitted = merge(self, record, reported_by)
        member = self.members.by_name.get(record.name)
        if member is not None and member.record.state is MemberState.DEAD:
            del self.members.by_name[record.name]
        return is_admitted

    monkeypatch.setattr(RecordMerger, "merge", forgetful)


PLANTED = [old_claims_win, nobody_refutes, the_dead_are_not_called, the_dead_are_forgotten]


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_a_planted_fault_is_caught(plant, monkeypatch):
    """A checker that catches none proves nothing."""
    plant(monkeypatch)
    for seed in range(40):
        made = World(seed, 5, SETTINGS)
        made.start_all()
        try:
            made.run(3.0)
            made.play(draw(seed, made.names, 20.0), SETTLE)
        except BrokenError:
            return
    raise AssertionError("nothing noticed")


def test_a_member_that_lives_and_is_connected_but_held_dead_for_long_is_noticed_at_that_step(
    monkeypatch,
):
    made = world()
    made.links.cut(names(1), names(0, 2, 3, 4))
    made.run(40.0)  # cut off: no fault of theirs
    made.links.heal()
    the_dead_are_not_called(monkeypatch)
    with pytest.raises(BrokenError, match="has held"):
        made.run(30.0)


def test_three_members_in_every_order_of_four_steps(monkeypatch):
    search = Search(depth=4)
    search.run()
    assert search.states > 1000
    assert search.settled >= 20
    old_claims_win(monkeypatch)
    with pytest.raises(BrokenError):
        Search(depth=4, settle_every=10).run()


def test_one_seed_replays_everything():
    runs = []
    for _ in range(2):
        made = World(7, 5, SETTINGS)
        made.start_all()
        made.play(draw(7, made.names, 15.0), SETTLE)
        runs.append((made.now, made.sent, made.bytes, made.deaths))
    assert runs[0] == runs[1]


# -- hard cases -------------------------------------------------------------------------------------------


def cut(who, kind="cut", length=15.0):
    return Fault(kind=kind, at=0.0, length=length, who=tuple(who))


@pytest.mark.parametrize(
    ("faults", "dead_meanwhile"),
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
def test_hard_cases_of_links_and_lives(faults, dead_meanwhile):
    for seed in range(3):
        made = world(seed)
        made.play(Schedule(tuple(faults)), SETTLE)
        assert bool(made.deaths) == dead_meanwhile


def test_a_member_that_stood_still_declares_nobody_dead_and_is_back_after_it():
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


def test_where_everybody_is_late_nobody_is_declared_dead():
    """A machine so busy that each member stands still for up to a second again and again."""
    made = world(3, members=8)
    for _ in range(60):
        for sim in made.sims.values():
            if made.draw.random() < 0.3:
                made.stall(sim.name, made.draw.uniform(0.1, 1.0))
        made.run(1.0)
    assert not made.deaths
    assert made.run(SETTLE, made.agreed)


def test_a_one_way_cut_is_settled_while_it_lasts_by_the_helpers():
    """n2 hears nothing of n0 but the others do: nobody dies, and n0 is told of doubts by way of them."""
    made = world()
    made.links.cuts = {("n0", "n2")}
    made.run(30.0)
    assert not made.deaths
    made.links.cuts = {("n0", other) for other in names(1, 2, 3, 4)}
    made.run(30.0)
    # It hears and is not heard: the others hold it dead, and nobody else.
    assert {death[2] for death in made.deaths if death[1] != "n0"} == {"n0"}
    made.links.heal()
    assert made.run(SETTLE, made.agreed)


def test_a_name_started_twice_goes_to_the_later_start_and_the_earlier_steps_aside_with_one_line():
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
    assert made.run(SETTLE, lambda: old.view.members.superseded_by is not None)
    made.run(10.0)
    events = old.view.members.events.recent
    yields = [event for event in events if event.after == "superseded"]
    assert len(yields) == 1
    assert twin.address in yields[0].reason
    assert "its own name" in yields[0].reason
    others = [sim.view for sim in made.running() if sim is not old]
    assert {view.members.by_name["n4"].record.address for view in others} == {twin.address}
    assert twin.view.members.superseded_by is None


def test_a_restart_whose_clock_was_set_back_takes_its_name_over():
    for offset in (-5.0, -3600.0):
        made = world()
        made.clock_offset["n1"] = offset
        made.crash("n1")
        made.start("n1")  # at once: its death is not told yet
        assert made.run(SETTLE, made.agreed)
        assert any(
            "clock was ahead" in event.reason
            for event in made.sims["n1"].view.members.events.recent
        )


def test_an_address_taken_over_by_another_name_is_told_from_its_former_owner():
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
    made = World(2, 5, SETTINGS)
    made.start("n4", seeds=(made.sims["n4"].address, made.sims["n0"].address))  # itself among them
    made.run(10.0)
    assert made.sims["n4"].view.members.joined_at is None
    assert not made.sims["n4"].view.is_settled
    for name in names(0, 1, 2, 3):
        made.start(name)
    assert made.run(SETTLE, made.agreed)


def test_lifeguards_parts_spare_those_on_lossy_links():
    """Against plain SWIM, the same program with them off, three in ten lost on every link."""
    wrong = {}
    plain = {"suspicion_max_multiplier": 1.0, "suspicion_confirmations": 0}
    for health in (0, 8):
        more = {} if health else plain
        times = ProtocolSettings(max_local_health_score=health, **more)
        made = world(5, members=20, times=times)
        made.links.loss = 0.3
        made.run(120.0)
        wrong[health] = len({name for _, _, name, _ in made.deaths})
    assert wrong[8] < wrong[0]


def test_a_death_claimed_anew_is_held_anew():
    made = protocol()
    row = MemberRecord("a", "127.0.0.1:2", 1, 0, MemberState.DEAD)
    made.merger.merge(row, "b")
    made.context.now = 50.0
    made.merger.merge(msgspec.structs.replace(row, incarnation=1), "b")
    assert made.members.by_name["a"].state_since == 50.0


def test_a_crash_is_known_to_twenty_in_time_and_the_load_is_flat():
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


# -- operators' words and the count -----------------------------------------------------------------------


def put_in_maintenance(made, name, in_maintenance, at_us):
    maintenance = made.sims[name].view.maintenance
    maintenance.record("s-1", in_maintenance=in_maintenance, recorded_at_us=at_us)


def is_in_maintenance(sim):
    record = sim.view.maintenance.by_worker.get("s-1")
    return record is not None and record.in_maintenance


@pytest.mark.parametrize("pages", [True, False])
def test_a_ban_reaches_a_member_that_was_cut_off_or_started_empty_and_outlives_who_was_told(
    pages, monkeypatch
):
    """Not without whole exchanges: what is passed on is told some times and no more."""
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

    assert made.run(SETTLE, everywhere) == pages


def test_two_opposite_words_in_one_instant_end_the_same_everywhere():
    for seed in range(6):
        made = world(seed)
        put_in_maintenance(made, "n0", True, 1)
        put_in_maintenance(made, "n3", False, 2)
        assert made.run(SETTLE, made.agreed)
        made.run(5.0)
        assert {is_in_maintenance(sim) for sim in made.running()} == {True}


def test_the_greater_side_of_a_cut_comes_to_count_itself_alone_with_all_its_seeds_on_the_other():
    """Calls to the dead must not use up the news, and a witness that was lost on the way is told again."""
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


@settings(derandomize=True, max_examples=120, deadline=None)
@given(
    sides=st.lists(st.sampled_from("abc"), min_size=2, max_size=11),
    crashed=st.sets(st.integers(0, 10)),
    dice=st.randoms(use_true_random=False),
)
def test_a_cut_never_gives_the_fleet_much_more_than_its_share_and_a_minority_no_more_than_it_had(
    sides, crashed, dice
):
    """Members find out at any time, in any order, one long after another: witnesses count, not views."""
    hold, everyone = 3.0, [f"n{k:02}" for k in range(len(sides))]
    up = [name for k, name in enumerate(everyone) if k not in crashed]
    counts = {name: MemberCount(name, hold) for name in everyone}
    side = dict(zip(everyone, sides, strict=True))
    found = {(a, b): dice.uniform(0, 60) for a in everyone for b in everyone}
    told: dict[str, frozenset[int]] = {}
    for now in range(0, 80, 2):
        seen = {
            name: [
                ObservedMember(
                    b,
                    MemberState.DEAD if dead else MemberState.ALIVE,
                    now - found[name, b],
                    everyone.index(b),
                )
                for b in everyone
                for dead in [(side[b] != side[name] or b not in up) and now >= found[name, b]]
            ]
            for name in up
        }
        told |= {name: frozenset(counts[name].confirmed_deaths(seen[name])) for name in up}
        shares = {}
        for name in up:
            heard = {other: marks for other, marks in told.items() if side[other] == side[name]}
            shares[name] = 1 / counts[name].update(seen[name], heard)
        assert sum(shares.values()) <= 1.5 + 1e-9
        for which in "abc":
            ours = [name for name in up if side[name] == which]
            if 2 * len(ours) < len(everyone):
                assert sum(shares[name] for name in ours) <= len(ours) / len(everyone) + 1e-9
    if len(set(sides)) == 1 and 2 * len(up) > len(everyone):
        assert set(shares.values()) == {1 / len(up)}  # and after a mere crash the rest have it all


def test_those_who_left_or_are_witnessed_dead_no_longer_count_until_they_are_back():
    member_count, names = MemberCount("a", 30.0), "abcd"

    def seen(c=MemberState.ALIVE, d=MemberState.ALIVE, since=31.0, mark=7):
        return [
            ObservedMember("a", MemberState.ALIVE, 99.0, 1),
            ObservedMember("b", MemberState.ALIVE, 99.0, 2),
        ] + [ObservedMember(name, state, since, mark) for name, state in (("c", c), ("d", d))]

    both = {"a": frozenset({7}), "b": frozenset({7})}
    assert member_count.update(seen(), both) == len(names)
    assert member_count.update(seen(d=MemberState.LEFT), both) == 3
    assert member_count.confirmed_deaths(seen(c=MemberState.DEAD, since=29.0)) == []
    assert member_count.confirmed_deaths(seen(c=MemberState.DEAD)) == [7]
    assert (
        member_count.update(seen(c=MemberState.DEAD, d=MemberState.LEFT), {"a": frozenset({7})})
        == 3
    )
    assert (
        member_count.update(seen(c=MemberState.DEAD, d=MemberState.LEFT, mark=8), both) == 3
    )  # another claim
    assert member_count.update(seen(c=MemberState.DEAD, d=MemberState.LEFT), both) == 2
    assert (
        member_count.update(seen(c=MemberState.DEAD, d=MemberState.LEFT, mark=8), {}) == 3
    )  # it was back meanwhile
    assert member_count.update(seen(), both) == 4
