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
SEED_MEMBERS = 2
"""The first members, whose addresses are the seeds of all."""

CLUSTER_NAME = "lab"
DISCOVERY_PORT = 9
"""Nothing listens there: the endpoint list comes from the configuration, if at all."""

SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "revalue", "deadline_us": 3_000_000, "goal_time_us": 200_000, "effect": "pure"},
    ],
    "discovery": "automatic",
    "limits": {"try_limit": 2, "cancelling": True},
}


class ConditionTimeoutError(AssertionError):
    """A condition of the cluster did not hold within the time for it."""


class DispatcherCluster:
    """Members n0, n1, ... that run from the context's begin to its end.

    `fleet_settings` are further lines of every member's `[fleet]`, and sections after it.
    `program` may be replaced before the context begins. `folder` and `members` are there from the
    begin on.
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
        with ExitStack() as stack:  # ends what was begun if a step fails
            self.acquire_resources(stack)
            self.start(self.members)
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *exception: object) -> None:
        self._resources.close()

    def acquire_resources(self, stack: ExitStack) -> None:
        """Make all that the members need before they start; `stack` ends it."""
        self.folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="stepstream-fleet-"))
        )
        stack.enter_context(self.relay)
        for index in range(self.member_count):
            member = self._create_member(f"n{index}", cluster_host(index))
            self.members[member.name] = stack.enter_context(member)
        self.seeds = [member.advertised_address for member in self.members.values()][:SEED_MEMBERS]

    def _create_member(self, name: str, host: str) -> ClusterMember:
        ports = MemberPorts.choose(host)
        advertised_address = self.relay.add_member(name, host, (host, ports.membership))
        return ClusterMember(name, host, ports, advertised_address, self.folder)

    # -- processes --------------------------------------------------------------------------------

    def start(self, names: Iterable[str]) -> None:
        """Start members and wait until each of them answers.

        Raise DispatcherProcessError if a process ends before that, and ConditionTimeoutError after
        `START_TIMEOUT_SECONDS`.
        """
        members = [self.members[name] for name in names]
        for member in members:
            self.spawn(member)
        self.wait_for(lambda: all_ready(members), START_TIMEOUT_SECONDS, "a start")

    def spawn(self, member: ClusterMember) -> subprocess.Popen[bytes]:
        """Write a member's files and start its process, without waiting until it answers."""
        self.write_files(member)
        return member.spawn_program(self.program)

    def spawn_with_shifted_clock(self, member: ClusterMember, offset_seconds: float) -> None:
        """Start a member whose time of day is off, and whose monotonic clock is not."""
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
        """Write a member's configuration and operator's file, with the cluster's values or these.

        The next start or reload reads them.
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

    # -- what the members answer ------------------------------------------------------------------

    def wait_for(
        self, condition: Callable[[], object], timeout_seconds: float, description: str
    ) -> float:
        """Wait until a condition holds and return how many seconds that took.

        Raise ConditionTimeoutError, with the running members' lists, if it does not hold in time.
        """
        begun_at_seconds = time.monotonic()
        while not condition():
            if time.monotonic() - begun_at_seconds > timeout_seconds:
                states = {
                    name: member.member_states()
                    for name, member in self.members.items()
                    if member.is_running()
                }
                text = f"{description} did not come in {timeout_seconds} s: {states}"
                raise ConditionTimeoutError(text)
            time.sleep(POLL_INTERVAL_SECONDS)
        return time.monotonic() - begun_at_seconds

    def has_converged(self, names: Iterable[str]) -> bool:
        """Return whether these members share one settled list that has just them alive."""
        expected = set(names)
        lists = self._converged_lists(expected)
        return bool(lists) and all(alive_names(found) == expected for found in lists)

    def has_converged_among(self, names: Iterable[str]) -> bool:
        """Return whether these members share one settled list that has them, and maybe others."""
        expected = set(names)
        lists = self._converged_lists(expected)
        return bool(lists) and all(expected <= alive_names(found) for found in lists)

    def _converged_lists(self, names: Iterable[str]) -> list[MembershipList]:
        """Return these members' lists; none if one is missing or unsettled, or two differ."""
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
        """Return whether each of these members has `name` in this state."""
        return all(
            self.members[observer].member_states().get(name) == state for observer in observers
        )


def all_ready(members: Sequence[ClusterMember]) -> bool:
    """Return whether each member answers; raise DispatcherProcessError if a process has ended."""
    for member in members:
        member.require_running()
    return all(member.membership_list() is not None for member in members)


def alive_names(membership_list: MembershipList) -> set[str]:
    """Return the names of the members that a list has alive."""
    return {row["name"] for row in membership_list["members"] if row["state"] == "alive"}
