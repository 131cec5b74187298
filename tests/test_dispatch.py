"""The core without sockets: one final answer in time, calls and news by the protocol's table."""

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from net_helpers import LIMITS, SETTINGS, WORKERS, request
from walk import walks

from stepstream import interface as i
from stepstream.dispatch import (
    Answer,
    Arrived,
    AskList,
    Broken,
    CallEnded,
    Dispatcher,
    LastCall,
    Left,
    News,
    Outcome,
    StartCall,
    StopCall,
    Told,
)

START_US = 1_000_000


class Desk:
    """A dispatcher with four workers, its clock and its commands."""

    def __init__(self, settings=SETTINGS):
        self.now, self.commands, self.complaints = START_US, [], []
        self.core = Dispatcher(
            settings, 1, self.now, LIMITS.tick_us, LIMITS.early_us, self.complaints.append
        )
        self.tell(i.WorkerList(i.ListKind.PERSISTED, WORKERS))

    def tell(self, *events):
        found = self.core.handle(self.now, list(events))
        self.commands += found
        return found

    def take(self, name="aa", **more):
        taken = request(name, self.now, **more)
        return taken, self.tell(Arrived(taken))

    def until(self, at_us):
        """Rings every timer up to then, each at its time."""
        found = []
        while (due := self.core.next_us()) is not None and due <= at_us:
            self.now = max(due, self.now)
            found += self.tell()
        self.now = at_us
        return found


def of(kind, commands):
    return [c for c in commands if isinstance(c, kind)]


def one_call(commands):
    (start,) = of(StartCall, commands)
    return start.call


def test_the_first_done_answers_at_once_and_a_repeat_does_nothing():
    desk = Desk()
    taken, commands = desk.take()
    call = one_call(commands)
    done = Told("aa", call.worker, News.DONE, "42")
    assert desk.tell(done) == [Answer(taken, Outcome.SERVED, "42")]
    assert desk.tell(done) == [] and not desk.core.requests and desk.core.open_count == 0


def test_news_of_another_worker_or_an_unknown_job_is_passed_over():
    desk = Desk()
    _, commands = desk.take()
    other = next(w.worker for w in WORKERS if w.worker != one_call(commands).worker)
    assert desk.tell(Told("aa", other, News.DONE, "x"), Told("zz", other, News.DONE, "x")) == []
    assert desk.core.open_count == 1


@pytest.mark.parametrize("news", [News.FAILED, News.LOST, News.RETURNED])
def test_a_job_that_ended_badly_goes_to_another_worker(news):
    desk = Desk()
    _, commands = desk.take()
    first = one_call(commands)
    second = one_call(desk.tell(Told("aa", first.worker, news)))
    assert second.worker != first.worker and second.number == 1
    # The same news once more must not end the second call.
    assert desk.tell(Told("aa", first.worker, news)) == []


def test_done_after_a_broken_exchange_still_serves():
    desk = Desk()
    taken, commands = desk.take()
    first = one_call(commands)
    desk.tell(CallEnded(first, i.Result.RESET))
    found = desk.tell(Told("aa", first.worker, News.DONE, "7"))
    assert of(Answer, found) == [Answer(taken, Outcome.SERVED, "7")]
    assert len(of(StopCall, found)) == 1  # the second call serves nobody


def test_the_deadline_ends_calls_and_answers_in_time_whatever_the_threads_do():
    desk = Desk(i.Settings(classes=SETTINGS.classes, attempt_limit=4, may_cancel=True))
    taken, commands = desk.take(job_class=1)
    call = one_call(commands)
    found = desk.until(taken.deadline_us)
    assert StopCall(call) in found and of(Answer, found) == [Answer(taken, Outcome.FAILED)]
    # The thread's own word comes too late to count.
    assert desk.tell(CallEnded(call, i.Result.OK)) == [] and not desk.core.requests


def test_a_request_that_the_module_gives_up_is_answered_in_the_same_round():
    desk = Desk()
    desk.tell(i.WorkerList(i.ListKind.COMPLETE, ()))
    taken, _ = desk.take()
    found = desk.until(START_US + 400_000)  # the module's patience, far from the deadline
    (answer,) = of(Answer, found)
    assert answer.outcome is Outcome.REFUSED and answer.request is taken


def test_a_client_that_leaves_is_owed_nothing_and_its_call_is_stopped():
    desk = Desk()
    taken, commands = desk.take()
    assert desk.tell(Left(taken)) == [StopCall(one_call(commands))]
    assert desk.tell(Left(taken)) == [] and not desk.core.requests


