"""A small platform round one dispatcher: discovery, workers that do as asked, and sound clients.

It is for runs in which other clients misbehave. A worker holds a job for the `hold_ms` of its
query, then reports it as done. The platform notes when each attempt begins and what the sound
clients get. Everything belongs to one event loop. Times are monotonic seconds, which processes of
one machine share.
"""

import asyncio
import contextlib
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

import ujson

from stepstream.http.codec import Message, Parser, ProtocolError, write_answer, write_request
from stepstream.lab.emulator.streams import LIMITS, READ_BYTES, read_response
from stepstream.lab.processes.addresses import Address

DEFAULT_HOLD_MS = 20
MAX_JOBS_PER_WORKER = 100
NOTIFICATION_CONNECTIONS = 8
NOTIFICATION_ATTEMPTS = 10
NOTIFICATION_RETRY_SECONDS = 0.1
NOTIFICATION_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 1.0
MS_PER_SECOND = 1000
REQUEST_TIMEOUT_MS = 2000
# How long after its timeout a client still takes an answer: half a second late earns nothing.
MAX_OVERDUE_SECONDS = 0.5

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt that a worker has begun."""

    request_id: str
    worker_id: str
    begun_at_seconds: float


@dataclass(frozen=True, slots=True)
class SoundAnswer:
    """What a sound client got: an HTTP status, or a word for an answer that is missing.

    "closed unsent" is a connection that ended before any attempt at the request began, "lost" one
    that ended afterwards.
    """

    outcome: str
    seconds: float


@dataclass(eq=False)
class OverloadWorker:
    """A worker that accepts jobs up to a limit and reports each as done after its time."""

    name: str
    notify_address: Address
    attempts: list[AttemptRecord]
    held: dict[str, asyncio.Task[None]] = field(default_factory=dict)  # by request id
    notifications: "asyncio.Queue[bytes]" = field(default_factory=asyncio.Queue)
    server: asyncio.Server | None = None
    senders: list[asyncio.Task[None]] = field(default_factory=list)
    host: str = ""
    port: int = 0

    async def start(self, host: str) -> None:
        """Open the listener, and start to deliver notifications."""
        self.host = host
        self.server = await asyncio.start_server(self._serve, host, 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.senders = [
            asyncio.ensure_future(self._deliver()) for _ in range(NOTIFICATION_CONNECTIONS)
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser(LIMITS)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    writer.write(self._respond(message))
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _respond(self, message: Message) -> bytes:
        if message.method == "DELETE":
            task = self.held.pop(message.target.rpartition("/")[2], None)
            if task is not None:
                task.cancel()
            return write_answer(200)
        if message.method == "GET":
            return write_answer(404)
        request_id = message.headers["request-id"]
        self.attempts.append(AttemptRecord(request_id, self.name, time.monotonic()))
        if len(self.held) >= MAX_JOBS_PER_WORKER:
            return write_answer(503, headers={"Not-Started": "1"})
        query = parse_qs(urlsplit(message.target).query)
        hold_seconds = int(query.get("hold_ms", [DEFAULT_HOLD_MS])[0]) / MS_PER_SECOND
        self.held[request_id] = asyncio.ensure_future(self._complete(request_id, hold_seconds))
        return write_answer(202)

    async def _complete(self, request_id: str, hold_seconds: float) -> None:
        await asyncio.sleep(hold_seconds)
        self.held.pop(request_id, None)
        body = {"id": request_id, "from": self.name, "state": "done", "result": request_id}
        data = write_request("POST", "/_jobs/news", {"Host": "d"}, ujson.dumps(body).encode())
        self.notifications.put_nowait(data)

    async def _deliver(self) -> None:
        """Send notifications one after the other, each until it is acknowledged."""
        stream: Stream | None = None
        try:
            while True:
                stream = await self._deliver_one(stream, await self.notifications.get())
        finally:
            if stream is not None:
                stream[1].close()

    async def _deliver_one(self, stream: Stream | None, data: bytes) -> Stream | None:
        """Send a notification until it is acknowledged; return the connection if it is open."""
        for _ in range(NOTIFICATION_ATTEMPTS):
            try:
                if stream is None:
                    # From the worker's own address, as the dispatcher keeps places for workers.
                    local_address = (self.host, 0)
                    stream = await asyncio.open_connection(
                        *self.notify_address, local_addr=local_address
                    )
                stream[1].write(data)
                await asyncio.wait_for(read_response(stream[0]), NOTIFICATION_TIMEOUT_SECONDS)
            except (OSError, EOFError, TimeoutError):
                if stream is not None:
                    stream[1].close()
                stream = None
                await asyncio.sleep(NOTIFICATION_RETRY_SECONDS)
            else:
                break
        return stream

    def close(self) -> None:
        """Close the listener and stop everything that runs."""
        for task in (*self.senders, *self.held.values()):
            task.cancel()
        if self.server is not None:
            self.server.close()


@dataclass(eq=False)
class OverloadPlatform:
    """Discovery, workers and sound clients of a dispatcher at `dispatcher_address`."""

    dispatcher_address: Address
    host: str
    worker_count: int = 3
    bearer_token: str = ""  # of the sound clients; empty: they send none
    attempts: list[AttemptRecord] = field(default_factory=list)
    answers: list[SoundAnswer] = field(default_factory=list)
    workers: list[OverloadWorker] = field(default_factory=list)
    discovery: asyncio.Server | None = None
    discovery_port: int = 0
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Start discovery and the workers."""
        for number in range(self.worker_count):
            worker = OverloadWorker(f"s-{number}", self.dispatcher_address, self.attempts)
            await worker.start(self.host)
            self.workers.append(worker)
        self.discovery = await asyncio.start_server(self._serve_discovery, self.host, 0)
        self.discovery_port = self.discovery.sockets[0].getsockname()[1]

    def endpoint_list(self) -> dict[str, Any]:
        """Return the list in discovery's form."""
        servers = [
            {
                "id": worker.name,
                "addr": f"{self.host}:{worker.port}",
                "zone": "a",
                "kind": "m",
                "cell": number,
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for number, worker in enumerate(self.workers)
        ]
        return {"version": 1, "full": True, "servers": servers}

    async def _serve_discovery(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = Parser(LIMITS)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    body = self.endpoint_list()
                    if "index=" in message.target:
                        await asyncio.sleep(WATCH_SECONDS)
                        body = {"version": 1, "full": False, "servers": []}
                    writer.write(write_answer(200, ujson.dumps(body).encode()))
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    # -- sound clients ----------------------------------------------------------------------------

    async def run_clients(self, client_count: int, interval_seconds: float) -> None:
        """Let each client send a request at this interval, until `stopping` is set."""
        await asyncio.gather(*(self._run_client(interval_seconds) for _ in range(client_count)))

    async def _run_client(self, interval_seconds: float) -> None:
        stream: Stream | None = None
        while not self.stopping.is_set():
            started_at_seconds = time.monotonic()
            stream = await self._send_and_record(stream)
            next_at_seconds = started_at_seconds + interval_seconds
            with contextlib.suppress(TimeoutError):
                wait_seconds = max(next_at_seconds - time.monotonic(), 0.001)
                await asyncio.wait_for(self.stopping.wait(), wait_seconds)
        if stream is not None:
            stream[1].close()

    async def _send_and_record(self, stream: Stream | None) -> Stream | None:
        """Send one request and note its answer; return the connection if it stays open."""
        started_at_seconds = time.monotonic()
        outcome = "no answer in time"
        longest_seconds = REQUEST_TIMEOUT_MS / MS_PER_SECOND + MAX_OVERDUE_SECONDS
        try:
            async with asyncio.timeout(longest_seconds):
                outcome, stream = await self._exchange(stream)
        except TimeoutError:
            if stream is not None:
                stream[1].close()
            stream = None
        self.answers.append(SoundAnswer(outcome, time.monotonic() - started_at_seconds))
        return stream

    async def _exchange(self, stream: Stream | None) -> tuple[str, Stream | None]:
        """Send one request, once more on a new connection if a kept one has ended."""
        headers = {
            "Host": "d",
            "Request-Id": secrets.token_hex(8),
            "Tenant": "tatra-invest",
            "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
        }
        if self.bearer_token:
            headers["Authorization"] = f"Bearer {self.bearer_token}"
        data = write_request("POST", "/revalue", headers, b"fund")
        was_kept = stream is not None
        while True:
            try:
                if stream is None:
                    stream = await asyncio.open_connection(*self.dispatcher_address)
                stream[1].write(data)
                message = await read_response(stream[0])
            except ConnectionRefusedError:
                return "refused", None
            except (OSError, EOFError):
                if stream is not None:
                    stream[1].close()
                stream = None
                if was_kept:
                    was_kept = False
                    continue
                has_begun = any(one.request_id == headers["Request-Id"] for one in self.attempts)
                return ("lost" if has_begun else "closed unsent"), None
            outcome = str(message.status)
            if message.status == HTTPStatus.OK and message.body.decode() != headers["Request-Id"]:
                outcome = "another request's answer"
            if message.keep_alive:
                return outcome, stream
            stream[1].close()
            return outcome, None

    def outcome_counts(self) -> dict[str, int]:
        """Return how many answers of each kind the sound clients got."""
        return dict(Counter(answer.outcome for answer in self.answers))

    def close(self) -> None:
        """Close every listener."""
        for worker in self.workers:
            worker.close()
        if self.discovery is not None:
            self.discovery.close()
