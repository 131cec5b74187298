"""The view that a subsystem has of its node."""

from collections.abc import Callable
from queue import SimpleQueue
from typing import TYPE_CHECKING, Any, Protocol, cast

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import split_address
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
    """The view that a subsystem has of its node; `node.context` implements it.

    The main thread owns the attributes and replaces some of them at a reload. Subsystems read them,
    and set only those that say so, while they are created.
    """

    config: NodeConfig
    operator: "OperatorConfig | None"
    limits: Limits
    clock: Clock
    post: Callable[[Event], None]  # posts to the core; any thread may call it
    core: Dispatcher  # read only; changes go through `post`
    server: InboundServer
    destinations: DestinationSet
    signals: "SimpleQueue[int]"  # signals to handle as if received; any thread may add one
    events: "SimpleQueue[Event]"  # events that the core has not taken yet; `post` adds to it
    carriers: dict[str, Carrier]  # by endpoint source; a subsystem adds its own
    outbound: HealthChecker  # for discovery's workers
    subsystems: dict[str, Subsystem]  # by section, those already created
    # The endpoint list from before the start (`known` in the configuration), in discovery's form. A
    # subsystem may set a newer one.
    persisted_endpoints: dict[str, Any]
    # Returns whether another dispatcher has checked a worker's health recently, so that this one
    # need not. A subsystem may set it; the decision thread calls it.
    is_health_check_delegated: Callable[[str], bool]
    hot_restarting: bool  # this process shuts down, and a sibling process serves the clients

    def share_resources(self, process_count: int) -> None:
        """Take this process's part of the memory and the descriptors; the main thread calls it."""

    def set_dispatcher_count(self, dispatchers: int) -> None:
        """Set the count of dispatchers, this one included, among which the workers are divided.

        Any thread may call it.
        """


def worker_maintenance(context: SubsystemContext) -> WorkerMaintenance | None:
    """Return the admin subsystem's worker maintenance; None if the admin listener is off."""
    return cast("WorkerMaintenance | None", context.subsystems.get(ADMIN_SECTION))


def open_listener(
    key: str,
    address_text: str,
    create_listener: Callable[[tuple[str, int]], ListenerSpec],
    protocol: str,
) -> BoundListener:
    """Open a listener at `address_text`, HOST:PORT; `ConfigurationError` names the key on failure.

    `protocol` is the listener's name in the log.
    """
    address = split_address(address_text)
    try:
        return BoundListener(address, create_listener(address), protocol)
    except OSError as error:
        raise ConfigurationError(f"{key}={address_text}: {error}") from error
