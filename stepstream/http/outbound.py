"""Outbound calls: one exchange with a worker each, over pooled connections.

A call holds a thread only until its 202; the job's outcome arrives as a notification on the inbound side.
"""

import threading
import time
from collections.abc import Callable

from stepstream.config.limits import Limits
from stepstream.core.events import CallEnded, Event
from stepstream.core.requests import Call
from stepstream.http import platform_api as platform
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.http.connection_pool import ConnectionPool, PooledConnection, PoolExhaustedError
from stepstream.http.destination_set import Address, DestinationSet
from stepstream.http.exchange import ExchangePhase, HttpExchange
from stepstream.http.load_reports import LoadReportReader, Report
from stepstream.model.events import AttemptResult, HealthChecked
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger, log
from stepstream.runtime.sockets import receive_until, shut_down
from stepstream.runtime.threads import ThreadPool


class InFlightCall:
    """What the driver keeps of a call; its lock orders the calling thread against a stop."""

    __slots__ = ("lock", "line", "stopped", "taken", "written", "report")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.line: PooledConnection | None = None
        self.stopped = self.taken = self.written = False
        self.report: Report | None = None


class OutboundCarrier:
    """The platform's carrier: calls to the workers that discovery names."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        destinations: DestinationSet,
        post: Callable[[Event], None],
        reports: LoadReportReader,
        complaints: RateLimitedLogger,
    ) -> None:
        self.reports, self.complaints = reports, complaints
        self.limits, self.clock, self.destinations, self.post = limits, clock, destinations, post
        self.pool = ConnectionPool(limits)
        self.crew = ThreadPool("outbound", limits.connections.call_threads)

    def reconfigure(self, limits: Limits) -> None:
        """After a reload; what is open beyond a smaller budget stays until it ends."""
        self.limits = self.pool.limits = limits
        self.crew.max_threads = limits.connections.call_threads

    def start(self, call: Call) -> None:
        call.carrier_state = InFlightCall()
        self.crew.submit(self.run, call, call.carrier_state)

    def stop(self, call: Call) -> None:
        """Never waits: before the 202 the connection is closed, after it a DELETE goes out."""
        flight = call.carrier_state
        if not isinstance(flight, InFlightCall):
            return
        with flight.lock:
            flight.stopped = True
            if flight.line is not None:
                shut_down(flight.line.sock)
        if flight.taken:
            self.crew.submit(self.give_up, call)

    def run(self, call: Call, flight: InFlightCall) -> None:
        try:
            result = self.exchange(call, flight)
        except Exception as error:
            # Guards the request: a fault here must still end its call, as what it then is known to be.
            log(f"fault in a call: {type(error).__name__}: {error}")
            result = AttemptResult.RESET if flight.written else AttemptResult.NOT_SENT
        if result is not None:
            self.post(CallEnded(call, result, flight.report))
        if (
            flight.stopped
            and flight.written
            and not flight.taken
            and result is not AttemptResult.FULL
        ):
            self.give_up(call)  # its 202 may have crossed our closing

    def exchange(self, call: Call, flight: InFlightCall) -> AttemptResult | None:
        """How the call ended, or None once the worker has taken the job."""
        if flight.stopped or not call.still_needed or self.late(call):
            return AttemptResult.NOT_SENT
        address = self.destinations.address(call.worker_id)
        if address is None:
            return AttemptResult.NOT_SENT
        try:
            line = self.pool.take(call.worker_id, address, call.request.requires_new_connection)
        except PoolExhaustedError:
            return AttemptResult.NOT_SENT
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.destinations.report_refused(call.worker_id)
            return AttemptResult.CONNECT_FAILED
        self.destinations.report_reachable(call.worker_id)
        with flight.lock:
            # The last look before the first byte. Guards against sending to a worker that began to drain, for
            # a client that left, or past a window, while this call waited for its turn or its connection.
            unwanted = (
                flight.stopped
                or not call.still_needed
                or self.late(call, connecting=self.limits.timeouts.connect_seconds)
            )
            unwanted = unwanted or self.destinations.address(call.worker_id) != line.address
            flight.line = None if unwanted else line
        if unwanted:
            self.pool.give(line)
            return AttemptResult.NOT_SENT
        exchange = HttpExchange(self.limits)
        try:
            self.converse(call, flight, line, exchange)
        finally:
            with flight.lock:
                flight.line = None
                flight.taken = exchange.phase is ExchangePhase.TAKEN and not flight.stopped
                reusable = exchange.reusable and not flight.stopped
            if reusable:
                self.pool.give(line)
            else:
                self.pool.close(line)
        if exchange.unreadable is not None:
            self.complaints.add(f"of {call.worker_id} unreadable: {exchange.unreadable}")
        flight.report = self.reports.header(exchange.load)
        return exchange.result

    def late(self, call: Call, connecting: float = 0.0) -> bool:
        """Whether it has waited for too long, or its window is over; `connecting`: seconds that it may have
        taken to connect.
        """
        now_us = self.clock.now_us()
        waited = (
            now_us - call.sent_us > (self.limits.timeouts.call_queue_seconds + connecting) * 1e6
        )
        return waited or (call.write_deadline_us is not None and now_us > call.write_deadline_us)

    def converse(
        self, call: Call, flight: InFlightCall, line: PooledConnection, exchange: HttpExchange
    ) -> None:
        left_ms = (call.deadline_us - self.clock.now_us()) // 1000
        data = platform.call_bytes(
            host_of(line.address), call.request.id, call.request.payload, left_ms
        )
        try:
            line.sock.sendall(data)
            flight.written = True
            exchange.written()
            until = time.monotonic() + self.limits.timeouts.call_answer_seconds
            while not exchange.over:
                exchange.feed(receive_until(line.sock, until, self.limits.sizes.read_bytes))
                until = min(until, time.monotonic() + self.limits.timeouts.answer_body_seconds)
        except OSError:
            exchange.broke()

    def give_up(self, call: Call) -> None:
        address = self.destinations.last_address(call.worker_id)
        if address is not None:
            data = platform.cancel_bytes(host_of(address), call.request.id)
            self.ask(call.worker_id, address, data, self.limits.timeouts.cancel_answer_seconds)

    def ask(self, worker: str, address: Address, data: bytes, seconds: float) -> Message | None:
        """A small request besides the calls; None if no answer came."""
        try:
            line = self.pool.take(worker, address)
        except (PoolExhaustedError, OSError):
            return None
        parser, message = Parser(self.limits, answers=True), None
        until = time.monotonic() + seconds
        try:
            line.sock.sendall(data)
            while message is None:
                if not (piece := receive_until(line.sock, until, self.limits.sizes.read_bytes)):
                    break
                parser.feed(piece)
                message = parser.next()
        except (OSError, ProtocolError):
            message = None
        if message is not None and message.keep_alive and parser.idle:
            self.pool.give(line)
        else:
            self.pool.close(line)
        return message

    def check_health(
        self, worker: str, on_result: Callable[[HealthChecked], None] | None = None
    ) -> None:
        self.crew.submit(self.run_probe, worker, on_result or self.post)

    def run_probe(self, worker: str, told: Callable[[HealthChecked], None]) -> None:
        begun_us, address = self.clock.now_us(), self.destinations.address(worker)
        message = report = None
        if address is not None:
            path = platform.LOAD if self.reports.in_probes else platform.HEALTHY
            data = platform.health_check_bytes(host_of(address), path)
            message = self.ask(worker, address, data, self.limits.timeouts.health_check_seconds)
        if message is not None:
            report = self.reports.probe(message.body)
        ok = message is not None and message.status == 200
        told(HealthChecked(worker, ok, self.clock.now_us() - begun_us, report))


def host_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
