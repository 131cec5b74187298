"""How `[gearman]` plugs into the node: a front and a carrier."""

import socket
from collections.abc import Callable, Sequence

from stepstream.gearman.driver import SOURCE, GearmanSide
from stepstream.host import Host, open_at
from stepstream.net.links import Link
from stepstream.operator_file import Operator, unchanged
from stepstream.ports import Door, Entrance, Subsystem
from stepstream.settings import Config


class GearmanPart(Subsystem):
    def __init__(self, host: Host) -> None:
        self.host = host
        section, gate = host.operator.gearman, host.house.door.gate
        self.side = GearmanSide(
            section, host.config, host.house, host.signals, host.events.qsize, gate
        )
        host.carriers[SOURCE] = self.side

    def open(self) -> Sequence[Door]:
        listen = self.host.operator.gearman.listen
        return (open_at("gearman.listen", listen, lambda _: self.side.listen(), " for Gearman"),)

    def listen_also(
        self, address: tuple[str, int], link: Callable[[socket.socket], Link]
    ) -> Entrance:
        return self.side.listen_also(address, link)

    def prepare(self, config: Config, operator: Operator | None) -> Callable[[], None]:
        unchanged("gearman.listen", self.host.operator, operator)
        return lambda: self.side.reconfigure(operator.gearman, config)

    def look(self) -> None:
        self.side.look()


def plug(host: Host) -> GearmanPart:
    return GearmanPart(host)
