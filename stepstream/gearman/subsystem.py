"""The subsystem of the operator file's section `[gearman]`: it adds a front and a carrier.

The node's main thread creates it and calls its methods.
"""

import socket
from collections.abc import Callable, Sequence
from typing import cast

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import GearmanSection, OperatorConfig, require_unchanged
from stepstream.gearman.front import GearmanFront
from stepstream.gearman.state import FRONT_NAME
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.runtime.transport import Transport
from stepstream.subsystem_api.context import SubsystemContext, open_listener
from stepstream.subsystem_api.subsystem import Subsystem


class GearmanSubsystem(Subsystem):
    """The Gearman front of one dispatcher."""

    def __init__(self, context: SubsystemContext) -> None:
        self.context = context
        self.section = gearman_section_of(context.operator)
        self.front = GearmanFront(
            self.section,
            context.config,
            context.server,
            context.signals,
            context.events.qsize,
            context.server.state.access_control,
        )
        context.carriers[FRONT_NAME] = self.front

    def open_listeners(self) -> Sequence[BoundListener]:
        """Open the listener of `gearman.listen`."""
        return (
            open_listener(
                "gearman.listen",
                self.section.listen,
                lambda _: self.front.listen(),
                "gearman",
            ),
        )

    def listen_with_transport(
        self, address: tuple[str, int], create_transport: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """Listen for Gearman over another kind of transport; the identity subsystem calls it."""
        return self.front.listen_with_transport(address, create_transport)

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        """Check that the address is unchanged; return the function that applies the reload."""
        # This subsystem exists only with an operator's file, before and after a reload.
        current = cast("OperatorConfig", self.context.operator)
        reloaded = cast("OperatorConfig", operator)
        require_unchanged("gearman.listen", current, reloaded)
        section = gearman_section_of(reloaded)
        return lambda: self.front.reconfigure(section, config)

    def run_periodic_tasks(self) -> None:
        """End queued calls that waited too long, and drop expired outcomes of background jobs."""
        self.front.run_periodic_tasks()


def gearman_section_of(operator: OperatorConfig | None) -> GearmanSection:
    """Return the section `[gearman]`; the node creates this subsystem only if there is one."""
    assert operator is not None
    assert operator.gearman is not None
    return operator.gearman


def create_subsystem(context: SubsystemContext) -> GearmanSubsystem:
    """Create the subsystem of `[gearman]`; the node calls it."""
    return GearmanSubsystem(context)
