"""The subsystem that the node creates for `[identity]`.

It creates and owns the access control, sets it for every front, and opens TLS listeners in addition
to the plain ones. The node's main thread calls it.
"""

import socket
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import IdentitySection, OperatorConfig, require_all_unchanged
from stepstream.identity.access_control import IdentityAccessControl
from stepstream.identity.configuration import load_identity
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.runtime.transport import Transport
from stepstream.subsystem_api.context import SubsystemContext, open_listener
from stepstream.subsystem_api.subsystem import Subsystem

RESTART_ONLY_KEYS = ("identity.tls", "identity.tls.listen", "identity.tls.gearman_listen")


class TransportFront(Protocol):
    """A front that can also accept connections over another kind of transport."""

    def listen_with_transport(
        self, address: tuple[str, int], create_transport: Callable[[socket.socket], Transport], /
    ) -> ListenerSpec:
        """Listen at an address; raise OSError if that fails."""


class IdentitySubsystem(Subsystem):
    """Access control and TLS listeners of one dispatcher.

    The constructor raises `ConfigurationError` if a file that the section names cannot be used.
    """

    def __init__(self, context: SubsystemContext) -> None:
        self.context = context
        self.access_control = IdentityAccessControl(load_identity(section_of(context.operator)))
        context.server.state.access_control = self.access_control

    def open_listeners(self) -> Sequence[BoundListener]:
        """Open the TLS listeners of HTTP and, where it is configured, of Gearman."""
        tls = section_of(self.context.operator).tls
        if tls is None:
            return ()
        listeners = [
            self._open_tls_listener("identity.tls.listen", tls.listen, self.context.server, "https")
        ]
        if tls.gearman_listen:
            # This setting requires `[gearman]`. The node creates all subsystems before it opens
            # listeners.
            gearman = cast("TransportFront", self.context.subsystems["gearman"])
            key = "identity.tls.gearman_listen"
            protocol = "gearman+tls"
            listeners.append(self._open_tls_listener(key, tls.gearman_listen, gearman, protocol))
        return listeners

    def _open_tls_listener(
        self, key: str, address: str, front: TransportFront, protocol: str
    ) -> BoundListener:
        """Open a front's TLS listener; `ConfigurationError` names the setting if that fails."""
        create_transport = self.access_control.create_tls_transport
        return open_listener(
            key,
            address,
            lambda parsed: front.listen_with_transport(parsed, create_transport),
            protocol,
        )

    def prepare_reload(
        self, _config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        """Read the files of a new section; return the function that puts it into force."""
        require_all_unchanged(RESTART_ONLY_KEYS, self.context.operator, operator)
        loaded = load_identity(section_of(operator))
        return lambda: self.access_control.apply(loaded)

    def run_periodic_tasks(self) -> None:
        """Read the key file again if it has changed."""
        self.access_control.reload_changed_keys()


def section_of(operator: OperatorConfig | None) -> IdentitySection:
    """Return `[identity]`, without which the node does not create this subsystem."""
    assert operator is not None
    assert operator.identity is not None
    return operator.identity


def create_subsystem(context: SubsystemContext) -> IdentitySubsystem:
    """Create the subsystem; the node calls this for an operator's file with `[identity]`."""
    return IdentitySubsystem(context)
