"""The bound of lingering sockets."""

import socket
from dataclasses import replace

from stepstream.http.lingering import LingeringSockets
from tests.config.configurations import LIMITS

MAX_LINGERING = 3
LIMITS_OF_THREE = replace(LIMITS, connections=replace(LIMITS.connections, lingering=MAX_LINGERING))


class AddingSocket:
    """A socket that lingers; while it is read, another thread adds one more."""

    def __init__(self, lingering):
        self.lingering = lingering
        self.sock, self.peer = socket.socketpair()
        self.counts = []

    def recv(self, *arguments):
        """Receive nothing, after another socket was added."""
        other, self.other_peer = socket.socketpair()
        self.lingering.add(other, 60.0)
        self.counts.append(len(self.lingering))
        raise BlockingIOError

    def close(self):
        """Close both ends."""
        self.sock.close()
        self.peer.close()


def test_the_bound_holds_while_due_sockets_are_closed():
    # Guards the process's descriptors against a flood of rejected peers in that moment.
    lingering = LingeringSockets(LIMITS_OF_THREE)
    adding = [AddingSocket(lingering) for _ in range(MAX_LINGERING)]
    for sock in adding:
        lingering.add(sock, 60.0)
    lingering.close_due(0.0)
    assert [count for sock in adding for count in sock.counts] == [MAX_LINGERING] * MAX_LINGERING
    lingering.close_due(float("inf"))
    assert len(lingering) == 0
    for sock in adding:
        sock.close()
        sock.other_peer.close()
