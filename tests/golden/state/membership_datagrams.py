"""Membership datagrams through the driver's socket, in both directions."""

import socket
from collections.abc import Sequence

from golden.state.process_doubles import LIMITS, discarded_output

from stepstream.membership.driver import Driver
from stepstream.membership.outbox import OutgoingDatagram

LOOPBACK = ("127.0.0.1", 0)
MAX_UDP_BYTES = 65_536
TIMEOUT_SECONDS = 10.0


class RecordingProtocol:
    """A member's protocol behind the driver, which keeps what the driver gives it."""

    def __init__(self, cluster: str) -> None:
        """Accept datagrams of this cluster."""
        self.cluster = cluster
        self.datagrams: list[object] = []

    def handle(self, now: float, datagram: object) -> list:
        """Keep a datagram; answer nothing."""
        self.datagrams.append(datagram)
        return []


def receive_through_driver(cluster: str, sent: Sequence[bytes]) -> tuple[list, int]:
    """Send bytes to the driver; return the datagrams that its protocol gets, and the drops."""
    protocol = RecordingProtocol(cluster)
    driver = Driver(LOOPBACK, protocol, LIMITS, None, None)
    with (
        discarded_output(),
        driver.socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        for data in sent:
            sender.sendto(data, driver.socket.getsockname())
            driver.receive()
    return protocol.datagrams, driver.dropped_datagrams.count


def send_through_driver(datagrams: Sequence[object]) -> list[bytes]:
    """Send datagrams by the driver; return the bytes that arrive at a socket."""
    driver = Driver(LOOPBACK, RecordingProtocol(""), LIMITS, None, None)
    with driver.socket, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(LOOPBACK)
        receiver.settimeout(TIMEOUT_SECONDS)
        address = "{}:{}".format(*receiver.getsockname())
        received = []
        for datagram in datagrams:
            driver.transmit([OutgoingDatagram(address, datagram)])
            received.append(receiver.recv(MAX_UDP_BYTES))
        return received
