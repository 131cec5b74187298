"""The admin listener, the operators' drain and the maintenance of workers: decisions, driver and program."""

import json
import socket
import subprocess
import sys
import threading
import time

import pytest
from admin_helpers import call
from config_helpers import CONFIG
from net_helpers import LIMITS, job_bytes
from node_helpers import PATIENCE, ROOT, World, ask, free_port, wait_for

from stepstream.admin.listener import AdminListener
from stepstream.admin.routing import Asked, Call, Denied, Effect, Verdict, View, decide, route
from stepstream.core.drain import DrainState
from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceRegistry, MaintenanceState
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.runtime.log import LogRateLimit

# -- which call, and its answer ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/healthcheck", Asked(Call.HEALTH)),
        ("PUT", "/healthcheck/fail", Asked(Call.FAIL)),
        ("POST", "/healthcheck/ok", Asked(Call.OK)),
        ("PUT", "/workers/s-5be2a07c/maint", Asked(Call.MAINT, "s-5be2a07c")),
        ("PUT", "/workers/s-1/ready?now=1", Asked(Call.READY, "s-1")),
        ("GET", "/workers/s-1/maint", Denied(405, "maint takes POST or PUT")),
        ("PUT", "/healthcheck", Denied(405, "healthcheck takes GET or HEAD")),
        ("PUT", "/workers//maint", Denied(400, "a worker's id is malformed")),
        ("PUT", "/workers/a%20b/maint", Denied(400, "a worker's id is malformed")),
        ("PUT", "/workers/s-1/reboot", Denied(404, "no such call: /workers/s-1/reboot")),
        ("GET", "/", Denied(404, "no such call: /")),
    ],
)
def test_calls_are_read_by_their_table(method, target, expected):
    assert route(method, target) == expected


def test_two_calls_out_need_one_back_and_an_unknown_id_is_a_no():
    maint, ready = Asked(Call.MAINT, "s-1"), Asked(Call.READY, "s-1")
    assert decide(maint, View(True, known=True, banned=False)) == Verdict(200, "OK", Effect.BAN)
    assert decide(maint, View(True, known=True, banned=True)).effect is None
    assert decide(ready, View(True, known=False, banned=True)) == Verdict(200, "OK", Effect.LIFT)
    assert decide(ready, View(True, known=True, banned=False)).status == 200
    assert decide(maint, View(True, known=False, banned=False)).status == 404
    assert decide(ready, View(True, known=False, banned=False)).status == 404
    assert decide(Asked(Call.HEALTH), View(False, False, False)).status == 503


def test_bans_count_and_order_their_states():
    bans = MaintenanceRegistry()
    assert bans.begin("s-1")
    assert not bans.begin("s-1")
    assert bans.release("s-1", 5_000)
    assert not bans.release("s-1", 6_000)
    state = bans.snapshot()
    assert state.in_maintenance == frozenset()
    assert state.released == (("s-1", 5_000),)
    assert state.generation == 2
    assert (bans.counts.begun, bans.counts.released, bans.counts.unchanged) == (1, 1, 2)
    assert not bans.adopt(MaintenanceState(2, frozenset({"s-9"})))
    assert bans.adopt(MaintenanceState(3, frozenset({"s-9"})))
    assert bans.contains("s-9")


def test_a_banned_worker_looks_draining_whatever_its_list_says_and_returns_cold():
    members = EndpointSet(lambda _: None)
    entries = (Endpoint("s-1", started_us=1_000), Endpoint("s-2"))
    members.apply(EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, entries)))
    told = members.apply_maintenance(MaintenanceState(1, frozenset({"s-1"})))
    assert [(e.worker_id, e.state) for e in told.endpoints] == [("s-1", EndpointState.DRAINING)]
    again = members.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, entries))
    )
    assert {e.worker_id: e.state for e in again.endpoints}["s-1"] is EndpointState.DRAINING
    back = members.apply_maintenance(MaintenanceState(2, frozenset(), (("s-1", 9_000),)))
    assert [(e.state, e.started_us) for e in back.endpoints] == [(EndpointState.ACTIVE, 9_000)]
    later = members.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.CHANGES, entries[:1]))
    )
    assert later.endpoints[0].started_us == 9_000  # the list's older start does not make it warm


def test_an_overlay_keeps_a_later_start_and_leaves_a_gone_worker_gone():
    overlay = MaintenanceOverlay()
    overlay.update(MaintenanceState(1, frozenset(), (("s-1", 9_000),)))
    assert overlay.apply(Endpoint("s-1", started_us=12_000)).started_us == 12_000
    gone = Endpoint("s-1", state=EndpointState.REMOVED)
    assert overlay.apply(gone) is gone


# -- the drain on a fake clock ----------------------------------------------------------------------------


def test_a_drain_closes_kept_connections_after_its_time_and_ends_at_once():
    drain = DrainState(close_after_seconds=0.5)
    assert not drain.active
    assert not drain.closes_connections(100.0)
    assert drain.start(10.0)
    assert not drain.start(10.3)
    assert drain.active
    assert not drain.closes_connections(10.49)
    assert drain.closes_connections(10.5)
    assert drain.cancel()
    assert not drain.active
    assert not drain.closes_connections(11.0)
    assert not drain.cancel()


