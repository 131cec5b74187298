"""Emulate open-loop clients of both protocols: a job leaves at its time, however earlier ones fare.

`Clients` owns the connections; all of it runs on the event loop that awaits `Clients.run`.
"""

import asyncio
import secrets
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

from stepstream.gearman import codec
from stepstream.gearman.codec import Item, Kind, Packet
from stepstream.http.codec import Message, write_request
from stepstream.lab.emulator.worker_drivers import LIMITS, READ, Clock, Workload, read_answer
from stepstream.lab.load.site import PlannedRequest, Scenario, WireProtocol
from stepstream.lab.verification.verifier import FinalOutcome, Verifier

RETRY_AFTER_SHARE = 0.5  # part of the clients that wait as long as an answer's retry-after says
GEARMAN_CONNECTIONS = 4
HTTP_SENDS = 2  # a request may be sent once more if a reused connection turns out to be closed


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """The outcome of one client attempt; `pause_s` is the answer's retry-after in seconds."""

    final: FinalOutcome
    result: str | None = None
    pause_s: float = 0.0


@dataclass(eq=False)
class Clients:
    """Play the schedule's jobs against a dispatcher and report each answer to the verifier."""

    day: Scenario
    clock: Clock
    verifier: Verifier
    http: tuple[str, int]  # address of the dispatcher's HTTP listener
    gearman: tuple[str, int]  # address of its Gearman listener
    # HTTP connections without a request in flight; the latest used is reused first.
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    gearman_connections: list["GearmanConnection"] = field(default_factory=list)
    late_us: int = 0  # greatest delay of a job's start behind the schedule: the lab's own fault
    over: int = 0  # finished jobs

    async def run(self) -> None:
        """Play the whole schedule; return when the last job has finished."""
        if any(ask.speech is WireProtocol.GEARMAN for ask in self.day.asks):
            self.gearman_connections = [
                await GearmanConnection.open(self.gearman) for _ in range(GEARMAN_CONNECTIONS)
            ]
        begun_us = self.clock.now_us()
        self.verifier.begun_us = begun_us
        running: set[asyncio.Task[None]] = set()
        for ask in self.day.asks:
            wait_us = begun_us + ask.at_us - self.clock.now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            self.late_us = max(self.late_us, -min(wait_us, 0))
            task = asyncio.ensure_future(self.submit(ask))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def submit(self, ask: PlannedRequest) -> None:
        """Send a job until it is served, its deadline passes or the client's retries are used up.

        A job that must not run twice is sent again only after a rejection.
        """
        self.verifier.asked(ask)
        job_class = self.day.site.job[ask.job_class]
        deadline_us = self.clock.now_us() + int(job_class.deadline_ms * 1000)
        for attempt in range(self.day.site.retries + 1):
            key = (ask.number, attempt)
            remaining_us = deadline_us - self.clock.now_us()
            if remaining_us <= 0:
                break
            outcome = await self.attempt(ask, attempt, remaining_us)
            self.verifier.answered(self.clock.now_us(), key, outcome.final, outcome.result)
            if outcome.final is FinalOutcome.SERVED:
                break
            if outcome.final is FinalOutcome.FAILED and job_class.effect == "side_effect":
                break
            advised_seconds = outcome.pause_s if ask.patience < RETRY_AFTER_SHARE else 0.0
            await asyncio.sleep(max(advised_seconds, self.day.site.backoff_ms / 1000))
        self.over += 1

    async def attempt(
        self, ask: PlannedRequest, attempt: int, remaining_us: int
    ) -> ReceivedResponse:
        """Send a job once, in its client's protocol, and await the outcome."""
        workload = Workload(ask.number, attempt, ask.work_us, ask.slots).dump()
        if ask.speech is WireProtocol.GEARMAN:
            return await self.by_gearman(ask, workload)
        return await self.by_http(ask, workload, remaining_us, attempt > 0)

    async def by_http(
        self,
        ask: PlannedRequest,
        workload: bytes,
        left_us: int,
        again: bool,  # noqa: FBT001  overridden with this signature in cluster_load_test
    ) -> ReceivedResponse:
        """Send a job by HTTP; `left_us` is the time to its deadline, `again` marks a retry."""
        data = self.http_request(ask, workload, left_us, is_retry=again)
        may_be_closed = bool(self.idle)
        for _ in range(HTTP_SENDS):
            try:
                if self.idle:
                    connection = self.idle.pop()
                else:
                    connection = await asyncio.open_connection(*self.http)
                reader, writer = connection
                writer.write(data)
                message = await read_answer(reader)
            except (OSError, EOFError):
                if may_be_closed:
                    # A dispatcher may close an idle connection at any time: use a new one.
                    self.idle.clear()
                    may_be_closed = False
                    continue
                return ReceivedResponse(FinalOutcome.LOST)
            if message.keep_alive:
                self.idle.append(connection)
            else:
                writer.close()
            return received_http_response(message)
        return ReceivedResponse(FinalOutcome.LOST)

    def http_request(
        self, ask: PlannedRequest, workload: bytes, remaining_us: int, *, is_retry: bool
    ) -> bytes:
        """Return the bytes of a job's HTTP request."""
        site = self.day.site
        job_class = site.job[ask.job_class]
        headers = {
            "Host": "lab",
            "Request-Id": secrets.token_hex(8),
            "Tenant": site.tenant[ask.tenant].name,
            "Request-Timeout-Ms": str(max(remaining_us // 1000, 1)),
            "Request-Info": f"cores_needed={ask.slots}",
        }
        if is_retry and site.marks_retries:
            headers["Client-Retry"] = "1"
        if job_class.effect == "token":
            headers["Idempotency-Key"] = f"key-{ask.number}"
        return write_request("POST", f"/{job_class.name}", headers, workload)

    async def by_gearman(self, ask: PlannedRequest, workload: bytes) -> ReceivedResponse:
        """Send a job by Gearman; the function names tenant, job class and slots above one."""
        job_class = self.day.site.job[ask.job_class]
        slots = f"+{ask.slots}" if ask.slots > 1 else ""
        function = f"{self.day.site.tenant[ask.tenant].name}/{job_class.name}{slots}"
        unique = f"key-{ask.number}" if job_class.effect == "token" else ""
        connection = self.gearman_connections[ask.number % len(self.gearman_connections)]
        return await connection.submit(function, unique, workload)


def received_http_response(message: Message) -> ReceivedResponse:
    """Return the outcome that an HTTP answer means."""
    if message.status == HTTPStatus.OK:
        return ReceivedResponse(FinalOutcome.SERVED, message.body.decode())
    if message.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
        return ReceivedResponse(
            FinalOutcome.REFUSED, pause_s=float(message.headers.get("retry-after", "0"))
        )
    return ReceivedResponse(FinalOutcome.FAILED)


@dataclass(eq=False)
class GearmanConnection:
    """A connection that many jobs share; outcomes are matched to jobs by handle."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Jobs without a handle yet, in the order of their submission.
    submitted: deque[asyncio.Future[ReceivedResponse]] = field(default_factory=deque)
    # Unfinished jobs by handle; jobs that the dispatcher coalesces share one.
    open_jobs: dict[bytes, list[asyncio.Future[ReceivedResponse]]] = field(default_factory=dict)
    warnings: dict[bytes, bytes] = field(default_factory=dict)  # latest WORK_WARNING by handle
    lost: bool = False  # the connection has ended
    task: asyncio.Task[None] | None = None  # runs `listen`; kept from garbage collection

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "GearmanConnection":
        """Connect and start to handle the dispatcher's packets."""
        connection = cls(*await asyncio.open_connection(*address))
        connection.task = asyncio.ensure_future(connection.listen())
        return connection

    async def submit(self, function: str, unique: str, workload: bytes) -> ReceivedResponse:
        """Submit a job and await its outcome."""
        if self.lost:
            return ReceivedResponse(FinalOutcome.LOST)
        future: asyncio.Future[ReceivedResponse] = asyncio.get_running_loop().create_future()
        self.submitted.append(future)
        self.writer.write(codec.request(Kind.SUBMIT_JOB, function, unique, workload))
        return await future

    async def listen(self) -> None:
        """Handle packets until the connection ends; then every unfinished job is lost."""
        parser = codec.Parser(LIMITS, answers=True)
        try:
            while data := await self.reader.read(READ):
                parser.feed(data)
                while (item := parser.next()) is not None:
                    self.on_packet(item)
        except OSError:
            pass
        self.lost = True
        unfinished = list(self.submitted)
        for futures in self.open_jobs.values():
            unfinished += futures
        for future in unfinished:
            future.set_result(ReceivedResponse(FinalOutcome.LOST))

    def on_packet(self, packet: Item) -> None:
        """Handle a packet of the dispatcher; ignore those that end no job, such as progress."""
        match packet:
            case Packet(Kind.JOB_CREATED, (handle,)):
                self.open_jobs.setdefault(handle, []).append(self.submitted.popleft())
            case Packet(Kind.ERROR, (code, text)):
                final = FinalOutcome.REFUSED if code == b"JOB_QUEUE_FULL" else FinalOutcome.FAILED
                outcome = ReceivedResponse(final, pause_s=retry_after_seconds(text))
                self.submitted.popleft().set_result(outcome)
            case Packet(Kind.WORK_WARNING, (handle, text)):
                self.warnings[handle] = text
            case Packet(Kind.WORK_COMPLETE, (handle, result)):
                self.finish(handle, ReceivedResponse(FinalOutcome.SERVED, result.decode()))
            case Packet(Kind.WORK_FAIL, (handle,)):
                text = self.warnings.get(handle, b"")
                final = FinalOutcome.REFUSED if text.startswith(b"refused") else FinalOutcome.FAILED
                self.finish(handle, ReceivedResponse(final, pause_s=retry_after_seconds(text)))

    def finish(self, handle: bytes, outcome: ReceivedResponse) -> None:
        """Give the outcome to the oldest job of the handle."""
        self.warnings.pop(handle, None)
        futures = self.open_jobs[handle]
        futures.pop(0).set_result(outcome)
        if not futures:
            del self.open_jobs[handle]


def retry_after_seconds(text: bytes) -> float:
    """Return the retry-after in an outcome's text, 0 if it has none.

    The format is that of the table of outcomes in docs/gearman.md.
    """
    for word in text.decode("utf-8", "replace").split():
        name, _, value = word.partition("=")
        if name == "retry-after":
            return float(value)
    return 0.0
