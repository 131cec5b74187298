"""The decisions of the admin listener and its service, as pure functions.

They decide on requests, on the steps of a drain, and on which of the callers' connections are
closed. The service and the listener carry the decisions out.
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
    """The state of the process at the time of a request, for the decision on it."""

    serving: bool  # as `is_serving` decides
    worker_known: bool  # discovery's endpoint list or the Gearman front has the request's worker
    worker_in_maintenance: bool


@dataclass(frozen=True, slots=True)
class Decision:
    """The response to a request, and the action to carry out before it is sent, if any."""

    response: AdminResponse
    action: AdminAction | None = None


def is_serving(*, started: bool, shutting_down: bool, draining: bool) -> bool:
    """Decide whether health checks succeed, so that the front proxy sends new connections.

    They fail until the clients' listener accepts, and from the start of a shutdown or drain on.
    Otherwise the front proxy would send connections to a dispatcher that is about to close.
    """
    return started and not shutting_down and not draining


def decide(request: OperatorRequest, view: ProcessView) -> Decision:
    """Decide on a request of any action but `TAKE_NOTIFICATION`, which depends on its body alone.

    Starts of maintenance are not counted: one request ends it, after any number of starts. A worker
    id that no endpoint source knows is rejected, unless the worker is in maintenance. Such an id
    may be mistyped, and its maintenance would have no effect.
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
    is_start = request.action is AdminAction.START_MAINTENANCE
    if is_start == view.worker_in_maintenance:
        return Decision(AdminResponse(HTTP_OK, "OK: out already" if is_start else "OK: in already"))
    return Decision(AdminResponse(HTTP_OK, "OK"), request.action)


def should_notify_members(request: OperatorRequest, decision: Decision) -> bool:
    """Decide whether the other dispatchers are notified of a request.

    They are notified of every accepted maintenance request, even if it changes nothing here:
    another dispatcher may have received the opposite request.
    """
    return request.action in MAINTENANCE_ACTIONS and decision.response.status == HTTP_OK


def should_close_idle_connections(*, drain_closes: bool, seconds_since_last_close: float) -> bool:
    """Decide whether a drain closes the clients' idle connections in this turn of the listener.

    `drain_closes` is whether the drain has reached the step that closes connections. This is done
    only once in IDLE_CLOSE_PERIOD_SECONDS, because it goes through all connections.
    """
    return drain_closes and seconds_since_last_close >= IDLE_CLOSE_PERIOD_SECONDS


def connection_to_evict(
    connections: Collection[AdminConnection], max_connections: int
) -> AdminConnection | None:
    """Return the connection to close before a new one is accepted; None while there is room.

    It is the oldest one. If new connections were rejected instead, callers that hold connections
    without a request would keep operators out.
    """
    if len(connections) < max_connections:
        return None
    return min(connections, key=lambda connection: connection.opened_at)


def has_expired(connection: AdminConnection, now: float, max_age_seconds: float) -> bool:
    """Decide whether a connection is closed at the monotonic time `now`, in seconds.

    Its one request must be complete and answered within `max_age_seconds` after its accept.
    Otherwise a caller that sends or reads slowly would keep the connection.
    """
    return now - connection.opened_at > max_age_seconds
