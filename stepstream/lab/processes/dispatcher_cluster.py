"""Several dispatchers in processes of their own and the relay between them: to be cut, stopped, killed."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import ujson

from stepstream.lab.emulator.links import Links
from stepstream.lab.emulator.udp_relay import UdpRelay

START_S = 30.0
LOOK_S = 0.05
# The program with its time of day set off by some nanoseconds.
OFF = """
import sys, time
real_ns, real = time.time_ns, time.time
time.time_ns, time.time = (lambda: real_ns() + {0}), (lambda: real() + {0} / 1e9)
from stepstream.cli import main
sys.exit(main(sys.argv[1:]))
"""
SETTINGS = {
    "services": [
        {"name": "revalue", "deadline_us": 3_000_000, "goal_time_us": 200_000, "effect": "pure"},
    ],
    "discovery": "automatic",
    "limits": {"try_limit": 2, "cancelling": True},
}


@dataclass(eq=False)
class Dispatcher:
    """One `stepstream serve`."""

    name: str
    host: str  # all its addresses are there
    ports: dict[str, int]  # clients, admin, fleet
    advertise: str
    folder: Path
    process: subprocess.Popen | None = None
    log: object = None
    settings: dict = field(default_factory=lambda: SETTINGS)
    known: dict = field(default_factory=dict)  # the list that it starts with, in discovery's form

    @property
    def admin(self) -> str:
        return f"{self.host}:{self.ports['admin']}"

    def call(self, path: str, method: str = "GET") -> tuple[int, object]:
        """The status and what was told; ConnectionError if nobody answers."""
        connection = http.client.HTTPConnection(self.host, self.ports["admin"], timeout=5.0)
        try:
            connection.request(method, path)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            raise ConnectionError(f"{self.name}: {error}") from None
        finally:
            connection.close()
        try:
            return answer.status, ujson.loads(body)
        except ValueError:
            return answer.status, body.decode()

    def fleet(self) -> dict | None:
        """Its view, or None if it does not answer."""
        try:
            status, told = self.call("/fleet")
        except ConnectionError:
            return None
        return told if status == 200 else None

    def states(self) -> dict[str, str]:
        told = self.fleet()
        return {row["name"]: row["state"] for row in told["members"]} if told else {}

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def words(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()


class DispatcherCluster:
    """`more`: further lines of `[fleet]`, for all. As a context it ends every process that it started."""

    def __init__(self, members: int, seed: int, more: str = "", links: Links | None = None) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="stepstream-fleet-")
        self.relay, self.more = UdpRelay(seed, links), more
        self.program = ["-m", "stepstream"]
        self.environment: dict[str, str] = {}  # more of it, for all
        self.members: dict[str, Dispatcher] = {}
        number = os.getpid() % 2**14
        for k in range(members):
            # A host of its own for each: no port is taken by another's outgoing connection.
            host = f"127.{64 + (number >> 8)}.{number & 255}.{k + 1}"
            name = f"n{k}"
            ports = {what: free_port(host) for what in ("clients", "admin", "fleet")}
            advertise = self.relay.add_member(name, host, (host, ports["fleet"]))
            self.members[name] = Dispatcher(name, host, ports, advertise, Path(self.folder.name))
        self.seeds = [member.advertise for member in list(self.members.values())[:2]]
        self.relay.start()

    def __enter__(self) -> "DispatcherCluster":
        self.start(self.members)
        return self

    def __exit__(self, *_: object) -> None:
        for member in self.members.values():
            if member.running():
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
            if member.process is not None:
                member.process.wait()
                member.log.close()
        self.relay.close()
        self.folder.cleanup()

    # -- processes ----------------------------------------------------------------------------------------

    def start(self, names: Iterable[str], wait: bool = True) -> None:
        names = list(names)
        for name in names:
            self.spawn(self.members[name])
        if wait:
            self.wait_for(
                lambda: all(self.members[name].fleet() for name in names), START_S, "a start"
            )

    def files(
        self, member: Dispatcher, seeds: list[str] | None = None, more: str | None = None
    ) -> None:
        """Writes its configuration and its operator's file."""
        config = {
            "name": member.name,
            "listen": f"{member.host}:{member.ports['clients']}",
            "discovery": f"{member.host}:9",
            "operator": member.admin,
            "settings": member.settings,
            "known": member.known,
        }
        (member.folder / f"{member.name}.json").write_text(ujson.dumps(config))
        seeds = ujson.dumps(self.seeds if seeds is None else seeds, escape_forward_slashes=False)
        more = self.more if more is None else more
        (member.folder / f"{member.name}.toml").write_text(
            f'[fleet]\nlisten = "{member.host}:{member.ports["fleet"]}"\nadvertise = "{member.advertise}"\n'
            f'seeds = {seeds}\ncluster = "lab"\nshare_maintenance = true\n{more}\n'
        )

    def spawn(
        self, member: Dispatcher, beside: bool = False, clock_s: float = 0.0
    ) -> subprocess.Popen:
        """Its process; `beside`: one more on the same addresses, for a hot restart, with $TMPDIR shared.
        `clock_s`: by how much its time of day is off, the monotonic one is not.
        """
        if not beside:
            self.files(member)
        private = member.folder / f"{member.name}.tmp"
        private.mkdir(exist_ok=True)
        log = open(member.folder / f"{member.name}.log", "a", encoding="utf-8")
        operator = str(member.folder / f"{member.name}.toml")
        environment = {**os.environ, "EDGE_CONFIG": str(member.folder / f"{member.name}.json")}
        program = ["-c", OFF.format(int(clock_s * 1e9))] if clock_s else self.program
        made = subprocess.Popen(
            [sys.executable, *program, "serve", "--operator", operator],
            env={**environment, **self.environment, "TMPDIR": str(private)},
            stderr=log,
        )
        member.process, member.log = made, log
        return made

    def kill(self, name: str) -> None:
        member = self.members[name]
        member.process.kill()
        member.process.wait()

    def stop(self, name: str) -> int:
        """SIGTERM, and its exit code."""
        member = self.members[name]
        member.process.send_signal(signal.SIGTERM)
        return member.process.wait(START_S)

    def freeze(self, name: str) -> None:
        self.members[name].process.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        self.members[name].process.send_signal(signal.SIGCONT)

    # -- links --------------------------------------------------------------------------------------------

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        with self.relay.lock:
            self.relay.links.cut(one, other, both_ways=both)

    def heal(self) -> None:
        with self.relay.lock:
            self.relay.links.heal()

    # -- what is seen -------------------------------------------------------------------------------------

    def wait_for(self, seen: Callable[[], object], seconds: float, what: str) -> float:
        """How long it took; AssertionError with every view if it has not come by then."""
        begun = time.monotonic()
        while not seen():
            if time.monotonic() - begun > seconds:
                views = {
                    name: member.states()
                    for name, member in self.members.items()
                    if member.running()
                }
                raise AssertionError(f"{what} did not come in {seconds} s: {views}")
            time.sleep(LOOK_S)
        return time.monotonic() - begun

    def agreed(self, names: Iterable[str]) -> bool:
        """These members are settled on one view in which just these are alive."""
        names, digests = set(names), set()
        for name in names:
            told = self.members[name].fleet()
            if told is None or not told["settled"]:
                return False
            if {row["name"] for row in told["members"] if row["state"] == "alive"} != names:
                return False
            digests.add(told["digest"])
        return len(digests) == 1

    def agreed_among(self, names: Iterable[str]) -> bool:
        """These are settled on one view in which they are all alive, whoever else is not."""
        told = [self.members[name].fleet() for name in names]
        if not all(view is not None and view["settled"] for view in told):
            return False
        alive = [
            {row["name"] for row in view["members"] if row["state"] == "alive"} for view in told
        ]
        return len({view["digest"] for view in told}) == 1 and set(names) <= set.intersection(
            *alive
        )

    def held(self, by: Iterable[str], name: str, state: str) -> bool:
        return all(self.members[one].states().get(name) == state for one in by)


def free_port(host: str) -> int:
    """For TCP and UDP alike."""
    while True:
        with (
            socket.create_server((host, 0)) as probe,
            socket.socket(type=socket.SOCK_DGRAM) as other,
        ):
            port = probe.getsockname()[1]
            try:
                other.bind((host, port))
            except OSError:
                continue
            return port
