"""A member of a cluster of dispatchers: its addresses, its process and its admin listener."""

import subprocess
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any, NotRequired, Self, TypedDict

from stepstream.lab.processes.addresses import free_port
from stepstream.lab.processes.dispatcher_process import STEPSTREAM_PROGRAM, DispatcherProcess
from stepstream.subsystem_api.admin_client import call_admin


class MemberStatus(TypedDict, total=False):
    """What a member reports of itself: the `facts` of its row; only the keys that the lab reads."""

    started_ms: int
    count: int  # revision of the status


class MemberRow(TypedDict):
    """A member in the response to `GET /fleet`; only the keys that the lab reads."""

    name: str
    state: str
    generation: int
    incarnation: int
    facts: MemberStatus


class MembershipList(TypedDict):
    """The response to `GET /fleet`; only the keys that the lab reads."""

    self_generation: int
    settled: bool
    digest: str
    members: list[MemberRow]
    number: NotRequired[int]  # number of the latest change
    counted: NotRequired[int]  # number of dispatchers that share the workers
    counts: NotRequired[dict[str, Any]]
    words: NotRequired[list[dict[str, Any]]]  # maintenance records


@dataclass(frozen=True)
class MemberPorts:
    """The ports of one dispatcher's listeners."""

    http: int
    admin: int
    membership: int  # UDP

    @classmethod
    def choose(cls, host: str) -> Self:
        """Return ports that are free on `host` at this moment."""
        return cls(free_port(host), free_port(host), free_port(host))


@dataclass(frozen=True)
class MemberProgram:
    """What each member runs: the interpreter's arguments, and additions to its environment."""

    arguments: tuple[str, ...] = STEPSTREAM_PROGRAM
    environment: Mapping[str, str] = field(default_factory=dict)


class ClusterMember(DispatcherProcess):
    """A dispatcher with all its listeners on `host`.

    `advertised_address` is the address of the relay's socket for it.
    """

    def __init__(
        self, name: str, host: str, ports: MemberPorts, advertised_address: str, folder: Path
    ) -> None:
        super().__init__(name, folder)
        self.host = host
        self.ports = ports
        self.advertised_address = advertised_address
        # The endpoint list that it starts with, in the form of discovery's responses.
        self.persisted_endpoints: dict[str, Any] = {}

    @property
    def admin_address(self) -> str:
        """Address of the admin listener."""
        return f"{self.host}:{self.ports.admin}"

    def spawn_program(self, program: MemberProgram) -> subprocess.Popen[bytes]:
        """Start a process; the member has a $TMPDIR of its own, which a hot restart uses again."""
        private_folder = self.folder / f"{self.name}.tmp"
        private_folder.mkdir(exist_ok=True)
        variables = {**program.environment, "TMPDIR": str(private_folder)}
        return self.spawn(program.arguments, variables)

    # -- admin listener ---------------------------------------------------------------------------

    def call_admin(self, path: str, method: str = "GET") -> tuple[int, Any]:
        """Call the admin listener; return the status and the decoded body.

        Raise ConnectionError if there is no response.
        """
        return call_admin(self.admin_address, path, method)

    def membership_list(self) -> MembershipList | None:
        """Return the member's own membership list; None if it returns none."""
        try:
            status, body = self.call_admin("/fleet")
        except ConnectionError:
            return None
        if status != HTTPStatus.OK:
            return None
        membership_list: MembershipList = body
        return membership_list

    def member_states(self) -> dict[str, str]:
        """Return the states, by name, in this member's list; empty if it returns no list."""
        membership_list = self.membership_list()
        if membership_list is None:
            return {}
        return {row["name"]: row["state"] for row in membership_list["members"]}
