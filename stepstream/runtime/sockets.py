"""What the drivers do with sockets: blocking ones, whose time limits the kernel keeps."""

import socket
import struct
import time


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """SO_RCVTIMEO or SO_SNDTIMEO: unlike settimeout() they leave the socket a blocking one."""
    whole = int(seconds)
    sock.setsockopt(
        socket.SOL_SOCKET, option, struct.pack("ll", whole, int((seconds - whole) * 1e6))
    )


def connect(address: tuple[str, int], seconds: float, write: float) -> socket.socket:
    """A connection, or OSError by then; SO_SNDTIMEO bounds connect() too."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_socket_timeout(sock, socket.SO_SNDTIMEO, max(seconds, 0.001))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_socket_timeout(sock, socket.SO_SNDTIMEO, write)
    except BaseException:
        sock.close()
        raise
    return sock


def receive_until(sock: socket.socket, until: float, size: int) -> bytes:
    """What comes by then (monotonic seconds), b"" for the end; TimeoutError.

    Guards the thread against an answer that comes in drips: each is within any bound on one read.
    """
    left = until - time.monotonic()
    if left <= 0:
        raise TimeoutError("no answer in time")
    set_socket_timeout(sock, socket.SO_RCVTIMEO, max(left, 0.001))
    try:
        return sock.recv(size)
    except BlockingIOError:  # what a socket's time limit raises
        raise TimeoutError("no answer in time") from None


def is_stale(sock: socket.socket) -> bool:
    """Whether an idle connection has been closed, or holds bytes that belong to nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def shut_down(sock: socket.socket) -> None:
    """Wakes the thread that reads or writes here; it closes the socket itself."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
