"""Tests of closing a Gearman connection on which messages have arrived, over loopback."""

import socket
import threading
from queue import SimpleQueue

import pytest

from stepstream.config.node_config import config_from
from stepstream.gearman.codec import PacketKind
from stepstream.gearman.connection import GearmanConnection
from stepstream.gearman.front import GearmanFront
from stepstream.http.client_api import ClientApi
from stepstream.http.server import InboundServer
from stepstream.runtime.clock import Clock
from stepstream.runtime.resident_memory import ResidentMemory
from stepstream.runtime.transport import Transport
from tests.config.configurations import CONFIGURATION, LIMITS, POLICY_SETTINGS
from tests.gearman.program import GearmanPeer
from tests.gearman.service_harness import SECTION
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

CLOSE_METHODS = {
    "shutdown": lambda connection: connection.close_if_idle(),
    "evicted": lambda connection: connection.evict(),
    "timeout": lambda connection: connection.enforce_timeouts(float("inf")),
}


@pytest.fixture
def connection_and_peer():
    """Yield a connection with a running reader thread, and its peer, which has sent a message."""
    events = []
    server = InboundServer(
        LIMITS,
        Clock(),
        ClientApi(POLICY_SETTINGS),
        events.append,
        lambda host: False,
        ResidentMemory(None),
    )
    front = GearmanFront(
        SECTION, config_from(CONFIGURATION, {}), server, SimpleQueue(), lambda: len(events)
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = GearmanPeer.connect(listener.getsockname()[1])
        sock, _ = listener.accept()
    connection = GearmanConnection(Transport(sock), front, is_external=True)
    reader = threading.Thread(target=connection.run, daemon=True)
    reader.start()
    peer.send(PacketKind.GET_STATUS, "H:none").receive_until(PacketKind.STATUS_RES)
    wait_for(lambda: not connection.has_unhandled_messages)
    yield connection, peer
    peer.sock.close()
    reader.join(WAIT_TIMEOUT_SECONDS)


@pytest.mark.parametrize("close", CLOSE_METHODS)
def test_a_submission_received_before_the_connection_is_closed_is_answered(
    connection_and_peer, monkeypatch, close
):
    # Guards against closing a connection whose submission was read but not handled yet: the
    # client would get no reply.
    connection, peer = connection_and_peer
    received, may_continue = threading.Event(), threading.Event()

    def pause_before_handling(step):
        received.set()
        assert may_continue.wait(WAIT_TIMEOUT_SECONDS)

    monkeypatch.setattr(connection, "_throttle", pause_before_handling)
    peer.send(PacketKind.SUBMIT_JOB, "tatra-invest/revalue", "", "x")
    assert received.wait(WAIT_TIMEOUT_SECONDS)
    CLOSE_METHODS[close](connection)
    may_continue.set()
    assert peer.receive().kind is PacketKind.JOB_CREATED


@pytest.mark.parametrize("close", ["shutdown", "evicted"])
def test_a_connection_with_unread_bytes_is_not_closed_as_idle(
    connection_and_peer, monkeypatch, close
):
    connection, _ = connection_and_peer
    monkeypatch.setattr(connection.transport, "has_unread", lambda: True)
    assert not CLOSE_METHODS[close](connection)


def test_an_idle_connection_is_closed(connection_and_peer):
    connection, peer = connection_and_peer
    assert connection.close_if_idle()
    assert peer.receive() is None