def test_an_id_that_comes_twice_gets_an_answer_of_its_own():
    desk = Desk()
    first, commands = desk.take()
    second, found = desk.take()
    assert found == [Answer(second, Outcome.FAILED)]
    desk.tell(Left(second))
    assert not of(Answer, commands) and not first.answered


def test_a_second_push_to_a_worker_with_an_open_call_is_not_sent(monkeypatch):
    desk = Desk()
    _, commands = desk.take()
    call = one_call(commands)
    monkeypatch.setattr(desk.core.balancer, "handle", lambda now, events: [])
    desk.core.on_push(desk.now, call.request, call.worker, 0)
    assert [c.open for c in call.request.calls] == [True, False] and not of(
        StartCall, desk.core.commands
    )


def test_beyond_the_open_requests_allowed_the_next_is_refused_at_once():
    desk = Desk(i.Settings(classes=SETTINGS.classes, max_open=1, max_retry_after_us=5))
    desk.take("aa")
    second, found = desk.take("bb")
    assert found == [Answer(second, Outcome.REFUSED, None, 5)]


def test_a_fault_in_the_module_fails_the_job_and_is_complained_of(monkeypatch):
    def broken(*_):
        raise KeyError("lost")

    desk = Desk()
    monkeypatch.setattr(desk.core.balancer, "handle", broken)
    taken, found = desk.take()
    assert found == [Answer(taken, Outcome.FAILED)] and "KeyError" in desk.complaints[0]


def test_a_request_whose_thread_broke_is_answered():
    desk = Desk()
    taken, commands = desk.take()
    found = desk.tell(Broken(taken))
    assert found == [Answer(taken, Outcome.FAILED), StopCall(one_call(commands))]


def test_a_fault_of_a_second_request_with_the_same_id_leaves_the_first_alone():
    desk = Desk()
    first, commands = desk.take("aa")
    call = one_call(commands)
    second, _ = desk.take("aa")
    assert not of(StopCall, desk.tell(Broken(second)))
    (answer,) = of(Answer, desk.tell(Told("aa", call.worker, News.DONE, "1")))
    assert answer.request is first and answer.outcome is Outcome.SERVED


def test_a_failed_list_is_asked_for_again():
    desk = Desk()
    assert of(AskList, desk.commands) == [AskList(True)]
    desk.tell(i.WorkerList(i.ListKind.FAILED))
    assert AskList(True) in desk.until(START_US + 600_000)


def test_before_the_process_ends_all_that_is_open_or_comes_is_answered():
    desk = Desk()
    early, _ = desk.take("aa")
    last = desk.now + 1_000_000
    desk.tell(LastCall(last))
    late, _ = desk.take("bb")
    answers = of(Answer, desk.until(last))
    assert {a.request for a in answers} == {early, late}


TURNED = replace(SETTINGS, classes=SETTINGS.classes[::-1], tenants=SETTINGS.tenants[::-1])


def test_a_request_read_before_a_reload_keeps_its_class_and_tenant_by_name():
    desk = Desk()
    desk.tell(i.NewSettings(TURNED))
    taken = replace(request("aa", desk.now), settings=SETTINGS)
    (call,) = of(StartCall, desk.tell(Arrived(taken)))
    assert call.call.request is taken and (taken.job_class, taken.tenant) == (1, 1)


def test_a_request_of_a_class_that_a_reload_took_away_is_answered():
    desk = Desk()
    desk.tell(i.NewSettings(replace(SETTINGS, classes=SETTINGS.classes[1:])))
    taken = replace(request("aa", desk.now), settings=SETTINGS)
    assert desk.tell(Arrived(taken)) == [Answer(taken, Outcome.FAILED)]


def test_a_job_open_over_a_reload_is_served_and_counted_for_its_class():
    desk = Desk()
    _, commands = desk.take(job_class=1)
    call = one_call(commands)
    desk.core.balancer.runs.mean_us[:] = [1.0, 2.0, 3.0]
    desk.tell(i.NewSettings(TURNED))
    assert desk.core.balancer.runs.mean_us == [2.0, 1.0, 3.0]
    desk.now += 1_000_000
    assert (
        of(Answer, desk.tell(Told("aa", call.worker, News.DONE, "1")))[0].outcome is Outcome.SERVED
    )
    assert desk.core.balancer.runs.mean_us[0] > 2.0 and desk.core.balancer.runs.mean_us[1] == 1.0
    desk.tell(i.NewSettings(replace(SETTINGS, classes=SETTINGS.classes[1:])))
    assert len(desk.core.balancer.runs.mean_us) == 2


