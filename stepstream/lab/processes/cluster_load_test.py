"""A day of several dispatchers behind one front, two of which crash while nodes come back cold.

With and without the fleet's view, on the same schedule: what it does to service and to cold nodes.
"""

import asyncio
import contextlib
import os
import signal
import sys
import time
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

import msgspec
import ujson

from stepstream.http.codec import Message, write_request
from stepstream.lab.emulator.discovery import DiscoveryEmulator
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.emulator.worker_model import OfferResult, Task, TaskEvent, WorkerModel
from stepstream.lab.load.clients import Clients
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.load.response import ReceivedResponse, received_http_response
from stepstream.lab.load.scenario import PlannedRequest, Scenario, WorkerFault, draw_scenario
from stepstream.lab.load.site import FaultKind, JobEffect, read_site
from stepstream.lab.processes.dispatcher_cluster import free_port
from stepstream.lab.processes.load_test import PATIENCE_S, START_S, LoadTest
from stepstream.lab.verification.observations import FinalOutcome
from stepstream.lab.verification.score import Figures

NOTICE_S = 1.0  # the front goes on sending to a dead dispatcher for so long
HOLD_S = 3  # of `fleet.hold_s`: shorter than its default, as the day is short
NODES, LOAD = 12, 0.6


@dataclass(eq=False)
class MultiListenerWorker(HttpWorker):
    """A node with a door for each dispatcher, which tells whose a job is and where its news goes."""

    dispatchers: list[tuple[str, int]] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    doors: list[asyncio.Server] = field(default_factory=list)
    queues: list[asyncio.Queue] = field(default_factory=list)

    async def start(self) -> None:
        self.ports = [0] * len(self.dispatchers)
        self.queues = [asyncio.Queue() for _ in self.dispatchers]
        await self.open_listener()
        self.run_in_background(self.run_model())
        for k in range(len(self.dispatchers)):
            self.run_in_background(self.bring_news_to(k))

    async def open_listener(self) -> None:
        self.doors = [
            await asyncio.start_server(partial(self.serve, listener_index=k), self.host, port)
            for k, port in enumerate(self.ports)
        ]
        self.ports = [door.sockets[0].getsockname()[1] for door in self.doors]

    def offer(self, task_id: str, body: bytes, handle: bytes = b"") -> OfferResult:
        return super().offer(task_id, body, bytes([self.listener_index]))

    def notify(self, event: TaskEvent) -> None:
        super().notify(event)
        self.pass_on(event.task)

    def pass_on(self, task: Task) -> None:
        self.queues[task.context.handle[0]].put_nowait(self.notifications.get_nowait())

    async def bring_news_to(self, k: int) -> None:
        """Each piece until it is answered, ten times at the most."""
        while True:
            news = ujson.dumps(await self.queues[k].get()).encode()
            data = write_request("POST", "/_jobs/news", {"Host": "d", "Connection": "close"}, news)
            for _ in range(10):
                with contextlib.suppress(OSError, EOFError):
                    reader, writer = await asyncio.open_connection(*self.dispatchers[k])
                    writer.write(data)
                    await read_response(reader)
                    writer.close()
                    break
                await asyncio.sleep(0.1)

    def crash(self) -> None:
        for door in self.doors:
            door.close()
        for peer in list(self.connections):
            peer.transport.abort()
        for task in self.terminate():
            news = {"id": task.id, "from": self.name, "state": "lost"}
            self.queues[task.context.handle[0]].put_nowait(news)


