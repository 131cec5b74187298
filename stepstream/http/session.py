"""The HTTP session of an inbound connection, as a state machine without I/O.

It takes bytes and final answers, and returns events and replies. The transitions:

- READING, on a notification, a readiness check or an unauthorized request: answers it and stays
  READING, or becomes CLOSED if the connection closes with this answer.
- READING, on a request: AWAITING_ANSWER, or CLOSED while the server is overloaded.
- AWAITING_ANSWER, on more bytes: buffers them and stays AWAITING_ANSWER.
- READING, if its message finds no memory: CLOSED, with the overload answer.
- AWAITING_ANSWER, on the final answer: READING, or CLOSED if the connection closes with it.
- READING or AWAITING_ANSWER, on a protocol error: CLOSED.
- Any, on `close`, when the connection has ended on either side: CLOSED. CLOSED is final.

A session belongs to one connection and has no lock of its own. All its callers hold the
connection's lock: the reader thread, the decision thread (final answers) and the main thread
(timeouts and closes).
"""

import math
from enum import Enum

from stepstream.config.limits import Limits
from stepstream.core.commands import Answer
from stepstream.core.events import JobNotification
from stepstream.core.requests import Payload, Request
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
from stepstream.model.records import record
from stepstream.ports.access_control import Authorization, Credential, Rejection
from stepstream.runtime.transport import Transport

# Of tiny chunks, the bytes of one read could occupy a thread for many milliseconds.
MAX_PARSER_STEPS_AT_ONCE = 500


@record
class Reply:
    """Bytes to send to the peer."""

    data: bytes
    close: bool  # the connection closes after them


SessionEvent = Reply | Request | JobNotification


class SessionPhase(Enum):
    """The phase of a session."""

    READING = 1  # a message, of which possibly no byte has arrived yet
    AWAITING_ANSWER = 2  # a request is open; later bytes are buffered, not parsed
    CLOSED = 3  # later bytes are dropped


