"""The lab: its nodes keep time as they should, its referee sees each broken rule, its draws do not shift."""

import json
import socket
import subprocess
import sys
from dataclasses import replace

import numpy as np
import pytest
from msgspec.structs import replace as replaced

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.settings_reader import read_settings
from stepstream.http.codec import write_request
from stepstream.http.load_reports import LoadReportReader
from stepstream.lab.emulator.worker_drivers import Clock, HttpWorker
from stepstream.lab.emulator.worker_model import (
    Health,
    OfferResult,
    Task,
    TaskState,
    WorkerModel,
    WorkerSpec,
)
from stepstream.lab.load.site import WireProtocol, draw_scenario, read_site, settings_of
from stepstream.lab.verification.verifier import FinalOutcome, Verifier
from stepstream.model.settings import Effect
from tests.http.scripted_server import exchange as ask
from tests.node.dispatcher_process import ROOT
from tests.runtime.waiting import PATIENCE_SECONDS as PATIENCE

SPEC = WorkerSpec(
    "s", "east", "large", 0, cores=2, speed=1.0, queue=2, cold_share=0.5, warm_us=1_000_000
)
T0 = 1_000_000_000


def node(**more):
    return WorkerModel(replace(SPEC, **more), np.random.default_rng(1), T0)


def play(model, until):
    """What happened up to then, with when."""
    seen = []
    while (due := model.next_us()) <= until:
        model.advance(int(due))
        seen += [(h.word, h.task.id, model.at_us - T0) for h in model.take_events()]
    model.advance(until)
    return seen + [(h.word, h.task.id, until - T0) for h in model.take_events()]


def test_jobs_run_at_the_nodes_speed_and_wait_in_order():
    model = node(speed=2.0)
    for name, work, slots in (
        ("a", 400_000, 1),
        ("b", 200_000, 1),
        ("c", 200_000, 2),
        ("d", 100_000, 1),
    ):
        assert model.offer(T0, Task(name, work, slots)) is OfferResult.TAKEN
    words = play(model, T0 + 1_000_000)
    assert [(w, n) for w, n, _ in words] == [
        (TaskState.STARTED, "a"),
        (TaskState.STARTED, "b"),
        (TaskState.DONE, "b"),
        (TaskState.DONE, "a"),  # c needs both slots and d may not pass it
        (TaskState.STARTED, "c"),
        (TaskState.DONE, "c"),
        (TaskState.STARTED, "d"),
        (TaskState.DONE, "d"),
    ]
    assert {n: t for w, n, t in words if w is TaskState.DONE} == {
        "b": 100_000,
        "a": 200_000,
        "c": 300_000,
        "d": 350_000,
    }


def test_beyond_its_waiting_room_it_is_full_and_a_cancelled_job_makes_room():
    model = node()
    offers = [model.offer(T0, Task(str(k), 500_000)) for k in range(5)]
    assert offers == [OfferResult.TAKEN] * 4 + [OfferResult.FULL]
    assert model.cancel(T0, "3")
    assert not model.cancel(T0, "3")
    assert model.offer(T0, Task("5", 500_000)) is OfferResult.TAKEN


def test_a_cold_node_is_slower_until_it_is_warm_and_progress_is_told():
    model = node(progress_us=100_000)
    model.start(T0)
    model.offer(T0, Task("a", 600_000))
    words = play(model, T0 + 2_000_000)
    (ended,) = [t for w, _, t in words if w is TaskState.DONE]
    assert 800_000 < ended < 860_000  # the integral of 0.5 to 1 in a second reaches 0.6 s of work
    assert sum(w is TaskState.RUNNING for w, _, _ in words) >= 6


def test_too_much_while_cold_pushes_it_over_and_it_stays_down():
    model = node(queue=100, fall_multiple=2.0)
    model.start(T0)
    offers = [model.offer(T0, Task(str(k), 500_000)) for k in range(12)]
    assert offers[-1] is OfferResult.DOWN
    assert OfferResult.TAKEN in offers
    warm = node(queue=100, fall_multiple=2.0)
    assert {warm.offer(T0, Task(str(k), 500_000)) for k in range(12)} == {OfferResult.TAKEN}


