"""Tests of the writer thread on socket pairs: which connections it serves."""

import contextlib
import socket

import pytest

from stepstream.gearman.writer import Writer
from stepstream.runtime.transport import Transport

MORE_BYTES_THAN_SOCKET_BUFFERS = 8 * 1024 * 1024


class FakeConnection:
    """A connection that counts the writer's calls and sends unsent bytes at each call."""

    def __init__(self, sock):
        self.transport = Transport(sock)
        self.call_count = 0

    def send_unsent(self):
        self.call_count += 1
        self.transport.flush_available()


@pytest.fixture
def connection_and_remote_socket():
    local_socket, remote_socket = socket.socketpair()
    yield FakeConnection(local_socket), remote_socket
    local_socket.close()
    remote_socket.close()


def test_a_writable_connection_is_served(connection_and_remote_socket):
    connection, _ = connection_and_remote_socket
    writer = Writer()
    connection.transport.enqueue(b"unsent")
    writer.add(connection)
    writer._serve_writable()
    assert connection.call_count == 1
    assert not connection.transport.unsent


def test_a_connection_is_served_only_after_its_peer_has_read(connection_and_remote_socket):
    connection, remote_socket = connection_and_remote_socket
    writer = Writer()
    assert not connection.transport.send_available(b"x" * MORE_BYTES_THAN_SOCKET_BUFFERS)
    writer.add(connection)
    writer._serve_writable()  # handles only the wake-up
    assert connection.call_count == 0
    unsent_bytes_before = len(connection.transport.unsent)
    remote_socket.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while remote_socket.recv(MORE_BYTES_THAN_SOCKET_BUFFERS):
            pass
    writer._serve_writable()
    assert connection.call_count == 1
    assert len(connection.transport.unsent) < unsent_bytes_before


def test_a_removed_connection_is_not_served(connection_and_remote_socket):
    connection, _ = connection_and_remote_socket
    writer = Writer()
    writer.add(connection)
    writer.remove(connection)
    writer._serve_writable()  # handles only the wake-up
    assert connection.call_count == 0


def test_a_connection_may_be_removed_twice(connection_and_remote_socket):
    connection, _ = connection_and_remote_socket
    writer = Writer()
    writer.add(connection)
    writer.remove(connection)
    writer.remove(connection)
    assert not writer.by_descriptor
