"""Receive an answer on a blocking socket.

No state of its own: the socket and the parser belong to the thread that calls.
"""

import socket

from stepstream.http.codec import Message, Parser
from stepstream.runtime.sockets import receive_until


def receive_message(
    sock: socket.socket, parser: Parser, deadline_seconds: float, read_bytes: int
) -> Message | None:
    """Return the next message, or None if the peer closes its side before one is complete.

    The deadline (monotonic seconds) bounds the whole answer: one that comes in drips must not hold
    its thread. Raises TimeoutError past it, OSError if the connection breaks, ProtocolError if the
    answer is unreadable.
    """
    while data := receive_until(sock, deadline_seconds, read_bytes):
        parser.feed(data)
        message = parser.next()
        if message is not None:
            return message
    return None
