"""Load test of several dispatchers behind one front, with workers that they share.

A `ClusterLoadTest` plays its scenario while a disturbance of the caller's happens to dispatchers;
`cluster_scenarios` has the ones that are measured.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from stepstream.lab.emulator.clock import US_PER_MS
from stepstream.lab.emulator.discovery import DiscoveryEmulator
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.emulator.worker_model import WorkerModel
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.processes.addresses import free_port
from stepstream.lab.processes.configuration_files import FleetSection, NodeConfiguration
from stepstream.lab.processes.load_test import LoadTest
from stepstream.lab.processes.multi_listener_worker import MultiListenerWorker
from stepstream.lab.processes.round_robin_clients import RoundRobinClients
from stepstream.lab.verification.score import Figures

CLUSTER_NAME = "day"
FIRST_HOST_NUMBER = 200
"""Last byte of the first dispatcher's address; the workers have the load test's own address."""

RANDOM_SEEDS_PER_TEST = 16
"""Dispatchers of one test, at most: each has a random seed of its own."""

MEMBER_COUNT_HOLD_SECONDS = 3
"""`fleet.hold_s`, shorter than its default, as the test is short."""

CONVERGENCE_SECONDS = 2.0
"""After the start, for the dispatchers to agree on one membership list."""

SEED_MEMBERS = 2
LEASES_SECTION = """\
[leases]
voters = ["n0", "n1", "n2"]
longest_s = 3
timeout_ms = 200
probe_sweep = {probe_sweep}
"""

ClientsKind = TypeVar("ClientsKind", bound=RoundRobinClients)

Disturbance = Callable[[RoundRobinClients], Awaitable[None]]
"""What happens to the dispatchers meanwhile; the clients' front has to know of failed ones."""


@dataclass(eq=False)
class ClusterLoadTest(LoadTest):
    """Dispatchers n0, n1, ... with shared workers.

    Without `shares_membership` they have no `[fleet]`, and only their settings say how many they
    are. `delegates_health_checks` says whether one of them checks the workers for all; None: they
    have no `[leases]`.
    """

    dispatcher_count: int = 4
    shares_membership: bool = True
    delegates_health_checks: bool | None = None
    late_ms: float = 0.0  # the longest delay by which the lab itself sent a request late

    def __post_init__(self) -> None:
        super().__post_init__()
        self.with_gearman = False
        network = self.host.rpartition(".")[0]
        hosts = [f"{network}.{FIRST_HOST_NUMBER + index}" for index in range(self.dispatcher_count)]
        self.http_addresses = [(host, free_port(host)) for host in hosts]
        self.member_addresses = [f"{host}:{free_port(host)}" for host in hosts]
        self.discovery = [DiscoveryEmulator(self.clock, self.verifier) for _ in hosts]

    # -- start and stop ---------------------------------------------------------------------------

    def create_http_worker(self, model: WorkerModel) -> HttpWorker:
        """Build a worker with a listener for each dispatcher."""
        return MultiListenerWorker(
            model,
            self.clock,
            self.verifier,
            host=self.host,
            dispatchers=self.http_addresses,
        )

    async def publish(self, worker: HttpWorker, state: str) -> None:
        """Change the worker's state in the discovery of each dispatcher, with its own listener."""
        assert isinstance(worker, MultiListenerWorker)
        for discovery, port in zip(self.discovery, worker.ports, strict=True):
            await discovery.update(self.endpoint_entry(worker, state, port))

    def dispatcher_name(self, index: int) -> str:
        """Return the name of a dispatcher."""
        return f"n{index}"

    def node_configuration(self, index: int, discovery_address: str) -> NodeConfiguration:
        """Return the content of a dispatcher's configuration file."""
        host, port = self.http_addresses[index]
        return {
            "name": self.dispatcher_name(index),
            "listen": f"{host}:{port}",
            "discovery": discovery_address,
            "seed": f"{self.seed * RANDOM_SEEDS_PER_TEST + index:x}",
            "settings": {**dispatcher_settings(self.scenario), "fleet_size": self.dispatcher_count},
        }

    def operator_text(self, index: int) -> str | None:
        """Return the content of a dispatcher's operator's file; None if it gets no such file."""
        if not self.shares_membership:
            return None
        section = FleetSection(
            listen=self.member_addresses[index],
            seeds=self.member_addresses[:SEED_MEMBERS],
            cluster=CLUSTER_NAME,
            further_lines=f"hold_s = {MEMBER_COUNT_HOLD_SECONDS}",
        )
        if self.delegates_health_checks is None:
            return section.render()
        probe_sweep = "true" if self.delegates_health_checks else "false"
        return section.render() + LEASES_SECTION.format(probe_sweep=probe_sweep)

    async def wait_for_ready(self) -> None:
        """Wait until each dispatcher accepts connections, then until they know each other."""
        await super().wait_for_ready()
        await asyncio.sleep(CONVERGENCE_SECONDS)

    async def shut_down_dispatchers(self) -> None:
        """Do nothing: the dispatchers are killed, as the test's outcome is known."""

    # -- run --------------------------------------------------------------------------------------

    async def play_with(self, disturbance: Disturbance) -> Figures:
        """Play the schedules of requests and faults beside a disturbance; return the figures."""
        clients = self.create_clients(RoundRobinClients)
        self.fault_injector.schedule()
        disturbing = asyncio.ensure_future(disturbance(clients))
        await clients.run()
        self.fault_injector.cancel()
        disturbing.cancel()
        self.late_ms = clients.max_start_delay_us / US_PER_MS
        return self.verifier.figures()

    def create_clients(self, kind: type[ClientsKind]) -> ClientsKind:
        """Build the clients of this test's load."""
        return kind(
            self.scenario,
            self.clock,
            self.verifier,
            self.http_addresses[0],
            self.gearman_address,
            dispatchers=self.http_addresses,
        )

    def kill_dispatcher(self, index: int) -> None:
        """Kill a dispatcher without waiting for its end."""
        self.dispatchers[index].send_signal(signal.SIGKILL)

    def health_check_leaders(self) -> list[int]:
        """Return which dispatchers held the lease on health checks, in order, by their logs."""
        acquired: list[tuple[str, int]] = []  # time of the log line, dispatcher
        for index, dispatcher in enumerate(self.dispatchers):
            for line in dispatcher.read_log().splitlines():
                if is_health_check_lease_acquired(line):
                    acquired.append((line.split()[0], index))
        return [index for _, index in sorted(acquired)]


def is_health_check_lease_acquired(line: str) -> bool:
    """Return whether a log line says that its dispatcher has acquired the health-check lease."""
    return all(field in line for field in ("lease=probe-sweep", "after=held", "before=wanted"))
