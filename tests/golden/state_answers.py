"""Transcripts of the admin listener's answers, of the handed-over files and of the lab's results.

Part of `state_samples.py`. Each transcript drives the program's own classes with a clock that
stands still between calls; plain namespaces stand for the rest of the process.
"""

import contextlib
import io
import json
import logging
import random
import signal
import socket
import tempfile
import threading
from collections.abc import Iterator, Sequence
from pathlib import Path
from queue import SimpleQueue
from types import SimpleNamespace
from unittest import mock

import msgspec

from stepstream.admin.listener import AdminListener
from stepstream.admin.service import AdminService
from stepstream.config.limits import Limits
from stepstream.config.node_config import config_from
from stepstream.config.operator_file import OperatorConfig
from stepstream.core.drain import DrainState
from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.hot_restart import controller as handover_driver
from stepstream.hot_restart import state_file
from stepstream.hot_restart.process import ProcessRecord
from stepstream.http import discovery_api, worker_api
from stepstream.http.destination_set import DestinationSet
from stepstream.lab.emulator.workload import Workload
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.load.scenario import Scenario
from stepstream.lab.processes.load_test import Result
from stepstream.lab.processes.process_cost import Cost
from stepstream.lab.reports import demo, fault_run
from stepstream.lab.verification.ledger_record import Ledger
from stepstream.lab.verification.observations import FinalOutcome, RequestKey
from stepstream.lab.verification.score import Figures
from stepstream.lab.verification.verifier import Verifier
from stepstream.leases import messages as lease_messages
from stepstream.leases import participant as lease_participant
from stepstream.leases import subsystem as lease_plug
from stepstream.leases.health_check_leader import HealthCheckLeader, HealthCheckPort
from stepstream.membership import driver as fleet_driver
from stepstream.membership import messages as fleet_messages
from stepstream.membership import outbox as fleet_outbox
from stepstream.membership import protocol as fleet_protocol
from stepstream.membership import section as fleet_section
from stepstream.membership import subsystem as fleet_plug
from stepstream.membership.settings_digest import settings_digest
from stepstream.model.events import HealthChecked
from stepstream.ports.admin import AdminResponse, AdminRoute

UNIX_MS = 1_700_000_000_000
LIMITS = Limits()
SETTINGS = {
    "services": [
        {"name": "revalue", "deadline_us": 5_000_000, "goal_time_us": 200_000, "effect": "pure"},
        {"name": "nav", "deadline_us": 5_000_000, "effect": "token", "window_us": 7_500_000},
    ],
    "projects": [{"name": "tatra-invest", "quota_per_s": 92.0}],
    "zones": ["ruzinov", "petrzalka"],
    "zone": 1,
    "discovery": "subscribe",
    "load_report": {"how": "none", "columns": []},
}
CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8500",
    "operator": "127.0.0.1:8082",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
}


class StillClock:
    """Every clock that the transcripts read; it moves when it is told to. Seconds."""

    def __init__(self, now: float = 1_000.0) -> None:
        self.now = now

    @contextlib.contextmanager
    def in_force(self) -> Iterator[None]:
        with (
            mock.patch("time.monotonic", lambda: self.now),  # noqa: PT008  the clock moves on
            mock.patch("time.clock_gettime", lambda _: self.now),  # noqa: PT008  the clock moves on
            mock.patch("time.time_ns", return_value=UNIX_MS * 1_000_000),
        ):
            yield

    def now_us(self) -> int:
        return UNIX_MS * 1_000 + int(self.now * 1e6)


@contextlib.contextmanager
def quiet() -> Iterator[None]:
    """Without the program's lines on standard error and standard output."""
    with contextlib.redirect_stderr(io.StringIO()), contextlib.redirect_stdout(io.StringIO()):
        yield


# -- datagrams on the wire ------------------------------------------------------------------------


class Recipient:
    """Stands for a member's view behind the fleet's driver: it keeps what the driver gives it."""

    def __init__(self, cluster: str) -> None:
        self.cluster, self.heard = cluster, []

    def handle(self, now: float, datagram: object) -> list:
        self.heard.append(datagram)
        return []


def through_the_driver(cluster: str, sent: Sequence[bytes]) -> tuple[list, int]:
    """Through a socket to the fleet's driver: what its view is told, and how many it drops."""
    view = Recipient(cluster)
    made = fleet_driver.Driver(("127.0.0.1", 0), view, LIMITS, None, None)
    with quiet(), made.socket, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in sent:
            sender.sendto(data, made.socket.getsockname())
            made.receive()
    return view.heard, made.dropped_datagrams.count


