"""A part of the program beyond the platform's dispatcher, as the node plugs it in."""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stepstream.config.node_config import NodeConfig
    from stepstream.config.operator_file import OperatorConfig
    from stepstream.core.commands import Command
from stepstream.ports.admin import AdminRoute
from stepstream.ports.connections import BoundListener


class Subsystem(Protocol):
    """A part of the program beyond the platform's dispatcher, as `node.py` plugs it in.

    Made from the operator's file before anything listens; all of these but the admin paths' answers and the
    commands are called by the main thread. What a subsystem has nothing to say to it leaves as it is here.
    """

    def start(self) -> None:
        """Before the clients' address is open. FieldError names the key of what cannot be had."""

    def open_listeners(self) -> "Sequence[BoundListener]":
        """Further entrances, once the clients' is open; FieldError names the key that cannot be had."""
        return ()

    def on_serving(self) -> None:
        """The clients' listener is open and accepted from."""

    def prepare_reload(
        self, config: "NodeConfig", operator: "OperatorConfig | None"
    ) -> Callable[[], None]:
        """A reload: reads all that can be wrong (FieldError) and changes nothing; the answer takes it over.

        What it gives back cannot fail; it is called once every subsystem's part was found good.
        """
        return lambda: None

    def run_periodic_tasks(self) -> None:
        """Twice a second, and oftener while the program stops."""

    def begin_shutdown(self) -> bool:
        """SIGTERM came; True if a process beside this one serves the clients' address from now on."""
        return False

    def stop(self) -> None:
        """All is answered and the process ends; may take a moment, never waits for a peer."""

    def admin_routes(self) -> "Sequence[AdminRoute]":
        """What it adds to the admin listener."""
        return ()

    def command_handlers(self) -> "Mapping[type, Callable[[Command], None]]":
        """The core's commands that it carries out, by type; the decision thread calls these."""
        return {}

    def status(self) -> str:
        """What it adds to the status line, "" for nothing."""
        return ""
