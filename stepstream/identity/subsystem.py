"""How `[identity]` plugs into the node: the gate at every front, and TLS listeners beside the plain ones."""

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import OperatorConfig, require_unchanged
from stepstream.identity.gate import Gate, Prepared, prepare
from stepstream.ports.connections import BoundListener, ListenerSpec
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.transport import Transport
from stepstream.subsystem_context import SubsystemContext, open_listener

FIXED = ("identity.tls", "identity.tls.listen", "identity.tls.gearman_listen")


class Listens(Protocol):
    """A front that takes connections over another kind of link as well."""

    def listen_with_transport(
        self, address: tuple[str, int], link: Callable[[socket.socket], Transport]
    ) -> ListenerSpec: ...


class IdentitySubsystem(Subsystem):
    def __init__(self, host: SubsystemContext) -> None:
        """FieldError if a file that the section names cannot be used."""
        self.host = host
        self.gate = host.server.state.access_control = Gate(prepare(host.operator.identity))

    def open_listeners(self) -> Sequence[BoundListener]:
        section = self.host.operator.identity.tls
        if section is None:
            return ()
        fronts: list[tuple[str, str, Listens, str]] = [
            ("identity.tls.listen", section.listen, self.host.server, " for TLS")
        ]
        if section.gearman_listen:
            gearman: Listens = self.host.subsystems["gearman"]
            fronts.append(
                (
                    "identity.tls.gearman_listen",
                    section.gearman_listen,
                    gearman,
                    " for Gearman over TLS",
                )
            )
        return [
            open_listener(
                key,
                text,
                lambda at, front=front: front.listen_with_transport(at, self.gate.link),
                what,
            )
            for key, text, front, what in fronts
        ]

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        for key in FIXED:
            require_unchanged(key, self.host.operator, operator)
        found: Prepared = prepare(operator.identity)
        return lambda: self.gate.apply(found)

    def run_periodic_tasks(self) -> None:
        self.gate.look()


def create_subsystem(host: SubsystemContext) -> IdentitySubsystem:
    return IdentitySubsystem(host)