def from_the_driver(datagrams: Sequence[object]) -> list[bytes]:
    """Sent by the fleet's driver: the bytes that arrive at a socket."""
    made = fleet_driver.Driver(("127.0.0.1", 0), Recipient(""), LIMITS, None, None)
    with made.socket, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(10.0)
        address = "{}:{}".format(*receiver.getsockname())
        heard = []
        for datagram in datagrams:
            made.transmit([fleet_outbox.OutgoingDatagram(address, datagram)])
            heard.append(receiver.recv(65_536))
        return heard


# -- calls of the admin listener ------------------------------------------------------------------


def http_call(method: str, target: str, body: bytes = b"") -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nHost: admin\r\n"
    if body or method in ("PUT", "POST"):
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


def read_all(sock: socket.socket, taken: bytearray) -> bool:
    """What has arrived at a socket that does not block; whether its peer has closed it."""
    with contextlib.suppress(BlockingIOError):
        while piece := sock.recv(65_536):
            taken += piece
        return True
    return False


class Caller:
    """Sends calls to an admin listener over its socket and writes down call and answer."""

    def __init__(self, desk: object, paths: Sequence[object] = ()) -> None:
        self.told: list[list[str]] = []
        self.listener = AdminListener(
            ("127.0.0.1", 0), LIMITS, desk.answer, desk.run_periodic_tasks, paths
        )
        self.address = self.listener.listening_socket.getsockname()

    def ask(self, method: str, target: str, body: bytes = b"") -> None:
        self.send(
            f"{method} {target}{' ' + body.decode() if body else ''}",
            http_call(method, target, body),
        )

    def send(self, title: str, data: bytes) -> None:
        with socket.create_connection(self.address) as sock:
            sock.sendall(data)
            sock.setblocking(False)
            answer, ended = bytearray(), False
            while not ended:
                self.listener.poll_once()
                ended = read_all(sock, answer)
        self.told.append([title, answer.decode()])

    def close(self) -> None:
        self.listener.listening_socket.close()


def desk_for(clock: StillClock, posted: list) -> object:
    """A desk that knows one worker, of a process that does not yet take clients."""
    door = SimpleNamespace(shutting_down=False, draining=False, drain_closing=False)
    house = SimpleNamespace(state=door, close_idle=lambda: None)
    known = {"s-1", "10.0.0.7:5000"}.__contains__
    context = SimpleNamespace(
        server=house,
        destinations=DestinationSet(),
        core=SimpleNamespace(endpoints=SimpleNamespace(contains=known)),
        clock=clock,
        post=posted.append,
    )
    return AdminService(context, DrainState(0.5))


def broken_answer(call: object) -> object:
    raise ValueError("planted")


