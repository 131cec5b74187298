"""Loopback drivers of the emulated nodes: one speaks the platform's HTTP, the other is a Gearman worker."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import ujson

from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Kind, Packet
from stepstream.http.codec import Message, Parser, ProtocolError, write_answer, write_request
from stepstream.lab.pricing import Happening, Health, Offer, PricingNode, Task, Word
from stepstream.lab.referee import Attempt, Referee

LIMITS = Limits()
READ = 65536
NEWS_TRIES = 10
AGENT_SEES_S = 0.05  # a machine's agent tells of a dead process's jobs after so long


class Clock:
    """Microseconds of Unix time that never go back."""

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self.base_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True)
class About:
    """What a driver keeps of a task."""

    key: tuple[int, int]
    attempt: Attempt
    handle: bytes = b""


@dataclass(slots=True)
class Workload:
    """What a lab client asks for; it travels as the body, in any protocol."""

    number: int
    attempt: int
    work_us: int
    slots: int

    def dump(self) -> bytes:
        return ujson.dumps([self.number, self.attempt, self.work_us, self.slots]).encode()

    @classmethod
    def load(cls, body: bytes) -> "Workload | None":
        """None for what no lab client sent: others may send anything."""
        try:
            figures = ujson.loads(body)
        except ValueError:
            return None
        if not isinstance(figures, list) or len(figures) != 4:
            return None
        if not all(isinstance(x, int) and 0 <= x < 10**9 for x in figures):
            return None
        return cls(*figures)


@dataclass(eq=False)
class NodeDriver:
    """What both kinds share: the model's clock, and the words with the referee."""

    model: PricingNode
    clock: Clock
    referee: Referee
    stirred: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: list[asyncio.Task] = field(default_factory=list)
    strangers: int = 0  # jobs of no lab client so far

    @property
    def name(self) -> str:
        return self.model.spec.name

    def spawn(self, coroutine) -> None:  # noqa: ANN001 - any coroutine
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def live(self) -> None:
        """Plays the model in real time, for ever."""
        while True:
            due = self.model.next_us()
            wait = None if due == float("inf") else max(due - self.clock.now_us(), 0) / 1e6
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stirred.wait(), wait)
            self.stirred.clear()
            self.model.advance(self.clock.now_us())
            self.tell()

    def tell(self) -> None:
        for happening in self.model.take():
            if happening.word in (Word.DONE, Word.FAILED):
                happening.task.about.attempt.open = False
            if happening.word is Word.DONE:
                self.referee.made(happening.task.about.key, self.result(happening.task))
            self.say(happening)

    def result(self, task: Task) -> str:
        return f"price {task.about.key[0]}.{task.about.key[1]} by {self.name}"

    def drawn(self) -> Workload:
        """For a job of no lab client: work as the site's first class has it, known by a number of its own."""
        self.strangers += 1
        part = self.referee.day.site.job[0]
        work_us = part.work_ms * 1000 * self.model.rng.lognormal(-0.125, 0.5)
        return Workload(-self.strangers, 0, max(int(work_us), 1000), 1)

    def offer(self, name: str, body: bytes, handle: bytes = b"") -> tuple[Offer, Task]:
        now_us = self.clock.now_us()
        workload = Workload.load(body) or self.drawn()
        key = (workload.number, workload.attempt)
        attempt = self.referee.arrived(now_us, key, self.name, self.model.spec.cell)
        task = Task(name, workload.work_us, workload.slots, About(key, attempt, handle))
        cold = self.model.is_cold(now_us)
        offer = self.model.offer(now_us, task)
        if offer is Offer.DOWN and cold and self.model.health is Health.UP:
            self.referee.toppled(now_us, self.name)
            self.fall(Health.TOPPLED)
        if offer is not Offer.TAKEN:
            attempt.open, attempt.never_ran = False, offer is Offer.FULL
        self.stirred.set()
        return offer, task

    def fall(self, health: Health = Health.DOWN) -> list[Task]:
        """The process dies."""
        lost = self.model.die(self.clock.now_us(), health)
        self.tell()
        for task in lost:
            task.about.attempt.open = False
        return lost

    def say(self, happening: Happening) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


