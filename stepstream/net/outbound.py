"""Outbound calls: one exchange with a worker each, over pooled connections.

A call holds a thread only until its 202; what becomes of the job comes as news on the inbound side.
"""

import socket
import threading
import time
from collections.abc import Callable
from enum import Enum

from stepstream import interface as i
from stepstream.dispatch import Call, CallEnded, Event
from stepstream.net import platform
from stepstream.net.discovery import Address, DestinationSet
from stepstream.net.http1 import Message, Parser, ProtocolError
from stepstream.net.limits import Limits
from stepstream.net.reports import HEADER, Report, Reports
from stepstream.net.sockets import dial, hang_up, read_by, stale
from stepstream.net.threads import Clock, Complaints, Crew, log


class Phase(Enum):
    WRITING = 1  # the request's last byte is not out: it never ran
    WAITING = 2
    TAKEN = 3
    ENDED = 4


class Exchange:
    """One request to a worker as it looks from its connection; decides what the outcome proves."""

    def __init__(self, limits: Limits) -> None:
        self.parser = Parser(limits, answers=True)
        self.phase = Phase.WRITING
        self.result: i.Result | None = None
        self.load: str | None = None  # the load report of an answer that ended it, unread
        self.unreadable: ProtocolError | None = None
        self.reusable = False

    def written(self) -> None:
        self.phase = Phase.WAITING

    def feed(self, data: bytes) -> None:
        """Bytes of the answer; none means that the worker closed."""
        try:
            self.parser.feed(data)
            message = self.parser.next() if data else self.parser.end()
            while message is not None and 100 <= message.status < 200:
                message = self.parser.next()
        except ProtocolError as error:
            self.unreadable = error
            self.end(i.Result.RESET)  # an unreadable answer proves nothing
            return
        if message is not None:
            self.answered(message)
        elif not data:
            self.broke()

    def answered(self, message: Message) -> None:
        self.reusable = message.keep_alive and self.parser.idle and self.phase is Phase.WAITING
        result = platform.read_call_answer(message)
        if result is None:
            self.phase = Phase.TAKEN
        else:
            self.load = message.headers.get(HEADER)
            self.end(result)

    def broke(self) -> None:
        """Never ran only if the last byte was not written; else it may have."""
        self.end(i.Result.CONNECT_FAILED if self.phase is Phase.WRITING else i.Result.RESET)

    def end(self, result: i.Result) -> None:
        if self.phase not in (Phase.TAKEN, Phase.ENDED):
            self.phase, self.result = Phase.ENDED, result

    @property
    def over(self) -> bool:
        return self.phase in (Phase.TAKEN, Phase.ENDED)


class Line:
    """A connection to a worker."""

    __slots__ = ("sock", "worker", "address", "idle_since")

    def __init__(self, sock: socket.socket, worker: str, address: Address) -> None:
        self.sock, self.worker, self.address = sock, worker, address
        self.idle_since = 0.0


class NoRoomError(Exception):
    """The budget of connections is spent."""


