"""The four rules, each for a dispatcher alone."""

import random

import pytest
from helpers import DEAR, KEYED_ALL, KEYED_ZONE, SAFE, UNSAFE, Bench, entry, finals, pushes

from stepstream import interface as i

RAN = [i.Result.ERROR, i.Result.TIMEOUT, i.Result.RESET, i.Result.CANCELLED]
NEVER_RAN = [i.Result.FULL, i.Result.CONNECT_FAILED]


def test_every_job_gets_one_final_answer_when_workers_are_unknown():
    bench = Bench(SAFE, UNSAFE, workers=0)
    for job_class in (0, 1):
        name, actions = bench.job(job_class)
        actions += [a for _ in range(12) for a in bench.tick()]
        assert [a.job for a in finals(actions)] == [name]


@pytest.mark.parametrize("result", RAN)
def test_unsafe_job_that_may_have_run_is_failed_and_not_refused_or_repeated(result):
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    answer = bench.ended(name, pushes(actions)[0].worker, result)
    assert answer == [i.Fail(name)]


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_job_proven_not_to_have_run_tries_another_worker(result):
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    first = pushes(actions)[0].worker
    again = pushes(bench.ended(name, first, result))
    assert len(again) == 1 and again[0].worker != first


def test_unsafe_job_is_failed_once_one_of_several_attempts_may_have_run():
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    again = pushes(bench.ended(name, pushes(actions)[0].worker, i.Result.FULL))
    assert bench.ended(name, again[0].worker, i.Result.RESET, attempt=1) == [i.Fail(name)]


def test_keyed_job_repeats_only_in_its_zone_and_window():
    entries = [entry(k, zone=k % 2) for k in range(6)]
    zone = {e.worker: e.zone for e in entries}
    for late in (False, True):
        bench = Bench(KEYED_ZONE, entries=entries)
        name, actions = bench.job()
        first = pushes(actions)[0].worker
        bench.later(2_000_001 if late else 10_000)
        answer = bench.ended(name, first, i.Result.ERROR)
        if late:
            assert answer == [i.Fail(name)]
        else:
            assert [zone[p.worker] for p in pushes(answer)] == [zone[first]]


def test_keyed_job_with_no_worker_left_in_its_zone_is_failed_and_not_refused():
    bench = Bench(KEYED_ZONE, entries=[entry(0, zone=0), entry(1, zone=1)], attempt_limit=1)
    name, actions = bench.job()
    assert bench.ended(name, pushes(actions)[0].worker, i.Result.RESET) == [i.Fail(name)]


def test_keyed_job_known_everywhere_may_be_refused():
    bench = Bench(KEYED_ALL, attempt_limit=1)
    name, actions = bench.job()
    answer = bench.ended(name, pushes(actions)[0].worker, i.Result.RESET)
    assert [type(a) for a in finals(answer)] == [i.Refuse]


@pytest.mark.parametrize("state", [i.WorkerState.DRAINING, i.WorkerState.OUT])
@pytest.mark.parametrize("kind", [i.ListKind.CHANGES, i.ListKind.COMPLETE])
def test_nothing_new_goes_to_a_draining_or_gone_worker(state, kind):
    bench = Bench(SAFE, workers=3)
    entries = [entry(0, state=state), entry(1), entry(2)]
    bench.tell(i.WorkerList(kind, tuple(entries[:1] if kind is i.ListKind.CHANGES else entries)))
    sent = [p.worker for _ in range(20) for p in pushes(bench.job()[1])]
    assert len(sent) == 20 and entry(0).worker not in sent


def test_worker_missing_from_a_complete_list_is_gone_but_its_jobs_are_left_alone():
    bench = Bench(SAFE, workers=1)
    name, actions = bench.job()
    answer = bench.tell(i.WorkerList(i.ListKind.COMPLETE, (entry(7),)))
    assert not finals(answer) and not [a for a in answer if isinstance(a, i.Cancel)]
    assert not finals(bench.ended(name, pushes(actions)[0].worker, i.Result.OK))
    assert pushes(bench.job()[1])[0].worker == entry(7).worker


def cold_pushes(started_at, result, fleet=1):
    bench = Bench(
        SAFE,
        workers=4,
        fleet_size=fleet,
        cold_share=0.1,
        warm_within_us=20_000_000,
        fall_multiple=3.0,
    )
    for _ in range(200):  # settle the rate: 20 jobs a second over 4 workers
        name, actions = bench.later(50_000).job()
        bench.ended(name, pushes(actions)[0].worker, i.Result.OK)
    bench.tell(i.WorkerList(i.ListKind.CHANGES, (entry(0, started_us=bench.now + started_at),)))
    sent = 0
    for _ in range(100):  # five seconds
        name, actions = bench.later(50_000).job()
        attempt = 0
        while pushes(actions):
            worker = pushes(actions)[0].worker
            sent += worker == entry(0).worker
            full = worker == entry(0).worker
            actions = bench.ended(name, worker, result if full else i.Result.OK, attempt)
            attempt += 1
    return sent


def test_restarted_worker_gets_no_more_than_its_warmth_allows():
    # A warm worker's turn is 5 jobs a second, 25 in five; one at a tenth to a third of its strength
    # may have about 8, with the refused ones counted too. Long warm, it is held back no more.
    for result in (i.Result.OK, i.Result.FULL):
        assert 1 <= cold_pushes(0, result) <= 8
    assert cold_pushes(-30_000_000, i.Result.OK) > 8


