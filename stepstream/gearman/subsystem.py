"""How `[gearman]` plugs into the node: a front and a carrier."""

import socket
from collections.abc import Callable, Sequence

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import OperatorConfig, require_unchanged
from stepstream.gearman.driver import SOURCE, GearmanSide
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.transport import Transport
from stepstream.subsystem_context import SubsystemContext, open_listener


class GearmanSubsystem(Subsystem):
    def __init__(self, host: SubsystemContext) -> None:
        self.host = host
        section, gate = host.operator.gearman, host.server.state.access_control
        self.side = GearmanSide(
            section, host.config, host.server, host.signals, host.events.qsize, gate
        )
        host.carriers[SOURCE] = self.side

    def open_listeners(self) -> Sequence[BoundListener]:
        listen = self.host.operator.gearman.listen
        return (
            open_listener("gearman.listen", listen, lambda _: self.side.listen(), " for Gearman"),
        )

    def listen_with_transport(
        self, address: tuple[str, int], link: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        return self.side.listen_with_transport(address, link)

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        require_unchanged("gearman.listen", self.host.operator, operator)
        return lambda: self.side.reconfigure(operator.gearman, config)

    def run_periodic_tasks(self) -> None:
        self.side.look()


def create_subsystem(host: SubsystemContext) -> GearmanSubsystem:
    return GearmanSubsystem(host)
