"""How `[identity]` plugs into the node: the gate at every front, and TLS listeners beside the plain ones."""

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from stepstream.host import Host, open_at
from stepstream.identity.gate import Gate, Prepared, prepare
from stepstream.net.links import Link
from stepstream.operator_file import Operator, unchanged
from stepstream.ports import Door, Entrance, Subsystem
from stepstream.settings import Config

FIXED = ("identity.tls", "identity.tls.listen", "identity.tls.gearman_listen")


class Listens(Protocol):
    """A front that takes connections over another kind of link as well."""

    def listen_also(
        self, address: tuple[str, int], link: Callable[[socket.socket], Link]
    ) -> Entrance: ...


class IdentityPart(Subsystem):
    def __init__(self, host: Host) -> None:
        """FieldError if a file that the section names cannot be used."""
        self.host = host
        self.gate = host.house.door.gate = Gate(prepare(host.operator.identity))

    def open(self) -> Sequence[Door]:
        section = self.host.operator.identity.tls
        if section is None:
            return ()
        fronts: list[tuple[str, str, Listens, str]] = [
            ("identity.tls.listen", section.listen, self.host.house, " for TLS")
        ]
        if section.gearman_listen:
            gearman: Listens = self.host.parts["gearman"]
            fronts.append(
                (
                    "identity.tls.gearman_listen",
                    section.gearman_listen,
                    gearman,
                    " for Gearman over TLS",
                )
            )
        return [
            open_at(key, text, lambda at, front=front: front.listen_also(at, self.gate.link), what)
            for key, text, front, what in fronts
        ]

    def prepare(self, config: Config, operator: Operator | None) -> Callable[[], None]:
        for key in FIXED:
            unchanged(key, self.host.operator, operator)
        found: Prepared = prepare(operator.identity)
        return lambda: self.gate.apply(found)

    def look(self) -> None:
        self.gate.look()


def plug(host: Host) -> IdentityPart:
    return IdentityPart(host)
