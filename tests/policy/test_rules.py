"""The four rules, each for a dispatcher alone."""

import random

import pytest
from helpers import DEAR, KEYED_ALL, KEYED_ZONE, SAFE, UNSAFE, Bench, entry, finals, pushes

from stepstream.model.actions import CancelAttempt, Fail, Reject, StartAttempt
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked, JobAbandoned
from stepstream.model.settings import Effect, KeyScope, LoadReportSource

RAN = [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
NEVER_RAN = [AttemptResult.FULL, AttemptResult.CONNECT_FAILED]


def test_every_job_gets_one_final_answer_when_workers_are_unknown():
    bench = Bench(SAFE, UNSAFE, workers=0)
    for job_class in (0, 1):
        name, actions = bench.job(job_class)
        actions += [a for _ in range(12) for a in bench.tick()]
        assert [a.job_id for a in finals(actions)] == [name]


@pytest.mark.parametrize("result", RAN)
def test_unsafe_job_that_may_have_run_is_failed_and_not_refused_or_repeated(result):
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    answer = bench.ended(name, pushes(actions)[0].worker_id, result)
    assert answer == [Fail(name)]


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_job_proven_not_to_have_run_tries_another_worker(result):
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    first = pushes(actions)[0].worker_id
    again = pushes(bench.ended(name, first, result))
    assert len(again) == 1
    assert again[0].worker_id != first


def test_unsafe_job_is_failed_once_one_of_several_attempts_may_have_run():
    bench = Bench(UNSAFE)
    name, actions = bench.job()
    again = pushes(bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.FULL))
    assert bench.ended(name, again[0].worker_id, AttemptResult.RESET, attempt=1) == [Fail(name)]


def test_keyed_job_repeats_only_in_its_zone_and_window():
    entries = [entry(k, zone=k % 2) for k in range(6)]
    zone = {e.worker_id: e.zone for e in entries}
    for late in (False, True):
        bench = Bench(KEYED_ZONE, entries=entries)
        name, actions = bench.job()
        first = pushes(actions)[0].worker_id
        bench.later(2_000_001 if late else 10_000)
        answer = bench.ended(name, first, AttemptResult.ERROR)
        if late:
            assert answer == [Fail(name)]
        else:
            assert [zone[p.worker_id] for p in pushes(answer)] == [zone[first]]


def test_keyed_job_with_no_worker_left_in_its_zone_is_failed_and_not_refused():
    bench = Bench(KEYED_ZONE, entries=[entry(0, zone=0), entry(1, zone=1)], attempt_limit=1)
    name, actions = bench.job()
    assert bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.RESET) == [Fail(name)]


def test_keyed_job_known_everywhere_may_be_refused():
    bench = Bench(KEYED_ALL, attempt_limit=1)
    name, actions = bench.job()
    answer = bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.RESET)
    assert [type(a) for a in finals(answer)] == [Reject]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
@pytest.mark.parametrize("kind", [EndpointListKind.CHANGES, EndpointListKind.COMPLETE])
def test_nothing_new_goes_to_a_draining_or_gone_worker(state, kind):
    bench = Bench(SAFE, workers=3)
    entries = [entry(0, state=state), entry(1), entry(2)]
    bench.tell(
        EndpointList(kind, tuple(entries[:1] if kind is EndpointListKind.CHANGES else entries))
    )
    sent = [p.worker_id for _ in range(20) for p in pushes(bench.job()[1])]
    assert len(sent) == 20
    assert entry(0).worker_id not in sent


def test_worker_missing_from_a_complete_list_is_gone_but_its_jobs_are_left_alone():
    bench = Bench(SAFE, workers=1)
    name, actions = bench.job()
    answer = bench.tell(EndpointList(EndpointListKind.COMPLETE, (entry(7),)))
    assert not finals(answer)
    assert not [a for a in answer if isinstance(a, CancelAttempt)]
    assert not finals(bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.OK))
    assert pushes(bench.job()[1])[0].worker_id == entry(7).worker_id


def cold_pushes(started_at, result, fleet=1):
    bench = Bench(
        SAFE,
        workers=4,
        dispatcher_count=fleet,
        cold_capacity_fraction=0.1,
        slow_start_us=20_000_000,
        overload_multiple=3.0,
    )
    for _ in range(200):  # settle the rate: 20 jobs a second over 4 workers
        name, actions = bench.later(50_000).job()
        bench.ended(name, pushes(actions)[0].worker_id, AttemptResult.OK)
    bench.tell(
        EndpointList(EndpointListKind.CHANGES, (entry(0, started_us=bench.now + started_at),))
    )
    sent = 0
    for _ in range(100):  # five seconds
        name, actions = bench.later(50_000).job()
        attempt = 0
        while pushes(actions):
            worker = pushes(actions)[0].worker_id
            sent += worker == entry(0).worker_id
            full = worker == entry(0).worker_id
            actions = bench.ended(name, worker, result if full else AttemptResult.OK, attempt)
            attempt += 1
    return sent


def test_restarted_worker_gets_no_more_than_its_warmth_allows():
    # A warm worker's turn is 5 jobs a second, 25 in five; one at a tenth to a third of its strength
    # may have about 8, with the refused ones counted too. Long warm, it is held back no more.
    for result in (AttemptResult.OK, AttemptResult.FULL):
        assert 1 <= cold_pushes(0, result) <= 8
    assert cold_pushes(-30_000_000, AttemptResult.OK) > 8