def admin_answers() -> list[list[str]]:
    """Every call of the listener itself, those that it refuses, and bytes that are no call."""
    clock, posted = StillClock(), []
    desk = desk_for(clock, posted)
    paths = (
        AdminRoute(r"/broken", frozenset({"GET"}), broken_answer),
        AdminRoute(
            r"/plain/([^/]+)",
            frozenset({"GET", "HEAD"}),
            lambda call: AdminResponse(200, repr(call.parts)),
        ),
    )
    with quiet(), clock.in_force():
        caller = Caller(desk, paths)
        ask = caller.ask
        ask("GET", "/healthcheck")
        desk.started = True
        ask("GET", "/healthcheck")
        ask("HEAD", "/healthcheck")
        for call in ("fail", "fail", "ok", "ok"):
            ask("PUT", f"/healthcheck/{call}")
            ask("GET", "/healthcheck")
        for call in ("ready", "maint", "maint", "ready", "ready"):
            ask("PUT", f"/workers/s-1/{call}")
        ask("POST", "/workers/10.0.0.7%3A5000/maint?why=disk")
        ask("PUT", "/workers/nobody/maint")
        ask("PUT", "/workers/nobody/ready")
        for method, target in (
            ("PUT", "/workers//maint"),
            ("PUT", "/workers/a%20b/maint"),
            ("PUT", f"/workers/{'w' * 129}/maint"),
            ("PUT", "/workers/s-1/reboot"),
            ("GET", "/workers/s-1/maint"),
            ("DELETE", "/workers/s-1/ready"),
            ("PUT", "/healthcheck"),
            ("GET", "/healthcheck/fail"),
            ("HEAD", "/healthcheck/ok"),
            ("GET", "/"),
            ("GET", "/" + "x" * 100),
            ("PUT", "/_jobs/news"),
            ("GET", "/broken"),
            ("PUT", "/broken"),
            ("GET", "/plain/a%2Fb?c=d"),
            ("HEAD", "/plain/a"),
        ):
            ask(method, target)
        for body in (
            b'{"id": "j1", "from": "s-1", "state": "done", "result": {"sum": 3}}',
            b'{"id": "j1", "from": "s-1", "state": "running", "share": 0.25}',
            b'{"id": "j1", "from": "s-1", "state": "unheard"}',
            b'{"id": "j1", "state": "done"}',
            b"[]",
            b"{",
        ):
            ask("POST", "/_jobs/news", body)
        for title, data in {
            "no request line": b"\r\nhello\r\n\r\n",
            "another protocol": b"GET /healthcheck HTTP/3\r\n\r\n",
            "a length that is none": b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            "a body over the bound": b"POST /_jobs/news HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            "a head over the bound": b"GET /healthcheck HTTP/1.1\r\nA: "
            + b"a" * LIMITS.sizes.head_bytes,
        }.items():
            caller.send(title, data)
        caller.close()
    news = [
        [
            told.request_id,
            told.worker_id,
            told.status.value,
            told.result,
            told.progress,
            told.forwarded,
        ]
        for told in posted
        if isinstance(told, JobNotification)
    ]
    return [*caller.told, ["news taken", json.dumps(news)]]


# -- /fleet ---------------------------------------------------------------------------------------


def operator_sections(**sections: object) -> object:
    return msgspec.convert(sections, OperatorConfig)


def row(
    name: str,
    port: int,
    state: str,
    incarnation: int = 0,
    generation: int = UNIX_MS * 1024,
) -> object:
    state_now = fleet_messages.MemberState[state]
    return fleet_messages.MemberRecord(
        name, f"127.0.0.1:{port}", generation, incarnation, state_now
    )


def fleet_host(clock: StillClock) -> SimpleNamespace:
    section = {"listen": "127.0.0.1:7946", "cluster": "golden", "seeds": ["127.0.0.1:7947"]}
    return SimpleNamespace(
        config=config_from(CONFIGURATION, {}),
        operator=operator_sections(fleet=section),
        limits=LIMITS,
        clock=clock,
        core=SimpleNamespace(open_count=3),
        destinations=SimpleNamespace(version=42),
        signals=SimpleQueue(),
        subsystems={},
    )


def fleet_part(host: SimpleNamespace, clock: StillClock) -> object:
    """The subsystem with a view whose chance and start are fixed, and a socket on any port."""
    part = fleet_plug.MembershipSubsystem(host)
    me = row("n0", 7946, "ALIVE")
    times = fleet_section.protocol_settings(host.operator.fleet)
    seeds = host.operator.fleet.seeds
    rng = random.Random(1)
    part.protocol = fleet_protocol.MembershipProtocol(me, "golden", seeds, times, rng, clock.now)
    lines = logging.getLogger("golden")
    address, act = ("127.0.0.1", 0), part.run_periodic_task
    part._driver = fleet_driver.Driver(address, part.protocol, LIMITS, lines, act)
    return part


def told_facts(owner: str, phase: str, ended: tuple[int, ...] = ()) -> object:
    at = fleet_messages.Phase[phase]
    generation, settings = UNIX_MS * 1024, "0a1b2c3d4e5f"
    return fleet_messages.MemberStatus(
        owner, generation, 4, at, 42, settings, 3, UNIX_MS, "0.0.0", ended
    )


