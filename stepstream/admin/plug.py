"""How the admin listener plugs into the node, and with it maintenance, drains and the hot restart."""

from collections.abc import Callable, Mapping

from stepstream.admin.desk import Desk
from stepstream.admin.driver import AdminListener
from stepstream.dispatch import Command, PassOn
from stepstream.drain import Drain
from stepstream.host import Host
from stepstream.maintenance import Bans
from stepstream.net.threads import log, spawn
from stepstream.ports import Subsystem
from stepstream.settings import FieldError
from stepstream.upgrade.driver import Keeper, folder, newer, own_process


class AdminPart(Subsystem):
    def __init__(self, host: Host) -> None:
        self.host = host
        drain = Drain(host.limits.drain_close)
        self.desk = Desk(
            host.house, host.destinations, Bans(), drain, host.clock, host.post, self.known
        )

    def known(self, worker: str) -> bool:
        host = self.host
        return host.destinations.last_address(worker) is not None or host.core.members.holds(worker)

    def start(self) -> None:
        """The admin listener, in a thread of its own; FieldError if its address cannot be had."""
        host, address = self.host, self.host.config.operator
        paths = [path for part in host.parts.values() for path in part.paths()]
        try:
            listener = AdminListener(address, host.limits, self.desk.answer, self.desk.look, paths)
        except OSError as error:
            raise FieldError(f"operator={address[0]}:{address[1]}: {error}") from None
        self.take_over(address)
        spawn("admin", listener.run)
        log(f"{host.config.name} hears operators on {address[0]}:{address[1]}")

    def take_over(self, address: tuple[str, int]) -> None:
        """What the process before this one left in $TMPDIR: its bans hold here before a client is taken."""
        host, where = self.host, folder()
        if where is None:
            return
        own = own_process(address, host.clock.now_us())
        keeper = self.desk.keeper = Keeper(
            where, host.config.name, own, self.desk.bans, host.limits
        )
        found = keeper.load()
        if found is not None and found.bans.banned:
            self.desk.adopted()
        if found is not None and newer(found.listed, host.config.known or None):
            host.known = found.listed  # what discovery told the process before this one
            log(f"handover: discovery's list of version {found.listed.get('version')} taken over")

    def serving(self) -> None:
        if self.desk.keeper is not None:
            # Before the yes: SIGTERM may reach the old process at once after it.
            self.desk.keeper.write(ready=True)
        self.desk.started = True

    # -- ports.Maintenance --------------------------------------------------------------------------------

    @property
    def on_word(self) -> Callable[[str, bool], None] | None:
        return self.desk.on_word

    @on_word.setter
    def on_word(self, heard: Callable[[str, bool], None]) -> None:
        self.desk.on_word = heard

    def hear(self, worker: str, out: bool, by: str, at_us: int) -> None:
        self.desk.heard.put((worker, out, by, at_us))

    def draining(self) -> bool:
        return self.desk.drain.failed

    def commands(self) -> Mapping[type, Callable[[Command], None]]:
        return {PassOn: self.pass_on}

    def pass_on(self, command: PassOn) -> None:
        if self.desk.keeper is not None:
            self.desk.keeper.pass_on(command.told)

    def leave(self) -> bool:
        """A hot restart: a newer process takes clients on the same address; new connections go to it.

        This one answers what it has taken and closes kept connections after their answers. News for its
        requests that reaches the other process is passed on here.
        """
        if (keeper := self.desk.keeper) is None:
            return False
        keeper.watch()  # the successor's yes may be newer than the admin listener's last look
        return keeper.successor() is not None


def plug(host: Host) -> AdminPart:
    return AdminPart(host)
