"""The node as its subsystems see it."""

from collections.abc import Callable
from queue import SimpleQueue
from typing import TYPE_CHECKING, Any, Protocol, cast

from stepstream.config.errors import ConfigurationError
from stepstream.config.limits import Limits
from stepstream.config.node_config import NodeConfig
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import Event
from stepstream.http.destination_set import DestinationSet
from stepstream.http.server import InboundServer
from stepstream.ports.admin import WorkerMaintenance
from stepstream.ports.carriers import Carrier, HealthChecker
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.runtime.clock import Clock
from stepstream.subsystem_api.subsystem import Subsystem

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig

ADMIN_SECTION = "operator"  # the admin subsystem's key among `SubsystemContext.subsystems`


class SubsystemContext(Protocol):
    """The node as a subsystem sees it; `node.context` implements it.

    The main thread owns the attributes and replaces some of them at a reload. Subsystems read them,
    and set only those that say so, while they are created.
    """

    config: NodeConfig
    operator: "OperatorConfig | None"
    limits: Limits
    clock: Clock
    post: Callable[[Event], None]  # to the core; any thread
    core: Dispatcher  # to be read; what is to change goes through `post`
    server: InboundServer
    destinations: DestinationSet
    signals: "SimpleQueue[int]"  # as if the process had got them; any thread
    events: "SimpleQueue[Event]"  # those that the core has yet to take; `post` adds to it
    carriers: dict[str, Carrier]  # by endpoint source; a subsystem adds its own
    outbound: HealthChecker  # of discovery's workers
    subsystems: dict[str, Subsystem]  # by section; those created so far
    # The endpoint list from before the start, in discovery's form; a subsystem may set a newer one.
    persisted_endpoints: dict[str, Any]
    # Whether the core's health check of a worker is left to another dispatcher, which has reported
    # on it of late; a subsystem may set it. Called by the decision thread.
    is_health_check_delegated: Callable[[str], bool]
    hot_restarting: bool  # this process stops, and one beside it serves on

    def set_dispatcher_count(self, dispatchers: int) -> None:
        """Share the workers among so many from now on, this one included; any thread."""


def worker_maintenance(context: SubsystemContext) -> WorkerMaintenance | None:
    """Return the admin subsystem's worker maintenance; None if the admin listener is off."""
    return cast("WorkerMaintenance | None", context.subsystems.get(ADMIN_SECTION))


def open_listener(
    key: str,
    text: str,
    create_listener: Callable[[tuple[str, int]], ListenerSpec],
    protocol: str,
) -> BoundListener:
    """Open a listener at HOST:PORT; `ConfigurationError` names the key if it cannot be had.

    `protocol` is its name in the log.
    """
    host, _, port = text.rpartition(":")
    address = host, int(port)
    try:
        return BoundListener(address, create_listener(address), protocol)
    except OSError as error:
        raise ConfigurationError(f"{key}={text}: {error}") from error
