"""Operations on blocking sockets; the kernel enforces their timeouts.

Nothing here keeps state. The thread that owns a socket calls these functions; any thread may call
`shut_down`.
"""

import contextlib
import select
import socket
import struct
import time

MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
# `tcpi_last_data_recv` of struct tcp_info, linux/tcp.h.
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size
MIN_TIMEOUT_SECONDS = 0.001  # not 0, which means no timeout to the kernel


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """Set SO_RCVTIMEO or SO_SNDTIMEO; see socket(7).

    The socket stays in blocking mode, unlike after settimeout(). A call that takes longer
    raises BlockingIOError.
    """
    whole_seconds = int(seconds)
    microseconds = int((seconds - whole_seconds) * MICROSECONDS_PER_SECOND)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole_seconds, microseconds))


def connect(
    address: tuple[str, int], connect_seconds: float, write_seconds: float
) -> socket.socket:
    """Open a TCP connection within `connect_seconds`.

    `write_seconds` is the timeout of each later write. Raise OSError if the connection fails.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # SO_SNDTIMEO is the timeout of connect() as well.
        set_socket_timeout(sock, socket.SO_SNDTIMEO, max(connect_seconds, MIN_TIMEOUT_SECONDS))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_socket_timeout(sock, socket.SO_SNDTIMEO, write_seconds)
    except BaseException:
        sock.close()
        raise
    return sock


def receive_until(sock: socket.socket, deadline: float, max_bytes: int) -> bytes:
    """Receive the next bytes by `deadline` (monotonic seconds); b"" if the peer sends no more.

    Raise TimeoutError after the deadline. One deadline for all reads of an answer protects the
    thread from a peer that sends it byte by byte.
    """
    remaining_seconds = deadline - time.monotonic()
    if remaining_seconds <= 0:
        raise TimeoutError("no answer in time")
    set_socket_timeout(sock, socket.SO_RCVTIMEO, max(remaining_seconds, MIN_TIMEOUT_SECONDS))
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:  # raised by a socket with SO_RCVTIMEO
        raise TimeoutError("no answer in time") from None


def is_stale(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed by its peer, or holds unexpected bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, without reading from it.

    The end of the peer's bytes counts as soon as it has arrived, behind whatever is unread
    (POLLRDHUP, poll(2)). Any thread may call it; a socket that is closed here counts as well.
    """
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # the socket is closed
        return True


def quiet_seconds(sock: socket.socket) -> float | None:
    """Return how long ago the latest bytes arrived, or the connection opened; see tcp(7).

    For a connection that was just accepted it is at most its time in the backlog. None if the
    system does not tell it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / MILLISECONDS_PER_SECOND


def shut_down(sock: socket.socket) -> None:
    """Shut down both directions; the thread that reads or writes wakes up and closes the socket."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
