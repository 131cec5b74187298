"""The routing table of the admin listener, and the decision on each of its actions; free of I/O.

One request a connection, HTTP/1.1; 2xx means done, 4xx and 5xx mean refused. Changes come by PUT
(POST is taken as well, as other proxies' admin listeners want it). Owns no state; any thread may
call it.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qsl, unquote

from stepstream.ports.admin import (
    READ_METHODS,
    WRITE_METHODS,
    AdminRequest,
    AdminResponse,
    AdminRoute,
)

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503

MAX_QUERY_CHARACTERS = 1024  # more of a query is not read
MAX_ECHOED_CHARACTERS = 64  # of a path, in a response or a log line


class AdminAction(Enum):
    """What a request asks for; the value names it in the response to a wrong method."""

    CHECK_HEALTH = "healthcheck"  # 200 while this process takes clients and is not draining
    START_DRAIN = "healthcheck/fail"
    CANCEL_DRAIN = "healthcheck/ok"
    START_MAINTENANCE = "maint"  # of one worker
    END_MAINTENANCE = "ready"
    TAKE_NOTIFICATION = "news"  # a worker's, forwarded by the sibling process of a hot restart


# Path to action and methods; `*` stands for a worker's id.
ROUTES = {
    "/healthcheck": (AdminAction.CHECK_HEALTH, READ_METHODS),
    "/healthcheck/fail": (AdminAction.START_DRAIN, WRITE_METHODS),
    "/healthcheck/ok": (AdminAction.CANCEL_DRAIN, WRITE_METHODS),
    "/workers/*/maint": (AdminAction.START_MAINTENANCE, WRITE_METHODS),
    "/workers/*/ready": (AdminAction.END_MAINTENANCE, WRITE_METHODS),
    "/_jobs/news": (AdminAction.TAKE_NOTIFICATION, frozenset({"POST"})),
}
WORKER_PATH = re.compile(r"/workers/([^/]*)(/.*)")
WORKER_ID = re.compile(r"[A-Za-z0-9._:@~-]{1,128}")  # discovery's ids, and Gearman's names


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request to one of the listener's own routes."""

    action: AdminAction
    worker_id: str = ""  # of the maintenance actions
    body: bytes = b""  # of a forwarded notification


@dataclass(frozen=True, slots=True)
class SubsystemRequest:
    """A request to a route that a subsystem has added and answers."""

    route: AdminRoute
    request: AdminRequest


class AdminRequestError(Exception):
    """A request that no route takes; the text is the reason, for the response and the log."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def route(
    method: str, target: str, subsystem_routes: Sequence[AdminRoute] = ()
) -> OperatorRequest | SubsystemRequest:
    """Find the route of a request line; raise AdminRequestError if there is none.

    A query is ignored, except on the routes of subsystems. The request's body is left empty.
    """
    path, _, query = target.partition("?")
    for subsystem_route in subsystem_routes:
        match = re.fullmatch(subsystem_route.pattern, path)
        if match is not None:
            _check_method(method, subsystem_route.methods, path[:MAX_ECHOED_CHARACTERS])
            parts = tuple(unquote(part) for part in match.groups(""))
            parameters = dict(parse_qsl(query[:MAX_QUERY_CHARACTERS], keep_blank_values=True))
            return SubsystemRequest(subsystem_route, AdminRequest(method, parts, parameters))
    return _route_to_action(method, path)


def _route_to_action(method: str, path: str) -> OperatorRequest:
    """Look the path up in the listener's own table."""
    worker_path = WORKER_PATH.fullmatch(path)
    table_path = f"/workers/*{worker_path[2]}" if worker_path else path
    if table_path not in ROUTES:
        raise AdminRequestError(HTTP_NOT_FOUND, f"no such call: {path[:MAX_ECHOED_CHARACTERS]}")
    action, methods = ROUTES[table_path]
    worker_id = unquote(worker_path[1]) if worker_path else ""
    if worker_path and not WORKER_ID.fullmatch(worker_id):
        raise AdminRequestError(HTTP_BAD_REQUEST, "a worker's id is malformed")
    _check_method(method, methods, action.value)
    return OperatorRequest(action, worker_id)


def _check_method(method: str, allowed: frozenset[str], what: str) -> None:
    if method not in allowed:
        raise AdminRequestError(
            HTTP_METHOD_NOT_ALLOWED, f"{what} takes {' or '.join(sorted(allowed))}"
        )


@dataclass(frozen=True, slots=True)
class ProcessView:
    """What a decision needs to know of the process, taken by its caller."""

    serving: bool  # clients are taken: their listener is open, no drain and no shutdown goes on
    worker_known: bool  # an endpoint list or the Gearman front has the request's worker
    worker_in_maintenance: bool


@dataclass(frozen=True, slots=True)
class Decision:
    """The response to a request, and the action to carry out before it is sent, if any."""

    response: AdminResponse
    effect: AdminAction | None = None


def decide(request: OperatorRequest, view: ProcessView) -> Decision:
    """Decide on any action but a forwarded notification, which depends on its body alone.

    Maintenance does not count its starts: one end is enough. An id that nobody knows is refused,
    unless it is in maintenance.
    """
    match request.action:
        case AdminAction.CHECK_HEALTH if view.serving:
            return Decision(AdminResponse(HTTP_OK, "OK"))
        case AdminAction.CHECK_HEALTH:
            return Decision(AdminResponse(HTTP_UNAVAILABLE, "not serving"))
        case AdminAction.START_DRAIN | AdminAction.CANCEL_DRAIN:
            return Decision(AdminResponse(HTTP_OK, "OK"), request.action)
    if not view.worker_known and not view.worker_in_maintenance:
        return Decision(AdminResponse(HTTP_NOT_FOUND, f"no worker {request.worker_id}"))
    starts = request.action is AdminAction.START_MAINTENANCE
    if starts == view.worker_in_maintenance:
        return Decision(AdminResponse(HTTP_OK, "OK: out already" if starts else "OK: in already"))
    return Decision(AdminResponse(HTTP_OK, "OK"), request.action)
