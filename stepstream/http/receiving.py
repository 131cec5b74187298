"""Receive an answer on a blocking socket.

No state: the socket and the parser belong to the calling thread.
"""

import socket

from stepstream.http.codec import Message, Parser
from stepstream.runtime.sockets import receive_until


def receive_message(
    sock: socket.socket, parser: Parser, deadline_seconds: float, read_bytes: int
) -> Message | None:
    """Return the next message, or None if the peer closes its side before it is complete.

    The deadline (monotonic seconds) bounds the complete answer, because an answer that arrives byte
    by byte must not block its thread. Raises TimeoutError after the deadline, OSError if the
    connection breaks, ProtocolError if the answer is malformed.
    """
    while data := receive_until(sock, deadline_seconds, read_bytes):
        parser.feed(data)
        message = parser.next()
        if message is not None:
            return message
    return None
