"""A Gearman client connection that many emulated clients share."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from stepstream.gearman import codec
from stepstream.gearman.codec import Message, Packet, PacketKind
from stepstream.lab.emulator.streams import LIMITS, READ_BYTES
from stepstream.lab.load.response import ReceivedResponse
from stepstream.lab.verification.observations import FinalOutcome

REJECTION_PREFIX = b"refused"  # of the WORK_WARNING before the WORK_FAIL of a rejected job


@dataclass(eq=False)
class GearmanConnection:
    """A connection that many jobs share; it matches outcomes to jobs by handle."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Jobs that have no handle yet, in the order of their submission.
    jobs_without_handle: deque[asyncio.Future[ReceivedResponse]] = field(default_factory=deque)
    # Unfinished jobs by handle; jobs that the dispatcher coalesces share one.
    open_jobs: dict[bytes, list[asyncio.Future[ReceivedResponse]]] = field(default_factory=dict)
    warnings: dict[bytes, bytes] = field(default_factory=dict)  # latest WORK_WARNING by handle
    is_closed: bool = False
    # Runs `read_packets`; this reference keeps the task from being garbage collected.
    reading_task: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "GearmanConnection":
        """Connect and start to handle the dispatcher's packets."""
        connection = cls(*await asyncio.open_connection(*address))
        connection.reading_task = asyncio.ensure_future(connection.read_packets())
        return connection

    async def submit(self, function: str, unique: str, workload: bytes) -> ReceivedResponse:
        """Submit a job and await its outcome."""
        if self.is_closed:
            return ReceivedResponse(FinalOutcome.LOST)
        future: asyncio.Future[ReceivedResponse] = asyncio.get_running_loop().create_future()
        self.jobs_without_handle.append(future)
        self.writer.write(codec.encode_request(PacketKind.SUBMIT_JOB, function, unique, workload))
        return await future

    async def read_packets(self) -> None:
        """Handle packets until the connection ends; report every unfinished job as lost."""
        parser = codec.Parser(LIMITS, responses=True)
        try:
            while data := await self.reader.read(READ_BYTES):
                parser.feed(data)
                while (packet := parser.next_message()) is not None:
                    self.on_packet(packet)
        except OSError:
            pass
        self.is_closed = True
        unfinished = list(self.jobs_without_handle)
        for futures in self.open_jobs.values():
            unfinished += futures
        for future in unfinished:
            future.set_result(ReceivedResponse(FinalOutcome.LOST))

    def on_packet(self, packet: Message) -> None:
        """Handle a packet of the dispatcher; ignore those that end no job, such as progress."""
        match packet:
            case Packet(PacketKind.JOB_CREATED, (handle,)):
                self.open_jobs.setdefault(handle, []).append(self.jobs_without_handle.popleft())
            case Packet(PacketKind.ERROR, (code, text)):
                outcome = (
                    FinalOutcome.REJECTED if code == b"JOB_QUEUE_FULL" else FinalOutcome.FAILED
                )
                response = ReceivedResponse(outcome, retry_after_seconds=parse_retry_after(text))
                self.jobs_without_handle.popleft().set_result(response)
            case Packet(PacketKind.WORK_WARNING, (handle, text)):
                self.warnings[handle] = text
            case Packet(PacketKind.WORK_COMPLETE, (handle, result)):
                self.finish(handle, ReceivedResponse(FinalOutcome.SERVED, result.decode()))
            case Packet(PacketKind.WORK_FAIL, (handle,)):
                text = self.warnings.get(handle, b"")
                outcome = (
                    FinalOutcome.REJECTED
                    if text.startswith(REJECTION_PREFIX)
                    else FinalOutcome.FAILED
                )
                self.finish(
                    handle, ReceivedResponse(outcome, retry_after_seconds=parse_retry_after(text))
                )

    def finish(self, handle: bytes, response: ReceivedResponse) -> None:
        """End the oldest job of the handle with the response."""
        self.warnings.pop(handle, None)
        futures = self.open_jobs[handle]
        futures.pop(0).set_result(response)
        if not futures:
            del self.open_jobs[handle]


def parse_retry_after(text: bytes) -> float:
    """Return the retry-after in seconds that an outcome's text states; 0 if it states none.

    docs/gearman.md gives the format, in its table of outcomes.
    """
    for field_text in text.decode("utf-8", "replace").split():
        name, _, value = field_text.partition("=")
        if name == "retry-after":
            return float(value)
    return 0.0
