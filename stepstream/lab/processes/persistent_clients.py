"""Clients that keep their connections, and use them until the dispatcher closes them or ends."""

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

FRONT_NOTICE_SECONDS = 0.3  # the front opens no new connection so long after SIGTERM
# A dispatcher that runs has read a request by then. Sooner, its close may have crossed it unread.
READ_WITHIN_SECONDS = 0.2
MAX_SENDS = 6  # of one request: each crossed a close and was sent elsewhere
RETRY_SECONDS = 0.1  # while no dispatcher takes a connection

ClientConnection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(eq=False)
class PersistentClients(RoundRobinClients):
    """Clients of several dispatchers, each with connections that stay open.

    `stopping_since` is when SIGTERM was sent, in monotonic seconds by dispatcher: the front opens
    no new connection to it, and its clients go on to use those that are open.
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
        """Send a job until a dispatcher has read it, and await the outcome."""
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
        """Send a request once; return None if its connection closed before it was read."""
        index, connection = await self.take_connection(remaining_us)
        reader, writer = connection
        sent_at = time.monotonic()
        try:
            writer.write(data)
            message = await read_response(reader)
        except (OSError, EOFError):
            writer.close()
            was_read = time.monotonic() - sent_at > READ_WITHIN_SECONDS
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
        """Return a dispatcher's open connection, or a new one to a dispatcher that takes them."""
        deadline = time.monotonic() + remaining_us / US_PER_MS / 1000
        while True:
            self.request_count += 1
            for offset in range(len(self.dispatchers)):
                index = (self.request_count + offset) % len(self.dispatchers)
                connection = await self.connect_to(index)
                if connection is not None:
                    return index, connection
            if time.monotonic() > deadline:
                raise TimeoutError("no dispatcher takes a connection")
            await asyncio.sleep(RETRY_SECONDS)

    async def connect_to(self, index: int) -> ClientConnection | None:
        """Return an open connection to a dispatcher, or a new one; None if there can be none."""
        while self.idle_by_dispatcher[index]:
            reader, writer = self.idle_by_dispatcher[index].pop(0)
            if not reader.at_eof():
                return reader, writer
            writer.close()
        since = self.stopping_since.get(index)
        if since is not None and time.monotonic() - since > FRONT_NOTICE_SECONDS:
            return None
        try:
            return await asyncio.open_connection(*self.dispatchers[index])
        except OSError:
            return None
