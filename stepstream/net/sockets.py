"""What the drivers do with sockets: blocking ones, whose time limits the kernel keeps."""

import socket
import struct


def time_limit(sock: socket.socket, option: int, seconds: float) -> None:
    """SO_RCVTIMEO or SO_SNDTIMEO: unlike settimeout() they leave the socket a blocking one."""
    whole = int(seconds)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole, int((seconds - whole) * 1e6)))


def dial(address: tuple[str, int], seconds: float, write: float) -> socket.socket:
    """A connection, or OSError by then; SO_SNDTIMEO bounds connect() too."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        time_limit(sock, socket.SO_SNDTIMEO, max(seconds, 0.001))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        time_limit(sock, socket.SO_SNDTIMEO, write)
    except BaseException:
        sock.close()
        raise
    return sock


def stale(sock: socket.socket) -> bool:
    """Whether an idle connection has been closed, or holds bytes that belong to nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def hang_up(sock: socket.socket) -> None:
    """Wakes the thread that reads or writes here; it closes the socket itself."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
