"""The admin service: what operators' requests do to the process, and what follows from them later.

Each effect holds before its request is answered: a worker in maintenance is marked in the
destination set, so that no call is written to it from then on, and the core learns of it in its
next round. The service owns the maintenance registry and the drain. Everything here runs in the
admin listener's thread, except where a docstring says otherwise.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from typing import TYPE_CHECKING

from stepstream.admin.routing import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    AdminAction,
    OperatorRequest,
    ProcessView,
    decide,
)
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

THIS_DISPATCHER = "local"  # in the log, where the operators' request was made here
IDLE_CLOSE_PERIOD_SECONDS = 0.1  # between two closings of idle connections in a drain


@dataclass(frozen=True, slots=True)
class RemoteMaintenanceChange:
    """A maintenance request that another dispatcher, `source`, has taken."""

    worker_id: str
    in_maintenance: bool
    source: str
    at_us: int  # when it was taken: microseconds since the epoch, by that dispatcher's clock


class AdminService:
    """Carries out maintenance of workers, drains, and the admin part of a hot restart.

    `context` is the node that it acts on. `started` is set once clients are taken, `hot_restart`
    where there is a state folder, and `on_maintenance_change` by whoever spreads maintenance to
    other dispatchers.
    """

    def __init__(self, context: SubsystemContext, drain: DrainState) -> None:
        self.context = context
        self.drain = drain
        self.maintenance = MaintenanceRegistry()
        self.started = False
        self.hot_restart: HotRestartController | None = None
        self.on_maintenance_change: Callable[[str, bool], None] | None = None
        self.remote_changes: SimpleQueue[RemoteMaintenanceChange] = SimpleQueue()
        self.sibling_present = False
        self.handed_over_updates = 0  # of the destination set, that the state file holds
        self.idle_closed_at = 0.0  # monotonic seconds

    # -- requests ----------------------------------------------------------------------------------

    def answer(self, request: OperatorRequest) -> AdminResponse:
        """Decide on a request and carry out its effect."""
        if request.action is AdminAction.TAKE_NOTIFICATION:
            return self._take_notification(request.body)
        worker_id = request.worker_id
        view = ProcessView(
            self.is_serving(), self._is_known(worker_id), self.maintenance.contains(worker_id)
        )
        decision = decide(request, view)
        status = decision.response.status
        if decision.effect is not None:
            self._carry_out(decision.effect, worker_id)
        elif status == HTTP_NOT_FOUND:
            self.maintenance.counts.unknown += 1
        if self.on_maintenance_change is not None and status == HTTP_OK and worker_id:
            # Also where nothing changes here: another dispatcher may have been told the opposite.
            starts = request.action is AdminAction.START_MAINTENANCE
            self.on_maintenance_change(worker_id, starts)
        return decision.response

    def is_serving(self) -> bool:
        """Tell whether clients are taken: started, and neither shutting down nor draining."""
        shutting_down = self.context.server.state.shutting_down
        return self.started and not shutting_down and not self.drain.active

    def _is_known(self, worker_id: str) -> bool:
        """Tell whether discovery's endpoint list or the Gearman front has the worker."""
        listed = self.context.destinations.listed_address(worker_id) is not None
        return listed or self.context.core.endpoints.contains(worker_id)

    def _take_notification(self, body: bytes) -> AdminResponse:
        """Post a notification that a worker sent to the sibling process, and that belongs here."""
        try:
            notification = read_notification(Message(method="POST", body=body), forwarded=True)
        except ProtocolError as error:
            return AdminResponse(error.status, str(error))
        if notification is not None:
            self.context.post(notification)
        return AdminResponse(HTTP_OK, "OK")

    def _carry_out(self, effect: AdminAction, worker_id: str) -> None:
        match effect:
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
        """Release the worker, which starts over as one that has started at `at_us`."""
        if not self.maintenance.release(worker_id, at_us):
            return
        count = self._apply_and_hand_over_maintenance()
        log_events.worker_maintenance_ended(
            worker=worker_id, requested_at=requested_at, in_maintenance=count
        )

    def _apply_and_hand_over_maintenance(self) -> int:
        """Apply the changed state here and in the state file; return how many workers it holds."""
        count = self._apply_maintenance()
        if self.hot_restart is not None:
            self.hot_restart.write()
        return count

    def adopt_maintenance(self) -> None:
        """Apply the maintenance state taken over from another process.

        The main thread calls it too, before the listener's thread is there.
        """
        count = self._apply_maintenance()
        log_events.maintenance_state_adopted(in_maintenance=count)

    def _apply_maintenance(self) -> int:
        """Pass the state to the destination set and the core; return how many workers it holds."""
        state = self.maintenance.snapshot()
        self.context.destinations.set_in_maintenance(state.in_maintenance)
        self.context.post(MaintenanceChanged(state))
        return len(state.in_maintenance)

    def queue_remote_change(self, change: RemoteMaintenanceChange) -> None:
        """Leave a change to the listener's next turn; any thread, never waits."""
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
        """Close clients' idle connections in a drain, once that is due and then once a period."""
        in_period = now - self.idle_closed_at < IDLE_CLOSE_PERIOD_SECONDS
        if not self.drain.closes_connections(now) or in_period:
            return
        self.idle_closed_at = now
        server = self.context.server
        if not server.state.drain_closing:
            server.state.drain_closing = True
            log_events.drain_closing_connections()
        server.close_idle()

    # -- every turn of the listener ----------------------------------------------------------------

    def run_periodic_tasks(self, now: float) -> None:
        """Apply what other dispatchers and the sibling process have changed, and advance a drain.

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
        """Pass discovery's list to the next process, at most one turn after it has changed."""
        destinations = self.context.destinations
        if destinations.update_count != self.handed_over_updates:
            self.handed_over_updates = destinations.update_count
            hot_restart.endpoint_list = destinations.export_list()
            hot_restart.write()

    def _post_sibling_change(self, hot_restart: "HotRestartController") -> None:
        """Tell the core when a sibling process has appeared or gone."""
        present = hot_restart.sibling() is not None
        if present != self.sibling_present:
            self.sibling_present = present
            self.context.post(SiblingProcessChanged(present))
            log_events.sibling_process_changed(present=present)