class CoreRig:
    """The model: for each request its open calls by worker, and whether it has had its answer."""

    def __init__(self):
        self.desk, self.taken, self.answers, self.open, self.sent = Desk(), [], {}, {}, {}
        self.seen = 0

    def take(self, job_class):
        self.taken.append(self.desk.take(f"{len(self.taken):04x}", job_class=job_class)[0])

    def pick(self, k):
        calls = list(self.open)
        return calls[k % len(calls)] if calls else None

    def end(self, drawn):
        k, result = drawn
        if call := self.pick(k):
            self.desk.tell(CallEnded(call, result))
            self.check_ended(call)

    def news(self, drawn):
        k, news, worker = drawn
        if self.taken:
            name = self.taken[k % len(self.taken)].id
            self.desk.tell(Told(name, worker or "s-0", news, "r"))

    def check_ended(self, call):
        assert not call.open

    def leave(self, k):
        if self.taken:
            self.desk.tell(Left(self.taken[k % len(self.taken)]))

    def later(self, us):
        self.desk.until(self.desk.now + us)

    def check(self):
        for command in self.desk.commands[self.seen :]:
            match command:
                case StartCall(call):
                    others = [c for c in call.request.calls if c.open and c is not call]
                    assert call.worker not in {c.worker for c in others}
                    assert not call.request.answered or not call.open
                    self.sent[call.request.id] = self.sent.get(call.request.id, 0) + 1
                    self.open[call] = True
                case Answer(answered):
                    assert answered.id not in self.answers
                    self.answers[answered.id] = (command.outcome, self.desk.now)
        self.seen = len(self.desk.commands)
        self.open = {call: True for call in self.open if call.open}
        assert all(count <= SETTINGS.attempt_limit for count in self.sent.values())
        owed = [r for r in self.taken if not r.answered]
        assert self.desk.core.open_count == len(owed)
        assert all(self.desk.now <= r.deadline_us for r in owed)
        assert not self.desk.complaints

    def finish(self):
        self.later(6_000_000)
        self.check()
        assert not self.desk.core.requests and self.desk.core.open_count == 0


test_core_against_its_model = walks(
    CoreRig,
    take=st.integers(0, 1),
    end=st.tuples(st.integers(0, 9), st.sampled_from(list(i.Result))),
    news=st.tuples(
        st.integers(0, 9),
        st.sampled_from(list(News)),
        st.sampled_from(["s-0", "s-1", "s-2", "s-3"]),
    ),
    leave=st.integers(0, 9),
    later=st.integers(0, 2_000_000),
)


@pytest.mark.parametrize(
    ("result", "barred"),
    [
        (None, True),
        (i.Result.RESET, False),
        (i.Result.TIMEOUT, True),
        (i.Result.CANCELLED, True),
        (i.Result.FULL, False),
        (i.Result.CONNECT_FAILED, False),
        (i.Result.ERROR, False),
    ],
)
def test_a_worker_that_may_still_have_a_call_of_a_job_gets_no_second_one(result, barred):
    """The word that gives a call up may still be on its way when the second one gets there."""
    desk = Desk()
    taken, commands = desk.take()
    first = one_call(commands)
    if result is not None:
        first.open, first.result = False, result
    desk.core.on_push(desk.now, taken, first.worker, 0)
    assert (not of(StartCall, desk.core.commands)) == barred
    assert taken.calls[-1].result == (i.Result.NOT_SENT if barred else None)


@pytest.mark.parametrize(
    ("result", "bound"), [(i.Result.RESET, True), (None, True), (i.Result.CONNECT_FAILED, False)]
)
def test_a_repeat_of_a_keyed_job_is_bound_to_the_window_of_the_first_that_may_have_run(
    result, bound
):
    """Dialling and waiting for a turn take time: the window holds for the write, not for the decision."""
    desk = Desk()
    taken = replace(request("aa", desk.now, job_class=1), settings=SETTINGS)
    first = one_call(desk.tell(Arrived(taken)))
    assert first.write_by_us is None
    if result is not None:
        first.open, first.result = False, result
    other = next(w.worker for w in WORKERS if w.worker != first.worker)
    desk.core.on_push(desk.now + 50_000, taken, other, 0)
    window_us = SETTINGS.classes[1].window_us
    assert taken.calls[-1].write_by_us == (first.sent_us + window_us if bound else None)
