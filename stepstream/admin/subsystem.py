"""How the admin listener plugs into the node, and with it maintenance, drains and the hot restart."""

from collections.abc import Callable, Mapping

from stepstream.admin.listener import AdminListener
from stepstream.admin.service import AdminService
from stepstream.config.errors import ConfigurationError
from stepstream.core.commands import Command, ForwardNotification
from stepstream.core.drain import DrainState
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.hot_restart.controller import HotRestartController, folder, newer, own_process
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.log import log
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_context import SubsystemContext


class AdminSubsystem(Subsystem):
    def __init__(self, host: SubsystemContext) -> None:
        self.host = host
        drain = DrainState(host.limits.timeouts.drain_close_seconds)
        self.desk = AdminService(
            host.server,
            host.destinations,
            MaintenanceRegistry(),
            drain,
            host.clock,
            host.post,
            self.known,
        )

    def known(self, worker: str) -> bool:
        host = self.host
        return host.destinations.last_address(worker) is not None or host.core.endpoints.contains(
            worker
        )

    def start(self) -> None:
        """The admin listener, in a thread of its own; FieldError if its address cannot be had."""
        host, address = self.host, self.host.config.operator
        paths = [path for part in host.subsystems.values() for path in part.admin_routes()]
        try:
            listener = AdminListener(address, host.limits, self.desk.answer, self.desk.look, paths)
        except OSError as error:
            raise ConfigurationError(f"operator={address[0]}:{address[1]}: {error}") from None
        self.take_over(address)
        spawn_thread("admin", listener.run)
        log(f"{host.config.name} hears operators on {address[0]}:{address[1]}")

    def take_over(self, address: tuple[str, int]) -> None:
        """What the process before this one left in $TMPDIR: its bans hold here before a client is taken."""
        host, where = self.host, folder()
        if where is None:
            return
        own = own_process(address, host.clock.now_us())
        keeper = self.desk.keeper = HotRestartController(
            where, host.config.name, own, self.desk.bans, host.limits
        )
        found = keeper.load()
        if found is not None and found.bans.in_maintenance:
            self.desk.adopted()
        if found is not None and newer(found.listed, host.config.persisted_endpoints or None):
            host.persisted_endpoints = (
                found.listed
            )  # what discovery told the process before this one
            log(f"handover: discovery's list of version {found.listed.get('version')} taken over")

    def on_serving(self) -> None:
        if self.desk.keeper is not None:
            # Before the yes: SIGTERM may reach the old process at once after it.
            self.desk.keeper.write(ready=True)
        self.desk.started = True

    # -- ports.Maintenance --------------------------------------------------------------------------------

    @property
    def on_change(self) -> Callable[[str, bool], None] | None:
        return self.desk.on_word

    @on_change.setter
    def on_change(self, heard: Callable[[str, bool], None]) -> None:
        self.desk.on_word = heard

    def apply_remote_change(self, worker: str, out: bool, by: str, at_us: int) -> None:
        self.desk.heard.put((worker, out, by, at_us))

    def draining(self) -> bool:
        return self.desk.drain.active

    def command_handlers(self) -> Mapping[type, Callable[[Command], None]]:
        return {ForwardNotification: self.pass_on}

    def pass_on(self, command: ForwardNotification) -> None:
        if self.desk.keeper is not None:
            self.desk.keeper.pass_on(command.notification)

    def begin_shutdown(self) -> bool:
        """A hot restart: a newer process takes clients on the same address; new connections go to it.

        This one answers what it has taken and closes kept connections after their answers. News for its
        requests that reaches the other process is passed on here.
        """
        if (keeper := self.desk.keeper) is None:
            return False
        keeper.watch()  # the successor's yes may be newer than the admin listener's last look
        return keeper.successor() is not None


def create_subsystem(host: SubsystemContext) -> AdminSubsystem:
    return AdminSubsystem(host)
