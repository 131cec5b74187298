"""Run one dispatcher among hostile clients, and measure its memory and its sound clients' answers.

The dispatcher and each group of hostile clients are processes of their own. The platform and the
sound clients run in this process.
"""

import asyncio
import os
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from stepstream.lab.faults.overload_plan import Carrier, HostileGroup
from stepstream.lab.processes.addresses import free_port, load_test_host, platform_host
from stepstream.lab.processes.configuration_files import NodeConfiguration
from stepstream.lab.processes.dispatcher_process import DispatcherProcess
from stepstream.lab.processes.memory_series import MemorySeries, files_mb, resident_mb
from stepstream.lab.processes.overload_platform import OverloadPlatform
from stepstream.lab.processes.tls_files import TlsFiles

SAMPLE_SECONDS = 0.02
READY_SECONDS = 15.0
WARM_UP_SECONDS = 1.0
HOT_RESTART_AT_SECONDS = 1.0  # after the hostile clients have begun
BOTH_PROCESSES_SECONDS = 2.0  # before the first gets SIGTERM
KILL_AFTER_SIGTERM_SECONDS = 3.7  # the longest deadline, 3 s at most, and 0.7 s
STATE_FOLDER = "state"  # $TMPDIR of all processes
HOSTILE_CLIENTS_MODULE = "stepstream.lab.load.hostile_clients"
DEFAULT_MEMORY_MB = 192
# As `run` of deploy/balancer.toml sets it.
DEPLOYED_ENVIRONMENT = {"GLIBC_TUNABLES": "glibc.pthread.stack_cache_size=0"}
DEFAULT_DESCRIPTORS = 1024
SERVED = "200"  # outcome of a sound client's request


@dataclass(frozen=True, slots=True)
class OverloadSetup:
    """What one run plays."""

    groups: Sequence[HostileGroup]
    memory_mb: int = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS
    seconds: float = 5.0
    rest_seconds: float = 1.0  # after the hostile clients have left
    client_count: int = 4
    client_interval_seconds: float = 0.1
    operator_sections: str = ""  # of the operator's file, e.g. for Gearman
    is_tls: bool = False  # a listener for HTTP over TLS is open as well
    # In the middle of the load a second process starts, and the first one gets SIGTERM.
    has_hot_restart: bool = False


@dataclass(slots=True)
class OverloadFigures:
    """What a run has shown."""

    memory: MemorySeries = field(default_factory=MemorySeries)
    exit_status: int | None = None  # None: the latest process still ran at the end
    replaced_exit_status: int | None = None  # of the process that a hot restart has replaced
    outcomes: dict[str, int] = field(default_factory=dict)  # of the sound clients
    slowest_seconds: float = 0.0  # of the sound clients' answers
    cpu_seconds: float = 0.0
    hostile_lines: list[str] = field(default_factory=list)
    log: str = ""

    @property
    def peak_mb(self) -> float:
        """The most that the dispatcher's processes and files took together."""
        return self.memory.peak_mb

    @property
    def served_fraction(self) -> float:
        """The part of the sound clients' requests that were served."""
        return self.outcomes.get(SERVED, 0) / max(sum(self.outcomes.values()), 1)


