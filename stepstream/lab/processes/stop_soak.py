"""A stop soak: stop dispatchers under load in every way, one after the other.

A `StopSoak` plays the plan of a seed. Clients keep using their open connections until a dispatcher
has ended. A dispatcher that does not end in time is killed as early as the platform might kill it.
The lab's verifier decides whether a request was lost.
"""

import asyncio
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field

from stepstream.http.codec import write_request
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.faults.stop_plan import (
    RELOAD_INTERVAL_SECONDS,
    PlannedStop,
    StopKind,
    StopPlan,
)
from stepstream.lab.processes.addresses import Address, free_port
from stepstream.lab.processes.cluster_load_test import ClusterLoadTest
from stepstream.lab.processes.configuration_files import NodeConfiguration
from stepstream.lab.processes.dispatcher_process import DispatcherProcess, end_process
from stepstream.lab.processes.load_test import wait_for_exit
from stepstream.lab.processes.persistent_clients import PersistentClients
from stepstream.lab.verification.score import Figures

MAX_DEADLINE_SECONDS = 3.0  # longest deadline for which the platform puts off a kill
KILL_AFTER_DEADLINE_SECONDS = 0.7
READY_TIMEOUT_SECONDS = 6.0
READY_POLL_SECONDS = 0.05
DRAIN_SECONDS = 1.5
MAINTENANCE_SECONDS = 1.0
EXTRA_CONNECTIONS_PER_DISPATCHER = 40
CROWD_CONNECTIONS_PER_DISPATCHER = 60
MAX_CROWD_SECONDS = 120  # it is ended with the load
HTTP_OK = 200
UNFINISHED_REQUEST = b"POST /revalue HTTP/1.1\r\nContent-Le"


class SoakError(Exception):
    """The soak cannot go on: a dispatcher is not ready, or discovery was not started."""


