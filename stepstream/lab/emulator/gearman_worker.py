"""Emulate a Gearman worker."""

import asyncio
import contextlib
from dataclasses import dataclass

from stepstream.gearman import codec
from stepstream.gearman.codec import Message, Packet, PacketKind
from stepstream.lab.emulator.streams import LIMITS, READ_BYTES
from stepstream.lab.emulator.worker_driver import WorkerDriver
from stepstream.lab.emulator.worker_model import SubmissionResult, TaskEvent, TaskState

PROGRESS_DENOMINATOR = 1000  # of the progress in WORK_STATUS


@dataclass(eq=False)
class GearmanWorker(WorkerDriver):
    """Emulate a Gearman worker that runs as many jobs at once as it has slots."""

    address: tuple[str, int] = ("127.0.0.1", 0)  # of the dispatcher's Gearman listener
    functions: tuple[str, ...] = ()
    writer: asyncio.StreamWriter | None = None  # of the present connection; None while down
    grab_pending: bool = False  # GRAB_JOB_UNIQ sent, response outstanding
    sleeping: bool = False  # PRE_SLEEP sent; NOOP wakes it

    async def start(self) -> None:
        """Connect and start to run the model."""
        await self.connect()
        self.run_in_background(self.run_model())

    async def connect(self) -> None:
        """Connect to the dispatcher, announce the worker's properties and request a job."""
        reader, self.writer = await asyncio.open_connection(*self.address)
        spec = self.model.spec
        # The dispatcher takes a worker that does not state its start time as started when it
        # connects, and so as warming up. The first process of each worker is at full capacity, so
        # it states a start time long ago.
        start = "" if self.model.started_at_us else ";start=1"
        self.grab_pending = False
        self.sleeping = False
        client_id = (
            f"{spec.name};zone={spec.zone};kind={spec.kind};cell={spec.cell};slots={spec.slots}"
            f";weight={spec.weight}{start}"
        )
        self.send(PacketKind.SET_CLIENT_ID, client_id)
        for function in self.functions:
            self.send(PacketKind.CAN_DO, function)
        self.run_in_background(self.read_packets(reader, self.writer))
        self.grab_job()

    def send(self, kind: PacketKind, *args: bytes | str | int) -> None:
        """Send a packet; do nothing while the worker is down."""
        if self.writer is not None:
            self.writer.write(codec.encode_request(kind, *args))

    async def read_packets(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection's packets until it ends; ignore them if it is not the latest."""
        parser = codec.Parser(LIMITS, responses=True)
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (packet := parser.next_message()) is not None:
                    if self.writer is writer:
                        self.on_packet(packet)

    def on_packet(self, packet: Message) -> None:
        """Handle a packet of the dispatcher; ignore packets of other kinds."""
        match packet:
            case Packet(PacketKind.JOB_ASSIGN_UNIQ, (handle, _, _, workload)):
                self.grab_pending = False
                result = self.submit(handle.decode(), workload, handle)
                if result in (SubmissionResult.ERROR, SubmissionResult.FULL):
                    self.send(PacketKind.WORK_FAIL, handle)
                self.grab_job()
            case Packet(PacketKind.NO_JOB):
                self.grab_pending = False
                self.sleeping = True
                self.send(PacketKind.PRE_SLEEP)
            case Packet(PacketKind.NOOP):
                self.sleeping = False
                self.grab_job()

    def grab_job(self) -> None:
        """Request a job if a slot is free and no request is pending.

        A draining worker requests jobs too, so that the verifier sees whether it still gets any.
        """
        if (
            self.grab_pending
            or self.sleeping
            or self.model.waiting
            or self.model.busy_slots >= self.model.spec.slots
        ):
            return
        self.grab_pending = True
        self.send(PacketKind.GRAB_JOB_UNIQ)

    def notify(self, event: TaskEvent) -> None:
        """Send a task's progress or end to the dispatcher."""
        task = event.task
        handle = task.context.handle
        match event.state:
            case TaskState.RUNNING:
                done = int(task.completed_fraction() * PROGRESS_DENOMINATOR)
                self.send(PacketKind.WORK_STATUS, handle, done, PROGRESS_DENOMINATOR)
            case TaskState.DONE:
                self.send(PacketKind.WORK_COMPLETE, handle, self.result_of(task))
                self.grab_job()
            case TaskState.FAILED:
                self.send(PacketKind.WORK_FAIL, handle)
                self.grab_job()

    def drain(self) -> None:
        """Withdraw all functions, which notifies the dispatcher that the worker drains."""
        self.send(PacketKind.RESET_ABILITIES)
        self.verifier.on_drain_known(self.clock.now_us(), self.name)

    def crash(self) -> None:
        """Abort the connection and end the process, which loses its tasks."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        self.terminate()

    async def restart(self) -> None:
        """Start a new process, in slow start, and connect it."""
        self.model.start(self.clock.now_us())
        await self.connect()
