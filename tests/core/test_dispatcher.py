"""The core without sockets: one final answer in time, calls and news by the protocol's table."""

from dataclasses import replace

import pytest
from core_helpers import START_US, Desk
from hypothesis import strategies as st
from net_helpers import SETTINGS, WORKERS, request
from walk import walks

from stepstream.core.commands import Answer, Outcome, PollEndpoints, StartCall, StopCall
from stepstream.core.events import (
    CallEnded,
    ClientDisconnected,
    JobNotification,
    JobStatus,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
)
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import AttemptResult, SettingsChanged
from stepstream.model.settings import Settings


def of(kind, commands):
    return [c for c in commands if isinstance(c, kind)]


def one_call(commands):
    (start,) = of(StartCall, commands)
    return start.call


def test_the_first_done_answers_at_once_and_a_repeat_does_nothing():
    desk = Desk()
    taken, commands = desk.take()
    call = one_call(commands)
    done = JobNotification("aa", call.worker_id, JobStatus.DONE, "42")
    assert desk.tell(done) == [Answer(taken, Outcome.SERVED, "42")]
    assert desk.tell(done) == []
    assert not desk.core.requests
    assert desk.core.open_count == 0


def test_news_of_another_worker_or_an_unknown_job_is_passed_over():
    desk = Desk()
    _, commands = desk.take()
    other = next(w.worker_id for w in WORKERS if w.worker_id != one_call(commands).worker_id)
    assert (
        desk.tell(
            JobNotification("aa", other, JobStatus.DONE, "x"),
            JobNotification("zz", other, JobStatus.DONE, "x"),
        )
        == []
    )
    assert desk.core.open_count == 1


@pytest.mark.parametrize("news", [JobStatus.FAILED, JobStatus.LOST, JobStatus.RETURNED])
def test_a_job_that_ended_badly_goes_to_another_worker(news):
    desk = Desk()
    _, commands = desk.take()
    first = one_call(commands)
    second = one_call(desk.tell(JobNotification("aa", first.worker_id, news)))
    assert second.worker_id != first.worker_id
    assert second.number == 1
    # The same news once more must not end the second call.
    assert desk.tell(JobNotification("aa", first.worker_id, news)) == []


def test_done_after_a_broken_exchange_still_serves():
    desk = Desk()
    taken, commands = desk.take()
    first = one_call(commands)
    desk.tell(CallEnded(first, AttemptResult.RESET))
    found = desk.tell(JobNotification("aa", first.worker_id, JobStatus.DONE, "7"))
    assert of(Answer, found) == [Answer(taken, Outcome.SERVED, "7")]
    assert len(of(StopCall, found)) == 1  # the second call serves nobody


def test_the_deadline_ends_calls_and_answers_in_time_whatever_the_threads_do():
    desk = Desk(Settings(classes=SETTINGS.classes, attempt_limit=4, may_cancel=True))
    taken, commands = desk.take(job_class=1)
    call = one_call(commands)
    found = desk.until(taken.deadline_us)
    assert StopCall(call) in found
    assert of(Answer, found) == [Answer(taken, Outcome.FAILED)]
    # The thread's own word comes too late to count.
    assert desk.tell(CallEnded(call, AttemptResult.OK)) == []
    assert not desk.core.requests


def test_a_request_that_the_module_gives_up_is_answered_in_the_same_round():
    desk = Desk()
    desk.tell(EndpointList(EndpointListKind.COMPLETE, ()))
    taken, _ = desk.take()
    found = desk.until(START_US + 400_000)  # the module's patience, far from the deadline
    (answer,) = of(Answer, found)
    assert answer.outcome is Outcome.REJECTED
    assert answer.request is taken


def test_a_client_that_leaves_is_owed_nothing_and_its_call_is_stopped():
    desk = Desk()
    taken, commands = desk.take()
    assert desk.tell(ClientDisconnected(taken)) == [StopCall(one_call(commands))]
    assert desk.tell(ClientDisconnected(taken)) == []
    assert not desk.core.requests


