"""The fleet's view in simulated time: what must always hold, each hard case, faults planted on purpose."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.lab.fleet_faults import Fault, Schedule, draw
from stepstream.lab.fleet_search import Search
from stepstream.lab.fleet_world import CLUSTER, BrokenError, World
from stepstream.membership import messages as m
from stepstream.membership.counting import Roster, Seen
from stepstream.membership.messages import Row, State
from stepstream.membership.view import Times, View

TIMES = Times()
SETTLE = 20.0  # seconds after the last fault, at 5 members; most settle in one


def world(seed=1, members=5, times=TIMES, **links):
    made = World(seed, members, times)
    for name, value in links.items():
        setattr(made.links, name, value)
    made.start_all()
    assert made.run(20.0, made.agreed)
    return made


def names(*numbers):
    return [f"n{k}" for k in numbers]


def view(times=TIMES, name="me", seeds=()):
    return View(
        Row(name, "127.0.0.1:1", 1000, 0, State.ALIVE), CLUSTER, seeds, times, random.Random(1), 0.0
    )


# -- claims -----------------------------------------------------------------------------------------------

ROWS = st.builds(
    Row,
    name=st.sampled_from(["a", "b", "c"]),
    address=st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"]),
    generation=st.integers(1, 3),
    incarnation=st.integers(0, 2),
    state=st.sampled_from(State),
)
WORDS = st.builds(
    m.Word,
    worker=st.sampled_from(["s-1", "s-2"]),
    stamp=st.integers(1, 3),
    out=st.booleans(),
    by=st.sampled_from(["a", "b"]),
    at_us=st.just(7),
)


FACTS = st.builds(
    lambda owner, generation, count: m.Facts(
        owner,
        generation,
        count,
        m.Phase.SERVING,
        0,
        "",
        count,
        0,
        "",
        (generation, count) if count else (),
    ),
    owner=st.sampled_from(["a", "b"]),
    generation=st.integers(1, 2),
    count=st.integers(0, 3),
)


def held(rows, words, facts):
    made = view()
    for row in rows:
        made.claim(row, "x")
    for word in words:
        made.learn_word(word)
    for one in facts:
        made.learn_facts(one)
    return made.digest, {n: x.row for n, x in made.members.items()}, made.words, made.facts


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(ROWS, max_size=12),
    st.lists(WORDS, max_size=6),
    st.lists(FACTS, max_size=6),
    st.randoms(use_true_random=False),
)
def test_the_merge_of_views_is_commutative_associative_and_idempotent(rows, words, facts, dice):
    once = held(rows, words, facts)
    again, other = rows + dice.sample(rows, len(rows) // 2), words + words[:2]
    dice.shuffle(again)
    dice.shuffle(other)
    mixed = facts + facts[:2]
    dice.shuffle(mixed)
    assert held(again, other, mixed) == once
    for name, row in once[1].items():
        if name != "me":
            assert row.order == max(r.order for r in rows if r.name == name)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.data())
def test_bytes_from_anywhere_are_a_datagram_or_dropped(data):
    whole = m.encode(
        m.Datagram(
            m.VERSION, CLUSTER, view().me, m.PingFor(3, "n1", "127.0.0.1:5"), rows=(view().me,) * 3
        )
    )
    part = bytearray(whole[: data.draw(st.integers(0, len(whole)))])
    for _ in range(data.draw(st.integers(0, 3))):
        if part:
            part[data.draw(st.integers(0, len(part) - 1))] = data.draw(st.integers(0, 255))
    target = view(name="n1")
    try:
        told = m.decode(bytes(part), CLUSTER)
    except m.BadDatagramError:
        return
    target.handle(1.0, told)  # whatever is readable is also bounded
    assert len(target.members) <= 1 + 4
    assert told.cluster == CLUSTER


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"\xc1" * 10, "unreadable"),
        (b"x" * (m.DATAGRAM + 1), "over"),
        (m.encode(m.Datagram(2, CLUSTER, view().me, m.Ack(1))), "version 2"),
        (m.encode(m.Datagram(1, "other", view().me, m.Ack(1))), "cluster 'other'"),
        (
            m.encode(
                m.Datagram(1, CLUSTER, Row("a b", "127.0.0.1:1", 1, 0, State.ALIVE), m.Ack(1))
            ),
            "unreadable",
        ),
        (
            m.encode(m.Datagram(1, CLUSTER, Row("a", "host:1", 1, 0, State.ALIVE), m.Ack(1))),
            "unreadable",
        ),
        (
            m.encode(
                m.Datagram(1, CLUSTER, Row("a", "127.0.0.1:1", 2**60, 0, State.ALIVE), m.Ack(1))
            ),
            "unreadable",
        ),
    ],
)
def test_a_datagram_that_is_not_ours_is_dropped_with_its_reason(data, why):
    with pytest.raises(m.BadDatagramError, match=why):
        m.decode(data, CLUSTER)


def test_more_names_than_the_bound_are_turned_away_by_name_and_a_forgotten_one_makes_room():
    made = view(Times(most=3, forget=100.0))
    for k, name in enumerate("abcd"):
        made.claim(Row(name, f"127.0.0.1:{k + 2}", 1, 0, State.ALIVE), name)
    assert set(made.members) == {"me", "a", "b"}
    assert made.counts.turned_away == 2
    assert [c.name for c in made.changes if c.after == "turned away"] == ["c", "d"]
    made.claim(Row("a", "127.0.0.1:2", 1, 0, State.DEAD), "b")
    made.now = 99.0
    assert not made.claim(Row("c", "127.0.0.1:4", 1, 0, State.ALIVE), "c")
    made.now = 100.0
    assert made.claim(Row("c", "127.0.0.1:4", 1, 0, State.ALIVE), "c")
    assert "a" not in made.members


# -- schedules --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("members", "seeds"), [(3, 20), (5, 25), (20, 2)])
def test_whatever_befalls_the_fleet_it_settles_on_one_view(members, seeds):
    for seed in range(seeds):
        made = World(seed, members, TIMES)
        made.links.doubled, made.links.late = 0.05, 0.05
        made.start_all()
        made.run(3.0)
        try:
            made.play(draw(seed, made.names, 20.0), SETTLE)
        except BrokenError as error:
            raise AssertionError(f"seed {seed}: {error}") from None


def old_claims_win(monkeypatch):
    monkeypatch.setattr(Row, "order", property(lambda r: (r.incarnation, r.state)))


def nobody_refutes(monkeypatch):
    monkeypatch.setattr(View, "about_me", lambda *_: None)


def the_dead_are_not_called(monkeypatch):
    monkeypatch.setattr(View, "reach", lambda *_: None)
    monkeypatch.setattr(View, "tell_dead", lambda *_: None)


def the_dead_are_forgotten(monkeypatch):
    claim = View.claim

    def forgetful(self, row, by):
        known = claim(self, row, by)
        if row.name in self.members and self.members[row.name].row.state is State.DEAD:
            del self.members[row.name]
        return known

    monkeypatch.setattr(View, "claim", forgetful)


PLANTED = [old_claims_win, nobody_refutes, the_dead_are_not_called, the_dead_are_forgotten]


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_a_planted_fault_is_caught(plant, monkeypatch):
    """A checker that catches none proves nothing."""
    plant(monkeypatch)
    for seed in range(40):
        made = World(seed, 5, TIMES)
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
        made = World(7, 5, TIMES)
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
        assert made.known("n2", (State.DEAD,))
        assert made.run(10.0, made.agreed)
        assert not [death for death in made.deaths if death[1] == "n2"]
        back = made.sims["n2"].view
        assert back.counts.stalls == 1
        assert back.members["n2"].row.incarnation <= 2
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
    twin.view = View(
        Row("n4", twin.address, old.view.me.generation + 5000, 0, State.ALIVE),
        CLUSTER,
        made.seeds,
        TIMES,
        random.Random(3),
        made.now,
    )
    made.schedule(twin)
    assert made.run(SETTLE, lambda: bool(old.view.superseded))
    made.run(10.0)
    lines = [change for change in old.view.changes if change.after == "superseded"]
    assert len(lines) == 1
    assert twin.address in lines[0].why
    assert "its own name" in lines[0].why
    rows = {sim.view.members["n4"].row.address for sim in made.running() if sim is not old}
    assert rows == {twin.address}
    assert not twin.view.superseded


def test_a_restart_whose_clock_was_set_back_takes_its_name_over():
    for offset in (-5.0, -3600.0):
        made = world()
        made.clock_offset["n1"] = offset
        made.crash("n1")
        made.start("n1")  # at once: its death is not told yet
        assert made.run(SETTLE, made.agreed)
        assert any("clock was ahead" in change.why for change in made.sims["n1"].view.changes)


def test_an_address_taken_over_by_another_name_is_told_from_its_former_owner():
    made = world()
    made.crash("n3")
    heir = made.sims["heir"] = type(made.sims["n3"])("heir", made.sims["n3"].address)
    made.at[heir.address] = heir
    made.start("heir")
    assert made.run(
        30.0, lambda: made.known("n3", (State.DEAD,)) and made.known("heir", (State.ALIVE,))
    )
    assert heir.view.counts.not_me > 0


def test_a_member_whose_seeds_are_all_dead_joins_once_one_is_back():
    made = World(2, 5, TIMES)
    made.start("n4", seeds=(made.sims["n4"].address, made.sims["n0"].address))  # itself among them
    made.run(10.0)
    assert not made.sims["n4"].view.joined
    assert not made.sims["n4"].view.settled
    for name in names(0, 1, 2, 3):
        made.start(name)
    assert made.run(SETTLE, made.agreed)


def test_lifeguards_parts_spare_those_on_lossy_links():
    """Against plain SWIM, the same program with them off, three in ten lost on every link."""
    wrong = {}
    for health in (0, 8):
        more = {} if health else {"slack": 1.0, "confirmations": 0}
        made = world(5, members=20, times=Times(health=health, **more))
        made.links.loss = 0.3
        made.run(120.0)
        wrong[health] = len({name for _, _, name, _ in made.deaths})
    assert wrong[8] < wrong[0]


def test_a_death_claimed_anew_is_held_anew():
    made = view()
    row = Row("a", "127.0.0.1:2", 1, 0, State.DEAD)
    made.claim(row, "b")
    made.now = 50.0
    made.claim(msgspec.structs.replace(row, incarnation=1), "b")
    assert made.members["a"].since == 50.0


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
        assert made.run(15.0, lambda made=made: made.known("n1", (State.DEAD,)))
        assert made.now - begun < 10.0
    assert max(count for count, _ in load) < 6
    assert max(size for _, size in load) < 400


# -- operators' words and the count -----------------------------------------------------------------------


@pytest.mark.parametrize("pages", [True, False])
def test_a_ban_reaches_a_member_that_was_cut_off_or_started_empty_and_outlives_who_was_told(
    pages, monkeypatch
):
    """Not without whole exchanges: what is passed on is told some times and no more."""
    if not pages:
        monkeypatch.setattr(View, "send_pages", lambda *_, **__: None)
    made = world()
    made.links.cut(names(4), names(0, 1, 2, 3))
    made.run(1.0)
    made.sims["n0"].view.say("s-1", True, 1)
    made.run(10.0)
    made.crash("n0")
    made.crash("n1")
    made.start("n1")
    made.links.heal()

    def everywhere():
        return all("s-1" in sim.view.words and sim.view.words["s-1"].out for sim in made.running())

    assert made.run(SETTLE, everywhere) == pages


def test_two_opposite_words_in_one_instant_end_the_same_everywhere():
    for seed in range(6):
        made = world(seed)
        made.sims["n0"].view.say("s-1", True, 1)
        made.sims["n3"].view.say("s-1", False, 2)
        assert made.run(SETTLE, made.agreed)
        made.run(5.0)
        assert {sim.view.words["s-1"].out for sim in made.running()} == {True}


def test_the_greater_side_of_a_cut_comes_to_count_itself_alone_with_all_its_seeds_on_the_other():
    """Calls to the dead must not use up the news, and a witness that was lost on the way is told again."""
    for seed in range(12):
        made = world(seed)
        made.count_all(2.0)
        made.run(5.0)
        made.links.cut(names(0, 1), names(2, 3, 4))
        made.sims["n2"].view.seeds = made.seeds[:2]
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
    rosters = {name: Roster(name, hold) for name in everyone}
    side = dict(zip(everyone, sides, strict=True))
    found = {(a, b): dice.uniform(0, 60) for a in everyone for b in everyone}
    told: dict[str, frozenset[int]] = {}
    for now in range(0, 80, 2):
        seen = {
            name: [
                Seen(
                    b, State.DEAD if dead else State.ALIVE, now - found[name, b], everyone.index(b)
                )
                for b in everyone
                for dead in [(side[b] != side[name] or b not in up) and now >= found[name, b]]
            ]
            for name in up
        }
        told |= {name: frozenset(rosters[name].witnessed(seen[name])) for name in up}
        shares = {}
        for name in up:
            heard = {other: marks for other, marks in told.items() if side[other] == side[name]}
            shares[name] = 1 / rosters[name].update(seen[name], heard)
        assert sum(shares.values()) <= 1.5 + 1e-9
        for which in "abc":
            ours = [name for name in up if side[name] == which]
            if 2 * len(ours) < len(everyone):
                assert sum(shares[name] for name in ours) <= len(ours) / len(everyone) + 1e-9
    if len(set(sides)) == 1 and 2 * len(up) > len(everyone):
        assert set(shares.values()) == {1 / len(up)}  # and after a mere crash the rest have it all


def test_those_who_left_or_are_witnessed_dead_no_longer_count_until_they_are_back():
    roster, names = Roster("a", 30.0), "abcd"

    def seen(c=State.ALIVE, d=State.ALIVE, since=31.0, mark=7):
        return [Seen("a", State.ALIVE, 99.0, 1), Seen("b", State.ALIVE, 99.0, 2)] + [
            Seen(name, state, since, mark) for name, state in (("c", c), ("d", d))
        ]

    both = {"a": frozenset({7}), "b": frozenset({7})}
    assert roster.update(seen(), both) == len(names)
    assert roster.update(seen(d=State.LEFT), both) == 3
    assert roster.witnessed(seen(c=State.DEAD, since=29.0)) == []
    assert roster.witnessed(seen(c=State.DEAD)) == [7]
    assert roster.update(seen(c=State.DEAD, d=State.LEFT), {"a": frozenset({7})}) == 3
    assert roster.update(seen(c=State.DEAD, d=State.LEFT, mark=8), both) == 3  # another claim
    assert roster.update(seen(c=State.DEAD, d=State.LEFT), both) == 2
    assert roster.update(seen(c=State.DEAD, d=State.LEFT, mark=8), {}) == 3  # it was back meanwhile
    assert roster.update(seen(), both) == 4
