"""Server and client of the ledger: a resource guarded by fencing tokens, in its own process.

    python -m stepstream.lab.verification.ledger HOST:PORT FILE

The ledger speaks TCP with one JSON object a line. The response to `{"do": "begin", "token",
"holder"}` is `{"act": N}` or `{"fenced": HIGHEST}`; that to `{"do": "end", "act": N}` is
`{"taken": true}` or `{"fenced": HIGHEST}`. The response to a line that is not understood is
`{"error": TEXT}`. FILE gets one JSON object a line for each operation, with the ledger's own
monotonic time, before the response is sent.

The server runs a thread for each connection; the `Ledger` that the threads share has a lock.
`ledger_record.py` has the record and its verification.
"""

import json
import socket
import socketserver
import sys
from contextlib import closing
from pathlib import Path

from stepstream.config.json_decoding import decode_json
from stepstream.lab.verification.ledger_record import JsonObject, Ledger

TIMEOUT_SECONDS = 5.0
"""How long a client waits to connect and for each response."""


class Handler(socketserver.StreamRequestHandler):
    """Serve the requests of one connection."""

    server: "Server"

    def handle(self) -> None:
        """Respond to each line until the client closes the connection."""
        for line in self.rfile:
            try:
                response = self.server.ledger.admit(decode_json(line))
            except (ValueError, KeyError, IndexError, TypeError) as error:
                response = {"error": f"{type(error).__name__}: {error}"}
            self.wfile.write(json.dumps(response).encode() + b"\n")


class Server(socketserver.ThreadingTCPServer):
    """Accept connections to `ledger`, which is set before the first one."""

    daemon_threads = True
    allow_reuse_address = True
    ledger: Ledger


class Client:
    """One connection to a ledger, for one thread.

    Every call raises OSError or ValueError if the ledger does not respond in time.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
        self.response_lines = self.socket.makefile("rb")

    def request(self, **members: object) -> JsonObject:
        """Send a JSON object with these members and return the ledger's response."""
        self.socket.sendall(json.dumps(members).encode() + b"\n")
        response: JsonObject = decode_json(self.response_lines.readline())
        return response

    def close(self) -> None:
        """Close the connection."""
        self.response_lines.close()
        self.socket.close()


def main(arguments: list[str]) -> None:
    """Serve a ledger until the process is stopped; the arguments are HOST:PORT and FILE."""
    host, _, port = arguments[0].rpartition(":")
    with (
        Server((host, int(port)), Handler) as server,
        closing(Ledger(Path(arguments[1]))) as ledger,
    ):
        server.ledger = ledger
        server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1:])
