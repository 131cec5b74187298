"""Routing of admin requests, and the decisions on them."""

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
from stepstream.admin.routing import (
    AdminAction,
    AdminRequestError,
    OperatorRequest,
    SubsystemRequest,
    route,
)
from stepstream.ports.admin import AdminRequest, AdminResponse, AdminRoute


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
def test_a_request_without_a_route_is_rejected_with_a_status_and_a_reason(
    method, target, status, reason
):
    with pytest.raises(AdminRequestError) as raised:
        route(method, target)
    assert (raised.value.status, str(raised.value)) == (status, reason)


def test_a_subsystems_route_gets_the_variable_parts_of_the_path_and_the_query():
    subsystem_route = AdminRoute(
        r"/leases/([^/]+)", frozenset({"GET"}), lambda _: AdminResponse(200, "OK")
    )
    assert route("GET", "/leases/a%2Fb?since=3&all", [subsystem_route]) == SubsystemRequest(
        subsystem_route, AdminRequest("GET", ("a/b",), {"since": "3", "all": ""})
    )
    with pytest.raises(AdminRequestError, match="^/leases/a takes GET$"):
        route("PUT", "/leases/a", [subsystem_route])


START_REQUEST = OperatorRequest(AdminAction.START_MAINTENANCE, "s-1")
END_REQUEST = OperatorRequest(AdminAction.END_MAINTENANCE, "s-1")
HEALTH_CHECK = OperatorRequest(AdminAction.CHECK_HEALTH)
OK = AdminResponse(200, "OK")


@pytest.mark.parametrize(
    ("operator_request", "worker_known", "in_maintenance", "expected"),
    [
        (START_REQUEST, True, False, Decision(OK, AdminAction.START_MAINTENANCE)),
        (START_REQUEST, True, True, Decision(AdminResponse(200, "OK: out already"))),
        (START_REQUEST, False, True, Decision(AdminResponse(200, "OK: out already"))),
        (END_REQUEST, False, True, Decision(OK, AdminAction.END_MAINTENANCE)),
        (END_REQUEST, True, True, Decision(OK, AdminAction.END_MAINTENANCE)),
        (END_REQUEST, True, False, Decision(AdminResponse(200, "OK: in already"))),
        (START_REQUEST, False, False, Decision(AdminResponse(404, "no worker s-1"))),
        (END_REQUEST, False, False, Decision(AdminResponse(404, "no worker s-1"))),
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
def test_one_request_ends_maintenance_and_an_unknown_worker_is_rejected(
    operator_request, worker_known, in_maintenance, expected
):
    assert decide(operator_request, ProcessView(True, worker_known, in_maintenance)) == expected


@pytest.mark.parametrize(("serving", "status"), [(True, 200), (False, 503)])
def test_a_health_check_succeeds_only_while_the_process_serves(serving, status):
    decision = decide(HEALTH_CHECK, ProcessView(serving, False, False))
    assert decision.response.status == status
    assert decision.action is None


@pytest.mark.parametrize(
    ("started", "shutting_down", "draining", "serving"),
    [
        (True, False, False, True),
        (False, False, False, False),
        (True, True, False, False),
        (True, False, True, False),
    ],
)
def test_the_process_serves_from_its_start_until_a_shutdown_or_drain(
    started, shutting_down, draining, serving
):
    result = is_serving(started=started, shutting_down=shutting_down, draining=draining)
    assert result is serving


def test_the_oldest_connection_is_evicted_and_every_connection_expires():
    older, newer = (AdminConnection(None, None, opened_at) for opened_at in (10.0, 11.0))
    assert connection_to_evict([newer, older], 3) is None
    assert connection_to_evict([newer, older], 2) is older
    assert [has_expired(older, now, 5.0) for now in (15.0, 15.01)] == [False, True]


@pytest.mark.parametrize("action", [AdminAction.START_DRAIN, AdminAction.CANCEL_DRAIN])
def test_a_request_starts_or_ends_a_drain_in_any_state(action):
    decision = decide(OperatorRequest(action), ProcessView(False, False, False))
    assert decision == Decision(OK, action)
