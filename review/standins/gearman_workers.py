"""Gearman workers of one cell, in a process of their own.

Arguments: HOST PORT COUNT SLOTS [WINDOW_MS BREAK_AFTER_MS]. A workload is a run time in
milliseconds and the client's name of the job. Each worker runs any job for that time and returns
the workload.

The workers drop a repeat of a `nav-publish` job, by its key, for the window from its first
assignment to one of them. With BREAK_AFTER_MS the connection of the worker that gets such a job
first breaks so long after its progress report; the job runs on, and the worker connects again
later.

One line for each event goes to standard output: time of the monotonic clock, worker, event, the
client's name of the job.
"""

import asyncio
import sys
import time

from review.standins import gearman
from review.standins.gearman import Packet, PacketReader, encode

FUNCTIONS = (b"revalue", b"price-check", b"nav-publish")
KEYED_FUNCTION = b"nav-publish"
RECONNECT_SECONDS = 0.1
RECONNECT_AFTER_BREAK_SECONDS = 2.0
LATENESS_SECONDS = 0.05  # by which every limit of time is longer


def report(worker: str, event: str, job: str) -> None:
    """Write one line."""
    print(f"{time.monotonic():.6f} {worker} {event} {job}", flush=True)


class Cell:
    """What the workers of a cell share: the keys that they have seen, and how they behave."""

    def __init__(self, slots: int, window_seconds: float, break_after_seconds: float) -> None:
        self.slots = slots
        self.window_seconds = window_seconds
        self.break_after_seconds = break_after_seconds
        self.first_assigned_at: dict[bytes, float] = {}  # by key

    def is_first(self, key: bytes) -> bool:
        """Return whether no worker of the cell has had the key, and remember it."""
        is_first = key not in self.first_assigned_at
        self.first_assigned_at.setdefault(key, time.monotonic())
        return is_first

    def drops(self, key: bytes) -> bool:
        """Return whether a repeat of the key is dropped now."""
        elapsed_seconds = time.monotonic() - self.first_assigned_at[key]
        return elapsed_seconds <= self.window_seconds + LATENESS_SECONDS


class Worker:
    """One worker: as many jobs at once as it has slots; it reconnects when its server returns."""

    def __init__(self, name: str, cell: Cell) -> None:
        self.name = name
        self.cell = cell
        self.running = 0
        self.grabbing = False  # GRAB_JOB is sent and not answered
        self.pause_seconds = RECONNECT_SECONDS
        self.writer: asyncio.StreamWriter | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, host: str, port: int) -> None:
        """Work for the server at this address, whenever it can be reached."""
        while True:
            try:
                reader, self.writer = await asyncio.open_connection(host, port)
                await self.serve(reader, self.writer)
            except OSError:
                pass
            self.writer = None
            await asyncio.sleep(self.pause_seconds)
            self.pause_seconds = RECONNECT_SECONDS

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Register, and work until the connection ends."""
        self.grabbing = False
        started_ms = int((time.time() - 3600) * 1000)
        identity = f"{self.name};slots={self.cell.slots};cell=1;start={started_ms}"
        writer.write(encode(gearman.SET_CLIENT_ID, identity.encode()))
        for function in FUNCTIONS:
            writer.write(encode(gearman.CAN_DO, function))
        self.grab()
        packets = PacketReader()
        while data := await reader.read(65536):
            for packet in packets.feed(data):
                self.handle(packet, writer)

    def grab(self) -> None:
        """Ask for a job if a slot is free."""
        if self.writer is not None and self.running < self.cell.slots and not self.grabbing:
            self.grabbing = True
            self.writer.write(encode(gearman.GRAB_JOB_UNIQ))

    def handle(self, packet: Packet, writer: asyncio.StreamWriter) -> None:
        """Act on a packet of the server."""
        if packet.kind == gearman.NOOP:
            self.grab()
        elif packet.kind == gearman.NO_JOB:
            self.grabbing = False
            writer.write(encode(gearman.PRE_SLEEP))
        elif packet.kind == gearman.JOB_ASSIGN_UNIQ:
            self.grabbing = False
            self.running += 1
            task = asyncio.create_task(self.work(packet, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.grab()

    async def work(self, packet: Packet, writer: asyncio.StreamWriter) -> None:
        """Run one job, unless it is a repeat, and report its end on its connection."""
        handle, function, unique, workload = packet.arguments
        run_ms, _, job = workload.decode().partition(" ")
        if function != KEYED_FUNCTION:
            await self.run_job(int(run_ms), job)
        elif self.cell.is_first(unique):
            if self.cell.break_after_seconds:
                asyncio.get_running_loop().create_task(self.break_connection(handle, job))
            await self.run_job(int(run_ms), job)
        elif self.cell.drops(unique):
            report(self.name, "drops", job)
        else:
            await self.run_job(int(run_ms), job)
        self.running -= 1
        if not writer.is_closing():
            writer.write(encode(gearman.WORK_COMPLETE, handle, workload))
        self.grab()

    async def run_job(self, run_ms: int, job: str) -> None:
        """Run a job for its time; its effect is there at its end."""
        report(self.name, "begins", job)
        await asyncio.sleep(run_ms / 1000)
        report(self.name, "ends", job)

    async def break_connection(self, handle: bytes, job: str) -> None:
        """Report progress; then the connection breaks, and the job runs on."""
        writer = self.writer
        if writer is None:
            return
        writer.write(encode(gearman.WORK_STATUS, handle, b"1", b"10"))
        await asyncio.sleep(self.cell.break_after_seconds)
        report(self.name, "loses-its-connection-during", job)
        self.pause_seconds = RECONNECT_AFTER_BREAK_SECONDS
        writer.transport.abort()


async def main(arguments: list[str]) -> None:
    """Run the workers until the process is ended."""
    host, port, count, slots, *times = arguments
    window_ms, break_after_ms = times or ("0", "0")
    cell = Cell(int(slots), int(window_ms) / 1000, int(break_after_ms) / 1000)
    workers = [Worker(f"w{number}", cell) for number in range(1, int(count) + 1)]
    await asyncio.gather(*(worker.run(host, int(port)) for worker in workers))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