def fill(view: object, clock: StillClock) -> None:
    """Members in every state, with facts and operators' words."""
    for name, port in (("n1", 7947), ("n2", 7948), ("n3", 7949), ("n4", 7950)):
        view.merger.merge(row(name, port, "ALIVE"), "n1")
    view.statuses.publish(told_facts("n0", "SERVING", (17,)))
    view.statuses.merge(told_facts("n1", "DRAINING"))
    clock.now += 1.5
    view.context.now = clock.now
    for name, port, state in (("n2", 7948, "SUSPECT"), ("n3", 7949, "DEAD"), ("n4", 7950, "LEFT")):
        view.merger.merge(row(name, port, state), "n1")
    view.merger.merge(row("n2", 7948, "SUSPECT"), "n3")
    view.merger.merge(row("n1", 7947, "ALIVE", 0, UNIX_MS * 1024 + 7), "n1")
    view.merger.merge(row("n0", 7946, "SUSPECT"), "n2")
    view.maintenance.record("s-1", in_maintenance=True, recorded_at_us=UNIX_MS * 1000)
    view.maintenance.record(
        "10.0.0.7:5000", in_maintenance=False, recorded_at_us=UNIX_MS * 1000 + 1
    )
    clock.now += 0.25


def fleet_answers() -> list[list[str]]:
    clock = StillClock()
    host = fleet_host(clock)
    with quiet(), clock.in_force():
        part = fleet_part(host, clock)
        caller = Caller(desk_for(clock, []), part.admin_routes())
        ask = caller.ask
        ask("GET", "/fleet")
        ask("GET", "/fleet/changes")
        fill(part.protocol, clock)
        for target in (
            "/fleet",
            "/fleet/changes",
            "/fleet/changes?after=3",
            "/fleet/changes?after=99",
        ):
            ask("GET", target)
        for name in ("n0", "n1", "n2", "n3", "n4", "n9", "n%31"):
            ask("GET", f"/fleet/members/{name}")
        for text in ("x", "-1", "", "1" * 16, "%C2%B2"):
            ask("GET", f"/fleet/changes?after={text}")
        part.protocol.members.events.recent.popleft()
        part.protocol.members.events.recent.popleft()
        ask("GET", "/fleet/changes?after=1")
        ask("HEAD", "/fleet")
        for method, target in (
            ("PUT", "/fleet"),
            ("PUT", "/fleet/changes"),
            ("POST", "/fleet/members/n1"),
            ("GET", "/fleet/leave"),
            ("GET", "/fleet/other"),
            ("GET", f"/fleet/members/{'n' * 129}"),
        ):
            ask(method, target)
        ask("PUT", "/fleet/leave")
        clock.now += 10.0
        part.protocol.context.now = clock.now
        part.protocol.merger.merge(row("n1", 7947, "ALIVE", 0, UNIX_MS * 1024 + 7), "n1")
        part.protocol.members.joined_at = part.protocol.started_at
        part.protocol.merger.merge_local(row("n0", 7999, "ALIVE", 0, UNIX_MS * 1024 + 9), "n0")
        ask("GET", "/fleet")
        ask("GET", "/fleet/members/n0")
        caller.close()
        part.driver.socket.close()
    stops = host.signals.get() == signal.SIGTERM
    return [*caller.told, ["SIGTERM after /fleet/leave", json.dumps(stops)]]


def own_facts() -> dict[str, object]:
    """What a member says of itself, by its phase, with the digest of its settings."""
    clock = StillClock()
    with quiet(), clock.in_force():
        part = fleet_plug.MembershipSubsystem(fleet_host(clock))
        started = msgspec.to_builtins(part.local_status([17, 4]))
        part.on_serving()
        serving = msgspec.to_builtins(part.local_status([]))
        part.begin_shutdown()
        leaving = msgspec.to_builtins(part.local_status([]))
    told = {"starting": started, "serving": serving, "leaving": leaving}
    program = 8  # the program's version, which changes with each release
    for facts in told.values():
        facts[program] = ""
    other = {**CONFIGURATION, "settings": {**SETTINGS, "zone": 0}}
    told["settings in another zone"] = settings_digest(config_from(other, {}).settings)
    return told


# -- /leases --------------------------------------------------------------------------------------


class LeaseDispatcherCluster:
    """One dispatcher's leases, and the voter of another that answers while `answering`."""

    def __init__(self, clock: StillClock, voters: tuple[str, ...], **section: object) -> None:
        self.clock, self.answering, self.posted = clock, True, []
        messenger = SimpleNamespace(
            process="n0@1f",
            subscribe=lambda kind, take: None,
            send=self.post,
            present=lambda: ["n1"],
            superseded=lambda: False,
        )
        operator = operator_sections(leases={"voters": voters, "longest_s": 10.0, **section})
        host = SimpleNamespace(
            config=SimpleNamespace(name="n0"),
            operator=operator,
            limits=LIMITS,
            subsystems={"fleet": messenger},
        )
        self.part = lease_plug.LeasesSubsystem(host)
        rules = self.part.configuration
        self.peer = lease_participant.Participant(
            "n1", "n1@2f", rules, UNIX_MS, random.Random(1), clock.now
        )

    def post(self, member: str, kind: str, data: bytes) -> None:
        self.posted.append([member, kind, data.hex()])
        if member == "n1" and self.answering:
            sends = self.peer.handle(self.clock.now, "n0", lease_messages.decode(data))
            for send in sends:
                self.part.driver.on_envelope("n1", lease_messages.encode(send.envelope))

    def tick(self) -> None:
        self.part.driver.send(self.part.participant.tick(self.clock.now))


