"""Load test on loopback: emulated workers, discovery and clients with the real dispatcher.

`LoadTest` starts emulated workers and a discovery service in this process and the dispatcher in a
process of its own. It plays the request and fault schedules of a `Scenario` and measures the CPU
time and memory of the dispatcher. It owns the child process, its log and a temporary folder; all
of its state belongs to the event loop's thread.
"""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from stepstream.lab.emulator.clock import MS_PER_SECOND, US_PER_MS, Clock
from stepstream.lab.emulator.discovery import DiscoveryEmulator
from stepstream.lab.emulator.gearman_worker import GearmanWorker
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.emulator.worker_model import WorkerModel
from stepstream.lab.load.clients import Clients
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.load.scenario import Scenario, WireProtocol
from stepstream.lab.processes.addresses import Address, free_port, load_test_host
from stepstream.lab.processes.configuration_files import NodeConfiguration, render_gearman_section
from stepstream.lab.processes.dispatcher_process import (
    STEPSTREAM_PROGRAM,
    DispatcherProcess,
    DispatcherProcessError,
)
from stepstream.lab.processes.process_cost import ProcessCost, read_cost
from stepstream.lab.processes.worker_faults import EmulatedWorker, WorkerFaultInjector
from stepstream.lab.verification.score import Figures
from stepstream.lab.verification.verifier import Verifier

START_TIMEOUT_SECONDS = 20.0
SHUTDOWN_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.02  # while it waits for a dispatcher to listen or to end
PROGRESS_INTERVAL_SECONDS = 0.5
DISPATCHER_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
DISCOVERY_HOST = "127.0.0.1"

EndpointEntry = dict[str, Any]
"""A worker in the discovery service's JSON form."""


class LoadTestError(DispatcherProcessError):
    """A dispatcher of a load test did not become ready, or was never started."""


@dataclass(slots=True)
class LoadTestResult:
    """The outcome of a run."""

    figures: Figures
    cost: ProcessCost
    late_ms: float  # greatest delay of a request behind its planned time, caused by the lab


