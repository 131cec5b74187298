"""The subsystem of the admin listener, with maintenance of workers, drains and the hot restart.

The main thread creates and starts it; the service's docstrings name the methods that other threads
may call.
"""

from collections.abc import Callable, Mapping

from stepstream.admin.listener import AdminListener
from stepstream.admin.service import AdminService, RemoteMaintenanceChange
from stepstream.config.errors import ConfigurationError
from stepstream.core.commands import Command, ForwardNotification
from stepstream.core.drain import DrainState
from stepstream.hot_restart.controller import HotRestartController
from stepstream.hot_restart.precedence import is_newer_list
from stepstream.hot_restart.process import own_record
from stepstream.hot_restart.shared_request_ids import SharedRequestIds
from stepstream.hot_restart.state import HandoverState
from stepstream.hot_restart.state_file import StateFile, state_folder
from stepstream.runtime import log_events
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_api.context import SubsystemContext
from stepstream.subsystem_api.subsystem import Subsystem


class AdminSubsystem(Subsystem):
    """The subsystem of the setting `operator`; it implements `ports.admin.WorkerMaintenance`."""

    def __init__(self, context: SubsystemContext, address: tuple[str, int]) -> None:
        self.context = context
        self.address = address
        drain = DrainState(context.limits.timeouts.drain_close_seconds)
        self.service = AdminService(context, drain)
        self.service.on_rejected_notification = context.server.state.report_rejected_notification

    def start(self) -> None:
        """Take over a predecessor's state and serve operators.

        The subsystem owns the listener's thread, a daemon that ends with the process. Raise
        ConfigurationError if the admin listener's address cannot be bound.
        """
        host, port = self.address
        subsystems = self.context.subsystems.values()
        routes = [route for subsystem in subsystems for route in subsystem.admin_routes()]
        service = self.service
        try:
            listener = AdminListener(
                self.address,
                self.context.limits,
                service.answer,
                service.run_periodic_tasks,
                routes,
            )
        except OSError as error:
            raise ConfigurationError(f"operator={host}:{port}: {error}") from error
        self._prepare_hot_restart()
        spawn_thread("admin", listener.run)
        log_events.admin_listener_started(
            dispatcher=self.context.config.name, address=f"{host}:{port}"
        )

    def _prepare_hot_restart(self) -> None:
        """Take over the state in $TMPDIR; its maintenance applies before a client can connect."""
        folder = state_folder()
        if folder is None:
            return
        context = self.context
        own = own_record(self.address, context.clock.now_us())
        file = StateFile(folder, context.config.name, own.pid, context.limits.sizes.handover_bytes)
        hot_restart = HotRestartController(file, own, self.service.maintenance, context.limits)
        self.service.hot_restart = hot_restart
        try:
            request_ids = SharedRequestIds(folder, context.config.name, own.pid)
        except OSError as error:
            log_events.request_ids_not_shared(reason=str(error))
        else:
            context.core.share_request_ids(request_ids)
        state = hot_restart.load()
        if state is not None:
            self._adopt(state)
            self.run_periodic_tasks()

    def _adopt(self, state: HandoverState) -> None:
        """Apply the predecessor's maintenance, and its endpoint list if that is newer than ours."""
        if state.maintenance.in_maintenance:
            self.service.adopt_maintenance()
        handed_over = state.endpoint_list
        configured = self.context.config.persisted_endpoints or None
        if handed_over is not None and is_newer_list(handed_over, configured):
            self.context.persisted_endpoints = handed_over
            log_events.endpoint_list_adopted(version=handed_over.get("version"))

    def on_serving(self) -> None:
        """Record in the state file that clients can connect; then let health checks succeed.

        The order matters: SIGTERM may reach the predecessor as soon as a health check has
        succeeded. The predecessor must then find its successor in the state file.
        """
        hot_restart = self.service.hot_restart
        if hot_restart is not None and hot_restart.write(ready=True):
            self.service.adopt_maintenance()
        self.service.started = True

    def run_periodic_tasks(self) -> None:
        """Share the platform's limits with the sibling process while there is one."""
        hot_restart = self.service.hot_restart
        if hot_restart is not None:
            self.context.share_resources(1 if hot_restart.sibling() is None else 2)

    def begin_shutdown(self) -> bool:
        """Return whether this is a hot restart: a successor accepts clients on the same address.

        New connections then go to the successor. This process answers the requests that it has
        received and closes idle connections. The successor forwards to this process the
        notifications of these requests that reach it.
        """
        hot_restart = self.service.hot_restart
        if hot_restart is None:
            return False
        # The successor may have become ready or changed maintenance after the listener's last turn.
        if hot_restart.check_file():
            self.service.adopt_maintenance()
        return hot_restart.successor() is not None

    def command_handlers(self) -> Mapping[type, Callable[[Command], None]]:
        """Return the handler that forwards notifications; the decision thread calls it."""
        return {ForwardNotification: self._forward_notification}

    def _forward_notification(self, command: Command) -> None:
        if self.service.hot_restart is not None and isinstance(command, ForwardNotification):
            self.service.hot_restart.forward_notification(command.notification)

    # -- ports.admin.WorkerMaintenance -------------------------------------------------------------

    @property
    def on_change(self) -> Callable[[str, bool], None] | None:
        """The callback for each accepted maintenance request: worker id, whether it is a start."""
        return self.service.on_maintenance_change

    @on_change.setter
    def on_change(self, callback: Callable[[str, bool], None] | None) -> None:
        """Set the callback; None for no callback."""
        self.service.on_maintenance_change = callback

    def apply_remote_change(
        self,
        worker_id: str,
        in_maintenance: bool,  # noqa: FBT001  the port's signature
        member: str,
        at_us: int,
    ) -> None:
        """Queue a maintenance request that `member` accepted at `at_us`; any thread may call it."""
        change = RemoteMaintenanceChange(worker_id, in_maintenance, member, at_us)
        self.service.queue_remote_change(change)

    def draining(self) -> bool:
        """Return whether an operator drains this dispatcher; any thread may call it."""
        return self.service.drain.active


def create_subsystem(context: SubsystemContext) -> AdminSubsystem:
    """Create the subsystem; the node calls this only where the settings have an `operator`."""
    address = context.config.operator
    if address is None:
        raise ConfigurationError("operator is missing: HOST:PORT of the admin listener")
    return AdminSubsystem(context, address)
