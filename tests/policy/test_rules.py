"""The four rules, each for a dispatcher alone."""

import random

import pytest

from stepstream.model.actions import CancelAttempt, Fail, Reject, StartAttempt
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult, AttemptStarted, HealthChecked, JobAbandoned
from stepstream.model.settings import Effect, KeyScope, LoadReportSource
from tests.model.builders import (
    HIGH_PRIORITY,
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    WITH_KEY,
    WITH_KEY_IN_ZONE,
    make_endpoint,
)
from tests.policy.harness import PolicyHarness, final_actions, started_attempts

RAN = [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
NEVER_RAN = [AttemptResult.FULL, AttemptResult.CONNECT_FAILED]


def test_every_job_gets_one_final_answer_when_workers_are_unknown():
    harness = PolicyHarness(IDEMPOTENT, NOT_IDEMPOTENT, workers=0)
    for job_class in (0, 1):
        name, actions = harness.submit(job_class)
        actions += [a for _ in range(12) for a in harness.fire_timers()]
        assert [a.job_id for a in final_actions(actions)] == [name]


@pytest.mark.parametrize("result", RAN)
def test_unsafe_job_that_may_have_run_is_failed_and_not_refused_or_repeated(result):
    harness = PolicyHarness(NOT_IDEMPOTENT)
    name, actions = harness.submit()
    answer = harness.end_attempt(name, started_attempts(actions)[0].worker_id, result)
    assert answer == [Fail(name)]


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_job_proven_not_to_have_run_tries_another_worker(result):
    harness = PolicyHarness(NOT_IDEMPOTENT)
    name, actions = harness.submit()
    first = started_attempts(actions)[0].worker_id
    again = started_attempts(harness.end_attempt(name, first, result))
    assert len(again) == 1
    assert again[0].worker_id != first


def test_unsafe_job_is_failed_once_one_of_several_attempts_may_have_run():
    harness = PolicyHarness(NOT_IDEMPOTENT)
    name, actions = harness.submit()
    again = started_attempts(
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.FULL)
    )
    assert harness.end_attempt(name, again[0].worker_id, AttemptResult.RESET, attempt=1) == [
        Fail(name)
    ]


def test_keyed_job_repeats_only_in_its_zone_and_window():
    entries = [make_endpoint(k, zone=k % 2) for k in range(6)]
    zone = {e.worker_id: e.zone for e in entries}
    for late in (False, True):
        harness = PolicyHarness(WITH_KEY_IN_ZONE, endpoints=entries)
        name, actions = harness.submit()
        first = started_attempts(actions)[0].worker_id
        harness.advance(2_000_001 if late else 10_000)
        answer = harness.end_attempt(name, first, AttemptResult.ERROR)
        if late:
            assert answer == [Fail(name)]
        else:
            assert [zone[p.worker_id] for p in started_attempts(answer)] == [zone[first]]


def test_keyed_job_with_no_worker_left_in_its_zone_is_failed_and_not_refused():
    harness = PolicyHarness(
        WITH_KEY_IN_ZONE,
        endpoints=[make_endpoint(0, zone=0), make_endpoint(1, zone=1)],
        attempt_limit=1,
    )
    name, actions = harness.submit()
    assert harness.end_attempt(
        name, started_attempts(actions)[0].worker_id, AttemptResult.RESET
    ) == [Fail(name)]


def test_keyed_job_known_everywhere_may_be_refused():
    harness = PolicyHarness(WITH_KEY, attempt_limit=1)
    name, actions = harness.submit()
    answer = harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.RESET)
    assert [type(a) for a in final_actions(answer)] == [Reject]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
@pytest.mark.parametrize("kind", [EndpointListKind.CHANGES, EndpointListKind.COMPLETE])
def test_nothing_new_goes_to_a_draining_or_gone_worker(state, kind):
    harness = PolicyHarness(IDEMPOTENT, workers=3)
    entries = [make_endpoint(0, state=state), make_endpoint(1), make_endpoint(2)]
    harness.handle(
        EndpointList(kind, tuple(entries[:1] if kind is EndpointListKind.CHANGES else entries))
    )
    sent = [p.worker_id for _ in range(20) for p in started_attempts(harness.submit()[1])]
    assert len(sent) == 20
    assert make_endpoint(0).worker_id not in sent


def test_worker_missing_from_a_complete_list_is_gone_but_its_jobs_are_left_alone():
    harness = PolicyHarness(IDEMPOTENT, workers=1)
    name, actions = harness.submit()
    answer = harness.handle(EndpointList(EndpointListKind.COMPLETE, (make_endpoint(7),)))
    assert not final_actions(answer)
    assert not [a for a in answer if isinstance(a, CancelAttempt)]
    assert not final_actions(
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    )
    assert started_attempts(harness.submit()[1])[0].worker_id == make_endpoint(7).worker_id


