"""The I/O of the admin listener: one thread, non-blocking sockets and poll(2).

A caller that holds a connection without a complete request delays no other caller. The number of
connections and the age of each connection are bounded. The listener owns its sockets and
connections, and only its thread uses them. `AdminSubsystem.start` starts that thread.
"""

import contextlib
import errno
import select
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import replace

from stepstream.admin import decisions
from stepstream.admin.connection import AdminConnection
from stepstream.admin.routing import (
    HTTP_SERVER_ERROR,
    MAX_ECHOED_CHARACTERS,
    AdminRequestError,
    OperatorRequest,
    SubsystemRequest,
    route,
)
from stepstream.config.limits import Limits
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.ports.admin import AdminResponse, AdminRoute
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.threads import run_until_closed

READABLE = select.POLLIN
WRITABLE = select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
MILLISECONDS_PER_SECOND = 1000
# An accept that fails for one of these reasons fails again until a descriptor or memory is freed.
EXHAUSTED_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
ACCEPT_PAUSE_SECONDS = 0.1  # after such a failure
FAULT_PAUSE_SECONDS = 1.0  # after a fault in the periodic tasks or in a turn


class AdminListener:
    """Accepts operators' connections and has complete requests answered.

    `answer` answers the requests to the listener's own routes; each of `subsystem_routes` answers
    the requests to its path. `run_periodic_tasks` is called with the monotonic time in seconds at
    every turn, at least once in `admin_poll_seconds`. All these functions run in the listener's
    thread. The constructor raises OSError if the address cannot be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        answer: Callable[[OperatorRequest], AdminResponse],
        run_periodic_tasks: Callable[[float], None],
        subsystem_routes: Sequence[AdminRoute] = (),
    ) -> None:
        self.limits = limits
        self.answer = answer
        self.run_periodic_tasks = run_periodic_tasks
        self.subsystem_routes = subsystem_routes
        self.listening_socket = self._listen(address)
        self.poll = select.poll()
        self.poll.register(self.listening_socket, READABLE)
        self.connections: dict[int, AdminConnection] = {}  # by file descriptor
        self.rejected_request_logger = RateLimitedLogger(log_events.admin_request_rejected, limits)
        self.failed_accept_logger = RateLimitedLogger(log_events.accept_failed, limits, max_lines=1)
        self.accept_again_at: float | None = None  # monotonic seconds; None: not paused
        self.tasks_again_at = 0.0  # monotonic seconds

    def _listen(self, address: tuple[str, int]) -> socket.socket:
        listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening_socket.bind(address)
            listening_socket.listen(self.limits.connections.admin)
            listening_socket.setblocking(False)  # noqa: FBT003  the socket's own signature
        except OSError:
            listening_socket.close()
            raise
        return listening_socket

    def run(self) -> None:
        """Serve until the listening socket is closed; the body of the listener's thread."""
        run_until_closed(
            "admin",
            self.poll_once,
            lambda: self.listening_socket.fileno() < 0,
            FAULT_PAUSE_SECONDS,
        )

    def poll_once(self) -> None:
        """Wait for events and handle them; then do what is due by time."""
        poll_milliseconds = self.limits.timeouts.admin_poll_seconds * MILLISECONDS_PER_SECOND
        # The connection is remembered with its event: once its descriptor is closed in this turn, a
        # new connection may get the same descriptor.
        ready = [
            (descriptor, self.connections.get(descriptor), events)
            for descriptor, events in self.poll.poll(poll_milliseconds)
        ]
        for descriptor, connection, events in ready:
            if connection is not None:
                if self.connections.get(descriptor) is connection:
                    self._serve(connection, events)
            elif events & select.POLLNVAL:
                return  # the listening socket is closed
            elif descriptor == self.listening_socket.fileno():
                self._accept()
        now = time.monotonic()
        self._resume_accepting(now)
        self._close_expired(now)
        self._run_tasks(now)

    def _run_tasks(self, now: float) -> None:
        """Run the periodic tasks; after a fault in them, pause before the next run."""
        if now < self.tasks_again_at:
            return
        try:
            self.run_periodic_tasks(now)
        except Exception as error:  # noqa: BLE001  a fault must not end the listener
            log_events.internal_fault(where="admin tasks", error=error)
            self.tasks_again_at = now + FAULT_PAUSE_SECONDS

    def _accept(self) -> None:
        """Accept the waiting connections; each one beyond the bound evicts the oldest."""
        max_connections = self.limits.connections.admin
        for _ in range(max_connections):
            try:
                sock, _ = self.listening_socket.accept()
            except OSError as error:
                if error.errno in EXHAUSTED_RESOURCES:
                    self._pause_accepting(error)
                return  # no connection waits, or the caller has closed it before the accept
            evicted = decisions.connection_to_evict(self.connections.values(), max_connections)
            if evicted is not None:
                self._close(evicted)
            sock.setblocking(False)  # noqa: FBT003  the socket's own signature
            parser = Parser(self.limits, max_body_bytes=self.limits.sizes.admin_body_bytes)
            self.connections[sock.fileno()] = AdminConnection(sock, parser, time.monotonic())
            self.poll.register(sock, READABLE)

    def _pause_accepting(self, error: OSError) -> None:
        """Stop accepting for a while.

        A caller that cannot be accepted ends every wait for events at once, so that the thread
        would run without rest.
        """
        self.failed_accept_logger.add(str(error))
        self.poll.unregister(self.listening_socket)
        self.accept_again_at = time.monotonic() + ACCEPT_PAUSE_SECONDS

    def _resume_accepting(self, now: float) -> None:
        if self.accept_again_at is not None and now >= self.accept_again_at:
            self.accept_again_at = None
            self.poll.register(self.listening_socket, READABLE)

    def _close_expired(self, now: float) -> None:
        """Close the connections whose age is over the bound."""
        max_age_seconds = self.limits.timeouts.admin_request_seconds
        for connection in list(self.connections.values()):
            if decisions.has_expired(connection, now, max_age_seconds):
                self._close(connection)

    def _serve(self, connection: AdminConnection, events: int) -> None:
        try:
            if events & WRITABLE:
                self._flush(connection)
            elif events & (READABLE | BROKEN):
                self._read(connection)
        except BlockingIOError:
            return  # the event was spurious: no bytes have arrived
        except OSError:
            self._close(connection)

    def _read(self, connection: AdminConnection) -> None:
        """Read, and respond once the request is complete or found malformed."""
        received = connection.receive(self.limits.sizes.read_bytes)
        if not received or connection.responded:
            # The caller has closed the connection, or sends more than its one request.
            self._close(connection)
            return
        try:
            message = connection.parse(received)
        except ProtocolError as error:
            self.rejected_request_logger.add(f"unreadable: {error}")
            connection.respond(AdminResponse(error.status, str(error)))
        else:
            if message is None:
                return
            self._respond(connection, message)
        self._flush(connection)

    def _respond(self, connection: AdminConnection, message: Message) -> None:
        """Route the request and queue its response; an error has a body even for HEAD."""
        try:
            request = route(message.method, message.target, self.subsystem_routes)
        except AdminRequestError as error:
            target = message.target[:MAX_ECHOED_CHARACTERS]
            self.rejected_request_logger.add(f"{message.method} {target}: {error}")
            connection.respond(AdminResponse(error.status, str(error)))
            return
        response = self._answer_guarded(request, message.body)
        connection.respond(response, head_only=message.method == "HEAD")

    def _answer_guarded(
        self, request: OperatorRequest | SubsystemRequest, body: bytes
    ) -> AdminResponse:
        try:
            if isinstance(request, SubsystemRequest):
                return request.route.handler(replace(request.request, body=body))
            return self.answer(replace(request, body=body))
        except Exception as error:  # noqa: BLE001  a fault must not end the listener
            # The caller gets a response instead of waiting for its timeout.
            log_events.internal_fault(where="an admin call", error=error)
            return AdminResponse(HTTP_SERVER_ERROR, "fault")

    def _flush(self, connection: AdminConnection) -> None:
        """Send unsent bytes; close after the last one, or wait until the socket takes more."""
        if connection.flush():
            self._close(connection)
        else:
            self.poll.modify(connection.sock, WRITABLE)

    def _close(self, connection: AdminConnection) -> None:
        self.connections.pop(connection.sock.fileno(), None)
        with contextlib.suppress(KeyError, ValueError):  # not registered, or closed already
            self.poll.unregister(connection.sock)
        connection.sock.close()