def want(session: str, ttl_ms: object = 5_000, act_ms: object = 1_000) -> str:
    return f"want?session={session}&ttl_ms={ttl_ms}&act_ms={act_ms}"


def lease_answers() -> list[list[str]]:
    """One lease from being wanted to its end, each refusal, and too few voters."""
    clock = StillClock()
    with quiet(), clock.in_force():
        rig_made = LeaseDispatcherCluster(clock, ("n0", "n1", "n2"), most_sessions=4)
        caller = Caller(desk_for(clock, []), rig_made.part.admin_routes())
        ask = caller.ask
        ask("GET", "/leases")
        ask("PUT", f"/leases/early/{want('session-0')}")
        ask("PUT", "/leases/early/release?session=session-0")
        clock.now += 20.0
        rig_made.tick()
        first, second = "session-1", "session-2"
        ask("PUT", f"/leases/night/{want(first)}")
        ask("PUT", f"/leases/night/{want(first)}")
        ask("POST", f"/leases/night/{want(second, 4_000, 500)}")
        ask("GET", "/leases")
        ask("GET", "/leases/night")
        ask("HEAD", "/leases/night")
        ask("GET", "/leases/other")
        ask("PUT", f"/leases/other/{want(first)}")
        rig_made.answering = False
        clock.now += 2.0
        rig_made.tick()
        ask("PUT", f"/leases/night/{want(first)}")
        ask("GET", "/leases/night")
        clock.now += 2.5
        ask("PUT", f"/leases/night/{want(first)}")
        ask("PUT", "/leases/night/release")
        ask("PUT", f"/leases/night/{want(first)}")
        clock.now += 1.0
        ask("PUT", f"/leases/night/{want(first)}")
        ask("GET", "/leases")
        ask("PUT", "/leases/night/release?session=session-1")
        ask("PUT", "/leases/night/release?session=session-1")
        ask("PUT", "/leases/other/release")
        clock.now += 20.0
        ask("PUT", f"/leases/alone/{want('session-3')}")
        clock.now += 1.0
        ask("PUT", f"/leases/alone/{want('session-3')}")
        for ttl_ms, act_ms in (
            (1_199, 500),
            (10_001, 500),
            (5_000, 2_501),
            (5_000, 0),
            ("", 1),
            (1, "x"),
        ):
            ask("PUT", f"/leases/night/{want('session-9', ttl_ms, act_ms)}")
        ask("PUT", "/leases/night/want?session=session-9")
        for session in ("", "short", "a" * 65, "under_score"):
            ask("PUT", f"/leases/night/{want(session)}")
        for method, target in (
            ("GET", "/leases/Night"),
            ("GET", f"/leases/{'n' * 65}"),
            ("PUT", f"/leases/a%2Fb/{want(first)}"),
            ("PUT", "/leases/Night/release"),
            ("PUT", "/leases"),
            ("PUT", "/leases/night"),
            ("GET", "/leases/night/want"),
            ("GET", "/leases/night/release"),
            ("GET", "/leases/night/other"),
            ("GET", f"/leases/{'n' * 201}"),
        ):
            ask(method, target)
        for number in range(5, 10):
            ask("PUT", f"/leases/room/{want(f'session-{number}')}")
        rig_made.part.client.closed = True
        ask("PUT", f"/leases/late/{want('session-a')}")
        caller.close()
    return caller.told


def lease_posts() -> list[list[str]]:
    """The parcels of one lease as the driver gives them to the messenger: member, kind, data."""
    clock = StillClock()
    with quiet(), clock.in_force():
        made = LeaseDispatcherCluster(clock, ("n0", "n1", "n2"))
        clock.now += 20.0
        claim = made.part.driver.acquire("night", 5.0, 1.0)
        clock.now += 2.0
        made.tick()
        made.part.driver.release(claim)
    return made.posted


