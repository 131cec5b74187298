"""One connection to the admin listener: its parser, the unsent bytes of its response and its age.

Only the listener's thread uses it.
"""

import contextlib
import socket
from dataclasses import dataclass, field

from stepstream.http.codec import Message, Parser, write_answer
from stepstream.ports.admin import AdminResponse


@dataclass(slots=True, eq=False)
class AdminConnection:
    """A caller's connection for one request and its response, on a non-blocking socket."""

    sock: socket.socket
    parser: Parser
    opened_at: float  # monotonic seconds
    unsent: bytearray = field(default_factory=bytearray)
    responded: bool = False  # the response is sent or queued; no more requests are read

    def receive(self, max_bytes: int) -> bytes:
        """Return the bytes that have arrived, b"" once the caller has closed the connection.

        Raise OSError if the connection has broken.
        """
        return self.sock.recv(max_bytes)

    def parse(self, received: bytes) -> Message | None:
        """Return the request if it is complete, else None; raise ProtocolError if malformed."""
        self.parser.feed(received)
        return self.parser.next()

    def respond(self, response: AdminResponse, *, head_only: bool = False) -> None:
        """Queue the response; `head_only` leaves its body out, for HEAD (RFC 9110, 9.3.2)."""
        body = f"{response.text}\n".encode("utf-8", "replace")
        headers = {"Content-Type": response.content_type}
        data = write_answer(response.status, body, headers, close=True)
        self.unsent += data[: len(data) - len(body)] if head_only else data
        self.responded = True

    def flush(self) -> bool:
        """Send as many bytes as the socket takes now; return whether all are sent.

        Raise OSError if the connection has broken.
        """
        with contextlib.suppress(BlockingIOError):
            sent = self.sock.send(self.unsent)
            del self.unsent[:sent]
        return not self.unsent
