"""Open-loop clients over both protocols: each job leaves at its time, whatever became of those before it."""

import asyncio
import secrets
from collections import deque
from dataclasses import dataclass, field

from stepstream.gearman import codec
from stepstream.gearman.codec import Kind, Packet
from stepstream.http.codec import Message, write_request
from stepstream.lab.nodes import LIMITS, READ, Clock, Workload, read_answer
from stepstream.lab.referee import Final, Referee
from stepstream.lab.site import Ask, Day, Speech

FOLLOWS = 0.5  # part of the clients that wait as long as they are told
GEARMAN_LINKS = 4


@dataclass(frozen=True, slots=True)
class Heard:
    """What a try came to."""

    final: Final
    result: str | None = None
    pause_s: float = 0.0


@dataclass(eq=False)
class Clients:
    day: Day
    clock: Clock
    referee: Referee
    http: tuple[str, int]
    gearman: tuple[str, int]
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    links: list["GearmanLink"] = field(default_factory=list)
    late_us: int = 0  # by how much the latest job left late: the lab's own fault
    over: int = 0  # jobs that are over

    async def run(self) -> None:
        """All of the schedule; ends when the last job is over."""
        if any(ask.speech is Speech.GEARMAN for ask in self.day.asks):
            self.links = [await GearmanLink.open(self.gearman) for _ in range(GEARMAN_LINKS)]
        self.referee.begun_us = begun_us = self.clock.now_us()
        running = set()
        for ask in self.day.asks:
            wait_us = begun_us + ask.at_us - self.clock.now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            self.late_us = max(self.late_us, -min(wait_us, 0))
            task = asyncio.ensure_future(self.submit(ask))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def submit(self, ask: Ask) -> None:
        """A job with the client's own retries."""
        self.referee.asked(ask)
        part = self.day.site.job[ask.job_class]
        until_us = self.clock.now_us() + int(part.deadline_ms * 1000)
        for attempt in range(self.day.site.retries + 1):
            key = (ask.number, attempt)
            left_us = until_us - self.clock.now_us()
            if left_us <= 0:
                break
            heard = await self.attempt(ask, attempt, left_us)
            self.referee.answered(self.clock.now_us(), key, heard.final, heard.result)
            if heard.final is Final.SERVED or (
                heard.final is Final.FAILED and part.effect == "side_effect"
            ):
                break  # what must not run twice is tried again only after a refusal
            advised = heard.pause_s if ask.patience < FOLLOWS else 0.0
            await asyncio.sleep(max(advised, self.day.site.backoff_ms / 1000))
        self.over += 1

    async def attempt(self, ask: Ask, attempt: int, left_us: int) -> Heard:
        workload = Workload(ask.number, attempt, ask.work_us, ask.slots).dump()
        if ask.speech is Speech.GEARMAN:
            return await self.by_gearman(ask, workload)
        return await self.by_http(ask, workload, left_us, attempt > 0)

    # -- HTTP ---------------------------------------------------------------------------------------------

    async def by_http(self, ask: Ask, workload: bytes, left_us: int, again: bool) -> Heard:
        part = self.day.site.job[ask.job_class]
        headers = {
            "Host": "lab",
            "Request-Id": secrets.token_hex(8),
            "Tenant": self.day.site.tenant[ask.tenant].name,
            "Request-Timeout-Ms": str(max(left_us // 1000, 1)),
            "Request-Info": f"cores_needed={ask.slots}",
        }
        if again and self.day.site.marks_retries:
            headers["Client-Retry"] = "1"
        if part.effect == "token":
            headers["Idempotency-Key"] = f"key-{ask.number}"
        data = write_request("POST", f"/{part.name}", headers, workload)
        used = bool(self.idle)
        for _ in range(2):
            try:
                link = self.idle.pop() if self.idle else await asyncio.open_connection(*self.http)
                link[1].write(data)
                message = await read_answer(link[0])
            except (OSError, EOFError):
                if used:  # closed between two requests, as a dispatcher may: once more on a new one
                    self.idle.clear()
                    used = False
                    continue
                return Heard(Final.LOST)
            if message.keep_alive:
                self.idle.append(link)
            else:
                link[1].close()
            return heard_http(message)
        return Heard(Final.LOST)

    # -- Gearman ------------------------------------------------------------------------------------------

    async def by_gearman(self, ask: Ask, workload: bytes) -> Heard:
        part = self.day.site.job[ask.job_class]
        slots = f"+{ask.slots}" if ask.slots > 1 else ""
        function = f"{self.day.site.tenant[ask.tenant].name}/{part.name}{slots}"
        unique = f"key-{ask.number}" if part.effect == "token" else ""
        return await self.links[ask.number % len(self.links)].submit(function, unique, workload)


def heard_http(message: Message) -> Heard:
    if message.status == 200:
        return Heard(Final.SERVED, message.body.decode())
    if message.status in (429, 503):
        return Heard(Final.REFUSED, pause_s=float(message.headers.get("retry-after", "0")))
    return Heard(Final.FAILED)


@dataclass(eq=False)
class GearmanLink:
    """A connection that many jobs share; outcomes find theirs by handle."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    submitted: deque[asyncio.Future] = field(default_factory=deque)
    open_jobs: dict[bytes, list[asyncio.Future]] = field(default_factory=dict)
    told: dict[bytes, bytes] = field(default_factory=dict)  # by handle, the latest WORK_WARNING
    lost: bool = False  # the connection has ended

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "GearmanLink":
        link = cls(*await asyncio.open_connection(*address))
        link.task = asyncio.ensure_future(link.listen())
        return link

    async def submit(self, function: str, unique: str, workload: bytes) -> Heard:
        if self.lost:
            return Heard(Final.LOST)
        future = asyncio.get_running_loop().create_future()
        self.submitted.append(future)
        self.writer.write(codec.request(Kind.SUBMIT_JOB, function, unique, workload))
        return await future

    async def listen(self) -> None:
        parser = codec.Parser(LIMITS, answers=True)
        try:
            while data := await self.reader.read(READ):
                parser.feed(data)
                while (packet := parser.next()) is not None:
                    self.on_packet(packet)
        except OSError:
            pass
        self.lost = True
        for future in [
            *self.submitted,
            *(f for waiting in self.open_jobs.values() for f in waiting),
        ]:
            future.set_result(Heard(Final.LOST))

    def on_packet(self, packet: Packet) -> None:
        match packet:
            case Packet(Kind.JOB_CREATED, (handle,)):
                self.open_jobs.setdefault(handle, []).append(self.submitted.popleft())
            case Packet(Kind.ERROR, (code, text)):
                final = Final.REFUSED if code == b"JOB_QUEUE_FULL" else Final.FAILED
                self.submitted.popleft().set_result(Heard(final, pause_s=advice(text)))
            case Packet(Kind.WORK_WARNING, (handle, text)):
                self.told[handle] = text
            case Packet(Kind.WORK_COMPLETE, (handle, result)):
                self.end(handle, Heard(Final.SERVED, result.decode()))
            case Packet(Kind.WORK_FAIL, (handle,)):
                text = self.told.get(handle, b"")
                final = Final.REFUSED if text.startswith(b"refused") else Final.FAILED
                self.end(handle, Heard(final, pause_s=advice(text)))

    def end(self, handle: bytes, heard: Heard) -> None:
        self.told.pop(handle, None)
        waiting = self.open_jobs[handle]
        waiting.pop(0).set_result(heard)
        if not waiting:
            del self.open_jobs[handle]


def advice(text: bytes) -> float:
    """The time to come back, in seconds, of docs/gearman.md's table of outcomes."""
    for word in text.decode("utf-8", "replace").split():
        name, _, value = word.partition("=")
        if name == "retry-after":
            return float(value)
    return 0.0
