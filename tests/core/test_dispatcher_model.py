"""The dispatcher against a model, over random sequences of events."""

from hypothesis import strategies as st
from walk import walks

from stepstream.core.commands import Answer, StartCall
from stepstream.core.events import CallEnded, ClientDisconnected, JobNotification, JobStatus
from stepstream.model.events import AttemptResult
from tests.config.configurations import POLICY_SETTINGS
from tests.core.harness import DispatcherHarness


class DispatcherModel:
    """For each request its open calls by worker, and whether it has had its answer."""

    def __init__(self):
        self.harness = DispatcherHarness()
        self.received = []
        self.answers = {}
        self.open_calls = []
        self.sent = {}  # calls started, by request id
        self.checked = 0  # commands checked so far

    # -- moves ----------------------------------------------------------------------------------

    def receive(self, job_class):
        name = f"{len(self.received):04x}"
        self.received.append(self.harness.receive(name, job_class=job_class)[0])

    def end_call(self, drawn):
        index, result = drawn
        if self.open_calls:
            call = self.open_calls[index % len(self.open_calls)]
            self.harness.post(CallEnded(call, result))
            assert not call.open

    def notify(self, drawn):
        index, status, worker = drawn
        if self.received:
            request = self.received[index % len(self.received)]
            self.harness.post(JobNotification(request.id, worker, status, "r"))

    def disconnect(self, index):
        if self.received:
            request = self.received[index % len(self.received)]
            self.harness.post(ClientDisconnected(request))

    def wait(self, duration_us):
        self.harness.run_until(self.harness.now_us + duration_us)

    # -- checks ---------------------------------------------------------------------------------

    def check(self):
        for command in self.harness.commands[self.checked :]:
            match command:
                case StartCall(call):
                    self.check_start(call)
                case Answer(answered):
                    assert answered.id not in self.answers
                    self.answers[answered.id] = command.outcome
        self.checked = len(self.harness.commands)
        self.open_calls = [call for call in self.open_calls if call.open]
        assert all(count <= POLICY_SETTINGS.attempt_limit for count in self.sent.values())
        owed = [request for request in self.received if not request.answered]
        assert self.harness.dispatcher.open_count == len(owed)
        assert all(self.harness.now_us <= request.deadline_us for request in owed)
        assert not self.harness.log.events

    def check_start(self, call):
        request = call.request
        others = [other for other in request.calls if other.open and other is not call]
        assert call.worker_id not in {other.worker_id for other in others}
        assert not request.answered or not call.open
        self.sent[request.id] = self.sent.get(request.id, 0) + 1
        self.open_calls.append(call)

    def finish(self):
        self.wait(6_000_000)
        self.check()
        assert not self.harness.dispatcher.requests
        assert self.harness.dispatcher.open_count == 0


test_dispatcher_against_its_model = walks(
    DispatcherModel,
    receive=st.integers(0, 1),
    end_call=st.tuples(st.integers(0, 9), st.sampled_from(list(AttemptResult))),
    notify=st.tuples(
        st.integers(0, 9),
        st.sampled_from(list(JobStatus)),
        st.sampled_from(["s-0", "s-1", "s-2", "s-3"]),
    ),
    disconnect=st.integers(0, 9),
    wait=st.integers(0, 2_000_000),
)