class Outcomes:
    """Answers pushes at random and holds what the balancer does against the rules."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.classes = (SAFE, UNSAFE, KEYED_ZONE, KEYED_ALL, DEAR)
        self.entries = [entry(k, zone=k % 2) for k in range(6)]
        self.zone = {e.worker: e.zone for e in self.entries}
        self.bench = Bench(
            *self.classes,
            entries=self.entries,
            may_cancel=True,
            may_duplicate=True,
            quotas_per_s=(5.0, 5.0),
            over_share_worth=0.1,
            tells_start=True,
        )
        self.jobs: dict[str, dict] = {}
        self.out: list[tuple[int, str, int, str]] = []
        self.down: set[str] = set()

    def check(self, actions):
        for a in actions:
            if isinstance(a, i.Push):
                job = self.jobs[a.job]
                assert not job["over"] and a.worker not in self.down
                kind = self.classes[job["class"]]
                ran = [t for t in job["tries"] if not t["clean"]]
                if kind.effect is i.Effect.UNSAFE:
                    assert not ran
                if kind.effect is i.Effect.KEYED and ran:
                    assert self.bench.now <= ran[0]["at"] + kind.window_us
                    assert kind.key_scope == "all" or self.zone[ran[0]["to"]] == self.zone[a.worker]
                job["tries"].append({"to": a.worker, "at": self.bench.now, "clean": False})
                limit = min(a.limit_us or kind.deadline_us, job["until"] - self.bench.now)
                when = self.bench.now + self.random.randrange(1000, 3_000_000)
                self.out.append(
                    (min(when, self.bench.now + limit), a.job, len(job["tries"]) - 1, a.worker)
                )
            elif isinstance(a, i.Refuse | i.Fail):
                job = self.jobs[a.job]
                assert not job["over"] and self.bench.now <= job["until"]
                job["over"] = True
                kind = self.classes[job["class"]]
                if (
                    isinstance(a, i.Refuse)
                    and kind.effect is not i.Effect.SAFE
                    and kind.key_scope != "all"
                ):
                    assert all(t["clean"] for t in job["tries"])

    def answer(self, due):
        at, name, attempt, worker = due
        job = self.jobs[name]
        result = self.random.choice(list(i.Result))
        if at >= job["until"]:
            result = i.Result.TIMEOUT
        job["tries"][attempt]["clean"] = result.never_ran
        job["over"] = job["over"] or result is i.Result.OK
        self.check(self.bench.ended(name, worker, result, attempt, job["over"]))

    def start_some(self):
        for _, name, attempt, worker in list(self.out):
            if self.random.random() < 0.1:
                self.check(self.bench.tell(i.Started(name, attempt, worker)))

    def run(self):
        for step in range(800):
            self.start_some()
            until = self.bench.now + self.random.randrange(1000, 60_000)
            while due := min((o for o in self.out if o[0] <= until), default=None):
                self.out.remove(due)
                self.bench.now = max(self.bench.now, due[0])
                self.answer(due)
            self.bench.now = until
            self.check(self.bench.tick(0))
            if step < 600:
                which = self.random.randrange(len(self.classes))
                name = f"{self.bench.count + 1:016x}"
                self.jobs[name] = {
                    "class": which,
                    "until": self.bench.now + self.classes[which].deadline_us,
                    "over": False,
                    "tries": [],
                }
                self.check(self.bench.job(which, tenant=self.random.randrange(2))[1])
            if self.random.random() < 0.02:
                k = self.random.randrange(6)
                state = self.random.choice(list(i.WorkerState))
                started = self.bench.now if state is i.WorkerState.IN else 0
                (self.down.discard if state is i.WorkerState.IN else self.down.add)(entry(k).worker)
                self.check(
                    self.bench.tell(
                        i.WorkerList(
                            i.ListKind.CHANGES,
                            (entry(k, zone=k % 2, state=state, started_us=started),),
                        )
                    )
                )


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_any_mix_of_outcomes_and_list_changes(seed):
    world = Outcomes(seed)
    world.run()
    assert world.jobs and all(job["over"] for job in world.jobs.values())
    assert not world.bench.balancer.held  # nothing is kept of what has ended


@pytest.mark.parametrize("fleet", [1, 500])
@pytest.mark.parametrize("quotas", [(), (0.0, 0.0), (0.0, 5.0)])
def test_odd_settings_and_events_lose_nothing(fleet, quotas):
    odd = {"fleet_size": fleet, "quotas_per_s": quotas, "over_share_worth": 0.1, "may_probe": True}
    reports = {"reports": "answers", "report_columns": ("queue", "free_slots"), "tells_start": True}
    bench = Bench(SAFE, UNSAFE, workers=1, may_duplicate=True, may_cancel=True, **odd, **reports)
    answered = set()

    def answer_all():
        for k, p in enumerate(pushes(bench.log)):
            if (p.job, k) not in answered:
                answered.add((p.job, k))
                bench.tell(
                    i.Started(p.job, 7, p.worker),
                    i.Started("gone", 0, p.worker),
                    i.ClientLeft("gone"),
                )
                report = {"free_slots": -3.0} if k % 2 else {}
                for attempt in range(5):  # the further ones were never made
                    bench.ended(p.job, p.worker, i.Result.OK, attempt, True, report)
                bench.ended("gone", p.worker, i.Result.OK)
        bench.tell(i.Probed("nobody", True, 1, {"free_slots": 1.0}))

    for k in range(40):
        bench.later(20_000).job(k % 2, tenant=k % 3)
        answer_all()
        bench.tick(100_000)
        answer_all()
    bench.tell(i.WorkerList(i.ListKind.COMPLETE, ()))
    name, actions = bench.job()
    answers = actions + [a for _ in range(4) for a in bench.tick(2_000_000)]
    assert name in [a.job for a in finals(answers)] and not bench.balancer.held
