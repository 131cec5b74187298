"""The carrier of calls to discovery's workers: a thread for each exchange, over pooled connections.

A call uses a thread only until the worker accepts the job by a 202. The outcome of the job arrives
later, as a notification on an inbound connection.

State: the connection pool, and the pool of calling threads, which also send cancellations and
health checks. The state of each call is in its `InFlightCall`. The decision thread starts and stops
calls. The main thread replaces the limits at a reload.
"""

import time
from collections.abc import Callable

from stepstream.config.limits import Limits, Timeouts
from stepstream.core.events import CallEnded, Event
from stepstream.core.requests import Call, Payload
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.http.connection_pool import ConnectionPool, PooledConnection, PoolExhaustedError
from stepstream.http.destination_set import DestinationSet, host_and_port
from stepstream.http.discovery_api import Address
from stepstream.http.exchange import HttpExchange
from stepstream.http.in_flight_call import CallPhase, InFlightCall, UnsentReason
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.receiving import receive_message
from stepstream.http.worker_api import (
    HEALTH_CHECK_PATH,
    LOAD_REPORT_PATH,
    call_bytes,
    cancel_bytes,
    health_check_bytes,
)
from stepstream.model.events import AttemptResult, ConnectionRefused, HealthChecked
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.sockets import receive_until
from stepstream.runtime.threads import ThreadPool

HEALTHY_STATUS = 200
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1000


