"""The base class of a subsystem: a part of the program that the operator's file switches on."""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from stepstream.core.commands import Command
from stepstream.ports.admin import AdminRoute
from stepstream.ports.connections import BoundListener

if TYPE_CHECKING:  # loaded only where there is an operator's file
    from stepstream.config.node_config import NodeConfig
    from stepstream.config.operator_file import OperatorConfig


class Subsystem:
    """A part of the program that the operator's file switches on, with defaults that do nothing.

    Base of the class in each package's `subsystem` module, which the node creates from the
    operator's file before anything listens. The main thread calls all methods; the admin routes'
    functions run on the admin listener's thread and the command handlers on the decision thread.
    Subclasses override what they need.
    """

    def start(self) -> None:
        """Start its threads and listeners, before the clients' listener opens.

        Raise `ConfigurationError`, which names the key, for what cannot be opened.
        """

    def open_listeners(self) -> Sequence[BoundListener]:
        """Open further listeners for clients or workers, once the clients' listener is open.

        Raise `ConfigurationError`, which names the key, for one that cannot be opened.
        """
        return ()

    def on_serving(self) -> None:
        """Act on the clients' listener having opened."""

    def prepare_reload(
        self,
        config: "NodeConfig",  # noqa: ARG002  for those that override it
        operator: "OperatorConfig | None",  # noqa: ARG002  for those that override it
    ) -> Callable[[], None]:
        """Check a new configuration without changing anything; return what puts it into force.

        Raise `ConfigurationError` for a fault. The returned function must not fail; it is called
        once every subsystem has found the configuration good.
        """
        return lambda: None

    def run_periodic_tasks(self) -> None:
        """Run what is due; called twice a second, more often in a shutdown; must not wait."""

    def begin_shutdown(self) -> bool:
        """Begin the shutdown on SIGTERM.

        Return True if a sibling process serves the clients' address from now on.
        """
        return False

    def stop(self) -> None:
        """End its work, after all requests are answered and before the process ends.

        It may take a moment, but must not wait for a peer.
        """

    def admin_routes(self) -> Sequence[AdminRoute]:
        """Return the routes that it adds to the admin listener."""
        return ()

    def command_handlers(self) -> Mapping[type[Command], Callable[[Any], None]]:
        """Return the handlers of the core's commands that it carries out, by the command's type.

        The decision thread calls the functions, which must not wait.
        """
        return {}

    def status_counts(self) -> Mapping[str, int]:
        """Return the fields that it adds to the status event."""
        return {}