@dataclass(eq=False)
class FrontClients(Clients):
    """Clients behind a plain front that sends to each dispatcher in turn."""

    fronts: list[tuple[str, int]] = field(default_factory=list)
    dead: dict[int, float] = field(default_factory=dict)  # since when, monotonic seconds
    turn: int = 0

    def next_front(self) -> int:
        now = time.monotonic()
        usable = [k for k in range(len(self.fronts)) if now - self.dead.get(k, now) < NOTICE_S]
        self.turn += 1
        return usable[self.turn % len(usable)]

    async def send_by_http(
        self, planned: PlannedRequest, workload: bytes, remaining_us: int, *, is_retry: bool
    ) -> ReceivedResponse:
        part, k = self.scenario.site.job_classes[planned.class_index], self.next_front()
        headers = {
            "Host": "lab",
            "Request-Id": os.urandom(8).hex(),
            "Tenant": self.scenario.site.tenants[planned.tenant_index].name,
            "Request-Timeout-Ms": str(max(remaining_us // 1000, 1)),
            "Request-Info": f"cores_needed={planned.slots}",
            "Connection": "close",
        }
        if part.effect is JobEffect.IDEMPOTENT_WITH_KEY:
            headers["Idempotency-Key"] = f"key-{planned.number}"
        try:
            reader, writer = await asyncio.open_connection(*self.fronts[k])
            writer.write(write_request("POST", f"/{part.name}", headers, workload))
            message: Message = await read_response(reader)
            writer.close()
            return received_http_response(message)
        except (OSError, EOFError):
            # Of a killed dispatcher: nothing is known of what it had taken. Of a running one it is a loss.
            return ReceivedResponse(FinalOutcome.FAILED if k in self.dead else FinalOutcome.LOST)


@dataclass(eq=False)
class ClusterLoadTest(LoadTest):
    """`viewed`: whether the dispatchers have `[fleet]`; off, they have their settings' figure only."""

    dispatchers: int = 4
    viewed: bool = True
    sweep: bool | None = None  # whether one probes for all; None: without `[leases]`
    harm: str = ""  # of the sweep's holder in the middle of the day: "kill", "stop" or ""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.with_gearman = False
        hosts = [f"{self.host.rpartition('.')[0]}.{200 + k}" for k in range(self.dispatchers)]
        self.fronts = [(host, free_port(host)) for host in hosts]
        self.members = [f"{host}:{free_port(host)}" for host in hosts]
        self.catalogues = [DiscoveryEmulator(self.clock, self.verifier) for _ in hosts]
        self.processes: list[asyncio.subprocess.Process] = []
        self.toppled = 0

    def node(self, k: int) -> MultiListenerWorker:
        model = WorkerModel(
            self.day.worker_specs[k], self.day.streams["nodes"].spawn(1)[0], self.clock.now_us()
        )
        return MultiListenerWorker(
            model, self.clock, self.verifier, host=self.host, dispatchers=self.fronts
        )

    async def start(self) -> None:
        ports = [await catalogue.start() for catalogue in self.catalogues]
        self.nodes = [self.node(k) for k in range(len(self.day.worker_specs))]
        for node in self.nodes:
            await node.start()
            await self.put(node, "ready")
        for k, port in enumerate(ports):
            await self.spawn_one(k, port)
        self.process = self.processes[0]
        for address in self.fronts:
            until = time.monotonic() + START_S
            while time.monotonic() < until:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*address)
                    writer.close()
                    break
                await asyncio.sleep(PATIENCE_S)
        await asyncio.sleep(2.0)  # for one view

    async def put(self, node: MultiListenerWorker, state: str) -> None:
        for k, catalogue in enumerate(self.catalogues):
            row = {**self.row(node, state), "addr": f"{self.host}:{node.ports[k]}"}
            await catalogue.update(row)

    async def announce(self, node: MultiListenerWorker, state: str) -> None:
        await asyncio.sleep(
            self.day.streams["discovery"].uniform(*self.day.site.discovery_delay_ms) / 1000
        )
        await self.put(node, state)

    async def spawn_one(self, k: int, discovery: int) -> None:
        folder, (host, port) = Path(self.folder.name), self.fronts[k]
        settings = {**dispatcher_settings(self.day), "fleet_size": self.dispatchers}
        config = {
            "name": f"n{k}",
            "listen": f"{host}:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{self.seed * 16 + k:x}",
            "settings": settings,
        }
        (folder / f"n{k}.json").write_text(ujson.dumps(config))
        arguments = [sys.executable, "-m", "stepstream", "serve"]
        if self.viewed:
            seeds = ujson.dumps(self.members[:2], escape_forward_slashes=False)
            (folder / f"n{k}.toml").write_text(
                f'[fleet]\nlisten = "{self.members[k]}"\nseeds = {seeds}\n'
                f'cluster = "day"\nhold_s = {HOLD_S}\n'
            )
            if self.sweep is not None:
                with open(folder / f"n{k}.toml", "a") as file:
                    file.write(
                        '[leases]\nvoters = ["n0", "n1", "n2"]\nlongest_s = 3\ntimeout_ms = 200\n'
                        f"probe_sweep = {str(self.sweep).lower()}\n"
                    )
            arguments += ["--operator", str(folder / f"n{k}.toml")]
        log = self.log = open(folder / f"n{k}.log", "w+", encoding="utf-8")
        environment = {**os.environ, "EDGE_CONFIG": str(folder / f"n{k}.json")}
        made = await asyncio.create_subprocess_exec(*arguments, env=environment, stderr=log)
        self.processes.append(made)

    async def day_of_crashes(self) -> Figures:
        """At two fifths of it two dispatchers die, and a quarter of the nodes, which return."""
        clients = FrontClients(self.day, self.clock, self.verifier, self.fronts[0], self.fronts[0])
        clients.fronts = self.fronts
        faults = [asyncio.ensure_future(self.fault(fault)) for fault in self.day.faults]
        killer = asyncio.ensure_future(self.kill_two(clients))
        await clients.run()
        for task in (*faults, killer):
            task.cancel()
        self.late_ms = clients.max_start_delay_us / 1000
        return self.verifier.figures()

    async def kill_two(self, clients: FrontClients) -> None:
        await asyncio.sleep(0.4 * self.day.seconds)
        for k in (1, 3):
            clients.dead[k] = time.monotonic()
            self.processes[k].kill()

    def sweepers(self) -> list[int]:
        """Which dispatchers had the sweep's lease, one after the other, by their logs."""
        found = []
        for k in range(self.dispatchers):
            for line in (Path(self.folder.name) / f"n{k}.log").read_text().splitlines():
                if "lease=probe-sweep" in line and "after=held" in line and "before=wanted" in line:
                    found.append((line.split()[0], k))
        return [k for _, k in sorted(found)]

    async def day_of_sweep(self) -> Figures:
        """Nothing happens but, if so wished, to the sweep's holder: killed, or stopped for a quarter."""
        clients = FrontClients(self.day, self.clock, self.verifier, self.fronts[0], self.fronts[0])
        clients.fronts = self.fronts
        harm = asyncio.ensure_future(self.harm_sweeper(clients))
        await clients.run()
        harm.cancel()
        self.late_ms = clients.max_start_delay_us / 1000
        return self.verifier.figures()

    async def harm_sweeper(self, clients: FrontClients) -> None:
        if not self.harm:
            return
        await asyncio.sleep(0.4 * self.day.seconds)
        k = (self.sweepers() or [0])[-1]
        clients.dead[k] = time.monotonic()
        if self.harm == "kill":
            self.processes[k].kill()
            return
        self.processes[k].send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.25 * self.day.seconds)
        self.processes[k].send_signal(signal.SIGCONT)

    async def stop(self) -> None:
        for node in self.nodes:
            node.stop()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.folder.cleanup()


