"""The reserved ports on which the other tests rely."""

import socket

import pytest

from tests.runtime.ports import free_port


def test_a_free_port_is_reserved_until_its_server_listens():
    address = ("127.0.0.1", free_port())
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(address)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    with socket.create_server(address), socket.create_connection(address):
        pass
