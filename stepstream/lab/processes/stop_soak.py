"""A soak of stops: dispatchers under load that are stopped in every way, one after the other.

A `StopSoak` plays the plan of a seed while clients keep using their open connections until a
dispatcher is killed, which is at the platform's earliest. The lab's verifier decides.
"""

import asyncio
import signal
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
from stepstream.lab.processes.dispatcher_process import DispatcherProcess
from stepstream.lab.processes.load_test import wait_for_exit
from stepstream.lab.processes.persistent_clients import PersistentClients
from stepstream.lab.verification.score import Figures

MAX_DEADLINE_SECONDS = 3.0  # the platform's bound of what a kill waits for
KILL_AFTER_DEADLINE_SECONDS = 0.7
READY_TIMEOUT_SECONDS = 6.0
READY_POLL_SECONDS = 0.05
DRAIN_SECONDS = 1.5
MAINTENANCE_SECONDS = 1.0
CROWD_CONNECTIONS = 40  # a dispatcher
HTTP_OK = 200
UNFINISHED_REQUEST = b"POST /revalue HTTP/1.1\r\nContent-Le"


class SoakError(Exception):
    """A dispatcher of the soak did not become ready."""


@dataclass(eq=False)
class StopSoak(ClusterLoadTest):
    """Dispatchers without membership, each with an admin listener and a folder for its state."""

    plan: StopPlan = field(default_factory=lambda: StopPlan((), has_extra_connections=False))
    killed_count: int = 0  # stops that the platform's kill had to end
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
        self.crowd: list[asyncio.StreamWriter] = []

    @property
    def kill_after_seconds(self) -> float:
        """How long after SIGTERM the platform kills a process."""
        deadlines = [table.deadline_ms / 1000 for table in self.scenario.site.job_classes]
        return min(max(deadlines), MAX_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS

    # -- dispatchers ------------------------------------------------------------------------------

    def node_configuration(self, index: int, discovery_address: str) -> NodeConfiguration:
        """Return the content of a dispatcher's configuration file."""
        configuration = super().node_configuration(index, discovery_address)
        host, port = self.admin_addresses[index]
        return {**configuration, "operator": f"{host}:{port}"}

    def start_dispatcher(self, index: int, discovery_address: str) -> None:
        """Write a dispatcher's files, make its folder and start its process."""
        dispatcher = DispatcherProcess(self.dispatcher_name(index), self.folder)
        self.dispatchers.append(dispatcher)
        (self.folder / f"tmp-{index}").mkdir()
        self.spawn(index, discovery_address)

    def spawn(self, index: int, discovery_address: str) -> None:
        """Start a process of a dispatcher with the present addresses."""
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
        """Wait until the latest process takes clients; raise SoakError if it does not in time."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while await self.call_admin(index, "GET", "/healthcheck") != HTTP_OK:
            if time.monotonic() > deadline:
                tail = self.dispatchers[index].log_tail()
                raise SoakError(f"{self.dispatcher_name(index)} is not ready: {tail}")
            await asyncio.sleep(READY_POLL_SECONDS)

    async def call_admin(self, index: int, method: str, path: str) -> int | None:
        """Make an operator's call; return its status, None if there was no answer."""
        try:
            reader, writer = await asyncio.open_connection(*self.admin_addresses[index])
            writer.write(write_request(method, path, {"Host": "admin"}))
            message = await read_response(reader)
            writer.close()
        except (OSError, EOFError):
            return None
        return message.status

    # -- run --------------------------------------------------------------------------------------

    async def play_plan(self) -> Figures:
        """Play the load and the plan; return the figures, with each breach."""
        clients = self.create_clients(PersistentClients)
        self.fault_injector.schedule()
        if self.plan.has_extra_connections:
            await self.open_crowd()
        stops = [asyncio.ensure_future(self.play_stop(stop, clients)) for stop in self.plan.stops]
        await clients.run()
        await asyncio.gather(*stops)
        self.fault_injector.cancel()
        self.unread_request_count = clients.unread_request_count
        self.check_logs()
        for writer in self.crowd:
            writer.close()
        return self.verifier.figures()

    def check_logs(self) -> None:
        """Record a breach for each fault that a dispatcher has logged."""
        for dispatcher in self.dispatchers:
            for line in dispatcher.read_log().splitlines():
                if "internal_fault" in line or "accept_failed" in line:
                    self.verifier.breach(self.clock.now_us(), f"{dispatcher.name}: {line}")

    async def open_crowd(self) -> None:
        """Open connections that stay idle, or never finish their first request."""
        for address in self.http_addresses:
            for number in range(CROWD_CONNECTIONS):
                _, writer = await asyncio.open_connection(*address)
                if number % 2:
                    writer.write(UNFINISHED_REQUEST)
                self.crowd.append(writer)

    async def play_stop(self, stop: PlannedStop, clients: PersistentClients) -> None:
        """Wait for the time of a stop, and play it once the dispatcher is not stopping already."""
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
        """Drain a dispatcher for a while, and end the drain."""
        clients.stopping_since[index] = time.monotonic()
        await self.call_admin(index, "PUT", "/healthcheck/fail")
        await asyncio.sleep(DRAIN_SECONDS)
        await self.call_admin(index, "PUT", "/healthcheck/ok")
        clients.stopping_since.pop(index, None)

    async def play_maintenance(self) -> None:
        """Take a worker out of service at every dispatcher for a while, if all of them answer."""
        worker = self.workers[0].name
        async with self.maintenance_lock:
            await self.set_maintenance(worker, "maint")
            await asyncio.sleep(MAINTENANCE_SECONDS)
            await self.set_maintenance(worker, "ready")

    async def set_maintenance(self, worker: str, state: str) -> None:
        """Make an operator's call on a worker at each dispatcher."""
        for index in range(len(self.dispatchers)):
            await self.call_admin(index, "PUT", f"/workers/{worker}/{state}")

    async def restart(self, stop: PlannedStop, clients: PersistentClients) -> None:
        """End a dispatcher by its series of signals, and start it again."""
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
        """Send SIGHUP in a burst."""
        for _ in range(count):
            dispatcher.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)

    async def wait_for_end(self, dispatcher: DispatcherProcess, stopped_at: float) -> None:
        """Wait for the process's end, and kill it when the platform would."""
        process = dispatcher.started_process()
        remaining_seconds = stopped_at + self.kill_after_seconds - time.monotonic()
        try:
            await asyncio.wait_for(wait_for_exit(dispatcher), max(remaining_seconds, 0.0))
        except TimeoutError:
            self.killed_count += 1
            dispatcher.kill()
            return
        if process.returncode != 0:
            text = f"{dispatcher.name} ended with {process.returncode}: {dispatcher.log_tail()}"
            self.verifier.breach(self.clock.now_us(), text)

    async def hot_restart(self, stop: PlannedStop) -> None:
        """Start a successor beside a dispatcher, then end the dispatcher."""
        index = stop.dispatcher_index
        old = DispatcherProcess(self.dispatcher_name(index), self.folder)
        old.process = self.dispatchers[index].started_process()
        host, _ = self.admin_addresses[index]
        self.admin_addresses[index] = (host, free_port(host))
        self.spawn(index, self.discovery_address(index))
        await self.wait_until_healthy(index)
        await asyncio.sleep(stop.pause_seconds)
        old.terminate()
        await self.wait_for_end(old, time.monotonic())