@dataclass(eq=False)
class HttpNode(NodeDriver):
    """A node of the platform: 202 at once, and news of what becomes of the job."""

    host: str = "127.0.0.1"
    port: int = 0
    dispatcher: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    peers: set[asyncio.StreamWriter] = field(default_factory=set)
    news: asyncio.Queue = field(default_factory=asyncio.Queue)
    looked_us: int = 0
    probes: int = 0  # asked of it so far
    load: dict[str, int] = field(default_factory=dict)  # what it tells since it looked
    door: int = 0  # that the message in hand came by, where there are several

    async def begin(self) -> None:
        await self.open_door()
        self.spawn(self.live())
        self.spawn(self.bring_news())

    async def open_door(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, door: int = 0
    ) -> None:
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
        if message.method == "DELETE":
            self.cancel(message.target.rpartition("/")[2])
            return write_answer(200)
        if message.method == "GET":
            return self.probed(message.target)
        offer, _ = self.offer(message.headers["request-id"], message.body)
        match offer:
            case Offer.TAKEN:
                return write_answer(202)
            case Offer.FULL:
                return write_answer(503, headers={"Not-Started": "1", **self.load_header()})
            case Offer.ERROR:
                return write_answer(500, headers=self.load_header())
        return None

    def probed(self, path: str) -> bytes:
        """A probe is work; elsewhere than the settings say there is none."""
        site = self.referee.day.site
        if site.reports == "none" or path not in ("/-/healthy", "/-/load"):
            return write_answer(404)
        self.probes += 1
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        self.model.disturb(int(site.probe_work_ms * 1000))
        self.stirred.set()
        return write_answer(200, self.load_text().encode() if path == "/-/load" else b"")

    def look(self) -> dict[str, int]:
        now_us = self.clock.now_us()
        if now_us - self.looked_us >= self.referee.day.site.report_ms * 1000:
            self.looked_us, self.load = now_us, self.model.report(now_us)
        return self.load

    def load_text(self) -> str:
        return "TEXT " + ", ".join(f"{name}={value}" for name, value in self.look().items())

    def cancel(self, name: str) -> None:
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        held = [*self.model.running.values(), *self.model.waiting]
        for task in held:
            if task.id == name:
                task.about.attempt.open = False
        self.model.cancel(now_us, name)
        self.stirred.set()

    def say(self, happening: Happening) -> None:
        task = happening.task
        news = {"id": task.id, "from": self.name, "state": happening.word.value}
        if happening.word is Word.RUNNING:
            news["share"] = task.share()
        elif happening.word is Word.DONE:
            news["result"] = self.result(task)
        if happening.word in (Word.DONE, Word.FAILED) and self.load_header():
            news["load"] = self.look()
        self.news.put_nowait(news)

    def load_header(self) -> dict[str, str]:
        """Where the settings say that answers hold reports."""
        return (
            {"Server-Load": self.load_text()} if self.referee.day.site.reports == "answers" else {}
        )

    async def bring_news(self) -> None:
        """Each piece until it is answered, ten times at the most; on one connection, in order."""
        link = None
        while True:
            news = await self.news.get()
            data = write_request("POST", "/_jobs/news", {"Host": "d"}, ujson.dumps(news).encode())
            for _ in range(NEWS_TRIES):
                try:
                    link = link or await asyncio.open_connection(*self.dispatcher)
                    link[1].write(data)
                    await read_answer(link[0])
                    break
                except (OSError, EOFError):
                    if link:
                        link[1].close()
                    link = None
                    await asyncio.sleep(0.1)

    def crash(self) -> None:
        self.server.close()
        for peer in list(self.peers):
            peer.transport.abort()
        for task in self.fall():
            news = {"id": task.id, "from": self.name, "state": "lost"}
            asyncio.get_running_loop().call_later(AGENT_SEES_S, self.news.put_nowait, news)

    async def restart(self) -> None:
        self.model.start(self.clock.now_us())
        await self.open_door()


async def read_answer(reader: asyncio.StreamReader) -> Message:
    parser = Parser(LIMITS, answers=True)
    while (message := parser.next()) is None:
        data = await reader.read(READ)
        if not data:
            raise EOFError
        parser.feed(data)
    return message


@dataclass(eq=False)
class GearmanNode(NodeDriver):
    """A Gearman worker with as many jobs at once as it has slots."""

    address: tuple[str, int] = ("127.0.0.1", 0)
    functions: tuple[str, ...] = ()
    writer: asyncio.StreamWriter | None = None
    asking: bool = False
    asleep: bool = False

    async def begin(self) -> None:
        await self.connect()
        self.spawn(self.live())

    async def connect(self) -> None:
        reader, self.writer = await asyncio.open_connection(*self.address)
        spec = self.model.spec
        # Without a start the connection is one: cold. Those of the beginning have run for long.
        start = "" if self.model.started_us else ";start=1"
        self.asking = self.asleep = False
        said = (
            f"{spec.name};zone={spec.zone};kind={spec.kind};cell={spec.cell};slots={spec.slots}"
            f";weight={spec.weight}{start}"
        )
        self.send(Kind.SET_CLIENT_ID, said)
        for function in self.functions:
            self.send(Kind.CAN_DO, function)
        self.spawn(self.listen(reader, self.writer))
        self.grab()

    def send(self, kind: Kind, *args: bytes | str | int) -> None:
        if self.writer is not None:
            self.writer.write(codec.request(kind, *args))

    async def listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = codec.Parser(LIMITS, answers=True)
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                parser.feed(data)
                while (packet := parser.next()) is not None:
                    if self.writer is writer:
                        self.on_packet(packet)

    def on_packet(self, packet: Packet) -> None:
        match packet:
            case Packet(Kind.JOB_ASSIGN_UNIQ, (handle, _, _, workload)):
                self.asking = False
                name = handle.decode()
                offer, _ = self.offer(name, workload, handle)
                if offer is Offer.ERROR or offer is Offer.FULL:
                    self.send(Kind.WORK_FAIL, handle)
                self.grab()
            case Packet(Kind.NO_JOB):
                self.asking, self.asleep = False, True
                self.send(Kind.PRE_SLEEP)
            case Packet(Kind.NOOP):
                self.asleep = False
                self.grab()

    def grab(self) -> None:
        """As long as it has a free slot; a draining one goes on asking, to see that it gets nothing."""
        if (
            self.asking
            or self.asleep
            or self.model.waiting
            or self.model.busy >= self.model.spec.slots
        ):
            return
        self.asking = True
        self.send(Kind.GRAB_JOB_UNIQ)

    def say(self, happening: Happening) -> None:
        handle = happening.task.about.handle
        match happening.word:
            case Word.RUNNING:
                self.send(Kind.WORK_STATUS, handle, int(happening.task.share() * 1000), 1000)
            case Word.DONE:
                self.send(Kind.WORK_COMPLETE, handle, self.result(happening.task))
                self.grab()
            case Word.FAILED:
                self.send(Kind.WORK_FAIL, handle)
                self.grab()

    def drain(self) -> None:
        self.send(Kind.RESET_ABILITIES)
        self.referee.drain_told(self.clock.now_us(), self.name)

    def crash(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        self.fall()

    async def restart(self) -> None:
        self.model.start(self.clock.now_us())
        await self.connect()