def test_an_id_that_comes_twice_gets_an_answer_of_its_own():
    desk = Desk()
    first, commands = desk.take()
    second, found = desk.take()
    assert found == [Answer(second, Outcome.FAILED)]
    desk.tell(ClientDisconnected(second))
    assert not of(Answer, commands)
    assert not first.answered


def test_a_second_push_to_a_worker_with_an_open_call_is_not_sent(monkeypatch):
    desk = Desk()
    _, commands = desk.take()
    call = one_call(commands)
    monkeypatch.setattr(desk.core.load_balancer, "handle", lambda now, events: [])
    desk.core.on_push(desk.now, call.request, call.worker_id, 0)
    assert [c.open for c in call.request.calls] == [True, False]
    assert not of(StartCall, desk.core.commands)


def test_beyond_the_open_requests_allowed_the_next_is_refused_at_once():
    desk = Desk(Settings(classes=SETTINGS.classes, max_open_requests=1, max_retry_after_us=5))
    desk.take("aa")
    second, found = desk.take("bb")
    assert found == [Answer(second, Outcome.REJECTED, None, 5)]


def test_a_fault_in_the_module_fails_the_job_and_is_complained_of(monkeypatch):
    def broken(*_):
        raise KeyError("lost")

    desk = Desk()
    monkeypatch.setattr(desk.core.load_balancer, "handle", broken)
    taken, found = desk.take()
    assert found == [Answer(taken, Outcome.FAILED)]
    assert "KeyError" in desk.complaints[0]


def test_a_request_whose_thread_broke_is_answered():
    desk = Desk()
    taken, commands = desk.take()
    found = desk.tell(RequestFaulted(taken))
    assert found == [Answer(taken, Outcome.FAILED), StopCall(one_call(commands))]


def test_a_fault_of_a_second_request_with_the_same_id_leaves_the_first_alone():
    desk = Desk()
    first, commands = desk.take("aa")
    call = one_call(commands)
    second, _ = desk.take("aa")
    assert not of(StopCall, desk.tell(RequestFaulted(second)))
    (answer,) = of(Answer, desk.tell(JobNotification("aa", call.worker_id, JobStatus.DONE, "1")))
    assert answer.request is first
    assert answer.outcome is Outcome.SERVED


def test_a_failed_list_is_asked_for_again():
    desk = Desk()
    assert of(PollEndpoints, desk.commands) == [PollEndpoints(True)]
    desk.tell(EndpointList(EndpointListKind.FAILED))
    assert PollEndpoints(True) in desk.until(START_US + 600_000)


def test_before_the_process_ends_all_that_is_open_or_comes_is_answered():
    desk = Desk()
    early, _ = desk.take("aa")
    last = desk.now + 1_000_000
    desk.tell(ShutdownStarted(last))
    late, _ = desk.take("bb")
    answers = of(Answer, desk.until(last))
    assert {a.request for a in answers} == {early, late}


TURNED = replace(SETTINGS, classes=SETTINGS.classes[::-1], tenants=SETTINGS.tenants[::-1])


def test_a_request_read_before_a_reload_keeps_its_class_and_tenant_by_name():
    desk = Desk()
    desk.tell(SettingsChanged(TURNED))
    taken = replace(request("aa", desk.now), settings=SETTINGS)
    (call,) = of(StartCall, desk.tell(RequestReceived(taken)))
    assert call.call.request is taken
    assert (taken.job_class, taken.tenant) == (1, 1)


def test_a_request_of_a_class_that_a_reload_took_away_is_answered():
    desk = Desk()
    desk.tell(SettingsChanged(replace(SETTINGS, classes=SETTINGS.classes[1:])))
    taken = replace(request("aa", desk.now), settings=SETTINGS)
    assert desk.tell(RequestReceived(taken)) == [Answer(taken, Outcome.FAILED)]