def cold_pushes(started_at, result, fleet=1):
    harness = PolicyHarness(
        IDEMPOTENT,
        workers=4,
        dispatcher_count=fleet,
        cold_capacity_fraction=0.1,
        slow_start_us=20_000_000,
        overload_multiple=3.0,
    )
    for _ in range(200):  # settle the rate: 20 jobs a second over 4 workers
        name, actions = harness.advance(50_000).submit()
        harness.end_attempt(name, started_attempts(actions)[0].worker_id, AttemptResult.OK)
    harness.handle(
        EndpointList(
            EndpointListKind.CHANGES, (make_endpoint(0, started_us=harness.now_us + started_at),)
        )
    )
    sent = 0
    for _ in range(100):  # five seconds
        name, actions = harness.advance(50_000).submit()
        attempt = 0
        while started_attempts(actions):
            worker = started_attempts(actions)[0].worker_id
            sent += worker == make_endpoint(0).worker_id
            full = worker == make_endpoint(0).worker_id
            actions = harness.end_attempt(
                name, worker, result if full else AttemptResult.OK, attempt
            )
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
        self.classes = (IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY_IN_ZONE, WITH_KEY, HIGH_PRIORITY)
        self.entries = [make_endpoint(k, zone=k % 2) for k in range(6)]
        self.zone = {e.worker_id: e.zone for e in self.entries}
        self.harness = PolicyHarness(
            *self.classes,
            endpoints=self.entries,
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
                    assert self.harness.now_us <= ran[0]["at"] + kind.idempotency_window_us
                    assert (
                        kind.key_scope is KeyScope.ALL
                        or self.zone[ran[0]["to"]] == self.zone[a.worker_id]
                    )
                job["tries"].append({"to": a.worker_id, "at": self.harness.now_us, "clean": False})
                limit = min(a.timeout_us or kind.deadline_us, job["until"] - self.harness.now_us)
                when = self.harness.now_us + self.random.randrange(1000, 3_000_000)
                self.out.append(
                    (
                        min(when, self.harness.now_us + limit),
                        a.job_id,
                        len(job["tries"]) - 1,
                        a.worker_id,
                    )
                )
            elif isinstance(a, Reject | Fail):
                job = self.jobs[a.job_id]
                assert not job["over"]
                assert self.harness.now_us <= job["until"]
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
        self.check(self.harness.end_attempt(name, worker, result, attempt, job["over"]))

    def start_some(self):
        for _, name, attempt, worker in list(self.out):
            if self.random.random() < 0.1:
                self.check(self.harness.handle(AttemptStarted(name, attempt, worker)))

    def run(self):
        for step in range(800):
            self.start_some()
            until = self.harness.now_us + self.random.randrange(1000, 60_000)
            while due := min((o for o in self.out if o[0] <= until), default=None):
                self.out.remove(due)
                self.harness.now_us = max(self.harness.now_us, due[0])
                self.answer(due)
            self.harness.now_us = until
            self.check(self.harness.fire_timers(0))
            if step < 600:
                which = self.random.randrange(len(self.classes))
                name = f"{self.harness.job_count + 1:016x}"
                self.jobs[name] = {
                    "class": which,
                    "until": self.harness.now_us + self.classes[which].deadline_us,
                    "over": False,
                    "tries": [],
                }
                self.check(self.harness.submit(which, tenant=self.random.randrange(2))[1])
            if self.random.random() < 0.02:
                k = self.random.randrange(6)
                state = self.random.choice(list(EndpointState))
                started = self.harness.now_us if state is EndpointState.ACTIVE else 0
                (self.down.discard if state is EndpointState.ACTIVE else self.down.add)(
                    make_endpoint(k).worker_id
                )
                self.check(
                    self.harness.handle(
                        EndpointList(
                            EndpointListKind.CHANGES,
                            (make_endpoint(k, zone=k % 2, state=state, started_us=started),),
                        )
                    )
                )


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_any_mix_of_outcomes_and_list_changes(seed):
    world = Outcomes(seed)
    world.run()
    assert world.jobs
    assert all(job["over"] for job in world.jobs.values())
    assert not world.harness.balancer.state.jobs.in_flight  # nothing is kept of what has ended


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
    harness = PolicyHarness(
        IDEMPOTENT, NOT_IDEMPOTENT, workers=1, may_hedge=True, may_cancel=True, **odd, **reports
    )
    answered = set()

    def answer_all():
        for k, p in enumerate(started_attempts(harness.actions)):
            if (p.job_id, k) not in answered:
                answered.add((p.job_id, k))
                harness.handle(
                    AttemptStarted(p.job_id, 7, p.worker_id),
                    AttemptStarted("gone", 0, p.worker_id),
                    JobAbandoned("gone"),
                )
                report = {"free_slots": -3.0} if k % 2 else {}
                for attempt in range(5):  # the further ones were never made
                    harness.end_attempt(
                        p.job_id, p.worker_id, AttemptResult.OK, attempt, True, report
                    )
                harness.end_attempt("gone", p.worker_id, AttemptResult.OK)
        harness.handle(HealthChecked("nobody", True, 1, {"free_slots": 1.0}))

    for k in range(40):
        harness.advance(20_000).submit(k % 2, tenant=k % 3)
        answer_all()
        harness.fire_timers(100_000)
        answer_all()
    harness.handle(EndpointList(EndpointListKind.COMPLETE, ()))
    name, actions = harness.submit()
    answers = actions + [a for _ in range(4) for a in harness.fire_timers(2_000_000)]
    assert name in [a.job_id for a in final_actions(answers)]
    assert not harness.balancer.state.jobs.in_flight
