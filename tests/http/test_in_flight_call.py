"""An in-flight call that is stopped before or after the worker's answer."""

import socket

import pytest

from stepstream.http.codec import write_answer
from stepstream.http.connection_pool import PooledConnection
from stepstream.http.exchange import HttpExchange
from stepstream.http.in_flight_call import CallPhase, InFlightCall
from stepstream.model.events import AttemptResult
from tests.config.configurations import LIMITS

ANSWERS = {
    "accepted": write_answer(202),
    "full": write_answer(503, headers={"Not-Started": "1"}),
    "error": write_answer(500),
}


def sent_call():
    """Return a call whose request is written, and its exchange."""
    in_flight = InFlightCall()
    exchange = HttpExchange(LIMITS)
    in_flight.phase = CallPhase.SENT
    exchange.on_request_written()
    return in_flight, exchange


def test_a_202_accepts_the_job_and_frees_the_connection():
    in_flight, exchange = sent_call()
    exchange.receive(ANSWERS["accepted"])
    assert in_flight.finish_exchange(exchange)
    assert in_flight.phase is CallPhase.ACCEPTED


@pytest.mark.parametrize(
    ("answer", "may_run"), [("accepted", True), ("error", True), ("full", False)]
)
def test_after_a_stop_the_connection_is_not_reused_and_a_job_that_may_run_is_cancelled(
    answer, may_run
):
    """A job that the worker has not started needs no cancellation; any other job may be running."""
    in_flight, exchange = sent_call()
    in_flight.request_stop()
    exchange.receive(ANSWERS[answer])
    assert not in_flight.finish_exchange(exchange)
    assert in_flight.phase is CallPhase.SENT
    assert in_flight.may_run_after_stop(exchange.result) == may_run


@pytest.mark.parametrize("phase", [CallPhase.UNSENT, CallPhase.ACCEPTED])
def test_the_calling_thread_cancels_no_job_that_is_unsent_or_was_accepted_before_the_stop(phase):
    in_flight = InFlightCall()
    in_flight.phase = phase
    in_flight.request_stop()
    assert not in_flight.may_run_after_stop(AttemptResult.NOT_SENT)
    assert not in_flight.may_run_after_stop(None)


def test_a_stop_shuts_down_the_connection_of_an_unfinished_exchange():
    in_flight, exchange = sent_call()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        in_flight.connection = PooledConnection(ours, "w", ("127.0.0.1", 1))
        in_flight.request_stop()
        assert ours.recv(1) == b""
        assert not in_flight.finish_exchange(exchange)
    assert in_flight.connection is None
