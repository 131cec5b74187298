"""The limit on lingering sockets."""

import socket
from dataclasses import replace

from stepstream.http.lingering import LingeringSockets
from tests.config.configurations import LIMITS

MAX_LINGERING = 3
LIMITS_WITH_MAX_LINGERING = replace(
    LIMITS, connections=replace(LIMITS.connections, lingering=MAX_LINGERING)
)


class AddingSocket:
    """A lingering socket; each read of it adds another one, as another thread might."""

    def __init__(self, lingering):
        self.lingering = lingering
        self.sock, self.peer = socket.socketpair()
        self.counts = []

    def recv(self, *arguments):
        """Add another socket, and receive nothing."""
        added, self.added_peer = socket.socketpair()
        self.lingering.add(added, 60.0)
        self.counts.append(len(self.lingering))
        raise BlockingIOError

    def close(self):
        """Close both ends."""
        self.sock.close()
        self.peer.close()


def test_the_limit_holds_while_due_sockets_are_closed():
    # Guards against running out of descriptors when a flood of rejected peers arrives while due
    # sockets are closed.
    lingering = LingeringSockets(LIMITS_WITH_MAX_LINGERING)
    adding_sockets = [AddingSocket(lingering) for _ in range(MAX_LINGERING)]
    for sock in adding_sockets:
        lingering.add(sock, 60.0)
    lingering.close_due(0.0)
    assert [count for sock in adding_sockets for count in sock.counts] == [
        MAX_LINGERING
    ] * MAX_LINGERING
    lingering.close_due(float("inf"))
    assert len(lingering) == 0
    for sock in adding_sockets:
        sock.close()
        sock.added_peer.close()
