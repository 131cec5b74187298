"""The HTTP session of an inbound connection, as a state machine without I/O.

Bytes and final answers go in; events and bytes that are due come out. The transitions:

- READING, on a notification, a readiness check or an unauthorized request: answers it and goes on
  READING, or is CLOSED if the connection closes with this answer.
- READING, on a request: AWAITING_ANSWER; while the server is overloaded, CLOSED.
- AWAITING_ANSWER, on more bytes: stays so and buffers them.
- AWAITING_ANSWER, on the final answer: READING, or CLOSED if the connection closes with it.
- READING or AWAITING_ANSWER, on a protocol error: CLOSED.
- Any, on `close`, when the connection has ended on either side: CLOSED, and it stays so.

A session belongs to one connection and has no lock of its own: every call is made with the
connection's lock held, by its reader thread, the decision thread (final answers) or the main thread
(timeouts and closes).
"""

import math
from dataclasses import dataclass
from enum import Enum

from stepstream.config.limits import Limits
from stepstream.core.commands import Answer
from stepstream.core.events import JobNotification
from stepstream.core.requests import Request
from stepstream.http.client_api import (
    READINESS_PATH,
    bearer_token,
    final_answer,
    overload_answer,
    path_of,
    rejection_answer,
)
from stepstream.http.codec import Message, Parser, ProtocolError, write_answer
from stepstream.http.json_body import read_json_object
from stepstream.http.server_state import ServerState
from stepstream.http.worker_api import NOTIFICATION_PATH, read_notification
from stepstream.ports.access_control import Authorization, Credential, Rejection
from stepstream.runtime.transport import Transport


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that are due to the peer; `close`: nothing is sent behind them."""

    data: bytes
    close: bool


SessionEvent = Reply | Request | JobNotification


class SessionPhase(Enum):
    """What a session is doing."""

    READING = 1  # a message, of which nothing may be here yet
    AWAITING_ANSWER = 2  # a request is open; bytes behind it are buffered, not parsed
    CLOSED = 3  # nothing is read any more


class HttpSession:
    """One inbound connection's protocol state."""

    def __init__(
        self, limits: Limits, server_state: ServerState, transport: Transport | None = None
    ) -> None:
        """`transport` only tells the peer's certificate; nothing is read or written here."""
        self.limits = limits
        self.server_state = server_state
        self.transport = transport
        self.parser = Parser(limits)
        self.phase = SessionPhase.READING
        self.request: Request | None = None  # the open one
        self.authorization: Authorization | None = None  # of the open request
        self.keep_alive = True  # whether the peer lets the connection persist
        self.is_worker = False  # it has sent a notification
        self.has_sent_work = False  # it has sent a request or a notification
        self.has_answered = False  # the first message has had its answer

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed and no part of a message is here, so that it may be closed."""
        return self.phase is SessionPhase.READING and self.parser.idle

    @property
    def is_reading_message(self) -> bool:
        """Whether a part of a message is here and its rest is awaited."""
        return self.phase is SessionPhase.READING and not self.parser.idle

    @property
    def has_open_request(self) -> bool:
        """Whether a request awaits its final answer."""
        return self.phase is SessionPhase.AWAITING_ANSWER

    @property
    def is_unfinished(self) -> bool:
        """Whether a message is partly read or a request open."""
        return self.has_open_request or self.is_reading_message

    # -- input ------------------------------------------------------------------------------------

    def receive(self, data: bytes, now_us: int) -> list[SessionEvent]:
        """Take bytes that arrived at `now_us`; return what follows from them, in order."""
        if self.phase is SessionPhase.CLOSED:
            return []
        self.parser.feed(data)
        if self.has_open_request:
            # Guards memory against a peer that sends on and on behind an open request.
            max_bytes = self.limits.sizes.head_bytes + self.limits.sizes.body_bytes
            if len(self.parser.buffer) > max_bytes:
                return [self.fail(ProtocolError(413, "too much behind an open request"))]
            return []
        return self.next_events(now_us)

    def next_events(self, now_us: int) -> list[SessionEvent]:
        """Parse what is buffered, up to a request: more is parsed after its answer only."""
        events: list[SessionEvent] = []
        while self.phase is SessionPhase.READING:
            try:
                message = self.parser.next()
                if message is None:
                    break
                self.keep_alive = message.keep_alive
                events += self._handle_message(message, now_us)
            except ProtocolError as error:
                events.append(self.fail(error))
        return events

    def _handle_message(self, message: Message, now_us: int) -> list[SessionEvent]:
        path = path_of(message)
        if path == NOTIFICATION_PATH:
            return self._handle_notification(message)
        if path == READINESS_PATH:
            return [self._handle_readiness_check(message)]
        return [self._handle_request(message, now_us)]

    def _handle_notification(self, message: Message) -> list[SessionEvent]:
        load_reports = self.server_state.client_api.load_reports
        notification = read_notification(message, load_reports)
        access_control = self.server_state.access_control
        if access_control is not None:
            worker_id = read_json_object(message.body)["from"]
            rejection = access_control.authorize_worker(
                "http", self._credential(message), worker_id
            )
            if rejection is not None:
                return [self._reject(rejection)]
        self.is_worker = True
        self.has_sent_work = True
        acknowledgement = self._reply(200)
        return [acknowledgement] if notification is None else [acknowledgement, notification]

    def _handle_readiness_check(self, message: Message) -> Reply:
        if message.method != "GET":
            raise ProtocolError(405, "only GET")
        return self._reply(200 if self.server_state.is_ready else 503)

    def _handle_request(self, message: Message, now_us: int) -> SessionEvent:
        client_api = self.server_state.client_api
        authorization = self._authorize(message)
        if isinstance(authorization, Rejection):
            return self._reject(authorization)
        try:
            tenant = authorization.tenant if authorization else None
            request = client_api.read_request(message, now_us, tenant)
        except ProtocolError:
            release(authorization)
            raise
        if self.server_state.is_overloaded():
            release(authorization)
            # Guards notifications: with a waiting request on every connection none of them could
            # come in, and no request would ever end.
            self.phase = SessionPhase.CLOSED
            retry_after_us = client_api.settings.max_retry_after_us
            return Reply(overload_answer(retry_after_us, close=True), close=True)
        self.request = request
        self.authorization = authorization
        self.has_sent_work = True
        self.phase = SessionPhase.AWAITING_ANSWER
        return request

    def _authorize(self, message: Message) -> Authorization | Rejection | None:
        """Return who may send this request, why nobody may, or None where nobody is asked."""
        access_control = self.server_state.access_control
        if access_control is None:
            return None
        client_api = self.server_state.client_api
        class_name = client_api.settings.classes[client_api.job_class_of(message)].name
        tenant = message.headers.get("tenant")
        return access_control.authorize_request(
            "http", self._credential(message), class_name, tenant
        )

    def _credential(self, message: Message) -> Credential:
        certificate = self.transport.certificate if self.transport else None
        return Credential(bearer_token(message), certificate)

    # -- output -----------------------------------------------------------------------------------

    def answer(self, answer: Answer) -> Reply | None:
        """Return the final answer's bytes; None if the request is not the one that is open."""
        if not self.has_open_request or answer.request is not self.request:
            return None
        close = self._closes_with_answer()
        data = final_answer(answer.outcome, answer.result, answer.retry_after_us, close=close)
        self.request = None
        self._finish_exchange(close=close)
        release(self.authorization)
        return Reply(data, close)

    def fail(self, error: ProtocolError) -> Reply:
        """End the session by an error.

        Behind a message in doubt nothing can be read, and a peer that nobody knows must not keep a
        place by its errors.
        """
        self.phase = SessionPhase.CLOSED
        return Reply(write_answer(error.status, close=True), close=True)

    def close(self) -> Request | None:
        """End the session without an answer; return the request that stays open, if any."""
        open_request = self.request
        self.request = None
        self.phase = SessionPhase.CLOSED
        release(self.authorization)
        return open_request

    def state_timeout_seconds(self, limits: Limits) -> float:
        """Return for how many seconds the session may stay in its present state.

        Counted from the last activity if the session is idle, else from the state's start.
        Silence is tolerated for longer in a peer that has sent work before than in a new one.
        """
        timeouts = limits.timeouts
        if self.has_open_request:
            return math.inf
        if self.phase is SessionPhase.CLOSED:
            return timeouts.linger_seconds
        if self.is_idle:
            return (
                timeouts.inbound_idle_seconds
                if self.has_sent_work
                else timeouts.first_message_seconds
            )
        return timeouts.message_seconds if self.has_answered else timeouts.first_message_seconds

    def _reject(self, rejection: Rejection) -> Reply:
        """Answer an unauthorized message; as its framing is sound, another one may follow."""
        close = self._closes_with_answer()
        self._finish_exchange(close=close)
        return Reply(rejection_answer(rejection, close=close), close)

    def _reply(self, status: int) -> Reply:
        close = self._closes_with_answer()
        self._finish_exchange(close=close)
        return Reply(write_answer(status, close=close), close)

    def _closes_with_answer(self) -> bool:
        """Whether the connection closes with the answer that is due now.

        While connections are being closed, those of workers stay, for open requests await their
        notifications, and a message that is complete already is answered before its connection
        closes.
        """
        if not self.keep_alive:
            return True
        if not self.server_state.closes_connections or self.is_worker:
            return False
        return not self.parser.has_complete_message()

    def _finish_exchange(self, *, close: bool) -> None:
        self.phase = SessionPhase.CLOSED if close else SessionPhase.READING
        self.has_answered = True


def release(authorization: Authorization | None) -> None:
    """Give an authorization back; any number of times."""
    if authorization is not None:
        authorization.release()