def test_a_dead_node_loses_what_it_held_and_comes_back_cold():
    model = node()
    model.offer(T0, Task("a", 500_000))
    assert [task.id for task in model.die(T0 + 10)] == ["a"]
    assert model.offer(T0 + 20, Task("b", 1)) is OfferResult.DOWN
    assert model.next_us() == float("inf")
    model.start(T0 + 30)
    assert model.health is Health.UP
    assert model.is_cold(T0 + 40)


# -- the referee ------------------------------------------------------------------------------------------


@pytest.fixture
def verifier():
    day = draw_scenario(read_site(), 1, 5, "http")
    made = Verifier(day)
    for k in (0, 1):
        made.asked(day.asks[k])
    return made


def of_class(verifier, name):
    """The first ask of a class."""
    names = [part.name for part in verifier.day.site.job]
    found = next(a for a in verifier.day.asks if names[a.job_class] == name)
    verifier.asked(found)
    return found.number


def test_a_clean_try_breaks_nothing_and_counts_in_time(verifier):
    n = of_class(verifier, "nav-publish")
    verifier.arrived(10, (n, 0), "s-1", 0).open = False
    verifier.made((n, 0), "r")
    verifier.answered(verifier.day.asks[n].at_us + 1000, (n, 0), FinalOutcome.SERVED, "r")
    assert not verifier.breaches
    assert verifier.in_time(verifier.records[n])


@pytest.mark.parametrize(
    ("what", "text"),
    [
        (
            lambda r, n: r.answered(5, (n, 0), FinalOutcome.SERVED, "x"),
            "served with what no node made",
        ),
        (lambda r, n: r.answered(5, (n, 0), FinalOutcome.LOST), "lost"),
        (
            lambda r, n: [r.answered(5, (n, 0), FinalOutcome.FAILED) for _ in range(2)],
            "second final answer",
        ),
        (
            lambda r, n: (
                r.arrived(1, (n, 0), "a", 0),
                r.answered(5, (n, 0), FinalOutcome.REFUSED),
            ),
            "refused though it may have run",
        ),
        (lambda r, n: [r.arrived(1, (n, 0), "a", 0) for _ in range(2)], "a second open call"),
        (
            lambda r, n: [r.arrived(1, (n, 0), w, c) for w, c in (("a", 0), ("b", 1))],
            "outside its cell",
        ),
        (
            lambda r, n: [r.arrived(t, (n, 0), w, 0) for t, w in ((1, "a"), (10**7, "b"))],
            "past its window",
        ),
        (
            lambda r, n: (r.drain_told(1, "a"), r.arrived(600_000, (n, 0), "a", 0)),
            "new work after the drain",
        ),
        (lambda r, n: r.toppled(1, "a"), "pushed over"),
    ],
)
def test_each_broken_rule_is_seen(verifier, what, text):
    what(verifier, of_class(verifier, "nav-publish"))
    assert len(verifier.breaches) == 1
    assert text in verifier.breaches[0]


def test_what_the_rules_allow_is_no_breach(verifier):
    n = of_class(verifier, "nav-publish")
    full = verifier.arrived(1, (n, 0), "a", 0)
    full.open, full.never_ran = False, True
    verifier.arrived(2, (n, 0), "b", 1)  # the first never ran: any cell will do
    verifier.drain_told(3, "c")
    verifier.arrived(400_000, (n, 0), "c", 1)  # within the grace, and the window
    safe = of_class(verifier, "revalue")
    for name in ("a", "b"):
        verifier.arrived(5, (safe, 0), name, 0)
    verifier.answered(9, (safe, 0), FinalOutcome.REFUSED)
    assert not verifier.breaches


# -- draws ------------------------------------------------------------------------------------------------


def test_the_same_seed_is_the_same_day_whatever_is_spoken():
    days = {mix: draw_scenario(read_site(), 7, 10, mix) for mix in ("http", "gearman", "mixed")}
    plain = [
        tuple(replace(ask, speech=WireProtocol.HTTP) for ask in day.asks) for day in days.values()
    ]
    assert plain[0] == plain[1] == plain[2]
    assert len(plain[0]) > 100
    assert len({(day.specs, day.faults) for day in days.values()}) == 1
    assert (
        {ask.speech for ask in days["mixed"].asks}
        == set(WireProtocol)
        == set(days["mixed"].speeches)
    )
    assert draw_scenario(read_site(), 8, 10, "http").asks != days["http"].asks