class Pool:
    """Connections to workers, idle ones kept for the next call, all within one budget."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.lock = threading.Lock()
        self.idle: dict[str, list[Line]] = {}
        self.count = 0  # idle ones and those in use

    def take(self, worker: str, address: Address, new: bool = False) -> Line:
        """An idle connection that still stands, or a new one; OSError or NoRoomError.

        `new`: not an idle one, which may have died unheard; the new one takes its place.
        """
        if new and (line := self.pop(worker, oldest=True)) is not None:
            self.close(line)
        while not new and (line := self.pop(worker)) is not None:
            # Guards against a stale connection: a request written to one after its closing is reset.
            fresh = time.monotonic() - line.idle_since < self.limits.outbound_idle
            if fresh and line.address == address and not stale(line.sock):
                return line
            self.close(line)
        self.reserve()
        try:
            sock = dial(address, self.limits.dial, self.limits.write)
        except BaseException:
            self.release()
            raise
        return Line(sock, worker, address)

    def pop(self, worker: str, oldest: bool = False) -> Line | None:
        """An idle one, of those that have rested the one used last.

        Guards the next call against a second answer, or half a line, that comes a moment behind the last one:
        it would pass for its own.
        """
        rested = time.monotonic() - self.limits.outbound_rest
        with self.lock:
            lines = self.idle.get(worker, ())
            order = range(len(lines)) if oldest else reversed(range(len(lines)))
            place = next((k for k in order if oldest or lines[k].idle_since <= rested), None)
            return None if place is None else lines.pop(place)

    def reserve(self) -> None:
        with self.lock:
            if self.count < self.limits.outbound:
                self.count += 1
                return
            idle = [lines for lines in self.idle.values() if lines]
            if not idle:
                raise NoRoomError
            oldest = min(idle, key=lambda lines: lines[0].idle_since).pop(0)
        oldest.sock.close()  # its place is ours: the count stays

    def release(self) -> None:
        with self.lock:
            self.count -= 1

    def give(self, line: Line) -> None:
        line.idle_since = time.monotonic()
        with self.lock:
            self.idle.setdefault(line.worker, []).append(line)

    def close(self, line: Line) -> None:
        line.sock.close()
        self.release()

    def sweep(self) -> None:
        """Retires connections idle for long, the oldest of which stand first."""
        oldest = time.monotonic() - self.limits.outbound_idle
        with self.lock:
            retired = [
                line for lines in self.idle.values() for line in lines if line.idle_since < oldest
            ]
            for worker, lines in list(self.idle.items()):
                self.idle[worker] = [line for line in lines if line.idle_since >= oldest]
                if not self.idle[worker]:
                    del self.idle[worker]
        for line in retired:
            self.close(line)


class Flight:
    """What the driver keeps of a call; its lock orders the calling thread against a stop."""

    __slots__ = ("lock", "line", "stopped", "taken", "written", "report")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.line: Line | None = None
        self.stopped = self.taken = self.written = False
        self.report: Report | None = None


class Outbound:
    """The platform's carrier: calls to the workers that discovery names."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        destinations: DestinationSet,
        post: Callable[[Event], None],
        reports: Reports,
        complaints: Complaints,
    ) -> None:
        self.reports, self.complaints = reports, complaints
        self.limits, self.clock, self.destinations, self.post = limits, clock, destinations, post
        self.pool = Pool(limits)
        self.crew = Crew("outbound", limits.call_threads)

    def reconfigure(self, limits: Limits) -> None:
        """After a reload; what is open beyond a smaller budget stays until it ends."""
        self.limits = self.pool.limits = limits
        self.crew.most = limits.call_threads

    def start(self, call: Call) -> None:
        call.handle = Flight()
        self.crew.submit(self.run, call, call.handle)

    def stop(self, call: Call) -> None:
        """Never waits: before the 202 the connection is closed, after it a DELETE goes out."""
        flight = call.handle
        if not isinstance(flight, Flight):
            return
        with flight.lock:
            flight.stopped = True
            if flight.line is not None:
                hang_up(flight.line.sock)
        if flight.taken:
            self.crew.submit(self.give_up, call)

    def run(self, call: Call, flight: Flight) -> None:
        try:
            result = self.exchange(call, flight)
        except Exception as error:
            # Guards the request: a fault here must still end its call, as what it then is known to be.
            log(f"fault in a call: {type(error).__name__}: {error}")
            result = i.Result.RESET if flight.written else i.Result.NOT_SENT
        if result is not None:
            self.post(CallEnded(call, result, flight.report))
        if flight.stopped and flight.written and not flight.taken and result is not i.Result.FULL:
            self.give_up(call)  # its 202 may have crossed our closing

    def exchange(self, call: Call, flight: Flight) -> i.Result | None:
        """How the call ended, or None once the worker has taken the job."""
        if flight.stopped or not call.wanted or self.late(call):
            return i.Result.NOT_SENT
        address = self.destinations.address(call.worker)
        if address is None:
            return i.Result.NOT_SENT
        try:
            line = self.pool.take(call.worker, address, call.request.wary)
        except NoRoomError:
            return i.Result.NOT_SENT
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.destinations.refused(call.worker)
            return i.Result.CONNECT_FAILED
        self.destinations.reached(call.worker)
        with flight.lock:
            # The last look before the first byte. Guards against sending to a worker that began to drain, for
            # a client that left, or past a window, while this call waited for its turn or its connection.
            unwanted = (
                flight.stopped or not call.wanted or self.late(call, connecting=self.limits.dial)
            )
            unwanted = unwanted or self.destinations.address(call.worker) != line.address
            flight.line = None if unwanted else line
        if unwanted:
            self.pool.give(line)
            return i.Result.NOT_SENT
        exchange = Exchange(self.limits)
        try:
            self.converse(call, flight, line, exchange)
        finally:
            with flight.lock:
                flight.line = None
                flight.taken = exchange.phase is Phase.TAKEN and not flight.stopped
                reusable = exchange.reusable and not flight.stopped
            if reusable:
                self.pool.give(line)
            else:
                self.pool.close(line)
        if exchange.unreadable is not None:
            self.complaints.add(f"of {call.worker} unreadable: {exchange.unreadable}")
        flight.report = self.reports.header(exchange.load)
        return exchange.result

    def late(self, call: Call, connecting: float = 0.0) -> bool:
        """Whether it has waited for too long, or its window is over; `connecting`: seconds that it may have
        taken to connect.
        """
        now_us = self.clock.now_us()
        waited = now_us - call.sent_us > (self.limits.queued + connecting) * 1e6
        return waited or (call.write_by_us is not None and now_us > call.write_by_us)

    def converse(self, call: Call, flight: Flight, line: Line, exchange: Exchange) -> None:
        left_ms = (call.deadline_us - self.clock.now_us()) // 1000
        data = platform.call_bytes(
            host_of(line.address), call.request.id, call.request.payload, left_ms
        )
        try:
            line.sock.sendall(data)
            flight.written = True
            exchange.written()
            until = time.monotonic() + self.limits.call_silence
            while not exchange.over:
                exchange.feed(read_by(line.sock, until, self.limits.read))
                until = min(until, time.monotonic() + self.limits.answer_rest)
        except OSError:
            exchange.broke()

    def give_up(self, call: Call) -> None:
        address = self.destinations.last_address(call.worker)
        if address is not None:
            data = platform.give_up_bytes(host_of(address), call.request.id)
            self.ask(call.worker, address, data, self.limits.delete_answer)

    def ask(self, worker: str, address: Address, data: bytes, seconds: float) -> Message | None:
        """A small request besides the calls; None if no answer came."""
        try:
            line = self.pool.take(worker, address)
        except (NoRoomError, OSError):
            return None
        parser, message = Parser(self.limits, answers=True), None
        until = time.monotonic() + seconds
        try:
            line.sock.sendall(data)
            while message is None:
                if not (piece := read_by(line.sock, until, self.limits.read)):
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

    def probe(self, worker: str, told: Callable[[i.Probed], None] | None = None) -> None:
        self.crew.submit(self.run_probe, worker, told or self.post)

    def run_probe(self, worker: str, told: Callable[[i.Probed], None]) -> None:
        begun_us, address = self.clock.now_us(), self.destinations.address(worker)
        message = report = None
        if address is not None:
            path = platform.LOAD if self.reports.in_probes else platform.HEALTHY
            data = platform.probe_bytes(host_of(address), path)
            message = self.ask(worker, address, data, self.limits.probe)
        if message is not None:
            report = self.reports.probe(message.body)
        ok = message is not None and message.status == 200
        told(i.Probed(worker, ok, self.clock.now_us() - begun_us, report))


def host_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
