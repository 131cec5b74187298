"""Leases: the pure core in simulated time and in every order, each hard case, faults planted on purpose."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.lab import lease_search
from stepstream.lab.fleet_faults import draw
from stepstream.lab.lease_search import Bounds, Search
from stepstream.lab.lease_world import LeaseWorld, Resource, Task, TwoHoldersError, drawn
from stepstream.leases import health_reports
from stepstream.leases import messages as m
from stepstream.leases.acceptor import Acceptor, Grant, LeaseRecord
from stepstream.leases.configuration import LeaseConfiguration, LeaseTimesError, check_lease_times
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.messages import Ballot
from stepstream.leases.participant import Participant
from stepstream.leases.proposer import BallotSequence, LeaseState, Proposer
from stepstream.leases.wait_queue import WaitQueue

THREE = ("n0", "n1", "n2")
RULES = LeaseConfiguration(THREE, max_ttl_seconds=6.0)


def world(seed=1, members=5, rules=RULES, tasks=()):
    made = LeaseWorld(seed, [f"n{k}" for k in range(members)], rules)
    for name, task in tasks:
        made.tasks[name].append(task)
    made.start_all()
    made.run(rules.recovery_seconds + 0.1)
    return made


# -- thousands are in benchmarks/leases.py ----------------------------------------------------------------


def play(seed, drift=0.01):
    made = drawn(seed, drift)
    made.play(draw(seed, made.names, 25.0, 1.0), 60.0)
    return made


def test_whatever_befalls_it_a_lease_has_one_holder_and_is_had_again():
    acts = 0
    for seed in range(40):
        try:
            acts += sum(act.taken for act in play(seed).resources.get("x", Resource()).acts)
        except TwoHoldersError as error:
            raise AssertionError(f"seed {seed}: {error}") from None
    assert acts > 500


def test_one_seed_replays_everything():
    made = [play(5) for _ in range(2)]
    assert made[0].sent == made[1].sent > 0
    assert made[0].grants == made[1].grants


def no_silence(monkeypatch):
    monkeypatch.setattr(LeaseConfiguration, "recovery_seconds", property(lambda rules: 0.0))


def no_drift_margin(monkeypatch):
    monkeypatch.setattr(LeaseConfiguration, "acceptor_ttl_seconds", lambda rules, ttl: ttl)


def majority_off_by_one(monkeypatch):
    def enough(configuration, names):
        return all(
            2 * len(one & frozenset(names)) + 2 > len(one) for one in configuration.acceptor_sets
        )

    monkeypatch.setattr(LeaseConfiguration, "is_quorum", enough)


def renewal_from_an_old_ballot(monkeypatch):
    def accepts(acceptor, now, body):
        fresh = LeaseRecord(WaitQueue(acceptor.configuration))
        record = acceptor.records.setdefault(body.lease, fresh)
        expires_at = now + acceptor.configuration.acceptor_ttl_seconds(body.ttl_ms / 1000)
        record.grant = Grant(body.ballot, body.token, expires_at)
        acceptor.next_tick_at = min(acceptor.next_tick_at, expires_at)
        return m.Accepted(body.lease, body.ballot, body.round)

    monkeypatch.setattr(Acceptor, "on_propose", accepts)


def guard_refuses_its_own(monkeypatch):
    def admit(guard, token):
        if token <= guard.highest_token:
            raise FencedError(token, guard.highest_token)
        guard.highest_token = token

    monkeypatch.setattr(FencingGuard, "admit", admit)


def guard_refuses_nobody(monkeypatch):
    monkeypatch.setattr(FencingGuard, "admit", lambda guard, token: None)


@pytest.mark.parametrize(
    ("plant", "drift"),
    [
        (no_silence, 0.01),
        (no_drift_margin, 0.1),
        (majority_off_by_one, 0.01),
        (renewal_from_an_old_ballot, 0.01),
        (guard_refuses_its_own, 0.01),
        (guard_refuses_nobody, 0.01),
    ],
    ids=lambda x: getattr(x, "__name__", ""),
)
def test_a_planted_fault_is_caught_by_schedules(plant, drift, monkeypatch):
    """A checker that catches none proves nothing."""
    plant(monkeypatch)
    with pytest.raises(TwoHoldersError):
        for seed in range(120):
            play(seed, drift)


def test_a_guard_takes_an_effect_whole_or_not_at_all():
    guard, taken = FencingGuard(), []
    guard.apply(5, lambda: taken.append(5))
    guard.apply(5, lambda: taken.append(5))
    with pytest.raises(FencedError) as refused:
        guard.apply(4, lambda: taken.append(4))
    assert taken == [5, 5]
    assert (refused.value.token, refused.value.highest_token, guard.rejected) == (
        4,
        5,
        1,
    )


# -- in every order ---------------------------------------------------------------------------------------


def test_three_voters_and_two_proposers_in_every_order():
    """Larger bounds, with restarts, renewals and releases, are tried whole in benchmarks/leases.py."""
    search = Search(Bounds(renewals=0, restarts=0, releases=False, steps=1))
    assert search.run()
    assert search.states > 5_000
    assert search.held > 500


@pytest.mark.parametrize(
    "plant",
    [
        no_silence,
        no_drift_margin,
        majority_off_by_one,
        renewal_from_an_old_ballot,
    ],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_fault_is_caught_in_every_order(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(lease_search.TwoHoldersError, match="Accepted"):
        Search(Bounds(renewals=0, restarts=1, releases=False, steps=2), most=400_000).run()


# -- hard cases -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("margin", [True, False])
def test_a_slow_clock_among_fast_ones_needs_the_margin(margin, monkeypatch):
    if not margin:
        no_drift_margin(monkeypatch)
    rules = LeaseConfiguration(THREE, max_ttl_seconds=6.0, max_clock_drift=0.05)
    made = LeaseWorld(1, [f"n{k}" for k in range(5)], rules)
    for name, process in made.processes.items():
        process.rate = 0.95 if name == "n3" else 1.05
    made.tasks["n3"] = [Task("x", hold=1e6)]
    made.start_all()
    made.run(12.0)
    made.work(made.processes["n4"], Task("x", hold=1e6))
    made.run(5.0)
    assert made.holders("x") == ["n3@1.1"]
    made.links.cut(["n3"], ["n0", "n1", "n2", "n4"])
    if margin:
        made.run(12.0)
        assert made.holders("x") == ["n4@1.1"]
    else:
        with pytest.raises(TwoHoldersError):
            made.run(12.0)


def test_a_holder_that_is_well_keeps_it_through_the_restart_of_each_voter_in_turn():
    made = world(tasks=[("n4", Task("x", hold=1e6))])
    made.run(3.0)
    made.work(made.processes["n3"], Task("x"))
    (holder,) = made.holders("x")
    for name in THREE:
        made.kill(name)
        made.run(0.2)
        made.start(name)
        made.run(RULES.recovery_seconds + 2.0)
    assert made.holders("x") == [holder]
    assert len(made.grants) == 1
    assert made.grants[0].token == min(
        act.token for act in made.resources["x"].acts
    )  # and its token


def test_after_a_restart_of_all_voters_nothing_is_granted_for_the_longest_lease():
    made = world(tasks=[("n4", Task("x", hold=1e6)), ("n3", Task("x"))])
    made.run(3.0)
    for name in THREE:
        made.kill(name)
        made.start(name)
    at, before = made.now, len(made.grants)
    made.run(RULES.recovery_seconds * 0.98)
    assert len(made.grants) == before
    assert made.run(3.0, lambda: len(made.grants) > before)
    assert made.grants[-1].since - at >= 6.0


@pytest.mark.parametrize("back", [-3600.0, 0.0])
def test_tokens_grow_past_a_restart_of_everybody_though_the_clock_was_set_back(back):
    made = world(tasks=[(f"n{k}", Task("x")) for k in range(5)])
    made.run(5.0)
    before = made.resources["x"].guard.highest_token
    for name, process in made.processes.items():
        process.ahead = back
        made.kill(name)
        made.start(name)
    acts = made.resources["x"].acts
    assert made.run(30.0, lambda: acts[-1].token > before and acts[-1].taken)
    assert (made.fenced > 0) == (back < 0)  # it costs a refusal and another ballot, never safety


def test_a_release_lets_the_next_one_in_at_once_and_a_hundred_waiters_all_have_their_turn():
    tasks = [(f"n{k % 10}", Task("x", act=0.3, hold=0.1, think=1e5)) for k in range(100)]
    made = world(members=10, tasks=tasks)
    sent = made.bodies
    begun = made.now
    assert made.run(300.0, lambda: len(made.grants) >= 100)
    assert len({grant.proposer for grant in made.grants}) == 100  # nobody twice before all once
    gaps = [b.since - a.since for a, b in zip(made.grants, made.grants[1:], strict=False)]
    assert sorted(gaps)[50] < 1.0
    assert (made.bodies - sent) / (made.now - begun) < 1_000  # a second, for a hundred that wait


def test_two_proposers_in_step_get_out_of_it():
    for seed in range(30):
        made = world(seed, tasks=[("n3", Task("x", hold=1e6)), ("n4", Task("x", hold=1e6))])
        assert made.run(RULES.recovery_seconds + 5.0, lambda made=made: bool(made.holders("x")))


def core(name="n0", now=0.0):
    made = Participant(name, f"{name}@1", RULES, 100, random.Random(1), now)
    made.acceptor.recovering_until = now
    return made


def test_a_release_of_an_earlier_grant_that_arrives_late_ends_no_later_one():
    voter, first, second = Acceptor(RULES, -100.0), Ballot(5, "a.1"), Ballot(6, "a.2")
    for at, ballot in ((0.0, first), (1.0, second)):
        voter.handle(at, "a", m.Release("x", first)) if ballot is second else None
        assert voter.handle(at, "a", m.Prepare("x", ballot, 3000, 0)) == [
            ("a", m.Promise("x", ballot))
        ]
        assert voter.handle(at, "a", m.Propose("x", ballot, 1, 5, 3000)) == [
            ("a", m.Accepted("x", ballot, 1))
        ]
    voter.handle(1.5, "a", m.Release("x", first))
    assert voter.records["x"].grant.ballot == second


def test_a_renewal_that_crosses_its_release_is_not_accepted():
    voter, ballot = Acceptor(RULES, -100.0), Ballot(5, "a.1")
    voter.handle(0.0, "a", m.Prepare("x", ballot, 3000, 0))
    voter.handle(0.0, "a", m.Propose("x", ballot, 1, 5, 3000))
    voter.handle(1.0, "a", m.Release("x", ballot))
    ((_, told),) = voter.handle(1.1, "a", m.Propose("x", ballot, 2, 5, 3000))
    assert isinstance(told, m.StaleBallot)
    assert voter.records["x"].grant is None


def test_a_lease_counts_from_the_sending_of_its_proposal_and_doubt_comes_before_its_end():
    numbers = BallotSequence(7)
    claim = Proposer(RULES, "x", "a.1", 3.0, 1.0, numbers, random.Random(1), 0.0)
    (ask,) = claim.tick(0.0)
    claim.handle(0.1, "n0", m.Promise("x", ask.ballot))
    (offer,) = claim.handle(0.2, "n1", m.Promise("x", ask.ballot))
    claim.handle(0.3, "n1", m.Accepted("x", ask.ballot, offer.round))
    claim.handle(0.4, "stranger", m.Accepted("x", ask.ballot, offer.round))
    assert claim.state(0.4) is LeaseState.ACQUIRING
    claim.handle(0.5, "n2", m.Accepted("x", ask.ballot, offer.round))
    assert claim.expires_at == 3.2
    assert claim.token == 8
    seen = [claim.state(at) for at in (1.0, 2.19, 2.21, 3.19, 3.21)]
    assert seen == [
        LeaseState.HELD,
        LeaseState.HELD,
        LeaseState.EXPIRING,
        LeaseState.EXPIRING,
        LeaseState.LOST,
    ]
    (renewal,) = claim.tick(1.3)
    assert renewal.ballot == ask.ballot
    assert claim.state(1.3) is LeaseState.RENEWING
    claim.handle(3.3, "n0", m.Accepted("x", ask.ballot, 2))  # too late: it is lost, and stays so
    assert claim.lost
    assert not claim.may_begin_operation(3.3)
    assert claim.tick(9.0) == []


def test_voters_are_changed_by_way_of_both_sets_and_a_step_left_out_is_caught():
    """Old, then both, then new; every dispatcher at one step before any goes on to the next."""
    old, new = THREE, ("n3", "n4", "n5")
    steps = [
        LeaseConfiguration(old, max_ttl_seconds=2.0),
        LeaseConfiguration(new, old, max_ttl_seconds=2.0),
        LeaseConfiguration(new, max_ttl_seconds=2.0),
    ]

    def change(steps):
        made = LeaseWorld(3, [f"n{k}" for k in range(8)], steps[0])
        for name in made.names:
            made.tasks[name] = [Task("x", ttl=2.0, act=0.4, hold=1e6, think=0.5)]
        made.start_all()
        made.run(5.0)
        for rules in steps[1:]:
            made.rules = rules
            for names in (rules.acceptors, [n for n in made.names if n not in rules.acceptors]):
                for name in names:
                    made.kill(name)
                    made.start(name)
                    made.run(0.4)
                made.run(5.0)
        return made

    made = change(steps)
    assert made.holders("x")
    assert made.grants[-1].since > made.now - 30
    with pytest.raises(TwoHoldersError):
        change([steps[0], steps[2]])


@pytest.mark.parametrize(
    ("ttl", "act", "key"),
    [
        (1.0, 0.3, "ttl_ms=1000"),
        (7.0, 1.0, "ttl_ms=7000"),
        (4.0, 2.5, "act_ms"),
        (4.0, 0.0, "act_ms"),
    ],
)
def test_times_out_of_bounds_are_named(ttl, act, key):
    with pytest.raises(LeaseTimesError) as refused:
        check_lease_times(RULES, ttl, act)
    assert str(refused.value).startswith(key)
    assert isinstance(refused.value, ValueError)


def test_times_within_bounds_are_taken():
    check_lease_times(RULES, 4.0, 1.0)


def test_a_member_with_other_rules_is_told_so_and_gets_no_vote():
    mine, other = (
        core(),
        Participant(
            "n1",
            "n1@1",
            LeaseConfiguration(("n1", "n8", "n9"), max_ttl_seconds=6.0),
            1,
            random.Random(2),
            0.0,
        ),
    )
    claim, sends = other.acquire(1.0, "x", 4.0, 1.0)
    letter = m.Envelope(
        m.PROTOCOL_VERSION, other.configuration.digests, (m.Prepare("x", claim.ballot, 4000, 0),)
    )
    ((to, answer),) = [(x.member, x.envelope) for x in mine.handle(1.0, "n1", letter)]
    assert to == "n1"
    assert isinstance(answer.messages[0], m.ConfigurationMismatch)
    assert "n1" in mine.mismatched_members
    other.handle(1.1, "n0", answer)
    assert not claim.promised_by - {"n1"}


def test_a_voter_keeps_no_more_than_its_bounds_and_forgets_no_number():
    voter = Acceptor(LeaseConfiguration(THREE, max_leases=3, max_waiters=2), -100.0)
    for k in range(3):
        ballot = Ballot(50 + k, "a.1")
        voter.handle(0.0, "a", m.Prepare(f"x{k}", ballot, 3000, 0))
        if k:
            voter.handle(0.0, "a", m.Propose(f"x{k}", ballot, 1, 5, 3000))
    ((_, told),) = voter.handle(0.0, "b", m.Prepare("x9", Ballot(9, "b.1"), 3000, 0))
    assert isinstance(told, m.StaleBallot)
    assert told.highest_number == 50
    assert set(voter.records) == {"x1", "x2", "x9"}
    for k in range(5):
        voter.handle(0.0, "b", m.Prepare("x1", Ballot(99, f"b.{k}"), 3000, 0))
    assert len(voter.records["x1"].waiters) == 2


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_bytes_from_anywhere_are_a_letter_or_dropped(data):
    bodies = (
        m.Prepare("x", Ballot(200, "b.1"), 3000, 5),
        m.Propose("x", Ballot(200, "b.1"), 1, 200, 3000),
    )
    whole = m.encode(m.Envelope(m.PROTOCOL_VERSION, RULES.digests, bodies))
    part = bytearray(whole[: data.draw(st.integers(0, len(whole)))])
    for _ in range(data.draw(st.integers(0, 3))):
        if part:
            part[data.draw(st.integers(0, len(part) - 1))] = data.draw(st.integers(0, 255))
    mine = core()
    try:
        letter = m.decode(bytes(part))
    except m.EnvelopeError:
        return
    mine.handle(1.0, "n1", letter)
    assert len(mine.acceptor.records) <= 2


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"\xc1", "unreadable"),
        (b"x" * 1100, "over"),
        (m.encode(m.Envelope(2, (1,), ())), "version 2"),
        (m.encode(m.Envelope(1, (1,), (m.Release("No Name", Ballot(1, "a")),))), "unreadable"),
        (m.encode(m.Envelope(1, (1,), (m.Release("x", Ballot(2**60, "a")),))), "unreadable"),
        (m.encode(m.Envelope(1, (1, 2, 3), ())), "unreadable"),
    ],
)
def test_a_letter_that_is_not_ours_is_dropped_with_its_reason(data, why):
    with pytest.raises(m.EnvelopeError, match=why):
        m.decode(data)


# -- the probe sweep --------------------------------------------------------------------------------------


def seen(worker="s-1", age_ms=5, **report):
    return health_reports.HealthReport(
        worker, age_ms, 700, report or {"queue": 1.0, "free_slots": 2.0}
    )


def test_a_swept_report_is_told_once_fresh_and_by_the_newest_holder():
    hearing, names = health_reports.HealthReportLearner(), ("queue", "free_slots")
    (page,) = health_reports.encode_pages(
        7, [seen(), seen("s-2", age_ms=900), seen("s-3", colour=1.0), seen("s-4", queue=3.0, x=1.0)]
    )
    told = hearing.learn(page, names, 10.0)
    assert [(one.worker_id, one.load_report) for one in told] == [
        ("s-1", {"queue": 1.0, "free_slots": 2.0}),
        ("s-4", {"queue": 3.0}),
    ]
    assert [hearing.is_delegated(worker, 11.5) for worker in ("s-1", "s-2", "s-3", "s-4")] == [
        True,
        False,
        False,
        True,
    ]
    assert not hearing.is_delegated("s-1", 11.7)  # nothing more came: back to its own probes
    assert hearing.learn(health_reports.encode_pages(6, [seen("s-5")])[0], names, 11.0) == []
    assert hearing.fenced_count == 1
    for data in (b"\xc1", health_reports.ENCODER.encode(health_reports.ReportPage(9, 1, ()))):
        with pytest.raises(health_reports.ReportPageError):
            hearing.learn(data, names, 11.0)


def test_reports_of_many_workers_go_in_pages_that_fit():
    many = [seen(f"worker-{k:060}", queue=float(k)) for k in range(200)]
    pages = health_reports.encode_pages(1, many)
    assert all(len(page) <= 1_080 for page in pages)
    assert len(pages) < 40
    hearing = health_reports.HealthReportLearner()
    assert sum(len(hearing.learn(page, ("queue",), 0.0)) for page in pages) == 200