def sweep_posts() -> list[list[str]]:
    """What the holder of the probe sweep tells of two workers: member, kind and data."""
    clock, told, heard = StillClock(), [], []
    messenger = SimpleNamespace(
        subscribe=lambda kind, take: heard.append(kind),
        send=lambda member, kind, data: told.append([member, kind, data.hex()]),
        present=lambda: ["n1", "n2"],
    )
    port = HealthCheckPort(list, None, tuple, lambda probed: None)
    with clock.in_force():
        made = HealthCheckLeader(None, messenger, None, port)
        made.on_health_checked(HealthChecked("s-1", True, 3_400, {"busy": 0.25}))
        clock.now += 0.125
        made.on_health_checked(HealthChecked("s-2", True, 0, {"busy": 1.0, "queue": 2.0}))
        made.on_health_checked(HealthChecked("s-3", False, 0, None))
        made.publish(SimpleNamespace(token=UNIX_MS))
    return [*told, ["kinds heard", *heard]]


# -- discovery's list as it is handed over --------------------------------------------------------


def listed_workers() -> list[object]:
    """Discovery's list in its own form before its first answer, after a whole list and a change."""
    side = discovery_api.DiscoveryApi(config_from(CONFIGURATION, {}).settings)
    workers = DestinationSet()
    told: list[object] = [workers.export_list()]
    first = {"id": "s-1", "addr": "127.0.0.1:5000", "zone": "petrzalka", "cell": 3, "weight": 2.5}
    second = {"id": "s-2", "addr": "127.0.0.1:5001", "started_ms": UNIX_MS}
    third = {"id": "s-3", "addr": "127.0.0.1:5002"}
    for version, full, rows in (
        (3, True, [first, second, third]),
        (4, False, [{**first, "state": "draining"}, {"id": "s-3", "state": "gone"}]),
    ):
        workers.apply(side.read({"version": version, "full": full, "servers": rows}))
        told.append(workers.export_list())
    return told


# -- the handed-over state on disk, and news passed on --------------------------------------------


def keeper_for(folder: str, pid: int, bans: object) -> object:
    own = ProcessRecord(pid, f"127.0.0.1:{9000 + pid}", UNIX_MS * 1000 + pid)
    file = state_file.StateFile(folder, "n0", pid, LIMITS.sizes.handover_bytes)
    return handover_driver.HotRestartController(file, own, bans, LIMITS)


def handover_files() -> list[list[object]]:
    """What two processes of one hot restart write, under which name, and a file that is damaged."""
    told: list[list[object]] = []
    with quiet(), mock.patch("os.kill"), tempfile.TemporaryDirectory() as folder:

        def look(title: str) -> None:
            files = {path.name: path.read_text() for path in sorted(Path(folder).iterdir())}
            told.append([title, files])

        old_bans, new_bans = MaintenanceRegistry(), MaintenanceRegistry()
        old, new = keeper_for(folder, 11, old_bans), keeper_for(folder, 12, new_bans)
        told.append(["nothing to load", old.load() is None])
        old_bans.begin("s-1")
        old_bans.begin("s-2")
        old_bans.release("s-2", UNIX_MS * 1000)
        old.endpoint_list = {"version": 3, "full": True, "servers": []}
        old.write(ready=True)
        look("the old process takes clients")
        new.load()
        new.write()
        look("the new process has loaded")
        told.append(["bans taken over", sorted(new_bans.snapshot().in_maintenance)])
        new.write(ready=True)
        look("the new process takes clients")
        told.append(["the old process sees newer bans", old.check_file()])
        told.append(["the old process has a successor", old.successor() is not None])
        Path(new.file.path).write_text("{")
        told.append(["damaged", keeper_for(folder, 13, MaintenanceRegistry()).load() is None])
    return told


def worker_news() -> dict[str, object]:
    done, running = (
        worker_api.STATUS_BY_WIRE_NAME["done"],
        worker_api.STATUS_BY_WIRE_NAME["running"],
    )
    return {
        "done": JobNotification("job-1", "s-1", done, {"sum": 3}),
        "running": JobNotification("job-1", "s-1", running, None, (250, 1000)),
        **{
            news.value: JobNotification("job-1", "s-1", news)
            for news in JobStatus
            if news not in (done, running)
        },
    }


