"""The protocol session of an inbound connection, as a state machine without I/O."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from stepstream.config.limits import Limits
from stepstream.core.commands import Answer
from stepstream.core.events import (
    JobNotification,
)
from stepstream.core.requests import Request
from stepstream.http import client_api, worker_api
from stepstream.http.codec import Message, Parser, ProtocolError, write_answer
from stepstream.http.json_body import read_json_object
from stepstream.ports.access_control import AccessControl, Authorization, Credential, Rejection
from stepstream.runtime.transport import Transport


class ServerState:
    """What all inbound connections go by: the platform's words, and whether new work is taken."""

    def __init__(self, side: client_api.ClientApi) -> None:
        self.side = side  # replaced by a reload, between two messages
        self.starting = False  # no list to serve from yet: the front is told to send nobody
        self.shutting_down = False  # after SIGTERM: the front is told to send nobody new
        self.closing = False  # some time later: connections close after their next answer
        self.draining = False  # the operators' drain: the front is told to send nobody new
        self.shutdown_started_at: float | None = None  # monotonic seconds of SIGTERM
        self.drain_closing = False  # some time later: as `closing`, until the drain ends
        self.access_control: AccessControl | None = (
            None  # who is calling, where an installation wants to know
        )
        # Whether one more request would leave no connection for the news that ends it.
        self.is_overloaded: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that are due at once, with no word from the core."""

    data: bytes
    close: bool


Step = Reply | Request | JobNotification


class SessionPhase(Enum):
    READING = 1  # a message, or nothing yet
    WAITING = 2  # a request is open; what comes behind it stays unread
    CLOSED = 3


class HttpSession:
    """An inbound connection as a state machine: bytes and answers in, steps and bytes out."""

    def __init__(self, limits: Limits, door: ServerState, link: Transport | None = None) -> None:
        """`link`: what the gate may ask who is there; nothing is read or written here."""
        self.limits, self.door, self.link = limits, door, link
        self.visa: Authorization | None = None  # of the open request
        self.parser = Parser(limits)
        self.phase = SessionPhase.READING
        self.request: Request | None = None
        self.keep_alive = True
        self.of_worker = False  # it has brought news
        self.proven = False  # it has brought a job or news: it is no stranger
        self.answered = False  # it has had an answer: its next message has a time of its own

    @property
    def between(self) -> bool:
        """Nothing is owed and nothing half read: it may be closed."""
        return self.phase is SessionPhase.READING and self.parser.idle

    def feed(self, data: bytes, now_us: int) -> list[Step]:
        if self.phase is SessionPhase.CLOSED:
            return []
        self.parser.feed(data)
        if self.phase is SessionPhase.WAITING:
            # Guards against a peer that sends on and on behind an open request.
            if (
                len(self.parser.buffer)
                > self.limits.sizes.head_bytes + self.limits.sizes.body_bytes
            ):
                return [self.refuse(ProtocolError(413, "too much behind an open request"))]
            return []
        return self.steps(now_us)

    def steps(self, now_us: int) -> list[Step]:
        found: list[Step] = []
        while self.phase is SessionPhase.READING:
            try:
                message = self.parser.next()
                if message is None:
                    break
                self.keep_alive = message.keep_alive
                found += self.read(message, now_us)
            except ProtocolError as error:
                found.append(self.refuse(error))
        return found

    def read(self, message: Message, now_us: int) -> list[Step]:
        path = client_api.path_of(message)
        if path == worker_api.NOTIFICATION_PATH:
            told = worker_api.read_notification(message, self.door.side.load_reports)
            if self.door.access_control is not None:
                name = read_json_object(message.body)["from"]
                turned = self.door.access_control.authorize_worker(
                    "http", self.credential(message), name
                )
                if turned is not None:
                    return [self.turn_away(turned)]
            self.of_worker = self.proven = True
            return [self.reply(200), *([told] if told else [])]
        if path == client_api.READINESS_PATH:
            if message.method != "GET":
                raise ProtocolError(405, "only GET")
            away = self.door.starting or self.door.shutting_down or self.door.draining
            return [self.reply(503 if away else 200)]
        visa = self.visa_for(message)
        if isinstance(visa, Rejection):
            return [self.turn_away(visa)]
        try:
            request = self.door.side.read_request(message, now_us, visa.tenant if visa else None)
        except ProtocolError:
            self.end_visa(visa)
            raise
        if self.door.is_overloaded():
            self.end_visa(visa)
            # Guards the news: with every connection held by a waiting request none of them would ever end.
            self.phase = SessionPhase.CLOSED
            return [
                Reply(
                    client_api.overload_answer(
                        self.door.side.settings.max_retry_after_us, close=True
                    ),
                    True,
                )
            ]
        self.request, self.phase, self.proven, self.visa = request, SessionPhase.WAITING, True, visa
        return [self.request]

    def visa_for(self, message: Message) -> "Authorization | Rejection | None":
        if self.door.access_control is None:
            return None
        side = self.door.side
        kind = side.settings.classes[side.job_class_of(message)].name
        tenant = message.headers.get("tenant")
        return self.door.access_control.authorize_request(
            "http", self.credential(message), kind, tenant
        )

    def credential(self, message: Message) -> Credential:
        return Credential(
            client_api.bearer_token(message), self.link.certificate if self.link else None
        )

    @staticmethod
    def end_visa(visa: Authorization | None) -> None:
        if visa is not None:
            visa.release()

    def turn_away(self, turned: Rejection) -> Reply:
        """The framing is whole: another request may follow, by somebody who may."""
        close = self.closing()
        self.phase, self.answered = SessionPhase.CLOSED if close else SessionPhase.READING, True
        return Reply(client_api.rejection_answer(turned, close=close), close)

    def closing(self) -> bool:
        # Open requests still wait for workers' news: those connections stay until the end. A request that has
        # been read behind this one is answered before its connection closes.
        closing = self.door.closing or self.door.drain_closing
        return not self.keep_alive or (closing and not self.of_worker and not self.parser.has_complete_message())

    def reply(self, status: int) -> Reply:
        close = self.closing()
        self.phase, self.answered = SessionPhase.CLOSED if close else SessionPhase.READING, True
        return Reply(write_answer(status, close=close), close)

    def refuse(self, error: ProtocolError) -> Reply:
        """Ends the connection: behind a message in doubt nothing is read, and strangers hold no place."""
        self.phase = SessionPhase.CLOSED
        return Reply(write_answer(error.status, close=True), True)

    def answer(self, answer: Answer) -> Reply | None:
        """The final answer's bytes; None if the request is no longer this connection's."""
        if self.phase is not SessionPhase.WAITING or answer.request is not self.request:
            return None
        close = self.closing()
        data = client_api.final_answer(
            answer.outcome, answer.result, answer.retry_after_us, close=close
        )
        self.request, self.phase, self.answered = (
            None,
            SessionPhase.CLOSED if close else SessionPhase.READING,
            True,
        )
        self.end_visa(self.visa)
        return Reply(data, close)

    def patience(self, limits: Limits) -> float:
        """For how long its peer may go on as it is; a stranger's silence is not that of an old client."""
        if self.phase is SessionPhase.WAITING:
            return math.inf
        if self.phase is SessionPhase.CLOSED:
            return limits.timeouts.linger_seconds
        if self.between:
            return (
                limits.timeouts.inbound_idle_seconds
                if self.proven
                else limits.timeouts.first_message_seconds
            )
        return (
            limits.timeouts.message_seconds
            if self.answered
            else limits.timeouts.first_message_seconds
        )

    @property
    def owes(self) -> bool:
        """A message is half read or a request open."""
        return self.phase is SessionPhase.WAITING or (
            self.phase is SessionPhase.READING and not self.parser.idle
        )

    def closed(self) -> Request | None:
        """The peer has gone; the request that it leaves behind, if any."""
        left, self.request, self.phase = self.request, None, SessionPhase.CLOSED
        self.end_visa(self.visa)
        return left
