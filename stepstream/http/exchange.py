"""One HTTP exchange with a worker, as a state machine without I/O.

The thread that makes the call owns the exchange and reports each event of the connection to it. The
exchange decides what the events prove: the job was accepted, it cannot have run, or neither.
"""

from enum import Enum

from stepstream.config.limits import Limits
from stepstream.http.codec import Message, Parser, ProtocolError, is_interim
from stepstream.http.load_reports import LOAD_REPORT_HEADER
from stepstream.http.worker_api import read_call_answer
from stepstream.model.events import AttemptResult


class ExchangePhase(Enum):
    """The progress of an exchange.

    The transitions, by phase and event:

    - WRITING, request written: AWAITING_ANSWER
    - WRITING, connection lost: ENDED (CONNECT_FAILED: an incomplete request never runs)
    - AWAITING_ANSWER, 202: JOB_ACCEPTED
    - AWAITING_ANSWER, any other answer: ENDED (with the result that the answer states)
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

    At its end, `result` is the result of the attempt, or None if the worker has accepted the job.
    `connection_reusable` says whether the connection is between two messages.
    """

    def __init__(self, limits: Limits) -> None:
        self.parser = Parser(limits, answers=True)
        self.phase = ExchangePhase.WRITING
        self.result: AttemptResult | None = None
        # The unparsed load report in the answer that ended the exchange.
        self.load_report_text: str | None = None
        self.protocol_error: ProtocolError | None = None
        self.connection_reusable = False

    @property
    def is_over(self) -> bool:
        """Whether the exchange is in a final phase."""
        return self.phase in (ExchangePhase.JOB_ACCEPTED, ExchangePhase.ENDED)

    def on_request_written(self) -> None:
        """Record that the request's last byte is written, so that the job may run from now on."""
        self.phase = ExchangePhase.AWAITING_ANSWER

    def receive(self, data: bytes) -> None:
        """Process bytes of the answer; empty `data` means that the worker closed its side."""
        try:
            self.parser.feed(data)
            message = self.parser.next() if data else self.parser.end()
            while message is not None and is_interim(message.status):
                message = self.parser.next()
        except ProtocolError as error:
            self.protocol_error = error
            # An unreadable answer does not prove that the job has not run.
            self.end(AttemptResult.RESET)
            return
        if message is not None:
            self.handle_answer(message)
        elif not data:
            self.connection_lost()

    def handle_answer(self, message: Message) -> None:
        """Decide by the final answer how the exchange ends."""
        self.connection_reusable = self._is_between_messages(message)
        result = read_call_answer(message)
        if result is None:
            self.phase = ExchangePhase.JOB_ACCEPTED
        else:
            self.load_report_text = message.headers.get(LOAD_REPORT_HEADER)
            self.end(result)

    def _is_between_messages(self, message: Message) -> bool:
        """Decide whether the connection may carry another exchange after this final answer.

        It may not if the worker closes it (RFC 9112, 9.3), if more bytes have come, or if a part of
        the request is not written yet.
        """
        is_request_written = self.phase is ExchangePhase.AWAITING_ANSWER
        return message.keep_alive and self.parser.idle and is_request_written

    def connection_lost(self) -> None:
        """Decide how the exchange ends after its connection broke or timed out.

        A worker does not run a job whose request is incomplete. After the request's last byte, the
        job may have run.
        """
        if self.phase is ExchangePhase.WRITING:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self.end(AttemptResult.RESET)

    def end(self, result: AttemptResult) -> None:
        """End the exchange with a result, unless it is over."""
        if not self.is_over:
            self.phase = ExchangePhase.ENDED
            self.result = result