class OutboundCarrier:
    """The platform's carrier: calls and health checks of the workers that discovery lists."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        destinations: DestinationSet,
        post: Callable[[Event], None],
        reports: LoadReportReader,
        unreadable_answers: RateLimitedLogger,
    ) -> None:
        """`post` hands an event to the core; `unreadable_answers` counts and logs bad answers."""
        self.limits = limits
        self.clock = clock
        self.destinations = destinations
        self.post = post
        self.reports = reports
        self.unreadable_answers = unreadable_answers
        self.pool = ConnectionPool(limits)
        # Owns the calling threads: it starts them as needed, and they end with the process.
        self.threads = ThreadPool("outbound", limits.connections.call_threads)

    def reconfigure(self, limits: Limits) -> None:
        """Adopt the limits of a reload; connections and threads beyond them stay until they end."""
        self.limits = limits
        self.pool.limits = limits
        self.threads.max_threads = limits.connections.call_threads

    # -- calls: the decision thread ----------------------------------------------------------------

    def start(self, call: Call) -> None:
        """Hand a call to a calling thread; never waits."""
        in_flight = InFlightCall()
        call.carrier_state = in_flight
        self.threads.submit(self.run_call, call, in_flight)

    def stop(self, call: Call) -> None:
        """Stop a call: close its connection before the 202, or cancel its job after it.

        Never waits.
        """
        in_flight = call.carrier_state
        if not isinstance(in_flight, InFlightCall):
            return
        in_flight.request_stop()
        if in_flight.phase is CallPhase.ACCEPTED:
            self.threads.submit(self.cancel_job, call)

    # -- calls: the calling thread -----------------------------------------------------------------

    def run_call(self, call: Call, in_flight: InFlightCall) -> None:
        """Make a call, and post its end if the worker has not accepted the job."""
        try:
            result = self.call_worker(call, in_flight)
        except Exception as error:  # noqa: BLE001  any fault must end the call
            log_events.internal_fault(where="a call", error=error)
            unsent = in_flight.phase is CallPhase.UNSENT
            result = AttemptResult.NOT_SENT if unsent else AttemptResult.RESET
        if result is not None:
            self.post(CallEnded(call, result, in_flight.load_report))
        if in_flight.may_run_after_stop(result):
            self.cancel_job(call)

    def call_worker(self, call: Call, in_flight: InFlightCall) -> AttemptResult | None:
        """Return how the call ended, or None once the worker has accepted the job."""
        # Read before the last check: an answer releases it, after which the call is not needed.
        payload = call.request.payload
        if payload is None or self.reason_not_to_send(call, in_flight) is not None:
            return AttemptResult.NOT_SENT
        address = self.destinations.usable_address(call.worker_id)
        if address is None:
            return AttemptResult.NOT_SENT
        try:
            connection = self.pool.acquire(
                call.worker_id, address, requires_new=call.request.requires_new_connection
            )
        except PoolExhaustedError:
            return AttemptResult.NOT_SENT
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.destinations.report_refused(call.worker_id)
                self.post(ConnectionRefused(call.worker_id))
            return AttemptResult.CONNECT_FAILED
        self.destinations.report_reachable(call.worker_id)
        if not self.claim_connection(call, in_flight, connection):
            self.pool.put_back(connection)
            return AttemptResult.NOT_SENT
        exchange = self.run_exchange(call, payload, in_flight, connection)
        if exchange.protocol_error is not None:
            self.unreadable_answers.add(f"{call.worker_id}: {exchange.protocol_error}")
        in_flight.load_report = self.reports.read_header(exchange.load_report_text)
        return exchange.result

    def claim_connection(
        self, call: Call, in_flight: InFlightCall, connection: PooledConnection
    ) -> bool:
        """Check for the last time before the first byte; later a stop closes the connection."""
        with in_flight.lock:
            if self.reason_not_to_send(call, in_flight, connection) is not None:
                return False
            in_flight.connection = connection
            return True

    def reason_not_to_send(
        self, call: Call, in_flight: InFlightCall, connection: PooledConnection | None = None
    ) -> UnsentReason | None:
        """Decide whether a call must not be written; return why, or None if it may.

        The check runs twice. The first one, without a `connection`, saves the cost of acquiring one
        for a call that is already useless. The second one, with the acquired connection and under
        the call's lock, is the last check before the first byte. While the call waited for a thread
        or a connection, the core may have stopped it, its client may have disconnected, its
        idempotency window may have ended, and its worker may have begun to drain.
        """
        if in_flight.stop_requested:
            return UnsentReason.STOPPED
        if not call.still_needed:
            return UnsentReason.NOT_NEEDED
        now_us = self.clock.now_us()
        max_wait_us = max_unsent_us(self.limits.timeouts, has_connected=connection is not None)
        if now_us - call.sent_us > max_wait_us:
            return UnsentReason.QUEUED_TOO_LONG
        if call.write_deadline_us is not None and now_us > call.write_deadline_us:
            return UnsentReason.IDEMPOTENCY_WINDOW_ENDED
        return None if connection is None else self._reason_at_last_check(call, connection)

    def _reason_at_last_check(
        self, call: Call, connection: PooledConnection
    ) -> UnsentReason | None:
        """Return what only the last check before the first byte finds out."""
        if self._is_outdated(connection):
            return UnsentReason.ADDRESS_CHANGED
        if call.client_has_left:
            return UnsentReason.CLIENT_LEFT
        return None

    def _is_outdated(self, connection: PooledConnection) -> bool:
        """Return whether the worker of a connection has moved or must not get new work."""
        return self.destinations.usable_address(connection.worker) != connection.address

    def run_exchange(
        self,
        call: Call,
        payload: Payload,
        in_flight: InFlightCall,
        connection: PooledConnection,
    ) -> HttpExchange:
        """Send the call and read its answer; the connection goes back to the pool or is closed."""
        exchange = HttpExchange(self.limits)
        try:
            self.send_and_receive(call, payload, in_flight, connection, exchange)
        finally:
            if in_flight.finish_exchange(exchange):
                self.pool.put_back(connection)
            else:
                self.pool.close(connection)
        return exchange

    def send_and_receive(
        self,
        call: Call,
        payload: Payload,
        in_flight: InFlightCall,
        connection: PooledConnection,
        exchange: HttpExchange,
    ) -> None:
        """Run the exchange on its connection until it is over."""
        remaining_ms = (call.deadline_us - self.clock.now_us()) // MICROSECONDS_PER_MILLISECOND
        host = host_and_port(connection.address)
        try:
            # No name for the bytes: they are freed before the thread waits for the answer.
            connection.sock.sendall(call_bytes(host, call.request.id, payload, remaining_ms))
            in_flight.phase = CallPhase.SENT
            exchange.on_request_written()
            read_deadline_seconds = time.monotonic() + self.limits.timeouts.call_answer_seconds
            while not exchange.is_over:
                exchange.receive(
                    receive_until(
                        connection.sock, read_deadline_seconds, self.limits.sizes.read_bytes
                    )
                )
                # Guards the thread against an answer that begins and never ends.
                body_deadline_seconds = time.monotonic() + self.limits.timeouts.answer_body_seconds
                read_deadline_seconds = min(read_deadline_seconds, body_deadline_seconds)
        except OSError:
            exchange.connection_lost()

    def cancel_job(self, call: Call) -> None:
        """Cancel a job at its worker; the answer is read and ignored."""
        address = self.destinations.listed_address(call.worker_id)
        if address is not None:
            data = cancel_bytes(host_and_port(address), call.request.id)
            timeout_seconds = self.limits.timeouts.cancel_answer_seconds
            self.send_request(call.worker_id, address, data, timeout_seconds)

    # -- other requests ----------------------------------------------------------------------------

    def send_request(
        self, worker: str, address: Address, data: bytes, timeout_seconds: float
    ) -> Message | None:
        """Send a request and return its answer; None if there is none within the timeout."""
        try:
            connection = self.pool.acquire(worker, address)
        except (PoolExhaustedError, OSError):
            return None
        parser = Parser(self.limits, answers=True)
        deadline_seconds = time.monotonic() + timeout_seconds
        try:
            connection.sock.sendall(data)
            message = receive_message(
                connection.sock, parser, deadline_seconds, self.limits.sizes.read_bytes
            )
        except (OSError, ProtocolError):
            message = None
        if message is not None and message.keep_alive and parser.idle:
            self.pool.put_back(connection)
        else:
            self.pool.close(connection)
        return message

    def check_health(
        self, worker: str, on_result: Callable[[HealthChecked], None] | None = None
    ) -> None:
        """Check a worker's health on a calling thread.

        `on_result` takes the result; without it, the result is posted to the core.
        """
        self.threads.submit(self.run_health_check, worker, on_result or self.post)

    def run_health_check(self, worker: str, on_result: Callable[[HealthChecked], None]) -> None:
        """Check a worker's health; a worker without a usable address is unhealthy."""
        begun_us = self.clock.now_us()
        address = self.destinations.usable_address(worker)
        message = None
        report = None
        if address is not None:
            in_body = self.reports.in_health_checks
            path = LOAD_REPORT_PATH if in_body else HEALTH_CHECK_PATH
            data = health_check_bytes(host_and_port(address), path)
            timeout_seconds = self.limits.timeouts.health_check_seconds
            message = self.send_request(worker, address, data, timeout_seconds)
        if message is not None:
            report = self.reports.read_health_check(message.body)
        healthy = message is not None and message.status == HEALTHY_STATUS
        on_result(HealthChecked(worker, healthy, self.clock.now_us() - begun_us, report))


def max_unsent_us(timeouts: Timeouts, *, has_connected: bool) -> float:
    """Decide how long after its start, in microseconds, a call may still be written.

    It may wait `call_queue_seconds` for a thread and, once it has a connection, `connect_seconds`
    more. A call that has waited longer is more useful as a retry at another worker.
    """
    max_unsent_seconds = timeouts.call_queue_seconds
    if has_connected:
        max_unsent_seconds += timeouts.connect_seconds
    return max_unsent_seconds * MICROSECONDS_PER_SECOND
