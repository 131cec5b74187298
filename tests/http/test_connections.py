"""Outbound exchanges as state machines, by random steps against a model of their states."""

from hypothesis import strategies as st
from net_helpers import LIMITS
from walk import walks

from stepstream.http.codec import write_answer
from stepstream.http.exchange import ExchangePhase as Stage
from stepstream.http.exchange import HttpExchange
from stepstream.model.events import AttemptResult

ANSWERS = {
    "taken": (write_answer(202), None),
    "full": (write_answer(503, headers={"Not-Started": "1"}), AttemptResult.FULL),
    "late": (write_answer(504, headers={"Not-Started": "1"}), AttemptResult.FULL),
    "busy": (write_answer(503), AttemptResult.ERROR),
    "error": (write_answer(500), AttemptResult.ERROR),
    "hint": (b"HTTP/1.1 100 Continue\r\n\r\n", "nothing"),
    "junk": (b"junk\r\n\r\n", AttemptResult.RESET),
    "part": (b"HTTP/1.1 20", "cut"),
}


class OutboundRig:
    """The model: whether the last byte is out, and the first thing that ended the exchange."""

    def __init__(self):
        self.exchange, self.out, self.end, self.cut = HttpExchange(LIMITS), False, "open", False

    def written(self, _):
        if self.end == "open" and not self.out:
            self.exchange.written()
            self.out = True

    def answer(self, kind):
        if self.end != "open" or self.cut or not self.out:
            return
        data, result = ANSWERS[kind]
        self.exchange.feed(data)
        self.cut = result == "cut"
        if result not in ("cut", "nothing"):
            self.end = result

    def broke(self, by_end):
        if by_end and self.out:
            self.exchange.feed(b"")
        else:
            self.exchange.broke()
        if self.end == "open":
            self.end = AttemptResult.RESET if self.out else AttemptResult.CONNECT_FAILED

    def check(self):
        assert self.exchange.over == (self.end != "open")
        assert self.exchange.result == (None if self.end == "open" else self.end)
        assert (self.exchange.phase is Stage.TAKEN) == (self.end is None)


test_outbound_against_its_model = walks(
    OutboundRig, written=st.none(), answer=st.sampled_from(list(ANSWERS)), broke=st.booleans()
)
