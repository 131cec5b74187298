"""Serve emulated nodes on loopback: one speaks the platform's HTTP, the other is a Gearman worker.

A driver owns its node's model and sockets; all of it runs on the event loop that starts it.
"""

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import ujson

from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Item, Kind, Packet
from stepstream.http.codec import Message, Parser, ProtocolError, write_answer, write_request
from stepstream.lab.emulator.worker_model import (
    Health,
    OfferResult,
    Task,
    TaskEvent,
    TaskState,
    WorkerModel,
)
from stepstream.lab.verification.verifier import Attempt, Verifier

LIMITS = Limits()
READ = 65536  # bytes read from a socket at once
NOTIFICATION_ATTEMPTS = 10
NOTIFICATION_BACKOFF_SECONDS = 0.1
AGENT_DETECTION_SECONDS = 0.05  # until a machine's agent reports a dead process's jobs as lost
WORKLOAD_FIELDS = 4
WORKLOAD_FIELD_LIMIT = 10**9  # exclusive
FOREIGN_WORK_LOG_MEAN = -0.125  # of the log-normal factor whose mean is 1
FOREIGN_WORK_LOG_SIGMA = 0.5
FOREIGN_WORK_LEAST_US = 1000
PROGRESS_STEPS = 1000  # denominator of WORK_STATUS


class Clock:
    """Unix time in microseconds that never goes back."""

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the present time."""
        return (self.base_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True)
class TaskContext:
    """The driver's own record of a task, its `about`."""

    key: tuple[int, int]  # the job's number and the client's attempt
    attempt: Attempt
    handle: bytes = b""


@dataclass(slots=True)
class Workload:
    """The work that a lab client requests; the body of the request in either protocol."""

    number: int
    attempt: int
    work_us: int
    slots: int

    def dump(self) -> bytes:
        """Return the request's body."""
        return ujson.dumps([self.number, self.attempt, self.work_us, self.slots]).encode()

    @classmethod
    def load(cls, body: bytes) -> "Workload | None":
        """Parse a body; return None if no lab client wrote it, as other clients may send any."""
        try:
            values = ujson.loads(body)
        except ValueError:
            return None
        if not isinstance(values, list) or len(values) != WORKLOAD_FIELDS:
            return None
        if not all(
            isinstance(value, int) and 0 <= value < WORKLOAD_FIELD_LIMIT for value in values
        ):
            return None
        return cls(*values)


