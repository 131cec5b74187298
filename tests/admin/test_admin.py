"""The admin listener, drains and the maintenance of workers: routing, decisions, driver, program."""

import json
import socket
import subprocess
import sys
import time

import pytest

from stepstream.admin.connection import AdminConnection
from stepstream.admin.decisions import (
    Decision,
    ProcessView,
    connection_to_evict,
    decide,
    has_expired,
    is_serving,
)
from stepstream.admin.listener import AdminListener
from stepstream.admin.routing import (
    AdminAction,
    AdminRequestError,
    OperatorRequest,
    SubsystemRequest,
    route,
)
from stepstream.core.drain import DrainState
from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceRegistry, MaintenanceState
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.ports.admin import AdminRequest, AdminResponse, AdminRoute
from stepstream.runtime.log import LogRateLimit
from tests.admin.calls import call_admin, running_listener
from tests.config.configurations import CONFIGURATION, LIMITS
from tests.core.harness import RecordingLog
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import ROOT
from tests.runtime.ports import free_port
from tests.runtime.waiting import PATIENCE_SECONDS, wait_for

# -- routing and decisions --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/healthcheck", OperatorRequest(AdminAction.CHECK_HEALTH)),
        ("PUT", "/healthcheck/fail", OperatorRequest(AdminAction.START_DRAIN)),
        ("POST", "/healthcheck/ok", OperatorRequest(AdminAction.CANCEL_DRAIN)),
        (
            "PUT",
            "/workers/s-5be2a07c/maint",
            OperatorRequest(AdminAction.START_MAINTENANCE, "s-5be2a07c"),
        ),
        (
            "PUT",
            "/workers/s-1/ready?now=1",
            OperatorRequest(AdminAction.END_MAINTENANCE, "s-1"),
        ),
        ("POST", "/_jobs/news", OperatorRequest(AdminAction.TAKE_NOTIFICATION)),
    ],
    ids=[
        "health check",
        "start of a drain",
        "end of a drain",
        "start of maintenance",
        "end of maintenance",
        "notification",
    ],
)
def test_a_request_is_routed_by_method_and_path(method, target, expected):
    assert route(method, target) == expected


@pytest.mark.parametrize(
    ("method", "target", "status", "reason"),
    [
        ("GET", "/workers/s-1/maint", 405, "maint takes POST or PUT"),
        ("PUT", "/healthcheck", 405, "healthcheck takes GET or HEAD"),
        ("PUT", "/workers//maint", 400, "a worker's id is malformed"),
        ("PUT", "/workers/a%20b/maint", 400, "a worker's id is malformed"),
        ("PUT", "/workers/*/maint", 400, "a worker's id is malformed"),
        ("PUT", "/workers/s-1/reboot", 404, "no such call: /workers/s-1/reboot"),
        ("PUT", "/workers/s-1/maint/now", 404, "no such call: /workers/s-1/maint/now"),
        ("GET", "/", 404, "no such call: /"),
    ],
)
def test_a_request_without_a_route_is_rejected_with_its_reason(method, target, status, reason):
    with pytest.raises(AdminRequestError) as raised:
        route(method, target)
    assert (raised.value.status, str(raised.value)) == (status, reason)


def test_a_subsystems_route_gets_the_variable_parts_and_the_query():
    added = AdminRoute(r"/leases/([^/]+)", frozenset({"GET"}), lambda _: AdminResponse(200, "OK"))
    assert route("GET", "/leases/a%2Fb?since=3&all", [added]) == SubsystemRequest(
        added, AdminRequest("GET", ("a/b",), {"since": "3", "all": ""})
    )
    with pytest.raises(AdminRequestError, match="^/leases/a takes GET$"):
        route("PUT", "/leases/a", [added])


STARTS = OperatorRequest(AdminAction.START_MAINTENANCE, "s-1")
ENDS = OperatorRequest(AdminAction.END_MAINTENANCE, "s-1")
HEALTH_CHECK = OperatorRequest(AdminAction.CHECK_HEALTH)
OK = AdminResponse(200, "OK")


