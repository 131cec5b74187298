"""Test harness of a lab run on loopback: worker nodes, discovery, clients and the real dispatcher.

`LoadTest` starts emulated worker nodes and a discovery service in this process, the dispatcher in a
process of its own, plays the request and fault schedules of a `Scenario`, and measures what the
dispatcher used. It owns the child process, its log and a temporary folder; all of its state
belongs to the event loop thread that calls `start`.
"""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import ujson

from stepstream.lab.emulator.clock import Clock
from stepstream.lab.emulator.discovery import DiscoveryEmulator
from stepstream.lab.emulator.gearman_worker import GearmanWorker
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.emulator.worker_model import WorkerModel
from stepstream.lab.load.clients import Clients
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.load.scenario import Scenario, WireProtocol, WorkerFault
from stepstream.lab.load.site import FaultKind
from stepstream.lab.verification.score import Figures
from stepstream.lab.verification.verifier import Verifier

START_S = 20.0  # limit for the dispatcher's start, and for its shutdown
PATIENCE_S = 0.02  # between two attempts to connect to a dispatcher that starts
DRAIN_STEP_S = 0.05  # between two looks at a draining node
DRAIN_MARGIN_S = 0.2  # beyond the site's drain grace
PROGRESS_STEP_S = 0.5  # between two progress reports
LOG_TAIL_CHARACTERS = 2000
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # of the dispatcher's process
LOOPBACK_NUMBERS = 2**16  # addresses in 127.77.0.0/16
US_PER_SECOND = 1e6
MS_PER_SECOND = 1000
BYTES_PER_MB = 1e6
# Fields of /proc/PID/stat, counted from the state (field 3 in proc(5)), which follows the name.
STAT_USER_TICKS = 11
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21
OPERATOR = """[gearman]
listen = "{host}:{port}"
tenant = "{tenant}"
"""

EmulatedNode = HttpWorker | GearmanWorker


class LoadTestError(RuntimeError):
    """The dispatcher's process did not start, or is not there."""