def relayed_news() -> dict[str, str]:
    """News as one process of a hot restart passes it on; PORT stands for the other's port."""
    told = {}
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        target = ProcessRecord(12, f"127.0.0.1:{port}", 1)
        keeper = keeper_for(folder, 11, MaintenanceRegistry())
        for name, news in worker_news().items():
            thread = threading.Thread(target=keeper.forwarder.forward, args=(target, news))
            thread.start()
            connection, _ = server.accept()
            with connection:
                data = connection.recv(65_536)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nOK\n")
                thread.join()
            told[name] = data.decode().replace(str(port), "PORT")
    return told


# -- results of the lab ---------------------------------------------------------------------------


def figures_of_a_scenario(scenario: Scenario) -> Figures:
    """Figures of a scenario whose jobs end in each way in turn, one of them against the rules."""
    verifier = Verifier(scenario)
    outcomes = list(FinalOutcome)
    for planned in scenario.requests:
        key = RequestKey(planned.number, 0)
        arrived_us = planned.at_us + 100_000
        verifier.on_submission(planned.number)
        if planned.number == 5:
            verifier.on_drain_known(0, "node-1")
        verifier.on_arrival(arrived_us, key, f"node-{planned.number % 3}", 0)
        verifier.on_result(key, "result")
        outcome = outcomes[planned.number % 17 % 4]
        verifier.on_response(arrived_us + 1_000 * planned.number, key, outcome, "result")
    return verifier.figures()


def demo_file() -> str:
    """The file of `stepstream demo --json`."""

    async def play_schedule(scenario: Scenario, _seed: int) -> Result:
        return Result(figures_of_a_scenario(scenario), Cost(1.25, 40.5), 12.5)

    with (
        tempfile.TemporaryDirectory() as folder,
        quiet(),
        mock.patch.object(demo, "play_schedule", play_schedule),
    ):
        path = Path(folder) / "demo.json"
        demo.run("mixed", 12, 1, str(path), False, "small")
        return path.read_text(encoding="utf-8")


def fault_run_file() -> str:
    """fleet.json of `stepstream lab fleet --out`, the processes and the chart left out."""
    schedule = generate_schedule(3, ("n0", "n1", "n2"), 25.0)
    monitor = fault_run.InvariantMonitor(0.0)
    observations = ((0.5, "alive", 5), (0.6, "suspect", 5), (0.7, "dead", 5), (0.8, "alive", 4))
    for at_seconds, state, generation in observations:
        row = {
            "name": "n1",
            "state": state,
            "generation": generation,
            "incarnation": 0,
            "facts": {"count": 4},
        }
        monitor.record(at_seconds, "n0@5", "n0", row)
    run = mock.Mock(monitor=monitor)
    run.play.side_effect = lambda _seconds, seed: fault_run.Outcome(
        3, seed, 1.25, [2.5, 3.0], monitor.violations
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        quiet(),
        mock.patch.object(fault_run, "DispatcherCluster"),
        mock.patch.object(fault_run, "generate_schedule", return_value=schedule),
        mock.patch.object(fault_run, "FaultRun", return_value=run),
        mock.patch.object(fault_run, "write_chart"),
    ):
        fault_run.run(3, 3, None, 25, folder)
        return (Path(folder) / "fleet.json").read_text(encoding="utf-8")


def ledger_file() -> dict[str, object]:
    """The guarded resource's answers, and the lines that it keeps."""
    clock = StillClock()
    requests = [
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
        {"do": "begin", "token": 9, "holder": "n1"},
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
    ]
    with clock.in_force(), tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ledger.jsonl"
        ledger = Ledger(path)
        answers = [ledger.admit(request) for request in requests]
        ledger.close()
        return {"answers": answers, "file": path.read_text(encoding="utf-8")}


def workload() -> list[str]:
    """The body of a lab client's request."""
    return [Workload(7, 1, 250_000, 2).serialize().decode()]


TRANSCRIPTS = {
    "admin": admin_answers,
    "admin-fleet": fleet_answers,
    "admin-leases": lease_answers,
    "own-facts": own_facts,
    "lease-posts": lease_posts,
    "sweep-posts": sweep_posts,
    "listed-workers": listed_workers,
    "handover-files": handover_files,
    "relayed-news": relayed_news,
    "lab-demo": demo_file,
    "lab-fleet": fault_run_file,
    "lab-ledger": ledger_file,
    "lab-workload": workload,
}