def test_bad_calls_are_logged_within_a_rate():
    quota = LogRateLimit(2, 10.0)
    assert [quota.allows(t) for t in (0.0, 1.0, 2.0, 3.0)] == ["", "", None, None]
    assert quota.allows(10.5) == " (2 more such not logged)"


# -- the driver on real sockets ---------------------------------------------------------------------------


class Fake:
    def __init__(self):
        self.asked, self.looked = [], 0

    def answer(self, asked):
        self.asked.append(asked)
        return Verdict(200, "OK")

    def look(self, now):
        self.looked += 1


@pytest.fixture
def admin():
    fake, port = Fake(), free_port()
    listener = AdminListener(("127.0.0.1", port), LIMITS, fake.answer, fake.look)
    threading.Thread(target=listener.run, daemon=True).start()
    yield fake, port
    listener.listener.close()


def test_a_call_is_answered_beside_callers_that_hold_their_connections(admin):
    fake, port = admin
    slow = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin // 2)
    ]
    for sock in slow:
        sock.sendall(b"PUT /healthcheck/fa")
    begun = time.monotonic()
    assert call(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    assert time.monotonic() - begun < 1.0
    assert fake.asked == [Asked(Call.HEALTH)]
    for sock in slow:
        sock.close()


def test_more_callers_than_places_make_room_from_the_oldest(admin):
    _, port = admin
    held = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin + 4)
    ]
    time.sleep(0.2)
    assert call(port, b"PUT /healthcheck/ok HTTP/1.1\r\n\r\n").status == 200
    held[0].settimeout(PATIENCE)
    assert held[0].recv(10) == b""  # the oldest was let go
    for sock in held:
        sock.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"PUT /workers/s 1/maint HTTP/1.1\r\n\r\n", 400),
        (b"DELETE /healthcheck HTTP/1.1\r\n\r\n", 405),
        (b"GET /stats/x HTTP/1.1\r\n\r\n", 404),
        (b"\x16\x03\x01\x00\xa5garbage\r\n\r\n", 400),
        (b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_bad_calls_get_a_4xx_and_change_nothing(admin, data, status):
    fake, port = admin
    assert call(port, data).status == status
    assert fake.asked == []
    assert call(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200


# -- the program ------------------------------------------------------------------------------------------


@pytest.fixture
def operated(tmp_path):
    port = free_port()
    made = World(tmp_path, operator=f"127.0.0.1:{port}")
    made.admin = port
    yield made
    if made.process.poll() is None:
        made.process.kill()
    made.process.communicate()
    made.worker.sock.close()
    made.discovery.sock.close()


def put(world, path):
    return call(world.admin, f"PUT {path} HTTP/1.1\r\n\r\n".encode()).status


def test_the_program_drains_on_the_operators_word_and_serves_again(operated):
    assert call(operated.admin, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    kept = socket.create_connection(("127.0.0.1", operated.port), timeout=PATIENCE)
    assert ask(0, job_bytes("00000000000000a1"), kept).status == 200
    assert put(operated, "/healthcheck/fail") == 200
    assert not operated.ready()
    assert call(operated.admin, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 503
    answer = ask(0, job_bytes("00000000000000a2"), kept)  # a kept connection is still served
    assert answer.status == 200
    kept.settimeout(PATIENCE)
    assert kept.recv(10) == b""  # and closed after an answer once the drain's time has come
    assert put(operated, "/healthcheck/ok") == 200
    wait_for(operated.ready)


def test_a_worker_out_for_maintenance_gets_nothing_until_it_is_back(operated):
    assert put(operated, "/workers/s-9/maint") == 404
    assert put(operated, "/workers/s-1/maint") == 200
    assert put(operated, "/workers/s-1/maint") == 200
    before = len(operated.jobs())
    time.sleep(0.1)  # more than the grace
    assert ask(operated.port, job_bytes("00000000000000b1")).status != 200
    assert len(operated.jobs()) == before
    assert put(operated, "/workers/s-1/ready") == 200
    names = (f"00000000000000c{k}" for k in range(10_000))
    wait_for(lambda: ask(operated.port, job_bytes(next(names))).status == 200)


OPERATORS = (
    "stepstream.admin",
    "stepstream.core.drain",
    "stepstream.core.maintenance",
    "stepstream.hot_restart",
)


def started(operator):
    """Modules and threads of a dispatcher started in a process of its own, with an admin address or not."""
    config = {
        **CONFIG,
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
    }
    if operator:
        config["operator"] = f"127.0.0.1:{free_port()}"
    code = (
        "import json, sys, threading\n"
        "from stepstream.node.node import Node\n"
        "from stepstream.config.node_config import config_from\n"
        f"Node(config_from(json.loads({json.dumps(config)!r}), {{}})).start()\n"
        f"print(sorted({{m.rpartition('.')[0] or m for m in sys.modules if m.startswith({OPERATORS!r})}}))\n"
        "print(sorted(t.name for t in threading.enumerate()))\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules, threads = run.stdout.splitlines()
    return modules, threads


def test_serve_without_an_admin_address_loads_nothing_of_it_and_with_one_it_does():
    modules, threads = started(operator=False)
    assert modules == "[]"
    assert "admin" not in threads
    modules, threads = started(operator=True)
    assert "stepstream.admin" in modules
    assert "'admin'" in threads
