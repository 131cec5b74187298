"""An exchange with a worker: random steps, compared with a model of its states."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stepstream.http.codec import write_answer
from stepstream.http.exchange import ExchangePhase, HttpExchange
from stepstream.model.events import AttemptResult
from tests.config.configurations import LIMITS

NOT_STARTED = {"Not-Started": "1"}
# These stand in place of a result for answers that do not end the exchange.
INTERIM = "interim"
INCOMPLETE = "incomplete"
# Each answer by name: the worker's bytes and the attempt's result (None: the job is accepted).
ANSWERS = {
    "accepted": (write_answer(202), None),
    "full": (write_answer(503, headers=NOT_STARTED), AttemptResult.FULL),
    "too late": (write_answer(504, headers=NOT_STARTED), AttemptResult.FULL),
    "busy": (write_answer(503), AttemptResult.ERROR),
    "error": (write_answer(500), AttemptResult.ERROR),
    "continue": (b"HTTP/1.1 100 Continue\r\n\r\n", INTERIM),
    "junk": (b"junk\r\n\r\n", AttemptResult.RESET),
    "part": (b"HTTP/1.1 20", INCOMPLETE),
}
NOT_OVER = "not over"  # the result in the model until the exchange ends


class ExchangeMachine(RuleBasedStateMachine):
    """The model: whether the request is written completely, and the result that came first."""

    def __init__(self):
        super().__init__()
        self.exchange = HttpExchange(LIMITS)
        self.written = False
        self.result = NOT_OVER
        self.inside_answer = False

    @precondition(lambda self: self.result == NOT_OVER and not self.written)
    @rule()
    def write_request(self):
        self.exchange.on_request_written()
        self.written = True

    @precondition(lambda self: self.result == NOT_OVER and self.written and not self.inside_answer)
    @rule(name=st.sampled_from(list(ANSWERS)))
    def answer(self, name):
        data, result = ANSWERS[name]
        self.exchange.receive(data)
        self.inside_answer = result == INCOMPLETE
        if result not in (INCOMPLETE, INTERIM):
            self.result = result

    @rule(worker_closes=st.booleans())
    def lose_connection(self, worker_closes):
        if worker_closes and self.written:
            self.exchange.receive(b"")
        else:
            self.exchange.connection_lost()
        if self.result == NOT_OVER:
            lost = AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED
            self.result = lost

    @invariant()
    def agrees_with_the_model(self):
        assert self.exchange.is_over == (self.result != NOT_OVER)
        assert self.exchange.result == (None if self.result == NOT_OVER else self.result)
        accepted = self.exchange.phase is ExchangePhase.JOB_ACCEPTED
        assert accepted == (self.result is None)


def test_an_exchange_behaves_as_its_model(run_state_machine):
    run_state_machine(ExchangeMachine)


KEEP_ALIVE_ANSWER = write_answer(202)


@pytest.mark.parametrize(
    ("is_written", "answer", "reusable"),
    [
        (True, KEEP_ALIVE_ANSWER, True),
        (True, write_answer(202, close=True), False),
        (True, KEEP_ALIVE_ANSWER + b"H", False),  # a part of a second answer
        (False, KEEP_ALIVE_ANSWER, False),
    ],
)
def test_a_connection_is_reusable_only_between_two_messages(is_written, answer, reusable):
    exchange = HttpExchange(LIMITS)
    if is_written:
        exchange.on_request_written()
    exchange.receive(answer)
    assert exchange.connection_reusable == reusable