@pytest.mark.parametrize(
    ("request_", "known", "in_maintenance", "expected"),
    [
        (STARTS, True, False, Decision(OK, AdminAction.START_MAINTENANCE)),
        (STARTS, True, True, Decision(AdminResponse(200, "OK: out already"))),
        (STARTS, False, True, Decision(AdminResponse(200, "OK: out already"))),
        (ENDS, False, True, Decision(OK, AdminAction.END_MAINTENANCE)),
        (ENDS, True, True, Decision(OK, AdminAction.END_MAINTENANCE)),
        (ENDS, True, False, Decision(AdminResponse(200, "OK: in already"))),
        (STARTS, False, False, Decision(AdminResponse(404, "no worker s-1"))),
        (ENDS, False, False, Decision(AdminResponse(404, "no worker s-1"))),
    ],
    ids=[
        "starts",
        "has started",
        "has started, worker unknown",
        "ends, worker unknown",
        "ends",
        "has not started",
        "start for an unknown worker",
        "end for an unknown worker",
    ],
)
def test_maintenance_ends_at_the_first_request_and_an_unknown_worker_is_refused(
    request_, known, in_maintenance, expected
):
    assert decide(request_, ProcessView(True, known, in_maintenance)) == expected


@pytest.mark.parametrize(("serving", "status"), [(True, 200), (False, 503)])
def test_a_health_check_succeeds_while_clients_are_taken(serving, status):
    decision = decide(HEALTH_CHECK, ProcessView(serving, False, False))
    assert decision.response.status == status
    assert decision.effect is None


@pytest.mark.parametrize(
    ("started", "shutting_down", "draining", "serving"),
    [
        (True, False, False, True),
        (False, False, False, False),
        (True, True, False, False),
        (True, False, True, False),
    ],
)
def test_clients_are_taken_between_the_start_and_a_shutdown_or_drain(
    started, shutting_down, draining, serving
):
    found = is_serving(started=started, shutting_down=shutting_down, draining=draining)
    assert found is serving


def test_the_oldest_connection_makes_room_and_each_one_expires():
    older, newer = (AdminConnection(None, None, opened_at) for opened_at in (10.0, 11.0))
    assert connection_to_evict([newer, older], 3) is None
    assert connection_to_evict([newer, older], 2) is older
    assert [has_expired(older, now, 5.0) for now in (15.0, 15.01)] == [False, True]


@pytest.mark.parametrize("action", [AdminAction.START_DRAIN, AdminAction.CANCEL_DRAIN])
def test_a_drain_starts_and_ends_on_request_in_any_state(action):
    decision = decide(OperatorRequest(action), ProcessView(False, False, False))
    assert decision == Decision(OK, action)


# -- maintenance of workers -------------------------------------------------------------------------------


def test_maintenance_states_are_counted_and_ordered_by_generation():
    registry = MaintenanceRegistry()
    assert registry.begin("s-1")
    assert not registry.begin("s-1")
    assert registry.release("s-1", 5_000)
    assert not registry.release("s-1", 6_000)
    state = registry.snapshot()
    assert state.in_maintenance == frozenset()
    assert state.released == (("s-1", 5_000),)
    assert state.generation == 2
    assert (registry.counts.begun, registry.counts.released, registry.counts.unchanged) == (1, 1, 2)
    assert not registry.adopt(MaintenanceState(2, frozenset({"s-9"})))
    assert registry.adopt(MaintenanceState(3, frozenset({"s-9"})))
    assert registry.contains("s-9")


def test_a_worker_in_maintenance_is_draining_whatever_its_list_says_and_returns_cold():
    members = EndpointSet(RecordingLog())
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


def test_the_overlay_keeps_a_later_start_and_leaves_a_removed_worker_removed():
    overlay = MaintenanceOverlay()
    overlay.update(MaintenanceState(1, frozenset(), (("s-1", 9_000),)))
    assert overlay.apply(Endpoint("s-1", started_us=12_000)).started_us == 12_000
    gone = Endpoint("s-1", state=EndpointState.REMOVED)
    assert overlay.apply(gone) is gone


# -- the drain on a clock of its own -------------------------------------------------------------------------


def test_a_drain_closes_connections_after_its_time_and_ends_at_once():
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


def test_bad_requests_are_logged_within_a_rate():
    quota = LogRateLimit(2, 10.0)
    assert [quota.admit_line(t) for t in (0.0, 1.0, 2.0, 3.0)] == [0, 0, None, None]
    assert quota.admit_line(10.5) == 2


# -- the driver on real sockets ---------------------------------------------------------------------------


class RecordingService:
    """Answers every request with 200 and records it."""

    def __init__(self):
        self.requests = []

    def answer(self, request):
        self.requests.append(request)
        return OK

    def run_periodic_tasks(self, now):
        pass