async def swept(seed: int, sweep: bool, dispatchers: int, seconds: int, harm: str) -> dict:
    site = msgspec.structs.replace(read_site(name="probed"), worker_count=8, faults=(), load=LOAD)
    rig = ClusterLoadTest(
        draw_scenario(site, seed, seconds, "http"),
        seed,
        dispatchers=dispatchers,
        sweep=sweep,
        harm=harm,
    )
    try:
        await rig.start()
        before = sum(node.health_check_count for node in rig.nodes)
        figures = await rig.day_of_sweep()
        probes = sum(node.health_check_count for node in rig.nodes) - before
        return {
            "seed": seed,
            "sweep": sweep,
            "dispatchers": dispatchers,
            "harm": harm,
            "sweepers": rig.sweepers(),
            "probes_a_worker_s": probes / len(rig.nodes) / seconds,
            "probes_a_request": probes / max(len(rig.day.requests), 1),
            "score": figures.score,
            "whole": figures.whole,
            "breaches": figures.breaches,
            "late_ms": rig.late_ms,
        }
    finally:
        await rig.stop()


def play_swept(job: tuple[int, bool, int, int, str]) -> dict:
    """Seed, whether one probes for all, dispatchers, seconds, harm: probes and service of one day."""
    return asyncio.run(swept(*job))


def day_of(seed: int, seconds: int) -> Scenario:
    """The small site's, with more nodes, and one fault: a quarter of them dies and comes back cold."""
    site = msgspec.structs.replace(read_site(), worker_count=NODES, faults=(), load=LOAD)
    day = draw_scenario(site, seed, seconds, "http")
    hit = tuple(int(k) for k in day.streams["faults"].choice(NODES, size=NODES // 4, replace=False))
    crash = WorkerFault(FaultKind.CRASH, int(0.4e6 * seconds), int(0.6e6 * seconds), hit, 1.0)
    return replace(day, faults=(crash,))


async def played(seed: int, viewed: bool, seconds: int) -> tuple[Figures, float]:
    rig = ClusterLoadTest(day_of(seed, seconds), seed, viewed=viewed)
    try:
        await rig.start()
        return await rig.day_of_crashes(), rig.late_ms
    finally:
        await rig.stop()


def play(job: tuple[int, bool, int]) -> dict:
    """One day: service, worst 10 s and classes, nodes pushed over, and by how much the lab was late."""
    seed, viewed, seconds = job
    figures, late_ms = asyncio.run(played(seed, viewed, seconds))
    return {
        "seed": seed,
        "viewed": viewed,
        "score": figures.score,
        "whole": figures.whole,
        "worst_window": figures.worst_window,
        "finals": figures.finals,
        "breaches": figures.breaches,
        "late_ms": late_ms,
    }
