"""What a subsystem may use of the node that it is plugged into: above `net/`, below every subsystem."""

from collections.abc import Callable
from queue import SimpleQueue
from typing import TYPE_CHECKING, Protocol

from stepstream.config.errors import ConfigurationError
from stepstream.config.limits import Limits
from stepstream.config.node_config import NodeConfig
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import Event
from stepstream.http.destination_set import DestinationSet
from stepstream.http.server import InboundServer
from stepstream.ports.carriers import Carrier, HealthChecker
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.clock import Clock

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig


class SubsystemContext(Protocol):
    config: NodeConfig
    operator: "OperatorConfig | None"
    limits: Limits
    clock: Clock
    post: Callable[[Event], None]  # to the core; whoever wants it changed posts
    core: Dispatcher  # to be read
    server: InboundServer
    destinations: DestinationSet
    signals: "SimpleQueue[int]"
    events: "SimpleQueue[Event]"
    carriers: dict[str, Carrier]
    outbound: HealthChecker  # of discovery's workers
    subsystems: dict[str, Subsystem]  # by section; those made so far
    persisted_endpoints: dict  # the list from before the start
    is_health_check_delegated: Callable[
        [str], bool
    ]  # whether the core's probe of a worker is left to whoever told of it of late
    hot_restarting: bool  # it stops, and a process beside it serves on

    def set_dispatcher_count(self, dispatchers: int) -> None:
        """So many share the workers from now on, this one included; any thread."""


def open_listener(
    key: str, text: str, opened: Callable[[tuple[str, int]], ListenerSpec], what: str
) -> BoundListener:
    """An entrance at HOST:PORT; FieldError names the key if the address cannot be had."""
    host, _, port = text.rpartition(":")
    address = host, int(port)
    try:
        return BoundListener(address, opened(address), what)
    except OSError as error:
        raise ConfigurationError(f"{key}={text}: {error}") from None