class HttpSession:
    """One inbound connection's protocol state."""

    def __init__(
        self, limits: Limits, server_state: ServerState, transport: Transport | None = None
    ) -> None:
        """`transport` only provides the peer's certificate; the session does no I/O."""
        self.limits = limits
        self.server_state = server_state
        self.transport = transport
        self.parser = Parser(limits, max_steps_at_once=MAX_PARSER_STEPS_AT_ONCE)
        self.phase = SessionPhase.READING
        self.request: Request | None = None  # the open request
        self.authorization: Authorization | None = None  # of the open request
        self.keep_alive = True  # the latest message allows the connection to persist
        self.is_worker = False  # the peer has sent a notification
        self.has_sent_work = False  # the peer has sent a request or a notification
        self.has_answered = False  # the first message has its answer

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and no part of a message has arrived."""
        return self.phase is SessionPhase.READING and self.parser.idle

    @property
    def is_reading_message(self) -> bool:
        """Whether a part of a message has arrived, and its rest has not."""
        return self.phase is SessionPhase.READING and not self.parser.idle

    @property
    def has_buffered_input(self) -> bool:
        """Whether received bytes may hold a message that has not been handled yet."""
        return self.phase is SessionPhase.READING and bool(self.parser.buffer)

    @property
    def held_bytes(self) -> int:
        """The bytes of messages that the session holds, without the open request's payload."""
        return self.parser.held_bytes

    @property
    def has_open_request(self) -> bool:
        """Whether a request awaits its final answer."""
        return self.phase is SessionPhase.AWAITING_ANSWER

    @property
    def is_client(self) -> bool:
        """Whether the peer has sent a request, and no notification."""
        return self.has_sent_work and not self.is_worker

    # -- input ------------------------------------------------------------------------------------

    def receive(self, data: bytes, now_us: int) -> list[SessionEvent]:
        """Process bytes that arrived at `now_us`; return the events that follow, in order."""
        events = self.feed(data)
        while more_events := self.next_events(now_us):
            events += more_events
        return events

    def feed(self, data: bytes) -> list[SessionEvent]:
        """Buffer received bytes; return an event only if they are too many."""
        if self.phase is SessionPhase.CLOSED:
            return []
        self.parser.feed(data)
        # Guards memory against a peer that keeps sending while its request is open.
        max_bytes = self.limits.sizes.head_bytes + self.limits.sizes.body_bytes
        if self.has_open_request and len(self.parser.buffer) > max_bytes:
            return [self.fail(ProtocolError(413, "too many bytes after an open request"))]
        return []

    def next_events(self, now_us: int) -> list[SessionEvent]:
        """Handle the next buffered message; return its events, none if no message is complete.

        While a request is open, the bytes after it stay buffered.
        """
        if self.phase is not SessionPhase.READING:
            return []
        try:
            message = self.parser.next()
            if message is None:
                return self._reject_unless_room_for_body()
            self.keep_alive = message.keep_alive
            return self._handle_message(message, now_us)
        except ProtocolError as error:
            return [self.fail(error)]

    def _reject_unless_room_for_body(self) -> list[SessionEvent]:
        """Reject a request whose body is being received, if its payload would find no memory."""
        size_bytes = self.parser.announced_body_bytes
        if not size_bytes or path_of(self.parser.message) == NOTIFICATION_PATH:
            return []  # a notification ends a request, which frees memory
        if self.server_state.has_room_for_payload(size_bytes):
            return []
        self.server_state.report_memory_rejection("open requests hold all of their memory")
        return [self.reject_overload()]

    def reject_overload(self) -> Reply:
        """End the session: its message was not handled and may be sent again."""
        self._end()
        retry_after_us = self.server_state.client_api.settings.max_retry_after_us
        return Reply(overload_answer(retry_after_us, close=True), close=True)

    def _handle_message(self, message: Message, now_us: int) -> list[SessionEvent]:
        path = path_of(message)
        if path == NOTIFICATION_PATH:
            return self._handle_notification(message)
        if path == READINESS_PATH:
            return [self._handle_readiness_check(message)]
        return [self._handle_request(message, now_us)]

    def _handle_notification(self, message: Message) -> list[SessionEvent]:
        load_reports = self.server_state.client_api.load_reports
        try:
            notification = read_notification(message, load_reports)
        except ProtocolError as error:
            self.server_state.report_rejected_notification(str(error))
            raise
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
            raise ProtocolError(405, "the readiness check must use GET")
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
            release_authorization(authorization)
            raise
        if self._has_no_room(message):
            release_authorization(authorization)
            return self.reject_overload()
        self.request = request
        self.authorization = authorization
        self.has_sent_work = True
        self.phase = SessionPhase.AWAITING_ANSWER
        return request

    def _has_no_room(self, message: Message) -> bool:
        """Decide whether a request is rejected because too much is open.

        If every connection had an open request, no notification could arrive to end one.
        """
        if self.server_state.is_overloaded():
            return True
        if self.server_state.has_room_for_payload(len(message.target) + len(message.body)):
            return False
        self.server_state.report_memory_rejection("open requests hold all of their memory")
        return True

    def _authorize(self, message: Message) -> Authorization | Rejection | None:
        """Return the authorization of a request, its rejection, or None without access control."""
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

    def answer(self, answer: Answer, *, gives_up_place: bool = False) -> Reply | None:
        """Return the reply with the final answer; None if its request is not the open one.

        With `gives_up_place`, the connection closes with it if no further message has arrived.
        """
        if not self.has_open_request or answer.request is not self.request:
            return None
        close = self._closes_with_answer(gives_up_place=gives_up_place)
        data = final_answer(answer.outcome, answer.result, answer.retry_after_us, close=close)
        self.request = None
        self._finish_exchange(close=close)
        release_authorization(self.authorization)
        return Reply(data, close)

    def fail(self, error: ProtocolError) -> Reply:
        """End the session with an error.

        The connection closes because the start of the next message is unknown, and because an
        unknown peer must not keep its connection by sending malformed messages.
        """
        self._end()
        return Reply(write_answer(error.status, error.answer_body, close=True), close=True)

    def close(self) -> Request | None:
        """End the session without an answer; return the request that was open, if any."""
        open_request = self.request
        self.request = None
        self._end()
        release_authorization(self.authorization)
        return open_request

    def _end(self) -> None:
        """Enter the final phase, in which nothing is buffered."""
        self.phase = SessionPhase.CLOSED
        self.parser.discard()

    def state_timeout_seconds(self, limits: Limits) -> float:
        """Decide for how many seconds the session may stay in its present state.

        For an idle session they count from its last activity, for any other from the start of its
        state. A peer that has sent work before may be silent for longer than a new one. An open
        request has no limit here, because the core answers it by its deadline.
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
        """Answer an unauthorized message; its framing is intact, so another one may follow."""
        close = self._closes_with_answer()
        self._finish_exchange(close=close)
        return Reply(rejection_answer(rejection, close=close), close)

    def _reply(self, status: int) -> Reply:
        close = self._closes_with_answer()
        self._finish_exchange(close=close)
        return Reply(write_answer(status, close=close), close)

    def _closes_with_answer(self, *, gives_up_place: bool = False) -> bool:
        """Decide whether the connection closes with the answer that is sent now.

        It closes if the peer wants it (RFC 9112, 9.6). While the server closes connections, those
        of workers stay open, because open requests await their notifications. A client's connection
        stays open if another complete message has arrived, which is answered first.
        """
        if not self.keep_alive:
            return True
        if self.is_worker or not (self.server_state.closes_connections or gives_up_place):
            return False
        return not self.parser.has_complete_message()

    def _finish_exchange(self, *, close: bool) -> None:
        self.has_answered = True
        if close:
            self._end()
        else:
            self.phase = SessionPhase.READING


def payload_size_bytes(payload: Payload | None) -> int:
    """Return how much memory the payload of a request takes until the request is answered."""
    return len(payload.path) + len(payload.body) if payload is not None else 0


def result_size_bytes(result: object) -> int:
    """Return how much memory the result of a notification takes, at least."""
    return len(result) if isinstance(result, str) else 0


def release_authorization(authorization: Authorization | None) -> None:
    """Release an authorization, if there is one; repeated calls have no effect."""
    if authorization is not None:
        authorization.release()
