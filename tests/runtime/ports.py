"""Ports of 127.0.0.1 for tests."""

import socket
from collections import deque

MAX_RESERVED_PORTS = 64  # the oldest are released first; no test needs as many at once

_reservations = deque()


def free_port():
    """Return a port on which nobody listens, and reserve it against other test processes.

    The reservation is a bound socket that does not listen. The kernel does not give this port to a
    process that asks for any free port, but a server can still listen on it with SO_REUSEADDR.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVED_PORTS:
        _reservations.popleft().close()
    return reservation.getsockname()[1]