@dataclass(eq=False)
class StopSoak(ClusterLoadTest):
    """Dispatchers without membership, each with an admin listener and a folder for its state."""

    plan: StopPlan = field(default_factory=lambda: StopPlan((), has_extra_connections=False))
    killed_count: int = 0  # processes that did not end in time and were killed
    # Requests sent again because a dispatcher closed the connection before it read them.
    unread_request_count: int = 0

    def __post_init__(self) -> None:
        self.shares_membership = False
        super().__post_init__()
        self.admin_addresses: list[Address] = [
            (host, free_port(host)) for host, _ in self.http_addresses
        ]
        self.stop_locks = [asyncio.Lock() for _ in self.http_addresses]
        self.maintenance_lock = asyncio.Lock()
        self.extra_connections: list[asyncio.StreamWriter] = []

    @property
    def kill_after_seconds(self) -> float:
        """How long after SIGTERM the platform kills a process that still runs."""
        deadlines = [table.deadline_ms / 1000 for table in self.scenario.site.job_classes]
        return min(max(deadlines), MAX_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS

    # -- dispatchers ------------------------------------------------------------------------------

    def node_configuration(self, index: int, discovery_address: str) -> NodeConfiguration:
        """Return the content of a dispatcher's configuration file."""
        configuration = super().node_configuration(index, discovery_address)
        host, port = self.admin_addresses[index]
        return {**configuration, "operator": f"{host}:{port}"}

    def start_dispatcher(self, index: int, discovery_address: str) -> None:
        """Write a dispatcher's files, create its temporary folder and start its process."""
        dispatcher = DispatcherProcess(self.dispatcher_name(index), self.folder)
        self.dispatchers.append(dispatcher)
        (self.folder / f"tmp-{index}").mkdir()
        self.spawn(index, discovery_address)

    def spawn(self, index: int, discovery_address: str) -> None:
        """Start another process of a dispatcher, with its present addresses."""
        dispatcher = self.dispatchers[index]
        dispatcher.write_files(self.node_configuration(index, discovery_address), None)
        dispatcher.spawn(self.program, environment={"TMPDIR": str(self.folder / f"tmp-{index}")})

    def discovery_address(self, index: int) -> str:
        """Return the address of a dispatcher's discovery."""
        server = self.discovery[index].server
        if server is None:
            raise SoakError("discovery is not started")
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def wait_until_healthy(self, index: int) -> None:
        """Wait until a dispatcher's latest process is healthy.

        Raise SoakError after `READY_TIMEOUT_SECONDS`.
        """
        deadline_seconds = time.monotonic() + READY_TIMEOUT_SECONDS
        while await self.call_admin(index, "GET", "/healthcheck") != HTTP_OK:
            if time.monotonic() > deadline_seconds:
                log_tail = self.dispatchers[index].log_tail()
                raise SoakError(f"{self.dispatcher_name(index)} is not ready: {log_tail}")
            await asyncio.sleep(READY_POLL_SECONDS)

    async def call_admin(self, index: int, method: str, path: str) -> int | None:
        """Call a dispatcher's admin listener; return the status, or None without a response."""
        try:
            reader, writer = await asyncio.open_connection(*self.admin_addresses[index])
            writer.write(write_request(method, path, {"Host": "admin"}))
            response = await read_response(reader)
            writer.close()
        except (OSError, EOFError):
            return None
        return response.status

    # -- run --------------------------------------------------------------------------------------

    async def play_plan(self) -> Figures:
        """Play the load and the plan; return the figures, which include the breaches."""
        clients = self.create_clients(PersistentClients)
        self.fault_injector.schedule()
        if self.plan.has_extra_connections:
            await self.open_extra_connections()
        crowd = self.start_crowd()
        stops = [asyncio.ensure_future(self.play_stop(stop, clients)) for stop in self.plan.stops]
        await clients.run()
        await asyncio.gather(*stops)
        self.fault_injector.cancel()
        self.unread_request_count = clients.unread_request_count
        self.check_logs()
        for process in crowd:
            end_process(process)
        for writer in self.extra_connections:
            writer.close()
        return self.verifier.figures()

    def check_logs(self) -> None:
        """Record a breach for each internal fault that a dispatcher has logged."""
        for dispatcher in self.dispatchers:
            for line in dispatcher.read_log().splitlines():
                if "internal_fault" in line or "accept_failed" in line:
                    self.verifier.record_breach(self.clock.now_us(), f"{dispatcher.name}: {line}")

    def start_crowd(self) -> "list[subprocess.Popen[bytes]]":
        """Start a process of hostile clients for each dispatcher, if the plan has a crowd."""
        if not self.plan.crowd_kind:
            return []
        return [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "stepstream.lab.load.hostile_clients",
                    f"{host}:{port}",
                    self.plan.crowd_kind,
                    f"--connections={CROWD_CONNECTIONS_PER_DISPATCHER}",
                    f"--seconds={MAX_CROWD_SECONDS}",
                ],
                stdout=subprocess.DEVNULL,
            )
            for host, port in self.http_addresses
        ]

    async def open_extra_connections(self) -> None:
        """Open connections that stay idle or never finish their first request."""
        for address in self.http_addresses:
            for number in range(EXTRA_CONNECTIONS_PER_DISPATCHER):
                _, writer = await asyncio.open_connection(*address)
                if number % 2:
                    writer.write(UNFINISHED_REQUEST)
                self.extra_connections.append(writer)

    async def play_stop(self, stop: PlannedStop, clients: PersistentClients) -> None:
        """Play a stop at its planned time, or when an earlier stop of the dispatcher has ended."""
        await asyncio.sleep(stop.at_seconds)
        maintenance = None
        if stop.with_maintenance:
            maintenance = asyncio.ensure_future(self.play_maintenance())
        async with self.stop_locks[stop.dispatcher_index]:
            match stop.kind:
                case StopKind.DRAIN:
                    await self.play_drain(stop.dispatcher_index, clients)
                case StopKind.HOT_RESTART:
                    await self.hot_restart(stop)
                case StopKind.TWO_HOT_RESTARTS:
                    await self.hot_restart(stop)
                    await self.hot_restart(stop)
                case _:
                    await self.restart(stop, clients)
        if maintenance is not None:
            await maintenance

    async def play_drain(self, index: int, clients: PersistentClients) -> None:
        """Drain a dispatcher for `DRAIN_SECONDS`, then end the drain."""
        clients.stopping_since[index] = time.monotonic()
        await self.call_admin(index, "PUT", "/healthcheck/fail")
        await asyncio.sleep(DRAIN_SECONDS)
        await self.call_admin(index, "PUT", "/healthcheck/ok")
        clients.stopping_since.pop(index, None)

    async def play_maintenance(self) -> None:
        """Put a worker into maintenance at each dispatcher for `MAINTENANCE_SECONDS`.

        A dispatcher that does not answer is skipped.
        """
        worker = self.workers[0].name
        async with self.maintenance_lock:
            await self.set_maintenance(worker, "maint")
            await asyncio.sleep(MAINTENANCE_SECONDS)
            await self.set_maintenance(worker, "ready")

    async def set_maintenance(self, worker: str, state: str) -> None:
        """Set a worker's maintenance state at each dispatcher, as an operator does."""
        for index in range(len(self.dispatchers)):
            await self.call_admin(index, "PUT", f"/workers/{worker}/{state}")

    async def restart(self, stop: PlannedStop, clients: PersistentClients) -> None:
        """Stop a dispatcher with the signals of the stop's kind, and start it again."""
        index = stop.dispatcher_index
        dispatcher = self.dispatchers[index]
        if stop.kind is StopKind.RELOADS_THEN_SIGTERM:
            await self.send_reloads(dispatcher, stop.reload_count)
        clients.stopping_since[index] = time.monotonic()
        dispatcher.terminate()
        if stop.kind is StopKind.SIGTERM_THEN_RELOADS:
            await self.send_reloads(dispatcher, stop.reload_count)
        if stop.kind is StopKind.SECOND_SIGTERM:
            await asyncio.sleep(stop.pause_seconds)
            dispatcher.terminate()
        await self.wait_for_end(dispatcher, clients.stopping_since[index])
        self.spawn(index, self.discovery_address(index))
        await self.wait_until_healthy(index)
        clients.stopping_since.pop(index, None)

    async def send_reloads(self, dispatcher: DispatcherProcess, count: int) -> None:
        """Send SIGHUP `count` times, at short intervals."""
        for _ in range(count):
            dispatcher.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)

    async def wait_for_end(self, dispatcher: DispatcherProcess, sigterm_at_seconds: float) -> None:
        """Wait for the process's end; kill it if it runs `kill_after_seconds` after SIGTERM.

        `sigterm_at_seconds` is the monotonic time at which SIGTERM was sent.
        """
        process = dispatcher.started_process()
        remaining_seconds = sigterm_at_seconds + self.kill_after_seconds - time.monotonic()
        try:
            await asyncio.wait_for(wait_for_exit(dispatcher), max(remaining_seconds, 0.0))
        except TimeoutError:
            self.killed_count += 1
            dispatcher.kill()
            return
        if process.returncode != 0:
            message = f"{dispatcher.name} ended with {process.returncode}: {dispatcher.log_tail()}"
            self.verifier.record_breach(self.clock.now_us(), message)

    async def hot_restart(self, stop: PlannedStop) -> None:
        """Start a dispatcher's new process beside the old one, then stop the old one."""
        index = stop.dispatcher_index
        old_dispatcher = DispatcherProcess(self.dispatcher_name(index), self.folder)
        old_dispatcher.process = self.dispatchers[index].started_process()
        host, _ = self.admin_addresses[index]
        self.admin_addresses[index] = (host, free_port(host))
        self.spawn(index, self.discovery_address(index))
        await self.wait_until_healthy(index)
        await asyncio.sleep(stop.pause_seconds)
        old_dispatcher.terminate()
        await self.wait_for_end(old_dispatcher, time.monotonic())
