"""A resource guarded by fencing tokens, in a process of its own, that records every operation.

    python -m stepstream.lab.verification.ledger HOST:PORT FILE

The ledger speaks TCP with one JSON object a line. `{"do": "begin", "token", "holder"}` is answered
with `{"act": N}` or `{"fenced": HIGHEST}`, and `{"do": "end", "act": N}` with `{"taken": true}` or
`{"fenced": HIGHEST}`. A line that is not understood is answered with `{"error": TEXT}`. FILE gets
one JSON object a line for each operation, with the ledger's own monotonic time, before the answer
is sent.

Every connection has a thread of the server's; the `Ledger` that they share has a lock.
"""

import json
import socket
import socketserver
import sys
import threading
import time
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from stepstream.leases.fencing import FencedError, FencingGuard

TIMEOUT_SECONDS = 5.0
"""How long a client waits to connect and for each answer."""

JsonObject = dict[str, Any]


class Ledger:
    """Admit operations by their fencing tokens and append each one to a file."""

    def __init__(self, path: Path) -> None:
        self.lock = threading.Lock()  # guards all below, and the order of the lines in the file
        self.guard = FencingGuard()
        self.file = path.open("a", encoding="utf-8")
        self.acts: list[tuple[int, str]] = []  # token and holder of each operation that was begun

    def do(self, request: JsonObject) -> JsonObject:
        """Admit or reject the begin or end of an operation, record it and return the answer.

        Raise KeyError, IndexError or TypeError if a member of the request is missing or wrong.
        """
        with self.lock:
            step = request["do"]
            if step == "begin":
                token, holder = request["token"], request["holder"]
                act = len(self.acts)
                self.acts.append((token, holder))
            else:
                act = request["act"]
                token, holder = self.acts[act]
            recorded_step = step
            try:
                self.guard.admit(token)
            except FencedError as error:
                recorded_step = f"refused {step}"
                answer: JsonObject = {"fenced": error.highest_token}
            else:
                answer = {"act": act} if step == "begin" else {"taken": True}
            row = {
                "at": time.monotonic(),
                "what": recorded_step,
                "token": token,
                "holder": holder,
                "act": act,
            }
            self.file.write(json.dumps(row) + "\n")
            self.file.flush()
            return answer


class Handler(socketserver.StreamRequestHandler):
    """Answer the requests of one connection."""

    server: "Server"

    def handle(self) -> None:
        """Answer each line until the client closes the connection."""
        for line in self.rfile:
            try:
                answer = self.server.ledger.do(json.loads(line))
            except (ValueError, KeyError, IndexError, TypeError) as error:
                answer = {"error": f"{type(error).__name__}: {error}"}
            self.wfile.write(json.dumps(answer).encode() + b"\n")


class Server(socketserver.ThreadingTCPServer):
    """Accept connections to `ledger`, which is set before the first one."""

    daemon_threads = True
    allow_reuse_address = True
    ledger: Ledger


class Client:
    """One connection to a ledger, for one thread.

    Every call raises OSError or ValueError if the ledger does not answer in time.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
        self.lines = self.sock.makefile("rb")

    def request(self, **members: object) -> JsonObject:
        """Send a request with these members and return the ledger's answer."""
        self.sock.sendall(json.dumps(members).encode() + b"\n")
        answer: JsonObject = json.loads(self.lines.readline())
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.lines.close()
        self.sock.close()


class Span(NamedTuple):
    """A completed operation, from begin to end by the ledger's monotonic time."""

    begin: float
    end: float
    holder: str


def rows(path: Path) -> list[JsonObject]:
    """Read the operations that a ledger recorded, without a last line that is not yet complete."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    return [json.loads(line) for line in text.splitlines(keepends=True) if line.endswith("\n")]


def faults(rows: list[JsonObject]) -> list[str]:
    """Verify a ledger's records: return a sentence for each breach of mutual exclusion.

    Tokens never fall, no two holders share a token, and the operations of two holders, from begin
    to end, do not overlap. Rejected operations had no effect and do not count.
    """
    admitted = [row for row in rows if not row["what"].startswith("refused")]
    return _token_faults(admitted) + _overlap_faults(admitted)


def _token_faults(admitted: list[JsonObject]) -> list[str]:
    """Return the tokens that fell or that two holders used."""
    found = []
    highest = 0
    owners: dict[int, str] = {}
    for row in admitted:
        token, holder = row["token"], row["holder"]
        if token < highest:
            found.append(f"token {token} taken after {highest} at {row['at']:.3f}")
        highest = max(highest, token)
        owner = owners.setdefault(token, holder)
        if owner != holder:
            found.append(f"token {token} of {owner} and of {holder}")
    return found


def _overlap_faults(admitted: list[JsonObject]) -> list[str]:
    """Return the operations that overlap the next one, by time of begin, of another holder."""
    begun_at: dict[int, float] = {}
    spans: list[Span] = []
    for row in admitted:
        if row["what"] == "begin":
            begun_at[row["act"]] = row["at"]
        else:
            spans.append(Span(begun_at[row["act"]], row["at"], row["holder"]))
    spans.sort()
    return [
        f"acts of {span.holder} and {following.holder} overlap at {following.begin:.3f}"
        for span, following in pairwise(spans)
        if following.begin < span.end and span.holder != following.holder
    ]


def main(arguments: list[str]) -> None:
    """Serve a ledger until the process is stopped; the arguments are HOST:PORT and FILE."""
    host, _, port = arguments[0].rpartition(":")
    with Server((host, int(port)), Handler) as server:
        server.ledger = Ledger(Path(arguments[1]))
        server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1:])
