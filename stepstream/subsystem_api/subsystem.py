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

    The `subsystem` module of each subsystem's package has a subclass. The node creates it from the
    operator's file before it opens any listener. The main thread calls all methods; the functions
    of the admin routes run on the admin listener's thread and the command handlers on the decision
    thread. Subclasses override the methods that they need.
    """

    def start(self) -> None:
        """Start threads and listeners, before the clients' listener opens.

        Raise `ConfigurationError`, which names the key, if a listener or file cannot be opened.
        """

    def open_listeners(self) -> Sequence[BoundListener]:
        """Open further listeners for clients or workers, once the clients' listener is open.

        Raise `ConfigurationError`, which names the key, if one cannot be opened.
        """
        return ()

    def on_serving(self) -> None:
        """Do what must follow the opening of the clients' listener."""

    def prepare_reload(
        self,
        config: "NodeConfig",  # noqa: ARG002  for those that override it
        operator: "OperatorConfig | None",  # noqa: ARG002  for those that override it
    ) -> Callable[[], None]:
        """Check a new configuration without changing anything; return a function that applies it.

        Raise `ConfigurationError` for a fault. The returned function must not fail; it is called
        after every subsystem has accepted the configuration.
        """
        return lambda: None

    def run_periodic_tasks(self) -> None:
        """Run the tasks that are due; must not wait.

        Called twice a second, and more often in a shutdown.
        """

    def begin_shutdown(self) -> bool:
        """Begin the shutdown on SIGTERM.

        Return True if a sibling process serves the clients' address from now on.
        """
        return False

    def stop(self) -> None:
        """Stop the subsystem, after all requests are answered and before the process ends.

        The method may take a moment, but must not wait for a peer.
        """

    def admin_routes(self) -> Sequence[AdminRoute]:
        """Return the routes that the subsystem adds to the admin listener."""
        return ()

    def command_handlers(self) -> Mapping[type[Command], Callable[[Any], None]]:
        """Return the handlers for the core's commands that the subsystem carries out, by type.

        The decision thread calls the functions, which must not wait.
        """
        return {}

    def status_counts(self) -> Mapping[str, int]:
        """Return the fields that the subsystem adds to the log event `status`."""
        return {}
