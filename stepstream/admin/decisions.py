"""Every decision of the admin listener and its service, as pure functions.

They decide on requests, on the steps of a drain, and on which connections of callers are closed.
The service and the listener carry the decisions out.
"""

from collections.abc import Collection
from dataclasses import dataclass

from stepstream.admin.connection import AdminConnection
from stepstream.admin.routing import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    AdminAction,
    OperatorRequest,
)
from stepstream.ports.admin import AdminResponse

IDLE_CLOSE_PERIOD_SECONDS = 0.1
MAINTENANCE_ACTIONS = frozenset({AdminAction.START_MAINTENANCE, AdminAction.END_MAINTENANCE})


@dataclass(frozen=True, slots=True)
class ProcessView:
    """What a decision needs to know of the process, taken by its caller."""

    serving: bool  # as `is_serving` decides
    worker_known: bool  # an endpoint list or the Gearman front has the request's worker
    worker_in_maintenance: bool


@dataclass(frozen=True, slots=True)
class Decision:
    """The response to a request, and the action to carry out before it is sent, if any."""

    response: AdminResponse
    effect: AdminAction | None = None


def is_serving(*, started: bool, shutting_down: bool, draining: bool) -> bool:
    """Decide whether health checks succeed, so that the front sends new connections.

    They fail before the clients' listener accepts and from the start of a shutdown or drain on;
    otherwise the front goes on sending to a dispatcher that is about to close.
    """
    return started and not shutting_down and not draining


def decide(request: OperatorRequest, view: ProcessView) -> Decision:
    """Decide on any action but a forwarded notification, which depends on its body alone.

    Maintenance does not count its starts: one end is enough. A worker id that no endpoint source
    knows is rejected, unless it is in maintenance: a mistyped id would have no effect later.
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


def spreads_to_members(request: OperatorRequest, decision: Decision) -> bool:
    """Decide whether the other dispatchers are notified of a request.

    Every accepted maintenance request is spread, even without a change here: another dispatcher
    may have received the opposite request.
    """
    return request.action in MAINTENANCE_ACTIONS and decision.response.status == HTTP_OK


def closes_idle_now(*, drain_closes: bool, seconds_since_last_close: float) -> bool:
    """Decide whether a drain closes the clients' idle connections in this turn.

    `drain_closes` is whether the drain has reached the step that closes connections. Once a period
    is enough: each pass goes through all connections.
    """
    return drain_closes and seconds_since_last_close >= IDLE_CLOSE_PERIOD_SECONDS


def connection_to_evict(
    connections: Collection[AdminConnection], max_connections: int
) -> AdminConnection | None:
    """Return the connection that makes room for a new one; None while there is room.

    It is the oldest: otherwise callers that hold connections without a request would keep operators
    out.
    """
    if len(connections) < max_connections:
        return None
    return min(connections, key=lambda connection: connection.opened_at)


def has_expired(connection: AdminConnection, now: float, max_age_seconds: float) -> bool:
    """Decide whether a connection is closed at the monotonic time `now`, in seconds.

    Its one request must be complete and answered within `max_age_seconds` of its accept; a caller
    that sends or reads slowly would hold its place otherwise.
    """
    return now - connection.opened_at > max_age_seconds
