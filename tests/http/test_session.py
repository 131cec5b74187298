"""Inbound sessions: random steps, compared with a model of their states."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stepstream.core.commands import Answer, Outcome
from stepstream.core.events import JobNotification
from stepstream.core.requests import Request
from stepstream.http.client_api import ClientApi
from stepstream.http.codec import write_request
from stepstream.http.server_state import ServerState
from stepstream.http.session import HttpSession, Reply, SessionPhase
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.http.messages import job_request

NOTIFICATION = write_request(
    "POST", "/_jobs/news", {}, b'{"id":"aa","from":"s-1","state":"done","result":"x"}'
)
MESSAGES = {
    "request": job_request(),
    "notification": NOTIFICATION,
    "readiness": b"GET /-/ready HTTP/1.1\r\n\r\n",
    "unknown path": b"GET /nowhere HTTP/1.1\r\n\r\n",
    "junk": b"junk\r\n\r\n",
}


MESSAGE_NAMES = st.sampled_from(list(MESSAGES))
FIRST_PART_BYTES = 5


class SessionMachine(RuleBasedStateMachine):
    """The model: complete messages that wait, and whether the session is idle, open or closed.

    Open means that a request awaits its answer.
    """

    def __init__(self):
        super().__init__()
        self.server_state = ServerState(ClientApi(POLICY_SETTINGS))
        self.session = HttpSession(LIMITS, self.server_state)
        self.rest_of_message = b""
        self.waiting_messages = []
        self.state = "idle"
        self.is_worker = False
        self.replies = []
        self.expected = []
        self.request = None

    @precondition(lambda self: not self.rest_of_message)
    @rule(name=MESSAGE_NAMES)
    def send(self, name):
        self.waiting_messages.append(name)
        self.receive(MESSAGES[name])

    @precondition(lambda self: not self.rest_of_message)
    @rule(name=MESSAGE_NAMES)
    def send_first_part(self, name):
        self.rest_of_message = MESSAGES[name][FIRST_PART_BYTES:]
        self.partly_sent = name
        self.receive(MESSAGES[name][:FIRST_PART_BYTES])

    @precondition(lambda self: self.rest_of_message)
    @rule()
    def send_rest(self):
        self.waiting_messages.append(self.partly_sent)
        data = self.rest_of_message
        self.rest_of_message = b""
        self.receive(data)

    def receive(self, data):
        self.record(self.session.receive(data, 0))
        self.advance_model()

    @rule()
    def answer(self):
        reply = self.session.answer(Answer(self.request, Outcome.SERVED, "ok"))
        assert (reply is not None) == (self.state == "open")
        if reply is not None:
            self.record([reply])
            self.expect_reply(200)
            self.record(self.session.next_events(0))
            self.advance_model()

    @rule()
    def disconnect(self):
        open_request = self.session.close()
        assert (open_request is not None) == (self.state == "open")
        self.state = "closed"

    @rule()
    def shut_down(self):
        self.server_state.shutting_down = True
        self.server_state.closing = True

    def record(self, events):
        for event in events:
            if isinstance(event, Request):
                self.request = event
            status = int(event.data[9:12]) if isinstance(event, Reply) else None
            self.replies.append((status, event.close) if status else type(event))

    def advance_model(self):
        while self.waiting_messages and self.state == "idle":
            name = self.waiting_messages.pop(0)
            if name == "request":
                self.expected.append(Request)
                self.state = "open"
            elif name in ("junk", "unknown path"):
                self.expected.append(({"junk": 400, "unknown path": 404}[name], True))
                self.state = "closed"
            else:
                self.is_worker = self.is_worker or name == "notification"
                readiness_status = 503 if self.server_state.shutting_down else 200
                self.expect_reply({"notification": 200, "readiness": readiness_status}[name])
                if name == "notification":
                    self.expected.append(JobNotification)

    def expect_reply(self, status):
        # If a complete message follows this one, it is answered before the connection closes.
        another_message_waits = bool(self.waiting_messages) and self.waiting_messages[0] != "junk"
        close = self.server_state.shutting_down and not self.is_worker and not another_message_waits
        self.expected.append((status, close))
        self.state = "closed" if close else "idle"

    @invariant()
    def agrees_with_the_model(self):
        assert self.replies == self.expected
        phases = {
            "idle": SessionPhase.READING,
            "open": SessionPhase.AWAITING_ANSWER,
            "closed": SessionPhase.CLOSED,
        }
        assert self.session.phase is phases[self.state]
        if self.state == "idle":
            assert self.session.is_idle == (not self.rest_of_message)


def test_a_session_behaves_as_its_model(run_state_machine):
    run_state_machine(SessionMachine)
