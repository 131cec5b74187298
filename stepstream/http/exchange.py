"""One HTTP exchange with a worker, as a state machine without I/O.

The thread that makes the call owns the exchange and feeds it what happens on the connection; the
exchange decides what that proves about the job: that it was accepted, that it cannot have run, or
neither.
"""

from enum import Enum

from stepstream.config.limits import Limits
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.http.load_reports import HEADER
from stepstream.http.worker_api import read_call_answer
from stepstream.model.events import AttemptResult

# RFC 9110, 15.2: answers with these statuses are interim, and the final one follows.
FIRST_INTERIM_STATUS = 100
FIRST_FINAL_STATUS = 200


class ExchangePhase(Enum):
    """How far an exchange has come.

    - WRITING, request written: AWAITING_ANSWER
    - WRITING, connection lost: ENDED (CONNECT_FAILED: an incomplete request never runs)
    - AWAITING_ANSWER, 202: JOB_ACCEPTED
    - AWAITING_ANSWER, any other answer: ENDED (with what the answer says)
    - AWAITING_ANSWER, connection lost: ENDED (RESET: the job may have run)
    - AWAITING_ANSWER, unreadable bytes: ENDED (RESET)

    JOB_ACCEPTED and ENDED are final.
    """

    WRITING = 1
    AWAITING_ANSWER = 2
    JOB_ACCEPTED = 3
    ENDED = 4


class HttpExchange:
    """One request to a worker and the answer to it.

    Once it is over, `result` is how the attempt ended, or None if the worker has accepted the job;
    `connection_reusable` says whether the connection stands between two messages.
    """

    def __init__(self, limits: Limits) -> None:
        self.parser = Parser(limits, answers=True)
        self.phase = ExchangePhase.WRITING
        self.result: AttemptResult | None = None
        # the load report, not yet read, of an answer that ended the exchange
        self.load_report_text: str | None = None
        self.protocol_error: ProtocolError | None = None
        self.connection_reusable = False

    @property
    def is_over(self) -> bool:
        """Whether the exchange has come to a final phase."""
        return self.phase in (ExchangePhase.JOB_ACCEPTED, ExchangePhase.ENDED)

    def mark_request_written(self) -> None:
        """Note that the request's last byte is out: from now on the job may run."""
        self.phase = ExchangePhase.AWAITING_ANSWER

    def receive(self, data: bytes) -> None:
        """Take bytes of the answer; none means that the worker closed its side."""
        try:
            self.parser.feed(data)
            message = self.parser.next() if data else self.parser.end()
            while (
                message is not None and FIRST_INTERIM_STATUS <= message.status < FIRST_FINAL_STATUS
            ):
                message = self.parser.next()
        except ProtocolError as error:
            self.protocol_error = error
            self.end(AttemptResult.RESET)  # an unreadable answer proves nothing
            return
        if message is not None:
            self.handle_answer(message)
        elif not data:
            self.connection_lost()

    def handle_answer(self, message: Message) -> None:
        """Decide by the final answer."""
        # An answer that comes before the request is written leaves the connection inside a message.
        self.connection_reusable = (
            message.keep_alive and self.parser.idle and self.phase is ExchangePhase.AWAITING_ANSWER
        )
        result = read_call_answer(message)
        if result is None:
            self.phase = ExchangePhase.JOB_ACCEPTED
        else:
            self.load_report_text = message.headers.get(HEADER)
            self.end(result)

    def connection_lost(self) -> None:
        """End an exchange whose connection broke or timed out.

        The job cannot have run only if the request's last byte was not written.
        """
        if self.phase is ExchangePhase.WRITING:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self.end(AttemptResult.RESET)

    def end(self, result: AttemptResult) -> None:
        """End the exchange unless it is over."""
        if not self.is_over:
            self.phase = ExchangePhase.ENDED
            self.result = result