class Outcomes:
    """Answers pushes at random and holds what the balancer does against the rules."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.classes = (SAFE, UNSAFE, KEYED_ZONE, KEYED_ALL, DEAR)
        self.entries = [entry(k, zone=k % 2) for k in range(6)]
        self.zone = {e.worker_id: e.zone for e in self.entries}
        self.bench = Bench(
            *self.classes,
            entries=self.entries,
            may_cancel=True,
            may_hedge=True,
            quotas_per_s=(5.0, 5.0),
            over_quota_weight_fraction=0.1,
            reports_start=True,
        )
        self.jobs: dict[str, dict] = {}
        self.out: list[tuple[int, str, int, str]] = []
        self.down: set[str] = set()

    def check(self, actions):
        for a in actions:
            if isinstance(a, StartAttempt):
                job = self.jobs[a.job_id]
                assert not job["over"]
                assert a.worker_id not in self.down
                kind = self.classes[job["class"]]
                ran = [t for t in job["tries"] if not t["clean"]]
                if kind.effect is Effect.NOT_IDEMPOTENT:
                    assert not ran
                if kind.effect is Effect.IDEMPOTENT_WITH_KEY and ran:
                    assert self.bench.now <= ran[0]["at"] + kind.idempotency_window_us
                    assert (
                        kind.key_scope is KeyScope.ALL
                        or self.zone[ran[0]["to"]] == self.zone[a.worker_id]
                    )
                job["tries"].append({"to": a.worker_id, "at": self.bench.now, "clean": False})
                limit = min(a.timeout_us or kind.deadline_us, job["until"] - self.bench.now)
                when = self.bench.now + self.random.randrange(1000, 3_000_000)
                self.out.append(
                    (
                        min(when, self.bench.now + limit),
                        a.job_id,
                        len(job["tries"]) - 1,
                        a.worker_id,
                    )
                )
            elif isinstance(a, Reject | Fail):
                job = self.jobs[a.job_id]
                assert not job["over"]
                assert self.bench.now <= job["until"]
                job["over"] = True
                kind = self.classes[job["class"]]
                if (
                    isinstance(a, Reject)
                    and kind.effect is not Effect.IDEMPOTENT
                    and kind.key_scope is not KeyScope.ALL
                ):
                    assert all(t["clean"] for t in job["tries"])

    def answer(self, due):
        at, name, attempt, worker = due
        job = self.jobs[name]
        result = self.random.choice(list(AttemptResult))
        if at >= job["until"]:
            result = AttemptResult.TIMEOUT
        job["tries"][attempt]["clean"] = result.never_ran
        job["over"] = job["over"] or result is AttemptResult.OK
        self.check(self.bench.ended(name, worker, result, attempt, job["over"]))

    def start_some(self):
        for _, name, attempt, worker in list(self.out):
            if self.random.random() < 0.1:
                self.check(self.bench.tell(AttemptStarted(name, attempt, worker)))

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
                state = self.random.choice(list(EndpointState))
                started = self.bench.now if state is EndpointState.ACTIVE else 0
                (self.down.discard if state is EndpointState.ACTIVE else self.down.add)(
                    entry(k).worker_id
                )
                self.check(
                    self.bench.tell(
                        EndpointList(
                            EndpointListKind.CHANGES,
                            (entry(k, zone=k % 2, state=state, started_us=started),),
                        )
                    )
                )


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_any_mix_of_outcomes_and_list_changes(seed):
    world = Outcomes(seed)
    world.run()
    assert world.jobs
    assert all(job["over"] for job in world.jobs.values())
    assert not world.bench.balancer.state.jobs.in_flight  # nothing is kept of what has ended


@pytest.mark.parametrize("fleet", [1, 500])
@pytest.mark.parametrize("quotas", [(), (0.0, 0.0), (0.0, 5.0)])
def test_odd_settings_and_events_lose_nothing(fleet, quotas):
    odd = {
        "dispatcher_count": fleet,
        "quotas_per_s": quotas,
        "over_quota_weight_fraction": 0.1,
        "may_check_health": True,
    }
    reports = {
        "load_report_source": LoadReportSource.ANSWERS,
        "load_report_columns": ("queue", "free_slots"),
        "reports_start": True,
    }
    bench = Bench(SAFE, UNSAFE, workers=1, may_hedge=True, may_cancel=True, **odd, **reports)
    answered = set()

    def answer_all():
        for k, p in enumerate(pushes(bench.log)):
            if (p.job_id, k) not in answered:
                answered.add((p.job_id, k))
                bench.tell(
                    AttemptStarted(p.job_id, 7, p.worker_id),
                    AttemptStarted("gone", 0, p.worker_id),
                    JobAbandoned("gone"),
                )
                report = {"free_slots": -3.0} if k % 2 else {}
                for attempt in range(5):  # the further ones were never made
                    bench.ended(p.job_id, p.worker_id, AttemptResult.OK, attempt, True, report)
                bench.ended("gone", p.worker_id, AttemptResult.OK)
        bench.tell(HealthChecked("nobody", True, 1, {"free_slots": 1.0}))

    for k in range(40):
        bench.later(20_000).job(k % 2, tenant=k % 3)
        answer_all()
        bench.tick(100_000)
        answer_all()
    bench.tell(EndpointList(EndpointListKind.COMPLETE, ()))
    name, actions = bench.job()
    answers = actions + [a for _ in range(4) for a in bench.tick(2_000_000)]
    assert name in [a.job_id for a in finals(answers)]
    assert not bench.balancer.state.jobs.in_flight
