"""Emulate open-loop clients of both protocols.

They send each job at its planned time, even if earlier jobs have not ended. `Clients` owns the
connections; all of its methods run on the event loop that awaits `Clients.run`.
"""

import asyncio
import secrets
from dataclasses import dataclass, field

from stepstream.http.codec import write_request
from stepstream.lab.emulator.clock import MS_PER_SECOND, US_PER_MS, US_PER_SECOND, Clock
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.emulator.workload import Workload
from stepstream.lab.load.gearman_connection import GearmanConnection
from stepstream.lab.load.response import ReceivedResponse, response_from_http
from stepstream.lab.load.scenario import PlannedRequest, Scenario, WireProtocol
from stepstream.lab.load.site import JobEffect
from stepstream.lab.verification.observations import FinalOutcome, RequestKey
from stepstream.lab.verification.verifier import Verifier

RETRY_AFTER_FRACTION = 0.5  # fraction of the clients that wait as long as retry-after says
GEARMAN_CONNECTIONS = 4
MAX_HTTP_SENDS = 2  # of one request: again if a reused connection turns out to be closed


@dataclass(eq=False)
class Clients:
    """Send a scenario's requests to a dispatcher and report each response to the verifier."""

    scenario: Scenario
    clock: Clock
    verifier: Verifier
    http_address: tuple[str, int]  # of the dispatcher's listener
    gearman_address: tuple[str, int]  # of the dispatcher's listener
    # HTTP connections without a request in flight; the most recently used one is reused first.
    idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(
        default_factory=list
    )
    gearman_connections: list[GearmanConnection] = field(default_factory=list)
    # Greatest delay of a job behind its planned time; the lab itself causes it.
    max_start_delay_us: int = 0
    finished_count: int = 0  # jobs that are served or given up

    async def run(self) -> None:
        """Send all requests at their planned times; return when the last job has finished."""
        if any(planned.protocol is WireProtocol.GEARMAN for planned in self.scenario.requests):
            self.gearman_connections = [
                await GearmanConnection.open(self.gearman_address)
                for _ in range(GEARMAN_CONNECTIONS)
            ]
        started_at_us = self.clock.now_us()
        self.verifier.started_at_us = started_at_us
        running: set[asyncio.Task[None]] = set()
        for planned in self.scenario.requests:
            wait_us = started_at_us + planned.at_us - self.clock.now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / US_PER_SECOND)
            self.max_start_delay_us = max(self.max_start_delay_us, -min(wait_us, 0))
            task = asyncio.ensure_future(self.submit(planned))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def submit(self, planned: PlannedRequest) -> None:
        """Send a job until it is served, its deadline passes or its retries are used up.

        After a failure, a job that is not idempotent is not sent again, because it may have run.
        """
        self.verifier.on_submission(planned.number)
        job_class = self.scenario.site.job_classes[planned.class_index]
        is_not_idempotent = job_class.effect is JobEffect.NOT_IDEMPOTENT
        deadline_us = self.clock.now_us() + int(job_class.deadline_ms * US_PER_MS)
        for attempt_number in range(self.scenario.site.retries + 1):
            key = RequestKey(planned.number, attempt_number)
            remaining_us = deadline_us - self.clock.now_us()
            if remaining_us <= 0:
                break
            response = await self.send_attempt(planned, attempt_number, remaining_us)
            self.verifier.on_response(self.clock.now_us(), key, response.outcome, response.result)
            if response.outcome is FinalOutcome.SERVED:
                break
            if response.outcome is FinalOutcome.FAILED and is_not_idempotent:
                break
            follows_retry_after = planned.retry_after_random < RETRY_AFTER_FRACTION
            advised_seconds = response.retry_after_seconds if follows_retry_after else 0.0
            await asyncio.sleep(max(advised_seconds, self.scenario.site.backoff_ms / MS_PER_SECOND))
        self.finished_count += 1

    async def send_attempt(
        self, planned: PlannedRequest, attempt_number: int, remaining_us: int
    ) -> ReceivedResponse:
        """Make one attempt at a job, in its client's protocol, and await the outcome."""
        workload = Workload(
            planned.number, attempt_number, planned.work_us, planned.slots
        ).serialize()
        if planned.protocol is WireProtocol.GEARMAN:
            return await self.send_by_gearman(planned, workload)
        return await self.send_by_http(planned, workload, remaining_us, is_retry=attempt_number > 0)

    async def send_by_http(
        self, planned: PlannedRequest, workload: bytes, remaining_us: int, *, is_retry: bool
    ) -> ReceivedResponse:
        """Send a job by HTTP and await the outcome; `remaining_us` is the time to its deadline."""
        data = self.http_request(planned, workload, remaining_us, is_retry=is_retry)
        may_be_closed = bool(self.idle_connections)
        for _ in range(MAX_HTTP_SENDS):
            try:
                if self.idle_connections:
                    connection = self.idle_connections.pop()
                else:
                    connection = await asyncio.open_connection(*self.http_address)
                reader, writer = connection
                writer.write(data)
                message = await read_response(reader)
            except (OSError, EOFError):
                if may_be_closed:
                    # A dispatcher may close an idle connection at any time: send on a new one.
                    self.idle_connections.clear()
                    may_be_closed = False
                    continue
                return ReceivedResponse(FinalOutcome.LOST)
            if message.keep_alive:
                self.idle_connections.append(connection)
            else:
                writer.close()
            return response_from_http(message)
        return ReceivedResponse(FinalOutcome.LOST)

    def http_request(
        self, planned: PlannedRequest, workload: bytes, remaining_us: int, *, is_retry: bool
    ) -> bytes:
        """Return the bytes of a job's HTTP request."""
        site = self.scenario.site
        job_class = site.job_classes[planned.class_index]
        headers = {
            "Host": "lab",
            "Request-Id": secrets.token_hex(8),
            "Tenant": site.tenants[planned.tenant_index].name,
            "Request-Timeout-Ms": str(max(remaining_us // US_PER_MS, 1)),
            "Request-Info": f"cores_needed={planned.slots}",
        }
        if is_retry and site.marks_retries:
            headers["Client-Retry"] = "1"
        if job_class.effect is JobEffect.IDEMPOTENT_WITH_KEY:
            headers["Idempotency-Key"] = f"key-{planned.number}"
        return write_request("POST", f"/{job_class.name}", headers, workload)

    async def send_by_gearman(self, planned: PlannedRequest, workload: bytes) -> ReceivedResponse:
        """Send a job by Gearman and await the outcome.

        The function names the tenant and the job class, and the number of slots if it is above one.
        """
        job_class = self.scenario.site.job_classes[planned.class_index]
        slots = f"+{planned.slots}" if planned.slots > 1 else ""
        tenant = self.scenario.site.tenants[planned.tenant_index]
        function = f"{tenant.name}/{job_class.name}{slots}"
        unique = (
            f"key-{planned.number}" if job_class.effect is JobEffect.IDEMPOTENT_WITH_KEY else ""
        )
        connection = self.gearman_connections[planned.number % len(self.gearman_connections)]
        return await connection.submit(function, unique, workload)
