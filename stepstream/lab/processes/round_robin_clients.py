"""Clients behind a front proxy that sends requests to several dispatchers in turn."""

import asyncio
import secrets
import time
from dataclasses import dataclass, field

from stepstream.http.codec import write_request
from stepstream.lab.emulator.clock import US_PER_MS
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.load.clients import Clients
from stepstream.lab.load.response import ReceivedResponse, response_from_http
from stepstream.lab.load.scenario import PlannedRequest
from stepstream.lab.load.site import JobEffect
from stepstream.lab.processes.addresses import Address
from stepstream.lab.verification.observations import FinalOutcome

FAILURE_DETECTION_SECONDS = 1.0
"""How long the front proxy goes on sending to a dispatcher that has failed."""

REQUEST_ID_BYTES = 8


@dataclass(eq=False)
class RoundRobinClients(Clients):
    """Clients whose front proxy detects a failed dispatcher after `FAILURE_DETECTION_SECONDS`."""

    dispatchers: list[Address] = field(default_factory=list)
    failed_at_seconds: dict[int, float] = field(default_factory=dict)  # monotonic, by dispatcher
    request_count: int = 0

    def record_failure(self, dispatcher_index: int) -> None:
        """Record that a dispatcher has failed just now."""
        self.failed_at_seconds[dispatcher_index] = time.monotonic()

    def next_dispatcher(self) -> int:
        """Return the index of the dispatcher that gets the next request."""
        now_seconds = time.monotonic()
        usable = [
            index
            for index in range(len(self.dispatchers))
            if now_seconds - self.failed_at_seconds.get(index, now_seconds)
            < FAILURE_DETECTION_SECONDS
        ]
        self.request_count += 1
        return usable[self.request_count % len(usable)]

    async def send_by_http(
        self,
        planned: PlannedRequest,
        workload: bytes,
        remaining_us: int,
        *,
        is_retry: bool,  # noqa: ARG002  the front marks no retries
    ) -> ReceivedResponse:
        """Send a job to the next dispatcher on a new connection, and await the outcome."""
        dispatcher_index = self.next_dispatcher()
        job_class = self.scenario.site.job_classes[planned.class_index]
        data = write_request(
            "POST", f"/{job_class.name}", self.request_headers(planned, remaining_us), workload
        )
        try:
            address = self.dispatchers[dispatcher_index]
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            message = await read_response(reader)
            writer.close()
            return response_from_http(message)
        except (OSError, EOFError):
            # If the dispatcher has failed, it is unknown whether it had accepted the job. If the
            # dispatcher runs, it has lost the response.
            if dispatcher_index in self.failed_at_seconds:
                return ReceivedResponse(FinalOutcome.FAILED)
            return ReceivedResponse(FinalOutcome.LOST)

    def request_headers(self, planned: PlannedRequest, remaining_us: int) -> dict[str, str]:
        """Return the headers of a job's HTTP request."""
        site = self.scenario.site
        headers = {
            "Host": "lab",
            "Request-Id": secrets.token_hex(REQUEST_ID_BYTES),
            "Tenant": site.tenants[planned.tenant_index].name,
            "Request-Timeout-Ms": str(max(remaining_us // US_PER_MS, 1)),
            "Request-Info": f"cores_needed={planned.slots}",
            "Connection": "close",
        }
        if site.job_classes[planned.class_index].effect is JobEffect.IDEMPOTENT_WITH_KEY:
            headers["Idempotency-Key"] = f"key-{planned.number}"
        return headers
