"""Operations on blocking sockets whose time limits the kernel enforces.

Nothing here keeps state; the thread that owns a socket calls these, except `shut_down`, which any
thread may call.
"""

import contextlib
import socket
import struct
import time

MICROSECONDS = 1e6
LEAST_TIMEOUT_SECONDS = 0.001  # the kernel takes 0 for no limit at all


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """Set SO_RCVTIMEO or SO_SNDTIMEO, socket(7).

    Unlike settimeout() they leave the socket a blocking one; a call that takes longer raises
    BlockingIOError.
    """
    whole_seconds = int(seconds)
    microseconds = int((seconds - whole_seconds) * MICROSECONDS)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole_seconds, microseconds))


def connect(
    address: tuple[str, int], connect_seconds: float, write_seconds: float
) -> socket.socket:
    """Open a TCP connection within `connect_seconds`; OSError if there is none by then.

    `write_seconds` bounds each later write.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # SO_SNDTIMEO bounds connect() too.
        set_socket_timeout(sock, socket.SO_SNDTIMEO, max(connect_seconds, LEAST_TIMEOUT_SECONDS))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_socket_timeout(sock, socket.SO_SNDTIMEO, write_seconds)
    except BaseException:
        sock.close()
        raise
    return sock


def receive_until(sock: socket.socket, deadline: float, max_bytes: int) -> bytes:
    """Receive what comes by `deadline` (monotonic seconds), b"" for the end; TimeoutError.

    Guards the thread against an answer that comes in drips: each is within any bound on one read.
    """
    remaining_seconds = deadline - time.monotonic()
    if remaining_seconds <= 0:
        raise TimeoutError("no answer in time")
    set_socket_timeout(sock, socket.SO_RCVTIMEO, max(remaining_seconds, LEAST_TIMEOUT_SECONDS))
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:  # what a socket's time limit raises
        raise TimeoutError("no answer in time") from None


def is_stale(sock: socket.socket) -> bool:
    """Whether an idle connection has been closed, or has bytes that belong to nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def shut_down(sock: socket.socket) -> None:
    """Wake the thread that reads or writes here; it closes the socket itself."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