def test_the_days_settings_are_what_a_dispatcher_reads():
    settings = read_settings(
        SettingsFields.from_pairs(
            flatten(settings_of(draw_scenario(read_site(), 1, 5, "http")), "", {})
        )
    )
    assert settings.class_names == ("revalue", "price-check", "nav-publish")
    assert settings.reports_start


@pytest.mark.parametrize("how", ["probe", "answers"])
def test_what_a_node_of_the_second_site_tells_of_its_load_is_what_the_dispatcher_reads(how):
    day = draw_scenario(
        replaced(read_site(name="probed"), reports=how, report_ms=0.0), 1, 5, "http"
    )
    settings = read_settings(SettingsFields.from_pairs(flatten(settings_of(day), "", {})))
    assert not settings.polls_endpoints
    assert settings.classes[-1].effect is Effect.NOT_IDEMPOTENT
    made, reports = (
        HttpWorker(node(cores=2), Clock(), Verifier(day)),
        LoadReportReader(settings, pytest.fail),
    )
    for name in ("a", "b", "c"):
        made.model.offer(made.clock.now_us(), Task(name, 10**9))
    read = [
        reports.read_health_check(made.load_text().encode()),
        reports.read_header(made.load_header().get("Server-Load")),
    ]
    full = {"queue": 1.0, "free_slots": 0.0}
    assert [*read, reports.read_notification(made.current_load_report())] == [
        full,
        *[full if how == "answers" else None] * 2,
    ]


def test_a_faulty_site_file_names_its_key(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text("nodes = 1\n")
    with pytest.raises(ConfigurationError, match="site.toml"):
        read_site(str(path))
    with pytest.raises(ConfigurationError, match="--mix=smoke"):
        draw_scenario(read_site(), 1, 5, "smoke")


# -- the demo ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("words", [["--site", "small"], ["--site", "probed", "--mix", "http"]])
def test_the_demo_plays_a_day_of_each_site_and_keeps_the_rules(tmp_path, words):
    words = [*words, "--seconds", "4", "--json", str(tmp_path / "out.json")]
    run = subprocess.run(
        [sys.executable, "-m", "stepstream", "demo", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    found = json.loads((tmp_path / "out.json").read_text())
    assert found["breaches"] == [], run.stdout + run.stderr
    assert run.returncode == 0, run.stdout + run.stderr
    # Not how well: that is the machine's as much as the program's. Every job has come to an end.
    assert sum(found["finals"].values()) == found["jobs"] > 50
    assert found["finals"]["served"] > 0
    assert "all four rules kept" in run.stdout


def test_the_demo_holds_a_fleet_for_other_clients_until_it_is_stopped():
    held = subprocess.Popen(
        [sys.executable, "-m", "stepstream", "demo", "--hold", "--mix", "mixed"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        where = json.loads(held.stdout.readline())
        host, _, port = where["http"].rpartition(":")
        headers = {
            "Host": "x",
            "Request-Id": "0a",
            "Tenant": "north-fund",
            "Request-Timeout-Ms": "4000",
        }
        for body in (b"[0,0,1000,1]", b"what others send"):
            with socket.create_connection((host, int(port)), timeout=PATIENCE) as peer:
                answer = ask(0, write_request("POST", "/revalue", headers, body), peer)
            assert answer.status == 200
            assert answer.body.startswith(b"price ")
    finally:
        held.terminate()
        assert held.wait(PATIENCE * 2) == 0


@pytest.mark.parametrize(
    "wrong", [["--mix", "x"], ["--site", "x"], ["--seconds", "x"], ["--seconds", "0"]]
)
def test_a_wrong_word_on_the_command_line_is_named(wrong):
    run = subprocess.run(
        [sys.executable, "-m", "stepstream", "demo", *wrong],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 2
    assert wrong[0] in run.stderr
