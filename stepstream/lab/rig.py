"""A whole day on loopback: fleet, discovery, clients, and the real program in a process of its own."""

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

import ujson

from stepstream.lab.catalogue import Catalogue
from stepstream.lab.clients import Clients
from stepstream.lab.nodes import Clock, GearmanNode, HttpNode, NodeDriver
from stepstream.lab.pricing import PricingNode
from stepstream.lab.referee import Figures, Referee
from stepstream.lab.site import Day, Fault, Speech, settings_of

START_S = 20.0
PATIENCE_S = 0.02
DRAIN_STEP_S = 0.05
OPERATOR = """[gearman]
listen = "{host}:{port}"
tenant = "{tenant}"
"""


@dataclass(slots=True)
class Cost:
    """What the dispatcher used. CPU in seconds, memory in megabytes."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0


@dataclass(slots=True)
class Result:
    figures: Figures
    cost: Cost
    late_ms: float  # by how much the lab itself was late at its worst


def own_host() -> str:
    """A loopback address that no other process of the lab uses.

    Connections leave from 127.0.0.1, so none of them takes a port here between its choice and its use.
    """
    number = os.getpid() % 2**16
    return f"127.77.{number >> 8}.{number & 255}"


def free_port(host: str) -> int:
    with socket.create_server((host, 0)) as probe:
        return probe.getsockname()[1]


@dataclass(eq=False)
class Rig:
    """`with_gearman`: whether the dispatcher is given the operator's file; off, it is the platform's."""

    day: Day
    seed: int
    with_gearman: bool = True
    clock: Clock = field(default_factory=Clock)
    nodes: list[NodeDriver] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    log: object = None

    def __post_init__(self) -> None:
        self.referee = Referee(self.day)
        self.catalogue = Catalogue(self.clock, self.referee)
        self.host = own_host()
        self.http, self.gearman = (
            (self.host, free_port(self.host)),
            (self.host, free_port(self.host)),
        )
        self.folder = tempfile.TemporaryDirectory(prefix="stepstream-lab-")
        self.faults: list[asyncio.Task] = []

    # -- start and end ------------------------------------------------------------------------------------

    async def start(self) -> None:
        port = await self.catalogue.begin()
        self.nodes = [self.node(k) for k in range(len(self.day.specs))]
        for node in self.nodes:
            if isinstance(node, HttpNode):
                await node.begin()
                await self.catalogue.put(self.row(node, "ready"))
        await self.start_dispatcher(port)
        for node in self.nodes:
            if isinstance(node, GearmanNode):
                await node.begin()

    def node(self, k: int) -> NodeDriver:
        seeds = self.day.streams["nodes"].spawn(1)
        model = PricingNode(self.day.specs[k], seeds[0], self.clock.now_us())
        if self.day.speeches[k] is Speech.HTTP:
            return HttpNode(model, self.clock, self.referee, host=self.host, dispatcher=self.http)
        names = tuple(part.name for part in self.day.site.job)
        return GearmanNode(model, self.clock, self.referee, address=self.gearman, functions=names)

    def row(self, node: HttpNode, state: str) -> dict:
        spec = node.model.spec
        return {
            "id": spec.name,
            "addr": f"{self.host}:{node.port}",
            "zone": spec.zone,
            "kind": spec.kind,
            "cell": spec.cell,
            "state": state,
            "weight": spec.weight,
            "started_ms": node.model.started_us // 1000,
        }

    async def start_dispatcher(self, discovery_port: int) -> None:
        folder = Path(self.folder.name)
        config = {
            "name": "lab",
            "listen": f"{self.http[0]}:{self.http[1]}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{self.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings_of(self.day),
        }
        (folder / "config.json").write_text(ujson.dumps(config))
        arguments = [sys.executable, "-m", "stepstream", "serve"]
        if self.with_gearman:
            text = OPERATOR.format(
                host=self.host, port=self.gearman[1], tenant=self.day.site.tenant[0].name
            )
            (folder / "operator.toml").write_text(text)
            arguments += ["--operator", str(folder / "operator.toml")]
        self.log = open(folder / "log.txt", "w+", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            *arguments,
            env={**os.environ, "EDGE_CONFIG": str(folder / "config.json")},
            stderr=self.log,
        )
        await self.wait_for_ready()

    async def wait_for_ready(self) -> None:
        until = time.monotonic() + START_S
        for address in [self.http, *([self.gearman] if self.with_gearman else [])]:
            while True:
                if self.process.returncode is not None or time.monotonic() > until:
                    raise RuntimeError(f"the dispatcher did not start: {self.last_words()}")
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*address)
                    writer.close()
                    break
                await asyncio.sleep(PATIENCE_S)

    def last_words(self) -> str:
        self.log.flush()
        self.log.seek(0)
        return self.log.read()[-2000:].strip()

    async def stop(self) -> None:
        for task in self.faults:
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

    # -- a day --------------------------------------------------------------------------------------------

    async def play(self, watch: Callable[[Clients], None] | None = None) -> Result:
        """The schedule with its faults. `watch` is called twice a second."""
        clients = Clients(self.day, self.clock, self.referee, self.http, self.gearman)
        before = self.cost()
        self.faults = [asyncio.ensure_future(self.fault(fault)) for fault in self.day.faults]
        watcher = asyncio.ensure_future(self.watch(clients, watch)) if watch else None
        run, ended = (
            asyncio.ensure_future(clients.run()),
            asyncio.ensure_future(self.process.wait()),
        )
        try:
            await asyncio.wait((run, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (run, ended, watcher):
                if task is not None and not task.done():
                    task.cancel()
        if run.done():
            run.result()  # a fault of the lab's own is not the dispatcher's
        else:
            self.referee.breach(self.clock.now_us(), f"the dispatcher ended: {self.last_words()}")
        after = self.cost()
        cost = Cost(after.cpu_s - before.cpu_s, after.rss_mb)
        return Result(self.referee.figures(), cost, clients.late_us / 1000)

    async def watch(self, clients: Clients, show: Callable[[Clients], None]) -> None:
        while True:
            show(clients)
            await asyncio.sleep(0.5)

    def cost(self) -> Cost:
        """Of the dispatcher's process so far, from the kernel's own account."""
        try:
            stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return Cost()
        ticks = int(stat[11]) + int(stat[12])
        pages = int(stat[21])
        return Cost(ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE") / 1e6)

    # -- faults -------------------------------------------------------------------------------------------

    async def fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_us / 1e6)
        await asyncio.gather(*(self.strike(fault, self.nodes[k]) for k in fault.nodes))

    async def strike(self, fault: Fault, node: NodeDriver) -> None:
        seconds = (fault.end_us - fault.at_us) / 1e6
        match fault.kind:
            case "slow":
                node.model.advance(self.clock.now_us())
                node.model.slow = fault.size
                await asyncio.sleep(seconds)
                node.model.advance(self.clock.now_us())
                node.model.slow = 1.0
                node.stirred.set()
            case "errors":
                node.model.fails = fault.size
                await asyncio.sleep(seconds)
                node.model.fails = 0.0
            case "crash":
                node.crash()
                await self.announce(node, "gone")
                await asyncio.sleep(seconds)
                await self.return_of(node)
            case "drain":
                await self.drain(node)
                await asyncio.sleep(seconds)
                await self.return_of(node)

    async def drain(self, node: NodeDriver) -> None:
        """Told, then it finishes its work, then its process ends."""
        if isinstance(node, GearmanNode):
            node.drain()
        else:
            await self.announce(node, "draining")
        while node.model.running or node.model.waiting:
            await asyncio.sleep(DRAIN_STEP_S)
        # What the rule still allows may come within the grace: the process waits that long.
        await asyncio.sleep(self.day.site.drain_grace_ms / 1000 + 0.2)
        while node.model.running or node.model.waiting:
            await asyncio.sleep(DRAIN_STEP_S)
        node.crash()
        await self.announce(node, "gone")

    async def return_of(self, node: NodeDriver) -> None:
        await node.restart()
        self.referee.ready_again(node.name)
        await self.announce(node, "ready")

    async def announce(self, node: NodeDriver, state: str) -> None:
        """Discovery hears of it late; a Gearman worker's connection is its own word."""
        if isinstance(node, HttpNode):
            row = self.row(node, state)
            late = self.day.streams["discovery"].uniform(*self.day.site.notice_ms) / 1000
            await asyncio.sleep(late)
            await self.catalogue.put(row)
