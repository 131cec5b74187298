"""Inbound sessions as state machines, by random steps against a model of their states."""

from hypothesis import strategies as st
from net_helpers import LIMITS, SETTINGS, job_bytes
from walk import walks

from stepstream.core.commands import Answer, Outcome
from stepstream.core.events import JobNotification
from stepstream.core.requests import Request
from stepstream.http.client_api import ClientApi
from stepstream.http.codec import write_request
from stepstream.http.server_state import ServerState
from stepstream.http.session import HttpSession, Reply, SessionPhase

NEWS = write_request(
    "POST", "/_jobs/news", {}, b'{"id":"aa","from":"s-1","state":"done","result":"x"}'
)
KINDS = {
    "job": job_bytes(),
    "news": NEWS,
    "ready": b"GET /-/ready HTTP/1.1\r\n\r\n",
    "lost": b"GET /nowhere HTTP/1.1\r\n\r\n",
    "junk": b"junk\r\n\r\n",
}


class InboundRig:
    """The model: messages that have wholly arrived, and one of idle, open and closed."""

    def __init__(self):
        self.server_state = ServerState(ClientApi(SETTINGS))
        self.session = HttpSession(LIMITS, self.server_state)
        self.rest, self.queue, self.state, self.worker = b"", [], "idle", False
        self.seen, self.expected, self.request = [], [], None

    def send(self, kind):
        if not self.rest:
            self.queue.append(kind)
            self.feed(KINDS[kind])

    def send_half(self, kind):
        if not self.rest:
            self.rest, self.half = KINDS[kind][5:], kind
            self.feed(KINDS[kind][:5])

    def send_rest(self, _):
        if self.rest:
            self.queue.append(self.half)
            data, self.rest = self.rest, b""
            self.feed(data)

    def feed(self, data):
        self.note(self.session.receive(data, 0))
        self.advance()

    def answer(self, _):
        reply = self.session.answer(Answer(self.request, Outcome.SERVED, "ok"))
        assert (reply is not None) == (self.state == "open")
        if reply is not None:
            self.note([reply])
            self.reply(200)
            self.note(self.session.next_events(0))
            self.advance()

    def leave(self, _):
        left = self.session.close()
        assert (left is not None) == (self.state == "open")
        self.state = "closed"

    def stop(self, _):
        self.server_state.shutting_down = self.server_state.closing = True

    def note(self, steps):
        for step in steps:
            if isinstance(step, Request):
                self.request = step
            status = int(step.data[9:12]) if isinstance(step, Reply) else None
            self.seen.append((status, step.close) if status else type(step))

    def advance(self):
        while self.queue and self.state == "idle":
            kind = self.queue.pop(0)
            if kind == "job":
                self.expected.append(Request)
                self.state = "open"
            elif kind in ("junk", "lost"):
                self.expected.append(({"junk": 400, "lost": 404}[kind], True))
                self.state = "closed"
            else:
                self.worker = self.worker or kind == "news"
                leaving = 503 if self.server_state.shutting_down else 200
                self.reply({"news": 200, "ready": leaving}[kind])
                self.expected += [JobNotification] if kind == "news" else []

    def reply(self, status):
        # What has been read whole behind this one is answered first.
        behind = bool(self.queue) and self.queue[0] != "junk"
        close = self.server_state.shutting_down and not self.worker and not behind
        self.expected.append((status, close))
        self.state = "closed" if close else "idle"

    def check(self):
        assert self.seen == self.expected
        phases = {
            "idle": SessionPhase.READING,
            "open": SessionPhase.AWAITING_ANSWER,
            "closed": SessionPhase.CLOSED,
        }
        assert self.session.phase is phases[self.state]
        if self.state == "idle":
            assert self.session.is_idle == (not self.rest)


test_inbound_against_its_model = walks(
    InboundRig,
    send=st.sampled_from(list(KINDS)),
    send_half=st.sampled_from(list(KINDS)),
    send_rest=st.none(),
    answer=st.none(),
    leave=st.none(),
    stop=st.none(),
)
