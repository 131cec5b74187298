"""Several dispatchers in processes of their own, with a relay on every link between them.

A `DispatcherCluster` is a context manager: it owns the processes, the relay's thread and sockets,
and a temporary folder. All calls come from one thread; the relay's thread shares only its links.
"""

import subprocess
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

from stepstream.lab.emulator.links import Links
from stepstream.lab.emulator.udp_relay import UdpRelay
from stepstream.lab.processes.addresses import cluster_host
from stepstream.lab.processes.cluster_member import (
    ClusterMember,
    MemberPorts,
    MemberProgram,
    MembershipList,
)
from stepstream.lab.processes.configuration_files import FleetSection, NodeConfiguration

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
SEED_MEMBER_COUNT = 2
"""How many of the first members are the seeds of all members."""

CLUSTER_NAME = "lab"
DISCOVERY_PORT = 9
"""No process listens there: the members get an endpoint list only from their configuration."""

SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "revalue", "deadline_us": 3_000_000, "goal_time_us": 200_000, "effect": "pure"},
    ],
    "discovery": "automatic",
    "limits": {"try_limit": 2, "cancelling": True},
}


class ConditionTimeoutError(AssertionError):
    """A condition of the cluster did not become true in time."""


class DispatcherCluster:
    """Members n0, n1, ... that run from entering the context to leaving it.

    `fleet_settings` holds further lines of every member's `[fleet]` section, and sections after it.
    `program` may be replaced before the context is entered. `folder` and `members` are set when it
    is entered.
    """

    folder: Path

    def __init__(
        self, member_count: int, seed: int, fleet_settings: str = "", links: Links | None = None
    ) -> None:
        self.member_count = member_count
        self.fleet_settings = fleet_settings
        self.relay = UdpRelay(seed, links)
        self.program = MemberProgram()
        self.members: dict[str, ClusterMember] = {}
        self.seeds: list[str] = []
        self._resources = ExitStack()

    def __enter__(self) -> Self:
        with ExitStack() as stack:  # releases what was acquired if a step fails
            self.acquire_resources(stack)
            self.start(self.members)
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._resources.close()

    def acquire_resources(self, stack: ExitStack) -> None:
        """Create everything that the members need before they start; `stack` releases it."""
        self.folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="stepstream-fleet-"))
        )
        stack.enter_context(self.relay)
        for index in range(self.member_count):
            member = self._create_member(f"n{index}", cluster_host(index))
            self.members[member.name] = stack.enter_context(member)
        self.seeds = [member.advertised_address for member in self.members.values()][
            :SEED_MEMBER_COUNT
        ]

    def _create_member(self, name: str, host: str) -> ClusterMember:
        ports = MemberPorts.choose(host)
        advertised_address = self.relay.add_member(name, host, (host, ports.membership))
        return ClusterMember(name, host, ports, advertised_address, self.folder)

    # -- processes --------------------------------------------------------------------------------

    def start(self, names: Iterable[str]) -> None:
        """Start members and wait until each of them answers at its admin listener.

        Raise DispatcherProcessError if a process ends before that, and ConditionTimeoutError after
        `START_TIMEOUT_SECONDS`.
        """
        members = [self.members[name] for name in names]
        for member in members:
            self.spawn(member)
        self.wait_for(lambda: all_answer(members), START_TIMEOUT_SECONDS, "start of the members")

    def spawn(self, member: ClusterMember) -> subprocess.Popen[bytes]:
        """Write a member's files and start its process, without waiting until it answers."""
        self.write_files(member)
        return member.spawn_program(self.program)

    def spawn_with_shifted_clock(self, member: ClusterMember, offset_seconds: float) -> None:
        """Start a member whose Unix time is shifted; its monotonic clock is unchanged."""
        self.write_files(member)
        module = "stepstream.lab.processes.shifted_clock"
        arguments = ("-m", module, str(offset_seconds), "stepstream")
        member.spawn_program(MemberProgram(arguments, self.program.environment))

    def write_files(
        self,
        member: ClusterMember,
        seeds: list[str] | None = None,
        fleet_settings: str | None = None,
    ) -> None:
        """Write a member's configuration and operator's file.

        `seeds` and `fleet_settings` replace the cluster's values. The member reads the files at its
        next start or reload.
        """
        configuration: NodeConfiguration = {
            "name": member.name,
            "listen": f"{member.host}:{member.ports.http}",
            "discovery": f"{member.host}:{DISCOVERY_PORT}",
            "operator": member.admin_address,
            "settings": SETTINGS,
            "known": member.persisted_endpoints,
        }
        further_lines = self.fleet_settings if fleet_settings is None else fleet_settings
        section = FleetSection(
            listen=f"{member.host}:{member.ports.membership}",
            seeds=self.seeds if seeds is None else seeds,
            cluster=CLUSTER_NAME,
            advertise=member.advertised_address,
            further_lines=f"share_maintenance = true\n{further_lines}",
        )
        member.write_files(configuration, section.render())

    def kill(self, name: str) -> None:
        """Kill a member's process and wait for its end."""
        self.members[name].kill()

    def stop(self, name: str) -> int:
        """Stop a member gracefully and return its exit code."""
        return self.members[name].stop()

    def suspend(self, name: str) -> None:
        """Suspend a member's process."""
        self.members[name].suspend()

    def resume(self, name: str) -> None:
        """Resume a member's process."""
        self.members[name].resume()

    # -- links ------------------------------------------------------------------------------------

    def cut(
        self, senders: Iterable[str], receivers: Iterable[str], *, both_ways: bool = True
    ) -> None:
        """Cut the links from each sender to each receiver, and back if `both_ways`."""
        with self.relay.lock:
            self.relay.links.cut(senders, receivers, both_ways=both_ways)

    def heal(self) -> None:
        """Restore all links that were cut."""
        with self.relay.lock:
            self.relay.links.heal()

    # -- state of the members ---------------------------------------------------------------------

    def wait_for(
        self, condition: Callable[[], object], timeout_seconds: float, description: str
    ) -> float:
        """Wait until a condition is true and return how many seconds that took.

        Raise ConditionTimeoutError after `timeout_seconds`. Its message names the awaited condition
        by `description` and shows the membership lists of the running members.
        """
        begun_at_seconds = time.monotonic()
        while not condition():
            if time.monotonic() - begun_at_seconds > timeout_seconds:
                states = {
                    name: member.member_states()
                    for name, member in self.members.items()
                    if member.is_running()
                }
                message = f"{description}: timed out after {timeout_seconds} s; states: {states}"
                raise ConditionTimeoutError(message)
            time.sleep(POLL_INTERVAL_SECONDS)
        return time.monotonic() - begun_at_seconds

    def has_converged(self, names: Iterable[str]) -> bool:
        """Return whether these members agree on one settled list in which only they are alive."""
        expected = set(names)
        lists = self._converged_lists(expected)
        return bool(lists) and all(alive_names(found) == expected for found in lists)

    def has_converged_among(self, names: Iterable[str]) -> bool:
        """Return whether these members agree on one settled list in which all of them are alive.

        Others may be alive in it, too.
        """
        expected = set(names)
        lists = self._converged_lists(expected)
        return bool(lists) and all(expected <= alive_names(found) for found in lists)

    def _converged_lists(self, names: Iterable[str]) -> list[MembershipList]:
        """Return these members' lists; no list if one is missing or unsettled, or if two differ."""
        lists: list[MembershipList] = []
        for name in names:
            found = self.members[name].membership_list()
            if found is None or not found["settled"]:
                return []
            lists.append(found)
        if len({found["digest"] for found in lists}) != 1:
            return []
        return lists

    def all_observe(self, observers: Iterable[str], name: str, state: str) -> bool:
        """Return whether each of the observers has the member `name` in this state."""
        return all(
            self.members[observer].member_states().get(name) == state for observer in observers
        )


def all_answer(members: Sequence[ClusterMember]) -> bool:
    """Return whether each member answers; raise DispatcherProcessError if one has ended."""
    for member in members:
        member.require_running()
    return all(member.membership_list() is not None for member in members)


def alive_names(membership_list: MembershipList) -> set[str]:
    """Return the names of the members that are alive in a list."""
    return {row["name"] for row in membership_list["members"] if row["state"] == "alive"}