def test_a_job_open_over_a_reload_is_served_and_counted_for_its_class():
    desk = Desk()
    _, commands = desk.take(job_class=1)
    call = one_call(commands)
    desk.core.load_balancer.state.run_times.mean_us[:] = [1.0, 2.0, 3.0]
    desk.tell(SettingsChanged(TURNED))
    assert desk.core.load_balancer.state.run_times.mean_us == [2.0, 1.0, 3.0]
    desk.now += 1_000_000
    assert (
        of(Answer, desk.tell(JobNotification("aa", call.worker_id, JobStatus.DONE, "1")))[0].outcome
        is Outcome.SERVED
    )
    assert desk.core.load_balancer.state.run_times.mean_us[0] > 2.0
    assert desk.core.load_balancer.state.run_times.mean_us[1] == 1.0
    desk.tell(SettingsChanged(replace(SETTINGS, classes=SETTINGS.classes[1:])))
    assert len(desk.core.load_balancer.state.run_times.mean_us) == 2


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
            self.desk.tell(JobNotification(name, worker or "s-0", news, "r"))

    def check_ended(self, call):
        assert not call.open

    def leave(self, k):
        if self.taken:
            self.desk.tell(ClientDisconnected(self.taken[k % len(self.taken)]))

    def later(self, us):
        self.desk.until(self.desk.now + us)

    def check(self):
        for command in self.desk.commands[self.seen :]:
            match command:
                case StartCall(call):
                    others = [c for c in call.request.calls if c.open and c is not call]
                    assert call.worker_id not in {c.worker_id for c in others}
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
        assert not self.desk.core.requests
        assert self.desk.core.open_count == 0


test_core_against_its_model = walks(
    CoreRig,
    take=st.integers(0, 1),
    end=st.tuples(st.integers(0, 9), st.sampled_from(list(AttemptResult))),
    news=st.tuples(
        st.integers(0, 9),
        st.sampled_from(list(JobStatus)),
        st.sampled_from(["s-0", "s-1", "s-2", "s-3"]),
    ),
    leave=st.integers(0, 9),
    later=st.integers(0, 2_000_000),
)


@pytest.mark.parametrize(
    ("result", "barred"),
    [
        (None, True),
        (AttemptResult.RESET, False),
        (AttemptResult.TIMEOUT, True),
        (AttemptResult.CANCELLED, True),
        (AttemptResult.FULL, False),
        (AttemptResult.CONNECT_FAILED, False),
        (AttemptResult.ERROR, False),
    ],
)
def test_a_worker_that_may_still_have_a_call_of_a_job_gets_no_second_one(result, barred):
    """The word that gives a call up may still be on its way when the second one gets there."""
    desk = Desk()
    taken, commands = desk.take()
    first = one_call(commands)
    if result is not None:
        first.open, first.result = False, result
    desk.core.on_push(desk.now, taken, first.worker_id, 0)
    assert (not of(StartCall, desk.core.commands)) == barred
    assert taken.calls[-1].result == (AttemptResult.NOT_SENT if barred else None)


@pytest.mark.parametrize(
    ("result", "bound"),
    [(AttemptResult.RESET, True), (None, True), (AttemptResult.CONNECT_FAILED, False)],
)
def test_a_repeat_of_a_keyed_job_is_bound_to_the_window_of_the_first_that_may_have_run(
    result, bound
):
    """Dialling and waiting for a turn take time: the window holds for the write, not for the decision."""
    desk = Desk()
    taken = replace(request("aa", desk.now, job_class=1), settings=SETTINGS)
    first = one_call(desk.tell(RequestReceived(taken)))
    assert first.write_deadline_us is None
    if result is not None:
        first.open, first.result = False, result
    other = next(w.worker_id for w in WORKERS if w.worker_id != first.worker_id)
    desk.core.on_push(desk.now + 50_000, taken, other, 0)
    window_us = SETTINGS.classes[1].idempotency_window_us
    assert taken.calls[-1].write_deadline_us == (first.sent_us + window_us if bound else None)
