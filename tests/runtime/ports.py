"""Ports of 127.0.0.1 for tests."""

import socket
from collections import deque

RESERVED_PORTS = 64  # the latest ones stay reserved; no test needs as many at once

_reservations = deque()


def free_port():
    """Return a port on which nobody listens, reserved against test programs that run beside.

    A bound socket without a listener holds it: the kernel gives it to nobody who asks for any free
    port, and a server that asks for this one with SO_REUSEADDR may still listen on it.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    _reservations.append(reservation)
    if len(_reservations) > RESERVED_PORTS:
        _reservations.popleft().close()
    return reservation.getsockname()[1]