@pytest.fixture
def admin():
    """A recording service, and the port on which a listener passes requests on to it."""
    service = RecordingService()
    port = free_port()
    listener = AdminListener(
        ("127.0.0.1", port), LIMITS, service.answer, service.run_periodic_tasks
    )
    with running_listener(listener):
        yield service, port


def test_a_request_is_answered_beside_callers_that_hold_their_connections(admin):
    service, port = admin
    slow = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin // 2)
    ]
    for sock in slow:
        sock.sendall(b"PUT /healthcheck/fa")
    begun = time.monotonic()
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    assert time.monotonic() - begun < 1.0
    assert service.requests == [HEALTH_CHECK]
    for sock in slow:
        sock.close()


def test_a_connection_beyond_the_bound_evicts_the_oldest(admin):
    _, port = admin
    idle = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin + 4)
    ]
    idle[0].settimeout(PATIENCE_SECONDS)
    assert idle[0].recv(10) == b""  # the oldest is evicted
    assert call_admin(port, b"PUT /healthcheck/ok HTTP/1.1\r\n\r\n").status == 200
    for sock in idle:
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
def test_bad_requests_get_a_4xx_and_change_nothing(admin, data, status):
    service, port = admin
    assert call_admin(port, data).status == status
    assert service.requests == []
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200


# -- the program ------------------------------------------------------------------------------------------


@pytest.fixture
def dispatcher(start_dispatcher):
    """A dispatcher's process with an admin listener."""
    return start_dispatcher(operator=f"127.0.0.1:{free_port()}")


def admin_port(dispatcher):
    return int(dispatcher.config["operator"].rpartition(":")[2])


def put(dispatcher, path):
    return call_admin(admin_port(dispatcher), f"PUT {path} HTTP/1.1\r\n\r\n".encode()).status


def test_the_program_drains_on_request_and_serves_again(dispatcher):
    assert call_admin(admin_port(dispatcher), b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    connection = socket.create_connection(("127.0.0.1", dispatcher.port), timeout=PATIENCE_SECONDS)
    assert exchange(0, job_request("00000000000000a1"), connection).status == 200
    assert put(dispatcher, "/healthcheck/fail") == 200
    assert not dispatcher.is_ready()
    assert call_admin(admin_port(dispatcher), b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 503
    answer = exchange(
        0, job_request("00000000000000a2"), connection
    )  # an open connection is still served
    assert answer.status == 200
    connection.settimeout(PATIENCE_SECONDS)
    assert connection.recv(10) == b""  # and closed after an answer once the drain's time has come
    assert put(dispatcher, "/healthcheck/ok") == 200
    wait_for(dispatcher.is_ready)


def test_a_worker_in_maintenance_gets_no_jobs_until_it_ends(dispatcher):
    assert put(dispatcher, "/workers/s-9/maint") == 404
    assert put(dispatcher, "/workers/s-1/maint") == 200
    assert put(dispatcher, "/workers/s-1/maint") == 200
    before = len(dispatcher.job_calls())
    assert exchange(dispatcher.port, job_request("00000000000000b1")).status != 200
    assert len(dispatcher.job_calls()) == before
    assert put(dispatcher, "/workers/s-1/ready") == 200
    names = (f"00000000000000c{k}" for k in range(10_000))
    wait_for(lambda: exchange(dispatcher.port, job_request(next(names))).status == 200)


ADMIN_MODULES = (
    "stepstream.admin",
    "stepstream.core.drain",
    "stepstream.core.maintenance",
    "stepstream.hot_restart",
)


def loaded_by_a_start(operator):
    """Modules and threads of a dispatcher started in a process of its own, with an admin address or not."""
    config = {
        **CONFIGURATION,
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
        f"print(sorted({{m.rpartition('.')[0] or m for m in sys.modules if m.startswith({ADMIN_MODULES!r})}}))\n"
        "print(sorted(t.name for t in threading.enumerate()))\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules, threads = run.stdout.splitlines()
    return modules, threads


def test_serve_without_an_admin_address_loads_nothing_of_it_and_with_one_it_does():
    modules, threads = loaded_by_a_start(operator=False)
    assert modules == "[]"
    assert "admin" not in threads
    modules, threads = loaded_by_a_start(operator=True)
    assert "stepstream.admin" in modules
    assert "'admin'" in threads
