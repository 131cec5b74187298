"""Choose loopback addresses and ports for the processes of one lab run."""

import os
import socket

Address = tuple[str, int]
"""Host and port."""

LOAD_TEST_HOST_COUNT = 2**16
"""How many addresses 127.77.0.0/16 has; a load test takes one of them by its process id."""

CLUSTER_NETWORK_COUNT = 2**14
"""How many networks there are from 127.64.0.0/24 to 127.127.255.0/24.

A cluster takes one of them by its process id.
"""

BYTE_BITS = 8
BYTE_MASK = 255


def load_test_host() -> str:
    """Return a loopback address that no other load test uses.

    Outgoing connections use 127.0.0.1 as their source, so none of them can take a port of this
    address between the choice of the port and its use.
    """
    number = os.getpid() % LOAD_TEST_HOST_COUNT
    return f"127.77.{number >> BYTE_BITS}.{number & BYTE_MASK}"


def platform_host() -> str:
    """Return a loopback address for the platform round the dispatcher at `load_test_host`.

    Its listeners and connections can take no port that was chosen for the dispatcher.
    """
    return load_test_host().replace("127.77.", "127.78.", 1)


def cluster_host(member_index: int) -> str:
    """Return a loopback address for one member, in the network of this process.

    Each member has an address of its own, so no outgoing connection of another member can take one
    of its ports.
    """
    network = os.getpid() % CLUSTER_NETWORK_COUNT
    return f"127.{64 + (network >> BYTE_BITS)}.{network & BYTE_MASK}.{member_index + 1}"


def free_port(host: str) -> int:
    """Return a port that is free on `host` at this moment, for TCP and UDP alike."""
    while True:
        with (
            socket.create_server((host, 0)) as tcp_socket,
            socket.socket(type=socket.SOCK_DGRAM) as udp_socket,
        ):
            port: int = tcp_socket.getsockname()[1]
            try:
                udp_socket.bind((host, port))
            except OSError:
                continue
            return port
