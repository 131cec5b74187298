"""One HTTP exchange with a worker, as a state machine without I/O."""

from enum import Enum

from stepstream.config.limits import Limits
from stepstream.http import platform_api as platform
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.http.load_reports import HEADER
from stepstream.model.events import AttemptResult


class ExchangePhase(Enum):
    WRITING = 1  # the request's last byte is not out: it never ran
    WAITING = 2
    TAKEN = 3
    ENDED = 4


class HttpExchange:
    """One request to a worker as it looks from its connection; decides what the outcome proves."""

    def __init__(self, limits: Limits) -> None:
        self.parser = Parser(limits, answers=True)
        self.phase = ExchangePhase.WRITING
        self.result: AttemptResult | None = None
        self.load: str | None = None  # the load report of an answer that ended it, unread
        self.unreadable: ProtocolError | None = None
        self.reusable = False

    def written(self) -> None:
        self.phase = ExchangePhase.WAITING

    def feed(self, data: bytes) -> None:
        """Bytes of the answer; none means that the worker closed."""
        try:
            self.parser.feed(data)
            message = self.parser.next() if data else self.parser.end()
            while message is not None and 100 <= message.status < 200:
                message = self.parser.next()
        except ProtocolError as error:
            self.unreadable = error
            self.end(AttemptResult.RESET)  # an unreadable answer proves nothing
            return
        if message is not None:
            self.answered(message)
        elif not data:
            self.broke()

    def answered(self, message: Message) -> None:
        self.reusable = (
            message.keep_alive and self.parser.idle and self.phase is ExchangePhase.WAITING
        )
        result = platform.read_call_answer(message)
        if result is None:
            self.phase = ExchangePhase.TAKEN
        else:
            self.load = message.headers.get(HEADER)
            self.end(result)

    def broke(self) -> None:
        """Never ran only if the last byte was not written; else it may have."""
        self.end(
            AttemptResult.CONNECT_FAILED
            if self.phase is ExchangePhase.WRITING
            else AttemptResult.RESET
        )

    def end(self, result: AttemptResult) -> None:
        if self.phase not in (ExchangePhase.TAKEN, ExchangePhase.ENDED):
            self.phase, self.result = ExchangePhase.ENDED, result

    @property
    def over(self) -> bool:
        return self.phase in (ExchangePhase.TAKEN, ExchangePhase.ENDED)