@dataclass(eq=False)
class WorkerDriver:
    """Run a node's model in real time and report its attempts to the verifier (`verifier`)."""

    model: WorkerModel
    clock: Clock
    verifier: Verifier
    stirred: asyncio.Event = field(default_factory=asyncio.Event)  # the model's next event changed
    tasks: list[asyncio.Task[None]] = field(default_factory=list)  # of the event loop, till `stop`
    foreign_jobs: int = 0  # jobs of clients other than the lab's so far

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.model.spec.name

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until `stop`."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def live(self) -> None:
        """Play the model in real time until cancelled."""
        while True:
            due_us = self.model.next_us()
            wait_seconds = (
                None if due_us == float("inf") else max(due_us - self.clock.now_us(), 0) / 1e6
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stirred.wait(), wait_seconds)
            self.stirred.clear()
            self.model.advance(self.clock.now_us())
            self.publish_events()

    def publish_events(self) -> None:
        """Report the model's new events to the verifier, then to the dispatcher."""
        for event in self.model.take_events():
            context: TaskContext = event.task.about
            if event.word in (TaskState.DONE, TaskState.FAILED):
                context.attempt.open = False
            if event.word is TaskState.DONE:
                self.verifier.made(context.key, self.result_of(event.task))
            self.say(event)

    def result_of(self, task: Task) -> str:
        """Return the task's result, which names the job, the client's attempt and the node."""
        number, attempt = task.about.key
        return f"price {number}.{attempt} by {self.name}"

    def draw_foreign_workload(self) -> Workload:
        """Draw the work of a job that no lab client sent, as of the site's first job class.

        Its number is negative, so that the verifier does not take it for one of the schedule.
        """
        self.foreign_jobs += 1
        job_class = self.verifier.day.site.job[0]
        factor = self.model.rng.lognormal(FOREIGN_WORK_LOG_MEAN, FOREIGN_WORK_LOG_SIGMA)
        work_us = job_class.work_ms * 1000 * factor
        return Workload(-self.foreign_jobs, 0, max(int(work_us), FOREIGN_WORK_LEAST_US), 1)

    def offer(self, name: str, body: bytes, handle: bytes = b"") -> tuple[OfferResult, Task]:
        """Offer a received job to the model; report the attempt to the verifier."""
        now_us = self.clock.now_us()
        workload = Workload.load(body) or self.draw_foreign_workload()
        key = (workload.number, workload.attempt)
        attempt = self.verifier.arrived(now_us, key, self.name, self.model.spec.cell)
        context = TaskContext(key, attempt, handle)
        task = Task(name, workload.work_us, workload.slots, context)
        was_cold = self.model.is_cold(now_us)
        offer = self.model.offer(now_us, task)
        if offer is OfferResult.DOWN and was_cold and self.model.health is Health.UP:
            self.verifier.toppled(now_us, self.name)
            self.fall(Health.TOPPLED)
        if offer is not OfferResult.TAKEN:
            attempt.open = False
            attempt.never_ran = offer is OfferResult.FULL
        self.stirred.set()
        return offer, task

    def fall(self, health: Health = Health.DOWN) -> list[Task]:
        """End the emulated process; return the tasks it loses."""
        lost = self.model.die(self.clock.now_us(), health)
        self.publish_events()
        for task in lost:
            task.about.attempt.open = False
        return lost

    async def begin(self) -> None:
        """Start to serve, as a node that has run for long."""
        raise NotImplementedError

    def say(self, happening: TaskEvent) -> None:
        """Notify the dispatcher of an event, in the driver's protocol."""
        raise NotImplementedError

    def crash(self) -> None:
        """End the emulated process at once, with its connections."""
        raise NotImplementedError

    async def restart(self) -> None:
        """Start a new process after a crash."""
        raise NotImplementedError

    def stop(self) -> None:
        """Cancel the background tasks."""
        for task in self.tasks:
            task.cancel()


