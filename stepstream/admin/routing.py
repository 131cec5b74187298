"""The routing table of the admin listener; free of I/O.

A connection carries one HTTP/1.1 request. The status 2xx means done, 4xx and 5xx mean rejected.
Operators make changes with PUT; POST is accepted as well, as other proxies' admin listeners do. The
module keeps no state; any thread may call the functions.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qsl, unquote

from stepstream.ports.admin import READ_METHODS, WRITE_METHODS, AdminRequest, AdminRoute

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503

MAX_QUERY_CHARACTERS = 1024  # the rest of a query is ignored
MAX_ECHOED_CHARACTERS = 64  # the rest of a path is left out of responses and log lines


class AdminAction(Enum):
    """The action of a request. The response to a wrong method names the action by this value."""

    CHECK_HEALTH = "healthcheck"
    START_DRAIN = "healthcheck/fail"
    CANCEL_DRAIN = "healthcheck/ok"
    START_MAINTENANCE = "maint"  # of one worker
    END_MAINTENANCE = "ready"
    TAKE_NOTIFICATION = "news"  # forwarded by the sibling process of a hot restart


@dataclass(frozen=True, slots=True)
class Route:
    """The action of the requests to a path, and the methods that they may have."""

    action: AdminAction
    methods: frozenset[str]


# The listener's own routes by path; `*` stands for a worker's id.
ROUTES = {
    "/healthcheck": Route(AdminAction.CHECK_HEALTH, READ_METHODS),
    "/healthcheck/fail": Route(AdminAction.START_DRAIN, WRITE_METHODS),
    "/healthcheck/ok": Route(AdminAction.CANCEL_DRAIN, WRITE_METHODS),
    "/workers/*/maint": Route(AdminAction.START_MAINTENANCE, WRITE_METHODS),
    "/workers/*/ready": Route(AdminAction.END_MAINTENANCE, WRITE_METHODS),
    "/_jobs/news": Route(AdminAction.TAKE_NOTIFICATION, frozenset({"POST"})),
}
WORKER_PATH = re.compile(r"/workers/([^/]*)(/.*)")
WORKER_ID = re.compile(r"[A-Za-z0-9._:@~-]{1,128}")  # ids of discovery and of Gearman


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request to one of the listener's own routes."""

    action: AdminAction
    worker_id: str = ""  # for the maintenance actions
    body: bytes = b""  # a forwarded notification


@dataclass(frozen=True, slots=True)
class SubsystemRequest:
    """A request to a route that a subsystem has added and answers."""

    route: AdminRoute
    request: AdminRequest


class AdminRequestError(Exception):
    """No route accepts a request; the text is the reason, for the response and the log."""

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
    table_route = ROUTES[table_path]
    worker_id = unquote(worker_path[1]) if worker_path else ""
    if worker_path and not WORKER_ID.fullmatch(worker_id):
        raise AdminRequestError(HTTP_BAD_REQUEST, "a worker's id is malformed")
    _check_method(method, table_route.methods, table_route.action.value)
    return OperatorRequest(table_route.action, worker_id)


def _check_method(method: str, allowed: frozenset[str], path_or_action: str) -> None:
    if method not in allowed:
        raise AdminRequestError(
            HTTP_METHOD_NOT_ALLOWED, f"{path_or_action} takes {' or '.join(sorted(allowed))}"
        )
