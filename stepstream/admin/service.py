"""The admin service: carries out operators' requests and the periodic tasks that follow from them.

A request is answered after it has taken effect. A worker in maintenance, for example, is already
marked in the destination set, so that no further call is written to it, and the change is posted to
the core. The service owns the maintenance registry and the drain. All methods run in the admin
listener's thread, unless their docstring says otherwise.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from typing import TYPE_CHECKING

from stepstream.admin import decisions
from stepstream.admin.decisions import ProcessView
from stepstream.admin.routing import HTTP_NOT_FOUND, HTTP_OK, AdminAction, OperatorRequest
from stepstream.core.drain import DrainState
from stepstream.core.events import MaintenanceChanged, SiblingProcessChanged
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.http.codec import Message, ProtocolError
from stepstream.http.worker_api import read_notification
from stepstream.ports.admin import AdminResponse
from stepstream.runtime import log_events
from stepstream.subsystem_api.context import SubsystemContext

if TYPE_CHECKING:
    from stepstream.hot_restart.controller import HotRestartController

THIS_DISPATCHER = "local"  # `requested_at` in the log, for an operator's request to this dispatcher


@dataclass(frozen=True, slots=True)
class RemoteMaintenanceChange:
    """A maintenance request that another dispatcher, `source`, has accepted."""

    worker_id: str
    in_maintenance: bool
    source: str
    at_us: int  # when it was accepted: microseconds since the epoch, by that dispatcher's clock


class AdminService:
    """Carries out maintenance of workers, drains, and the admin part of a hot restart.

    `context` is the node that the service acts on. `started` is set once the clients' listener is
    open, and `hot_restart` if there is a state folder. `on_maintenance_change` is set by the
    subsystem that notifies other dispatchers of maintenance. `on_rejected_notification` takes the
    reason for which a forwarded notification was rejected.
    """

    def __init__(self, context: SubsystemContext, drain: DrainState) -> None:
        self.context = context
        self.drain = drain
        self.maintenance = MaintenanceRegistry()
        self.started = False
        self.hot_restart: HotRestartController | None = None
        self.on_maintenance_change: Callable[[str, bool], None] | None = None
        self.on_rejected_notification: Callable[[str], None] = lambda _reason: None
        self.remote_changes: SimpleQueue[RemoteMaintenanceChange] = SimpleQueue()
        self.sibling_present = False
        # The destination set's `update_count` when its list was last written to the state file.
        self.handed_over_update_count = 0
        self.idle_connections_closed_at = 0.0  # monotonic seconds

    # -- requests ----------------------------------------------------------------------------------

    def answer(self, request: OperatorRequest) -> AdminResponse:
        """Decide on a request, carry out its action, and return the response."""
        if request.action is AdminAction.TAKE_NOTIFICATION:
            return self._take_notification(request.body)
        worker_id = request.worker_id
        view = ProcessView(
            self.is_serving(), self._is_known(worker_id), self.maintenance.contains(worker_id)
        )
        decision = decisions.decide(request, view)
        if decision.action is not None:
            self._carry_out(decision.action, worker_id)
        elif decision.response.status == HTTP_NOT_FOUND:
            self.maintenance.counts.unknown += 1
        if self.on_maintenance_change is not None and decisions.should_notify_members(
            request, decision
        ):
            is_start = request.action is AdminAction.START_MAINTENANCE
            self.on_maintenance_change(worker_id, is_start)
        return decision.response

    def is_serving(self) -> bool:
        """Return whether health checks succeed."""
        return decisions.is_serving(
            started=self.started,
            shutting_down=self.context.server.state.shutting_down,
            draining=self.drain.active,
        )

    def _is_known(self, worker_id: str) -> bool:
        """Return whether discovery's endpoint list or the Gearman front has the worker."""
        listed = self.context.destinations.listed_address(worker_id) is not None
        return listed or self.context.core.endpoints.contains(worker_id)

    def _take_notification(self, body: bytes) -> AdminResponse:
        """Post a worker's notification that the sibling process has forwarded."""
        try:
            notification = read_notification(Message(method="POST", body=body), forwarded=True)
        except ProtocolError as error:
            self.on_rejected_notification(str(error))
            return AdminResponse(error.status, str(error))
        if notification is not None:
            self.context.post(notification)
        return AdminResponse(HTTP_OK, "OK")

    def _carry_out(self, action: AdminAction, worker_id: str) -> None:
        match action:
            case AdminAction.START_MAINTENANCE:
                self._start_maintenance(worker_id)
            case AdminAction.END_MAINTENANCE:
                self._end_maintenance(worker_id, self.context.clock.now_us())
            case AdminAction.START_DRAIN:
                self._start_drain()
            case AdminAction.CANCEL_DRAIN:
                self._cancel_drain()

    # -- maintenance of workers --------------------------------------------------------------------

    def _start_maintenance(self, worker_id: str, requested_at: str = THIS_DISPATCHER) -> None:
        if not self.maintenance.begin(worker_id):
            return
        count = self._apply_and_hand_over_maintenance()
        log_events.worker_maintenance_started(
            worker=worker_id, requested_at=requested_at, in_maintenance=count
        )

    def _end_maintenance(
        self, worker_id: str, at_us: int, requested_at: str = THIS_DISPATCHER
    ) -> None:
        """Release the worker.

        The policy sees it as started at `at_us`, so that it goes through slow start.
        """
        if not self.maintenance.release(worker_id, at_us):
            return
        count = self._apply_and_hand_over_maintenance()
        log_events.worker_maintenance_ended(
            worker=worker_id, requested_at=requested_at, in_maintenance=count
        )

    def _apply_and_hand_over_maintenance(self) -> int:
        """Apply the changed state here and in the state file; return the number in maintenance."""
        count = self._apply_maintenance()
        if self.hot_restart is not None and self.hot_restart.write():
            count = self._apply_maintenance()  # the write has merged a sibling's changes
        return count

    def adopt_maintenance(self) -> None:
        """Apply the maintenance state taken over from another process.

        The main thread calls it as well, before the listener's thread starts.
        """
        count = self._apply_maintenance()
        log_events.maintenance_state_adopted(in_maintenance=count)

    def _apply_maintenance(self) -> int:
        """Pass the state to the destination set and the core; return the number in maintenance."""
        state = self.maintenance.snapshot()
        self.context.destinations.set_in_maintenance(state.in_maintenance)
        self.context.post(MaintenanceChanged(state))
        return len(state.in_maintenance)

    def queue_remote_change(self, change: RemoteMaintenanceChange) -> None:
        """Queue a change for the listener's next turn; any thread may call it."""
        self.remote_changes.put(change)

    def _apply_remote_changes(self) -> None:
        """Apply other dispatchers' changes, whether or not this one knows the worker."""
        while not self.remote_changes.empty():
            change = self.remote_changes.get_nowait()
            if change.in_maintenance:
                self._start_maintenance(change.worker_id, change.source)
            else:
                self._end_maintenance(change.worker_id, change.at_us, change.source)

    # -- the drain ---------------------------------------------------------------------------------

    def _start_drain(self) -> None:
        if self.drain.start(time.monotonic()):
            self.context.server.state.draining = True
            log_events.drain_started()

    def _cancel_drain(self) -> None:
        if self.drain.cancel():
            state = self.context.server.state
            state.draining = False
            state.drain_closing = False
            log_events.drain_ended()

    def _close_idle_connections(self, now: float) -> None:
        """Close clients' idle connections if a drain has reached the step that closes them."""
        if not decisions.should_close_idle_connections(
            drain_closes=self.drain.closes_connections(now),
            seconds_since_last_close=now - self.idle_connections_closed_at,
        ):
            return
        self.idle_connections_closed_at = now
        server = self.context.server
        if not server.state.drain_closing:
            server.state.drain_closing = True
            log_events.drain_closing_connections()
        server.close_idle()

    # -- every turn of the listener ----------------------------------------------------------------

    def run_periodic_tasks(self, now: float) -> None:
        """Apply the changes of other dispatchers and of the sibling process, and advance a drain.

        `now` is in monotonic seconds.
        """
        self._apply_remote_changes()
        if self.hot_restart is not None:
            if self.hot_restart.check_file():
                self.adopt_maintenance()
            self._hand_over_endpoint_list(self.hot_restart)
            self._post_sibling_change(self.hot_restart)
        self._close_idle_connections(now)

    def _hand_over_endpoint_list(self, hot_restart: "HotRestartController") -> None:
        """Write discovery's list to the state file, at most one turn after it has changed."""
        destinations = self.context.destinations
        if destinations.update_count != self.handed_over_update_count:
            self.handed_over_update_count = destinations.update_count
            hot_restart.endpoint_list = destinations.export_list()
            if hot_restart.write():
                self.adopt_maintenance()

    def _post_sibling_change(self, hot_restart: "HotRestartController") -> None:
        """Notify the core when a sibling process has appeared or ended."""
        present = hot_restart.sibling() is not None
        if present != self.sibling_present:
            self.sibling_present = present
            self.context.post(SiblingProcessChanged(present))
            log_events.sibling_process_changed(present=present)