@dataclass(slots=True)
class Cost:
    """What the dispatcher's process used: CPU in seconds, resident memory in megabytes."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0


@dataclass(slots=True)
class Result:
    """Outcome of a run."""

    figures: Figures
    cost: Cost
    late_ms: float  # the longest delay by which the lab itself sent a request late


def own_host() -> str:
    """Return a loopback address that no other process of the lab uses.

    Connections leave from 127.0.0.1, so none of them takes a port of this address between the
    choice of the port and its use.
    """
    number = os.getpid() % LOOPBACK_NUMBERS
    return f"127.77.{number >> 8}.{number & 255}"


def free_port(host: str) -> int:
    """Return a TCP port that is free on `host` at this moment."""
    with socket.create_server((host, 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


@dataclass(eq=False)
class LoadTest:
    """A dispatcher process with the emulated fleet, discovery and clients around it.

    Call `start`, then `play` once, and `stop` in any case. `with_gearman` says whether the
    dispatcher gets an operator file with a Gearman listener; without it, it runs as on the
    platform.
    """

    day: Scenario
    seed: int  # of the dispatcher
    with_gearman: bool = True
    clock: Clock = field(default_factory=Clock)
    nodes: list[EmulatedNode] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None  # the dispatcher, once started
    log: TextIO | None = None  # the dispatcher's standard error

    def __post_init__(self) -> None:
        self.verifier = Verifier(self.day)
        self.catalogue = DiscoveryEmulator(self.clock, self.verifier)
        self.host = own_host()
        self.http = (self.host, free_port(self.host))
        self.gearman = (self.host, free_port(self.host))
        self.folder = tempfile.TemporaryDirectory(prefix="stepstream-lab-")
        self.fault_tasks: list[asyncio.Task[None]] = []

    # -- start and stop -----------------------------------------------------------------------

    async def start(self) -> None:
        """Start discovery, HTTP nodes, dispatcher and Gearman workers, in this order.

        Raises RigError with the end of the dispatcher's log if it does not listen in time.
        """
        discovery_port = await self.catalogue.start()
        self.nodes = [self.node(index) for index in range(len(self.day.worker_specs))]
        for node in self.nodes:
            if isinstance(node, HttpWorker):
                await node.start()
                await self.catalogue.update(self.row(node, "ready"))
        await self.start_dispatcher(discovery_port)
        for node in self.nodes:
            if isinstance(node, GearmanWorker):
                await node.start()

    def node(self, index: int) -> EmulatedNode:
        """Build the emulated node with this index; it does not run yet."""
        seeds = self.day.streams["nodes"].spawn(1)
        model = WorkerModel(self.day.worker_specs[index], seeds[0], self.clock.now_us())
        if self.day.worker_protocols[index] is WireProtocol.HTTP:
            return HttpWorker(
                model, self.clock, self.verifier, host=self.host, dispatcher_address=self.http
            )
        names = tuple(job_class.name for job_class in self.day.site.job_classes)
        return GearmanWorker(
            model, self.clock, self.verifier, address=self.gearman, functions=names
        )

    def row(self, node: HttpWorker, state: str) -> dict[str, Any]:
        """Return the node's entry in discovery's endpoint list, with the platform's keys."""
        spec = node.model.spec
        return {
            "id": spec.name,
            "addr": f"{self.host}:{node.port}",
            "zone": spec.zone,
            "kind": spec.kind,
            "cell": spec.cell,
            "state": state,
            "weight": spec.weight,
            "started_ms": node.model.started_at_us // 1000,
        }

    async def start_dispatcher(self, discovery_port: int) -> None:
        """Start `stepstream serve` in a process of its own and wait until it listens."""
        folder = Path(self.folder.name)
        config = {
            "name": "lab",
            "listen": f"{self.http[0]}:{self.http[1]}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{self.seed:x}",
            "limits": LIMITS,
            "settings": dispatcher_settings(self.day),
        }
        (folder / "config.json").write_text(ujson.dumps(config))
        arguments = [sys.executable, "-m", "stepstream", "serve"]
        if self.with_gearman:
            text = OPERATOR.format(
                host=self.host, port=self.gearman[1], tenant=self.day.site.tenants[0].name
            )
            (folder / "operator.toml").write_text(text)
            arguments += ["--operator", str(folder / "operator.toml")]
        self.log = open(  # noqa: SIM115  `stop` closes it after the process
            folder / "log.txt", "w+", encoding="utf-8"
        )
        self.process = await asyncio.create_subprocess_exec(
            *arguments,
            env={**os.environ, "EDGE_CONFIG": str(folder / "config.json")},
            stderr=self.log,
        )
        await self.wait_for_ready()

    async def wait_for_ready(self) -> None:
        """Wait until the dispatcher accepts connections on each of its listeners.

        Raises RigError if its process ends, or after `START_S`.
        """
        deadline_s = time.monotonic() + START_S
        addresses = [self.http]
        if self.with_gearman:
            addresses.append(self.gearman)
        for address in addresses:
            while True:
                has_ended = self.dispatcher().returncode is not None
                if has_ended or time.monotonic() > deadline_s:
                    raise LoadTestError(f"the dispatcher did not start: {self.log_tail()}")
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*address)
                    writer.close()
                    break
                await asyncio.sleep(PATIENCE_S)

    def dispatcher(self) -> asyncio.subprocess.Process:
        """Return the dispatcher's process; RigError if `start` has not started it."""
        if self.process is None:
            raise LoadTestError("the dispatcher's process is not started: call Rig.start first")
        return self.process

    def log_tail(self) -> str:
        """Return the end of the dispatcher's log."""
        if self.log is None:
            return ""
        self.log.flush()
        self.log.seek(0)
        return self.log.read()[-LOG_TAIL_CHARACTERS:].strip()

    async def stop(self) -> None:
        """Stop faults, nodes and dispatcher, and remove the temporary folder.

        The dispatcher gets SIGTERM and, if it has not ended after `START_S`, SIGKILL.
        """
        for task in self.fault_tasks:
            task.cancel()
        for node in self.nodes:
            node.stop()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), START_S)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.log is not None:
            self.log.close()
        self.folder.cleanup()

    # -- run ----------------------------------------------------------------------------------

    async def play(self, on_progress: Callable[[Clients], None] | None = None) -> Result:
        """Play the request schedule with its faults and return the outcome.

        `on_progress` is called twice a second. An end of the dispatcher before that of the
        schedule is a breach in the result; an error of the lab's own is raised.
        """
        clients = Clients(self.day, self.clock, self.verifier, self.http, self.gearman)
        before = self.cost()
        self.fault_tasks = [asyncio.ensure_future(self.fault(fault)) for fault in self.day.faults]
        reporting = None
        if on_progress:
            reporting = asyncio.ensure_future(self.report_progress(clients, on_progress))
        run = asyncio.ensure_future(clients.run())
        ended = asyncio.ensure_future(self.dispatcher().wait())
        try:
            await asyncio.wait((run, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (run, ended, reporting):
                if task is not None and not task.done():
                    task.cancel()
        if run.done():
            run.result()  # raises an error of the lab's own, which is not the dispatcher's
        else:
            self.verifier.breach(self.clock.now_us(), f"the dispatcher ended: {self.log_tail()}")
        after = self.cost()
        cost = Cost(after.cpu_s - before.cpu_s, after.rss_mb)
        return Result(self.verifier.figures(), cost, clients.max_start_delay_us / 1000)

    async def report_progress(
        self, clients: Clients, on_progress: Callable[[Clients], None]
    ) -> None:
        """Call `on_progress` every `PROGRESS_STEP_S` until cancelled."""
        while True:
            on_progress(clients)
            await asyncio.sleep(PROGRESS_STEP_S)

    def cost(self) -> Cost:
        """Return what the dispatcher's process used so far, by proc(5); zeros if it has gone."""
        try:
            stat = Path(f"/proc/{self.dispatcher().pid}/stat").read_text()
        except OSError:
            return Cost()
        values = stat.rpartition(")")[2].split()  # the name before it may hold spaces
        ticks = int(values[STAT_USER_TICKS]) + int(values[STAT_SYSTEM_TICKS])
        resident_bytes = int(values[STAT_RESIDENT_PAGES]) * os.sysconf("SC_PAGE_SIZE")
        return Cost(ticks / os.sysconf("SC_CLK_TCK"), resident_bytes / BYTES_PER_MB)

    # -- faults -------------------------------------------------------------------------------

    async def fault(self, fault: WorkerFault) -> None:
        """Wait for the fault's time and inject it into each of its nodes."""
        await asyncio.sleep(fault.at_us / US_PER_SECOND)
        await asyncio.gather(
            *(self.inject(fault, self.nodes[index]) for index in fault.worker_indexes)
        )

    async def inject(self, fault: WorkerFault, node: EmulatedNode) -> None:
        """Put one node at fault, and back in order when the fault's time is over."""
        duration_s = (fault.end_us - fault.at_us) / US_PER_SECOND
        match fault.kind:
            case FaultKind.SLOW:
                # Work done so far counts at the speed that it was done with.
                node.model.advance(self.clock.now_us())
                node.model.slowdown_factor = fault.size
                await asyncio.sleep(duration_s)
                node.model.advance(self.clock.now_us())
                node.model.slowdown_factor = 1.0
                node.model_changed.set()
            case FaultKind.ERRORS:
                node.model.error_fraction = fault.size
                await asyncio.sleep(duration_s)
                node.model.error_fraction = 0.0
            case FaultKind.CRASH:
                node.crash()
                await self.announce(node, "gone")
                await asyncio.sleep(duration_s)
                await self.bring_back(node)
            case FaultKind.DRAIN:
                await self.drain(node)
                await asyncio.sleep(duration_s)
                await self.bring_back(node)

    async def drain(self, node: EmulatedNode) -> None:
        """Announce that the node drains, let it finish its work, then end its process."""
        if isinstance(node, GearmanWorker):
            node.drain()
        else:
            await self.announce(node, "draining")
        await self.wait_until_idle(node)
        # Jobs may still be sent within the drain grace: the process waits that long.
        await asyncio.sleep(self.day.site.drain_grace_ms / MS_PER_SECOND + DRAIN_MARGIN_S)
        await self.wait_until_idle(node)
        node.crash()
        await self.announce(node, "gone")

    async def wait_until_idle(self, node: EmulatedNode) -> None:
        """Wait until the node has neither running nor waiting jobs."""
        while node.model.running or node.model.waiting:
            await asyncio.sleep(DRAIN_STEP_S)

    async def bring_back(self, node: EmulatedNode) -> None:
        """Start the node's process anew and announce it."""
        await node.restart()
        self.verifier.on_worker_ready(node.name)
        await self.announce(node, "ready")

    async def announce(self, node: EmulatedNode, state: str) -> None:
        """Change the node's state in discovery, with the site's delay.

        Discovery does not list Gearman workers: their connection says that they are there.
        """
        if isinstance(node, HttpWorker):
            row = self.row(node, state)
            notice_ms = self.day.streams["discovery"].uniform(*self.day.site.discovery_delay_ms)
            await asyncio.sleep(notice_ms / MS_PER_SECOND)
            await self.catalogue.update(row)