class OverloadRun:
    """A dispatcher, its platform and its hostile clients; a context manager that ends them all."""

    def __init__(self, setup: OverloadSetup, folder: Path) -> None:
        self.setup = setup
        self.folder = folder
        self.host = load_test_host()
        self.port = free_port(self.host)
        self.gearman_port = free_port(self.host)
        self.tls_port = free_port(self.host)
        self.admin_port = free_port(self.host)
        self.tls_files = TlsFiles(folder, f"{self.host}:{self.tls_port}") if setup.is_tls else None
        self.platform = OverloadPlatform(
            (self.host, self.port),
            platform_host(),
            bearer_token=self.tls_files.bearer_token if self.tls_files else "",
        )
        self.dispatcher = DispatcherProcess("n0", folder)
        self.figures = OverloadFigures()
        self.hostile: list[subprocess.Popen[str]] = []
        self.processes: list[subprocess.Popen[bytes]] = []  # of the dispatcher

    def configuration(self) -> NodeConfiguration:
        """Return the dispatcher's configuration."""
        service = {"deadline_us": 5_000_000, "goal_time_us": 200_000, "worth": 1.0}
        configuration: NodeConfiguration = {
            "name": "n0",
            "listen": f"{self.host}:{self.port}",
            "discovery": f"{self.host}:{self.platform.discovery_port}",
            "seed": "1f",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.setup.memory_mb,
                "sockets": self.setup.descriptors,
            },
            "known": self.platform.endpoint_list(),
            "settings": {
                "services": [
                    {**service, "name": "revalue", "effect": "pure"},
                    {**service, "name": "book", "effect": "side_effect"},
                ],
                "projects": [
                    {"name": "tatra-invest", "quota_per_s": 1000.0},
                    {"name": "hron-asset", "quota_per_s": 1000.0},
                ],
                "discovery": "subscribe",
                "zones": ["a"],
                "kinds": ["m"],
                "limits": {"try_limit": 4, "cancelling": True, "max_open": 20_000},
            },
        }
        if self.setup.has_hot_restart:
            configuration["operator"] = f"{self.host}:{self.admin_port}"
        return configuration

    async def play(self) -> OverloadFigures:
        """Play the whole run and return its figures."""
        await self.platform.start()
        try:
            (self.folder / STATE_FOLDER).mkdir()
            self._start_process()
            await self._wait_until_ready()
            await self._play_load()
        finally:
            self._end()
        return self.figures

    def _start_process(self) -> None:
        """Start a process of the dispatcher, beside those that run."""
        sections = self.setup.operator_sections.format(
            host=self.host, gearman_port=self.gearman_port
        )
        if self.tls_files is not None:
            sections += self.tls_files.operator_sections
        self.dispatcher.write_files(self.configuration(), sections or None)
        environment = {**DEPLOYED_ENVIRONMENT, "TMPDIR": str(self.folder / STATE_FOLDER)}
        self.processes.append(self.dispatcher.spawn(environment=environment))

    async def _play_hot_restart(self) -> None:
        """Start a second process, then stop the first as the platform does."""
        first = self.processes[0]
        self.admin_port = free_port(self.host)
        self._start_process()
        await asyncio.sleep(BOTH_PROCESSES_SECONDS)
        first.terminate()
        deadline_seconds = time.monotonic() + KILL_AFTER_SIGTERM_SECONDS
        while first.poll() is None and time.monotonic() < deadline_seconds:
            await asyncio.sleep(SAMPLE_SECONDS)
        if first.poll() is None:
            first.kill()
            first.wait()
        self.figures.replaced_exit_status = first.returncode

    async def _play_load(self) -> None:
        watch = asyncio.ensure_future(self._watch_memory())
        clients = asyncio.ensure_future(
            self.platform.run_clients(self.setup.client_count, self.setup.client_interval_seconds)
        )
        await asyncio.sleep(WARM_UP_SECONDS)
        self.figures.memory.begin_load(time.monotonic())
        cpu_before = self._cpu_seconds()
        self.hostile = [self._start_group(group) for group in self.setup.groups]
        ends_at_seconds = time.monotonic() + self.setup.seconds
        if self.setup.has_hot_restart:
            await asyncio.sleep(HOT_RESTART_AT_SECONDS)
            await self._play_hot_restart()
        await asyncio.sleep(max(ends_at_seconds - time.monotonic(), 0.0))
        self.figures.cpu_seconds = self._cpu_seconds() - cpu_before
        self.figures.memory.end_load(time.monotonic())
        await asyncio.sleep(self.setup.rest_seconds)
        self.platform.stopping.set()
        await clients
        self.figures.exit_status = self.dispatcher.started_process().poll()
        watch.cancel()
        self.figures.outcomes = self.platform.outcome_counts()
        self.figures.slowest_seconds = max(answer.seconds for answer in self.platform.answers)
        self.figures.hostile_lines = [process.communicate()[0].strip() for process in self.hostile]
        self.figures.log = self.dispatcher.read_log()

    def _start_group(self, group: HostileGroup) -> "subprocess.Popen[str]":
        port = {
            Carrier.HTTP: self.port,
            Carrier.GEARMAN: self.gearman_port,
            Carrier.TLS: self.tls_port,
        }[group.carrier]
        arguments = [
            sys.executable,
            "-m",
            HOSTILE_CLIENTS_MODULE,
            f"{self.host}:{port}",
            group.kind,
            f"--connections={group.connections}",
            f"--seconds={self.setup.seconds}",
            f"--departure={group.departure}",
            f"--piece-seconds={group.piece_seconds}",
            f"--piece-bytes={group.piece_bytes}",
        ]
        if group.carrier is Carrier.TLS:
            arguments.append("--tls")
        return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)

    async def _wait_until_ready(self) -> None:
        deadline_seconds = time.monotonic() + READY_SECONDS
        while True:
            self.dispatcher.require_running()
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b"200" in line:
                    return
            except OSError:
                pass
            if time.monotonic() > deadline_seconds:
                raise TimeoutError(f"not ready: {self.dispatcher.log_tail()}")
            await asyncio.sleep(0.05)

    async def _watch_memory(self) -> None:
        """Note what the platform counts, of all processes of the dispatcher together."""
        folder = self.folder / STATE_FOLDER
        while True:
            resident = sum(resident_mb(process.pid) for process in self.processes)
            self.figures.memory.add(time.monotonic(), resident, files_mb(folder))
            await asyncio.sleep(SAMPLE_SECONDS)

    def _cpu_seconds(self) -> float:
        try:
            text = Path(f"/proc/{self.dispatcher.started_process().pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _end(self) -> None:
        for process in self.hostile:
            process.kill()
            process.wait()
        with self.dispatcher:
            pass
        self.platform.close()


def play(setup: OverloadSetup, folder: Path) -> OverloadFigures:
    """Play a run in an event loop of its own."""

    async def run() -> OverloadFigures:
        figures = await OverloadRun(setup, folder).play()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        await asyncio.sleep(0)  # lets the closed connections release their sockets
        return figures

    return asyncio.run(run())
