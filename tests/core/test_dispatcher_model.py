"""Compare the dispatcher with a model, over random sequences of events."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stepstream.core.commands import Answer, StartCall
from stepstream.core.events import CallEnded, ClientDisconnected, JobNotification, JobStatus
from stepstream.model.events import AttemptResult
from tests.config.configurations import POLICY_SETTINGS
from tests.core.builders import WORKERS
from tests.core.harness import DispatcherHarness

INDEXES = st.integers(0, 9)
WORKER_IDS = [worker.worker_id for worker in WORKERS]
PAST_EVERY_DEADLINE_US = 6_000_000


class DispatcherMachine(RuleBasedStateMachine):
    """The model: the open calls, the number of started calls by request, and the answers."""

    def __init__(self):
        super().__init__()
        self.harness = DispatcherHarness()
        self.requests = []
        self.answers = {}
        self.open_calls = []
        self.started_call_counts = {}  # by request id
        self.checked_commands = 0

    # -- rules ----------------------------------------------------------------------------------

    @rule(job_class=st.integers(0, 1))
    def receive(self, job_class):
        request_id = f"{len(self.requests):04x}"
        self.requests.append(self.harness.receive(request_id, job_class=job_class)[0])

    @precondition(lambda self: self.open_calls)
    @rule(index=INDEXES, result=st.sampled_from(list(AttemptResult)))
    def end_call(self, index, result):
        call = self.open_calls[index % len(self.open_calls)]
        self.harness.post(CallEnded(call, result))
        assert not call.open

    @precondition(lambda self: self.requests)
    @rule(
        index=INDEXES,
        status=st.sampled_from(list(JobStatus)),
        worker_id=st.sampled_from(WORKER_IDS),
    )
    def notify(self, index, status, worker_id):
        request = self.requests[index % len(self.requests)]
        self.harness.post(JobNotification(request.id, worker_id, status, "r"))

    @precondition(lambda self: self.requests)
    @rule(index=INDEXES)
    def disconnect(self, index):
        request = self.requests[index % len(self.requests)]
        self.harness.post(ClientDisconnected(request))

    @rule(duration_us=st.integers(0, 2_000_000))
    def wait(self, duration_us):
        self.harness.run_until(self.harness.now_us + duration_us)

    # -- checks ---------------------------------------------------------------------------------

    @invariant()
    def agrees_with_the_model(self):
        for command in self.harness.commands[self.checked_commands :]:
            match command:
                case StartCall(call):
                    self.check_start(call)
                case Answer(answered):
                    assert answered.id not in self.answers
                    self.answers[answered.id] = command.outcome
        self.checked_commands = len(self.harness.commands)
        self.open_calls = [call for call in self.open_calls if call.open]
        assert all(
            count <= POLICY_SETTINGS.attempt_limit for count in self.started_call_counts.values()
        )
        unanswered = [request for request in self.requests if not request.answered]
        assert self.harness.dispatcher.open_count == len(unanswered)
        assert all(self.harness.now_us <= request.deadline_us for request in unanswered)
        assert not self.harness.log.events

    def check_start(self, call):
        request = call.request
        others = [other for other in request.calls if other.open and other is not call]
        assert call.worker_id not in {other.worker_id for other in others}
        assert not request.answered or not call.open
        self.started_call_counts[request.id] = self.started_call_counts.get(request.id, 0) + 1
        self.open_calls.append(call)

    def teardown(self):
        """Check that every request is answered by its deadline."""
        self.wait_past_every_deadline()
        self.agrees_with_the_model()
        assert not self.harness.dispatcher.requests
        assert self.harness.dispatcher.open_count == 0

    def wait_past_every_deadline(self):
        self.harness.run_until(self.harness.now_us + PAST_EVERY_DEADLINE_US)


def test_dispatcher_against_its_model(run_state_machine):
    run_state_machine(DispatcherMachine)