@dataclass(eq=False)
class HttpWorker(WorkerDriver):
    """Emulate a node of the platform: answer 202 at once, then notify of the job's progress."""

    host: str = "127.0.0.1"
    port: int = 0  # 0: chosen when the listener first opens
    dispatcher: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    peers: set[asyncio.StreamWriter] = field(default_factory=set)  # open connections
    # Notifications to deliver to the dispatcher, in order.
    news: asyncio.Queue[dict[str, object]] = field(default_factory=asyncio.Queue)
    probes: int = 0  # health checks answered so far
    load_sampled_at_us: int = 0
    sampled_load: dict[str, int] = field(default_factory=dict)  # reported until the next sample
    door: int = 0  # the listener that took the message in hand, where a node has several

    async def begin(self) -> None:
        """Open the listener; start to play the model and to deliver notifications."""
        await self.open_door()
        self.spawn(self.live())
        self.spawn(self.deliver_notifications())

    async def open_door(self) -> None:
        """Open the listener, after a restart on the same port."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, door: int = 0
    ) -> None:
        """Answer the requests of a connection until it ends or the node is down."""
        parser = Parser(LIMITS)
        self.peers.add(writer)
        try:
            while data := await reader.read(READ):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self.door = door
                    answer = self.on_message(message)
                    if answer is None:
                        return
                    writer.write(answer)
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self.peers.discard(writer)
            writer.close()

    def on_message(self, message: Message) -> bytes | None:
        """Return the answer to a request; None to close the connection without one."""
        if message.method == "DELETE":
            self.cancel(message.target.rpartition("/")[2])
            return write_answer(200)
        if message.method == "GET":
            return self.answer_health_check(message.target)
        offer, _ = self.offer(message.headers["request-id"], message.body)
        match offer:
            case OfferResult.TAKEN:
                return write_answer(202)
            case OfferResult.FULL:
                return write_answer(503, headers={"Not-Started": "1", **self.load_header()})
            case OfferResult.ERROR:
                return write_answer(500, headers=self.load_header())
        return None

    def answer_health_check(self, path: str) -> bytes:
        """Answer a health check, which costs work; 404 where the site's settings have none."""
        site = self.verifier.day.site
        if site.reports == "none" or path not in ("/-/healthy", "/-/load"):
            return write_answer(404)
        self.probes += 1
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        self.model.add_side_work(int(site.probe_work_ms * 1000))
        self.stirred.set()
        return write_answer(200, self.load_text().encode() if path == "/-/load" else b"")

    def current_load_report(self) -> dict[str, int]:
        """Return the load report, sampled anew at the site's report interval."""
        now_us = self.clock.now_us()
        if now_us - self.load_sampled_at_us >= self.verifier.day.site.report_ms * 1000:
            self.load_sampled_at_us = now_us
            self.sampled_load = self.model.load_report(now_us)
        return self.sampled_load

    def load_text(self) -> str:
        """Return the load report in the platform's text form."""
        report = self.current_load_report()
        return "TEXT " + ", ".join(f"{name}={value}" for name, value in report.items())

    def load_header(self) -> dict[str, str]:
        """Return the load report's header; empty unless the site's answers carry reports."""
        if self.verifier.day.site.reports != "answers":
            return {}
        return {"Server-Load": self.load_text()}

    def cancel(self, name: str) -> None:
        """Cancel a task by its request id."""
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        for task in (*self.model.running.values(), *self.model.waiting):
            if task.id == name:
                task.about.attempt.open = False
        self.model.cancel(now_us, name)
        self.stirred.set()

    def say(self, happening: TaskEvent) -> None:
        """Queue a job notification; its field names are the platform's."""
        task = happening.task
        notification: dict[str, object] = {
            "id": task.id,
            "from": self.name,
            "state": happening.word.value,
        }
        if happening.word is TaskState.RUNNING:
            notification["share"] = task.completed_fraction()
        elif happening.word is TaskState.DONE:
            notification["result"] = self.result_of(task)
        if happening.word in (TaskState.DONE, TaskState.FAILED) and self.load_header():
            notification["load"] = self.current_load_report()
        self.news.put_nowait(notification)

    async def deliver_notifications(self) -> None:
        """Send each notification until it is answered, in order and on one connection.

        After `NOTIFICATION_ATTEMPTS` failures a notification is dropped.
        """
        connection = None
        while True:
            notification = ujson.dumps(await self.news.get()).encode()
            data = write_request("POST", "/_jobs/news", {"Host": "d"}, notification)
            for _ in range(NOTIFICATION_ATTEMPTS):
                try:
                    connection = connection or await asyncio.open_connection(*self.dispatcher)
                    reader, writer = connection
                    writer.write(data)
                    await read_answer(reader)
                    break
                except (OSError, EOFError):
                    if connection:
                        connection[1].close()
                    connection = None
                    await asyncio.sleep(NOTIFICATION_BACKOFF_SECONDS)

    def crash(self) -> None:
        """Close the listener and every connection, and lose the tasks; an agent reports them."""
        if self.server is not None:
            self.server.close()
        for peer in list(self.peers):
            peer.transport.abort()
        loop = asyncio.get_running_loop()
        for task in self.fall():
            notification: dict[str, object] = {"id": task.id, "from": self.name, "state": "lost"}
            loop.call_later(AGENT_DETECTION_SECONDS, self.news.put_nowait, notification)

    async def restart(self) -> None:
        """Start a new process, cold, on the same port."""
        self.model.start(self.clock.now_us())
        await self.open_door()


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP answer; raise EOFError if the connection ends before it is complete."""
    parser = Parser(LIMITS, answers=True)
    while (message := parser.next()) is None:
        data = await reader.read(READ)
        if not data:
            raise EOFError
        parser.feed(data)
    return message


@dataclass(eq=False)
class GearmanWorker(WorkerDriver):
    """Emulate a Gearman worker that runs as many jobs at once as it has slots."""

    address: tuple[str, int] = ("127.0.0.1", 0)  # of the dispatcher's Gearman listener
    functions: tuple[str, ...] = ()
    writer: asyncio.StreamWriter | None = None  # of the connection in use; None while down
    grab_pending: bool = False  # GRAB_JOB_UNIQ sent and not answered
    sleeping: bool = False  # PRE_SLEEP sent; NOOP wakes it

    async def begin(self) -> None:
        """Connect and start to play the model."""
        await self.connect()
        self.spawn(self.live())

    async def connect(self) -> None:
        """Connect to the dispatcher, announce the node's properties and request a job."""
        reader, self.writer = await asyncio.open_connection(*self.address)
        spec = self.model.spec
        # A worker that does not tell its start counts as started with its connection, so as cold.
        # Workers of the schedule's beginning have run for long.
        start = "" if self.model.started_us else ";start=1"
        self.grab_pending = False
        self.sleeping = False
        client_id = (
            f"{spec.name};zone={spec.zone};kind={spec.kind};cell={spec.cell};slots={spec.slots}"
            f";weight={spec.weight}{start}"
        )
        self.send(Kind.SET_CLIENT_ID, client_id)
        for function in self.functions:
            self.send(Kind.CAN_DO, function)
        self.spawn(self.listen(reader, self.writer))
        self.grab_job()

    def send(self, kind: Kind, *args: bytes | str | int) -> None:
        """Send a packet; do nothing while the node is down."""
        if self.writer is not None:
            self.writer.write(codec.request(kind, *args))

    async def listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a connection's packets until it ends; ignore them after a restart."""
        parser = codec.Parser(LIMITS, answers=True)
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                parser.feed(data)
                while (item := parser.next()) is not None:
                    if self.writer is writer:
                        self.on_packet(item)

    def on_packet(self, packet: Item) -> None:
        """Handle a packet of the dispatcher; ignore unknown ones."""
        match packet:
            case Packet(Kind.JOB_ASSIGN_UNIQ, (handle, _, _, workload)):
                self.grab_pending = False
                offer, _ = self.offer(handle.decode(), workload, handle)
                if offer in (OfferResult.ERROR, OfferResult.FULL):
                    self.send(Kind.WORK_FAIL, handle)
                self.grab_job()
            case Packet(Kind.NO_JOB):
                self.grab_pending = False
                self.sleeping = True
                self.send(Kind.PRE_SLEEP)
            case Packet(Kind.NOOP):
                self.sleeping = False
                self.grab_job()

    def grab_job(self) -> None:
        """Request a job if a slot is free and no request is pending.

        A draining node requests jobs too, so that the verifier sees whether it still gets any.
        """
        if (
            self.grab_pending
            or self.sleeping
            or self.model.waiting
            or self.model.busy_slots >= self.model.spec.slots
        ):
            return
        self.grab_pending = True
        self.send(Kind.GRAB_JOB_UNIQ)

    def say(self, happening: TaskEvent) -> None:
        """Send a task's progress or its end."""
        task = happening.task
        handle = task.about.handle
        match happening.word:
            case TaskState.RUNNING:
                done = int(task.completed_fraction() * PROGRESS_STEPS)
                self.send(Kind.WORK_STATUS, handle, done, PROGRESS_STEPS)
            case TaskState.DONE:
                self.send(Kind.WORK_COMPLETE, handle, self.result_of(task))
                self.grab_job()
            case TaskState.FAILED:
                self.send(Kind.WORK_FAIL, handle)
                self.grab_job()

    def drain(self) -> None:
        """Withdraw all functions, which tells the dispatcher that the node drains."""
        self.send(Kind.RESET_ABILITIES)
        self.verifier.drain_told(self.clock.now_us(), self.name)

    def crash(self) -> None:
        """Abort the connection and lose the tasks."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        self.fall()

    async def restart(self) -> None:
        """Start a new process, cold, and connect it."""
        self.model.start(self.clock.now_us())
        await self.connect()