@dataclass(eq=False)
class LoadTest:
    """A dispatcher process together with emulated workers, discovery and clients.

    As an asynchronous context manager it starts and stops all of them; `play` may be called once
    in between. `with_gearman` says whether the dispatcher gets an operator's file with a Gearman
    listener; without that file it runs as on the platform.
    """

    scenario: Scenario
    seed: int  # of the dispatcher
    with_gearman: bool = True
    clock: Clock = field(default_factory=Clock)
    workers: list[EmulatedWorker] = field(default_factory=list)
    dispatchers: list[DispatcherProcess] = field(default_factory=list)  # filled by `start`
    program: Sequence[str] = STEPSTREAM_PROGRAM  # interpreter's arguments

    def __post_init__(self) -> None:
        self.verifier = Verifier(self.scenario)
        self.host = load_test_host()
        self.http_addresses = [(self.host, free_port(self.host))]  # one per dispatcher
        self.gearman_address = (self.host, free_port(self.host))
        self.discovery = [DiscoveryEmulator(self.clock, self.verifier)]  # one per dispatcher
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="stepstream-lab-")
        self.folder = Path(self.temporary_folder.name)
        self.fault_injector = WorkerFaultInjector(
            self.scenario, self.workers, self.clock, self.verifier, self.announce
        )

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    # -- start and stop ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Start discovery, HTTP workers, dispatchers and Gearman workers, in this order.

        If a dispatcher does not listen in time, stop everything and raise LoadTestError with the
        end of its log.
        """
        try:
            await self._start_all()
        except BaseException:
            await self.stop()
            raise

    async def _start_all(self) -> None:
        discovery_ports = [await discovery.start() for discovery in self.discovery]
        self.workers += [
            self.create_worker(index) for index in range(len(self.scenario.worker_specs))
        ]
        for worker in self.workers:
            if isinstance(worker, HttpWorker):
                await worker.start()
                await self.publish(worker, "ready")
        for index, discovery_port in enumerate(discovery_ports):
            self.start_dispatcher(index, f"{DISCOVERY_HOST}:{discovery_port}")
        await self.wait_for_ready()
        for worker in self.workers:
            if isinstance(worker, GearmanWorker):
                await worker.start()

    def create_worker(self, index: int) -> EmulatedWorker:
        """Create the emulated worker with this index; the caller starts it."""
        seeds = self.scenario.streams["nodes"].spawn(1)
        model = WorkerModel(self.scenario.worker_specs[index], seeds[0], self.clock.now_us())
        if self.scenario.worker_protocols[index] is WireProtocol.HTTP:
            return self.create_http_worker(model)
        functions = tuple(job_class.name for job_class in self.scenario.site.job_classes)
        return GearmanWorker(
            model, self.clock, self.verifier, address=self.gearman_address, functions=functions
        )

    def create_http_worker(self, model: WorkerModel) -> HttpWorker:
        """Create an HTTP worker with this model."""
        return HttpWorker(
            model,
            self.clock,
            self.verifier,
            host=self.host,
            dispatcher_address=self.http_addresses[0],
        )

    def endpoint_entry(self, worker: HttpWorker, state: str, port: int) -> EndpointEntry:
        """Return the worker's entry in discovery's endpoint list, with the platform's keys."""
        spec = worker.model.spec
        return {
            "id": spec.name,
            "addr": f"{self.host}:{port}",
            "zone": spec.zone,
            "kind": spec.kind,
            "cell": spec.cell,
            "state": state,
            "weight": spec.weight,
            "started_ms": worker.model.started_at_us // US_PER_MS,
        }

    async def publish(self, worker: HttpWorker, state: str) -> None:
        """Change the worker's state in discovery at once."""
        await self.discovery[0].update(self.endpoint_entry(worker, state, worker.port))

    async def announce(self, worker: EmulatedWorker, state: str) -> None:
        """Change the worker's state in discovery after the site's delay.

        Do nothing for a Gearman worker: discovery does not list it, and the dispatcher knows it by
        its connection.
        """
        if isinstance(worker, HttpWorker):
            delays_ms = self.scenario.site.discovery_delay_ms
            delay_ms = self.scenario.streams["discovery"].uniform(*delays_ms)
            await asyncio.sleep(delay_ms / MS_PER_SECOND)
            await self.publish(worker, state)

    def start_dispatcher(self, index: int, discovery_address: str) -> None:
        """Write a dispatcher's files and start its process, without waiting until it listens."""
        dispatcher = DispatcherProcess(self.dispatcher_name(index), self.folder)
        self.dispatchers.append(dispatcher)
        configuration = self.node_configuration(index, discovery_address)
        dispatcher.write_files(configuration, self.operator_text(index))
        dispatcher.spawn(self.program)

    def dispatcher_name(self, index: int) -> str:  # noqa: ARG002  there is one
        """Return the name of a dispatcher."""
        return "lab"

    def node_configuration(self, index: int, discovery_address: str) -> NodeConfiguration:
        """Return the content of a dispatcher's configuration file."""
        host, port = self.http_addresses[index]
        return {
            "name": self.dispatcher_name(index),
            "listen": f"{host}:{port}",
            "discovery": discovery_address,
            "seed": f"{self.seed:x}",
            "limits": DISPATCHER_LIMITS,
            "settings": dispatcher_settings(self.scenario),
        }

    def operator_text(self, index: int) -> str | None:  # noqa: ARG002  there is one dispatcher
        """Return the content of a dispatcher's operator's file; None if it gets no file."""
        if not self.with_gearman:
            return None
        host, port = self.gearman_address
        return render_gearman_section(f"{host}:{port}", self.scenario.site.tenants[0].name)

    async def wait_for_ready(self) -> None:
        """Wait until each dispatcher accepts connections on all of its listeners.

        Raise LoadTestError if a process ends, or after `START_TIMEOUT_SECONDS`.
        """
        deadline_seconds = time.monotonic() + START_TIMEOUT_SECONDS
        for dispatcher, address in zip(self.dispatchers, self.http_addresses, strict=True):
            await wait_for_listener(dispatcher, address, deadline_seconds)
        if self.with_gearman:
            await wait_for_listener(self.first_dispatcher(), self.gearman_address, deadline_seconds)

    def first_dispatcher(self) -> DispatcherProcess:
        """Return the first dispatcher; raise LoadTestError if `start` has not started it."""
        if not self.dispatchers:
            raise LoadTestError("no dispatcher is started: call LoadTest.start first")
        return self.dispatchers[0]

    async def stop(self) -> None:
        """Stop faults, workers, dispatchers and discovery, and remove the temporary folder."""
        self.fault_injector.cancel()
        for worker in self.workers:
            worker.stop()
        with contextlib.ExitStack() as stack:
            stack.callback(self.temporary_folder.cleanup)
            for dispatcher in self.dispatchers:
                stack.enter_context(dispatcher)  # kills the process if it still runs
            await self.shut_down_dispatchers()
        for worker in self.workers:
            close_sockets(worker)
        for discovery in self.discovery:
            if discovery.server is not None:
                discovery.server.close()

    async def shut_down_dispatchers(self) -> None:
        """Stop the dispatchers with SIGTERM; wait for `SHUTDOWN_TIMEOUT_SECONDS` at most."""
        for dispatcher in self.dispatchers:
            if dispatcher.is_running():
                dispatcher.terminate()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(wait_for_exit(dispatcher), SHUTDOWN_TIMEOUT_SECONDS)

    # -- run --------------------------------------------------------------------------------------

    async def play(self, on_progress: Callable[[Clients], None] | None = None) -> LoadTestResult:
        """Play the request schedule with its faults and return the outcome.

        `on_progress` is called every `PROGRESS_INTERVAL_SECONDS`. If the dispatcher ends before the
        schedule does, the result has a breach; an error of the lab itself is raised.
        """
        clients = Clients(
            self.scenario,
            self.clock,
            self.verifier,
            self.http_addresses[0],
            self.gearman_address,
        )
        cost_before = self.measure_cost()
        self.fault_injector.schedule()
        progress_task = None
        if on_progress:
            progress_task = asyncio.ensure_future(self.report_progress(clients, on_progress))
        clients_task = asyncio.ensure_future(clients.run())
        exit_task = asyncio.ensure_future(wait_for_exit(self.first_dispatcher()))
        try:
            await asyncio.wait((clients_task, exit_task), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (clients_task, exit_task, progress_task):
                if task is not None and not task.done():
                    task.cancel()
        if clients_task.done():
            clients_task.result()  # raises an error of the lab itself
        else:
            message = f"the dispatcher ended: {self.first_dispatcher().log_tail()}"
            self.verifier.record_breach(self.clock.now_us(), message)
        cost_after = self.measure_cost()
        cost = ProcessCost(cost_after.cpu_s - cost_before.cpu_s, cost_after.rss_mb)
        return LoadTestResult(self.verifier.figures(), cost, clients.max_start_delay_us / US_PER_MS)

    async def report_progress(
        self, clients: Clients, on_progress: Callable[[Clients], None]
    ) -> None:
        """Call `on_progress` every `PROGRESS_INTERVAL_SECONDS` until cancelled."""
        while True:
            on_progress(clients)
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)

    def measure_cost(self) -> ProcessCost:
        """Return what the dispatcher's process has used so far; zeros if it has ended."""
        return read_cost(self.first_dispatcher().started_process().pid)


async def wait_for_listener(
    dispatcher: DispatcherProcess, address: Address, deadline_seconds: float
) -> None:
    """Wait until a dispatcher accepts connections at an address.

    Raise LoadTestError if its process ends, or at the monotonic time `deadline_seconds`.
    """
    while True:
        try:
            dispatcher.require_running()
        except DispatcherProcessError as error:
            raise LoadTestError(f"the dispatcher did not start: {error}") from error
        if time.monotonic() > deadline_seconds:
            raise LoadTestError(f"the dispatcher did not start: {dispatcher.log_tail()}")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            writer.close()
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def wait_for_exit(dispatcher: DispatcherProcess) -> None:
    """Wait until a dispatcher's process has ended."""
    while dispatcher.is_running():
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def close_sockets(worker: EmulatedWorker) -> None:
    """Close an emulated worker's listener and connections."""
    if isinstance(worker, HttpWorker):
        if worker.server is not None:
            worker.server.close()
        for connection in list(worker.connections):
            connection.close()
    elif worker.writer is not None:
        worker.writer.close()
