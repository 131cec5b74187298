"""The UDP relay: what it forwards and drops, and that it leaves no thread or socket behind."""

import socket
import threading
import time

import pytest

from stepstream.lab.emulator.links import Links
from stepstream.lab.emulator.udp_relay import UdpRelay

HOST = "127.0.0.1"
WAIT_TIMEOUT_SECONDS = 10.0  # for events that must happen
DELAY_SECONDS = 0.2


@pytest.fixture
def members():
    """The sockets of two members, by name."""
    sockets = {}
    for name in ("a", "b"):
        sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets[name].bind((HOST, 0))
        sockets[name].settimeout(WAIT_TIMEOUT_SECONDS)
    yield sockets
    for member in sockets.values():
        member.close()


def add_members(relay, members):
    """Add the members to the relay; return the relay's address for each, by name."""
    addresses = {}
    for name, member in members.items():
        host, _, port = relay.add_member(name, HOST, member.getsockname()).partition(":")
        addresses[name] = (host, int(port))
    return addresses


def relay_threads():
    return [thread for thread in threading.enumerate() if thread.name == "relay"]


def is_bound(address):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(address)
        except OSError:
            return True
    return False


def wait_until(condition):
    deadline_seconds = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline_seconds
        time.sleep(0.01)


def test_a_datagram_to_the_relays_address_for_a_member_reaches_the_member(members):
    with UdpRelay(seed=1) as relay:
        addresses = add_members(relay, members)
        members["a"].sendto(b"hello", addresses["b"])
        assert members["b"].recv(100) == b"hello"


def test_a_link_cut_one_way_drops_datagrams_in_that_direction_only(members):
    links = Links(delay_seconds=(0.0, 0.0))
    links.cut(["a"], ["b"], both_ways=False)
    with UdpRelay(seed=1, links=links) as relay:
        addresses = add_members(relay, members)
        members["a"].sendto(b"lost", addresses["b"])
        wait_until(lambda: relay.dropped_count == 1)
        members["b"].sendto(b"hello", addresses["a"])
        assert members["a"].recv(100) == b"hello"
        assert relay.forwarded_count == 1


def test_a_datagram_is_forwarded_after_its_delay(members):
    with UdpRelay(seed=1, links=Links(delay_seconds=(DELAY_SECONDS, DELAY_SECONDS))) as relay:
        addresses = add_members(relay, members)
        sent_at_seconds = time.monotonic()
        members["a"].sendto(b"hello", addresses["b"])
        members["b"].recv(100)
        assert time.monotonic() - sent_at_seconds >= DELAY_SECONDS


def test_a_closed_relay_leaves_no_thread_or_socket(members):
    with UdpRelay(seed=1) as relay:
        addresses = add_members(relay, members)
        assert relay_threads()
    assert not relay_threads()
    assert not any(is_bound(address) for address in addresses.values())


def test_a_relay_that_was_never_started_closes_its_sockets(members):
    relay = UdpRelay(seed=1)
    addresses = add_members(relay, members)
    relay.close()
    assert not any(is_bound(address) for address in addresses.values())


def test_a_relay_whose_thread_fails_to_start_leaves_no_thread_or_socket(members, monkeypatch):
    def fail(_thread):
        raise RuntimeError("can't start new thread")

    relay = UdpRelay(seed=1)
    addresses = add_members(relay, members)
    monkeypatch.setattr(threading.Thread, "start", fail)
    with pytest.raises(RuntimeError, match="can't start"), relay:
        pass
    assert not relay_threads()
    assert not any(is_bound(address) for address in addresses.values())


def test_adding_a_member_on_a_host_that_cannot_be_bound_leaves_no_socket(members, monkeypatch):
    opened_sockets = []

    class RecordedSocket(socket.socket):
        def __init__(self, *arguments):
            super().__init__(*arguments)
            opened_sockets.append(self)

        def bind(self, address):
            raise OSError("the address can't be assigned")

    monkeypatch.setattr(socket, "socket", RecordedSocket)
    relay = UdpRelay(seed=1)
    with pytest.raises(OSError, match="assigned"):
        relay.add_member("a", HOST, members["a"].getsockname())
    assert [opened_socket.fileno() for opened_socket in opened_sockets] == [-1]
