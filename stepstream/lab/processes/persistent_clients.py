"""Clients that use a connection until the dispatcher closes it or ends."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from stepstream.http.codec import write_request
from stepstream.lab.emulator.clock import US_PER_MS
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.emulator.workload import Workload
from stepstream.lab.load.response import ReceivedResponse, response_from_http
from stepstream.lab.load.scenario import PlannedRequest
from stepstream.lab.processes.round_robin_clients import RoundRobinClients
from stepstream.lab.verification.observations import FinalOutcome, RequestKey

# How long after SIGTERM the front proxy still opens new connections to a dispatcher.
STOP_DETECTION_SECONDS = 0.3
# A running dispatcher reads a request within this time. If the connection ends sooner, it may have
# been closed before the dispatcher read the request.
MAX_READ_DELAY_SECONDS = 0.2
MAX_SENDS = 6  # per request, which is sent again if its connection closed before it was read
RETRY_SECONDS = 0.1  # while no dispatcher accepts a connection

ClientConnection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(eq=False)
class PersistentClients(RoundRobinClients):
    """Clients of several dispatchers that keep their connections open.

    `stopping_since` holds the monotonic time of the SIGTERM of each dispatcher that is stopping, by
    index. After `STOP_DETECTION_SECONDS` the front proxy opens no new connection to it; the clients
    go on using the open ones.
    """

    idle_by_dispatcher: dict[int, list[ClientConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )
    stopping_since: dict[int, float] = field(default_factory=dict)
    # Requests sent again because the dispatcher closed the connection before it read them.
    unread_request_count: int = 0

    async def send_attempt(
        self, planned: PlannedRequest, attempt_number: int, remaining_us: int
    ) -> ReceivedResponse:
        """Send a job, again until a dispatcher has read it, and await the outcome."""
        key = RequestKey(planned.number, attempt_number)
        body = Workload(planned.number, attempt_number, planned.work_us, planned.slots).serialize()
        job_class = self.scenario.site.job_classes[planned.class_index]
        for _ in range(MAX_SENDS):
            headers = self.request_headers(planned, remaining_us)
            del headers["Connection"]
            data = write_request("POST", f"/{job_class.name}", headers, body)
            response = await self.exchange(key, data, remaining_us)
            if response is not None:
                return response
            self.unread_request_count += 1
        return ReceivedResponse(FinalOutcome.FAILED)

    async def exchange(
        self, key: RequestKey, data: bytes, remaining_us: int
    ) -> ReceivedResponse | None:
        """Send a request once; return None if the connection closed before the request was read."""
        index, connection = await self.take_connection(remaining_us)
        reader, writer = connection
        sent_at_seconds = time.monotonic()
        try:
            writer.write(data)
            message = await read_response(reader)
        except (OSError, EOFError):
            writer.close()
            was_read = time.monotonic() - sent_at_seconds > MAX_READ_DELAY_SECONDS
            request = self.verifier.requests.get(key)
            if was_read or (request is not None and request.attempts):
                return ReceivedResponse(FinalOutcome.LOST)
            return None
        if message.keep_alive:
            self.idle_by_dispatcher[index].append(connection)
        else:
            writer.close()
        return response_from_http(message)

    async def take_connection(self, remaining_us: int) -> tuple[int, ClientConnection]:
        """Return an open or new connection to the first dispatcher that has one, and its index.

        Raise TimeoutError if none has one within `remaining_us`.
        """
        deadline_seconds = time.monotonic() + remaining_us / US_PER_MS / 1000
        while True:
            self.request_count += 1
            for offset in range(len(self.dispatchers)):
                index = (self.request_count + offset) % len(self.dispatchers)
                connection = await self.connect_to(index)
                if connection is not None:
                    return index, connection
            if time.monotonic() > deadline_seconds:
                raise TimeoutError("no dispatcher accepts a connection")
            await asyncio.sleep(RETRY_SECONDS)

    async def connect_to(self, index: int) -> ClientConnection | None:
        """Return an open or new connection to a dispatcher; None if it accepts none."""
        while self.idle_by_dispatcher[index]:
            reader, writer = self.idle_by_dispatcher[index].pop(0)
            if not reader.at_eof():
                return reader, writer
            writer.close()
        sigterm_at_seconds = self.stopping_since.get(index)
        if (
            sigterm_at_seconds is not None
            and time.monotonic() - sigterm_at_seconds > STOP_DETECTION_SECONDS
        ):
            return None
        try:
            return await asyncio.open_connection(*self.dispatchers[index])
        except OSError:
            return None
