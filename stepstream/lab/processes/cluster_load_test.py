"""Load test of several dispatchers behind one front proxy, with shared workers.

A `ClusterLoadTest` plays its scenario while the caller's disturbance stops or suspends dispatchers.
`cluster_scenarios` defines the measured disturbances.
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
"""Greatest number of dispatchers of one test; each of them has a random seed of its own."""

MEMBER_COUNT_HOLD_SECONDS = 3
"""`fleet.hold_s`; shorter than the default because the test is short."""

CONVERGENCE_SECONDS = 2.0
"""Time after the start in which the dispatchers agree on one membership list."""

SEED_MEMBER_COUNT = 2
LEASES_SECTION = """\
[leases]
voters = ["n0", "n1", "n2"]
longest_s = 3
timeout_ms = 200
probe_sweep = {probe_sweep}
"""

ClientsType = TypeVar("ClientsType", bound=RoundRobinClients)

Disturbance = Callable[[RoundRobinClients], Awaitable[None]]
"""Disturb the dispatchers during a run; tell the clients' front proxy which ones have failed."""


@dataclass(eq=False)
class ClusterLoadTest(LoadTest):
    """Dispatchers n0, n1, ... with shared workers.

    Without `shares_membership` they have no `[fleet]` section, and only their settings say how many
    dispatchers there are. `delegates_health_checks` says whether one dispatcher checks the workers
    for all dispatchers; if it is None, they have no `[leases]` section.
    """

    dispatcher_count: int = 4
    shares_membership: bool = True
    delegates_health_checks: bool | None = None
    # Greatest delay of a request behind its planned time; the lab itself causes it.
    late_ms: float = 0.0

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
        """Change the worker's state in each dispatcher's discovery, with that one's listener."""
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
        """Return the content of a dispatcher's operator's file; None if it gets no file."""
        if not self.shares_membership:
            return None
        section = FleetSection(
            listen=self.member_addresses[index],
            seeds=self.member_addresses[:SEED_MEMBER_COUNT],
            cluster=CLUSTER_NAME,
            further_lines=f"hold_s = {MEMBER_COUNT_HOLD_SECONDS}",
        )
        if self.delegates_health_checks is None:
            return section.render()
        probe_sweep = "true" if self.delegates_health_checks else "false"
        return section.render() + LEASES_SECTION.format(probe_sweep=probe_sweep)

    async def wait_for_ready(self) -> None:
        """Wait until each dispatcher accepts connections, then `CONVERGENCE_SECONDS` more."""
        await super().wait_for_ready()
        await asyncio.sleep(CONVERGENCE_SECONDS)

    async def shut_down_dispatchers(self) -> None:
        """Do nothing: the test's result is known, so `stop` may kill the dispatchers."""

    # -- run --------------------------------------------------------------------------------------

    async def play_with(self, disturbance: Disturbance) -> Figures:
        """Play the schedules of requests and faults during a disturbance; return the figures."""
        clients = self.create_clients(RoundRobinClients)
        self.fault_injector.schedule()
        disturbance_task = asyncio.ensure_future(disturbance(clients))
        await clients.run()
        self.fault_injector.cancel()
        disturbance_task.cancel()
        self.late_ms = clients.max_start_delay_us / US_PER_MS
        return self.verifier.figures()

    def create_clients(self, clients_class: type[ClientsType]) -> ClientsType:
        """Create the clients that send this test's load."""
        return clients_class(
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
        """Return the indexes of the dispatchers that acquired the health-check lease, in order.

        The dispatchers' logs say when each of them acquired it.
        """
        acquired: list[tuple[str, int]] = []  # time of the log line, dispatcher's index
        for index, dispatcher in enumerate(self.dispatchers):
            for line in dispatcher.read_log().splitlines():
                if is_health_check_lease_acquired(line):
                    acquired.append((line.split()[0], index))
        return [index for _, index in sorted(acquired)]


def is_health_check_lease_acquired(line: str) -> bool:
    """Return whether a log line says that its dispatcher has acquired the health-check lease."""
    return all(field in line for field in ("lease=probe-sweep", "after=held", "before=wanted"))
