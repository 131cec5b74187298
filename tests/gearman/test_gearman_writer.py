"""The writer thread's work on socket pairs: whom it serves, and whom no more."""

import contextlib
import socket

import pytest

from stepstream.gearman.writer import Writer
from stepstream.runtime.transport import Transport

MORE_THAN_A_SOCKET_TAKES = 8 * 1024 * 1024


class FakeConnection:
    """Counts its turns, and sends on as the writer lets it."""

    def __init__(self, sock):
        self.transport = Transport(sock)
        self.turns = 0

    def send_unsent(self):
        self.turns += 1
        self.transport.flush_available()


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield FakeConnection(ours), theirs
    ours.close()
    theirs.close()


def test_a_connection_is_served_once_it_is_writable(pair):
    connection, _ = pair
    writer = Writer()
    connection.transport.enqueue(b"unsent")
    writer.add(connection)
    writer._serve_writable()
    assert connection.turns == 1
    assert not connection.transport.unsent


def test_a_connection_is_served_only_after_its_peer_has_read(pair):
    connection, theirs = pair
    writer = Writer()
    assert not connection.transport.send_available(b"x" * MORE_THAN_A_SOCKET_TAKES)
    writer.add(connection)
    writer._serve_writable()  # the wake-up alone
    assert connection.turns == 0
    before_bytes = len(connection.transport.unsent)
    theirs.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while theirs.recv(MORE_THAN_A_SOCKET_TAKES):
            pass
    writer._serve_writable()
    assert connection.turns == 1
    assert len(connection.transport.unsent) < before_bytes


def test_a_removed_connection_is_not_served(pair):
    connection, _ = pair
    writer = Writer()
    writer.add(connection)
    writer.remove(connection)
    writer._serve_writable()  # the wake-up alone
    assert connection.turns == 0


def test_removing_one_connection_twice_changes_nothing(pair):
    connection, _ = pair
    writer = Writer()
    writer.add(connection)
    writer.remove(connection)
    writer.remove(connection)
    assert not writer.by_descriptor
