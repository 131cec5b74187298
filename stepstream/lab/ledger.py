"""A guarded resource in a process of its own: it takes acts by their tokens and writes down every one.

    python -m stepstream.lab.ledger HOST:PORT FILE

One JSON object a line over TCP: {"do": "begin", "token", "holder"} is told {"act": N} or {"fenced": HIGHEST};
{"do": "end", "act": N} is told {"taken": true} or {"fenced": HIGHEST}. FILE gets a line for each, with the
ledger's own monotonic time, before the answer goes out.
"""

import json
import socket
import socketserver
import sys
import threading
import time
from pathlib import Path

from stepstream.leases.fencing import FencedError, FencingGuard

PATIENCE_S = 5.0


class Ledger:
    def __init__(self, path: Path) -> None:
        self.guard, self.lock, self.file = (
            FencingGuard(),
            threading.Lock(),
            path.open("a", encoding="utf-8"),
        )
        self.acts: list[tuple[int, str]] = []

    def do(self, asked: dict) -> dict:
        with self.lock:
            if asked["do"] == "begin":
                token, holder = asked["token"], asked["holder"]
                act = len(self.acts)
                self.acts.append((token, holder))
            else:
                act = asked["act"]
                token, holder = self.acts[act]
            what = asked["do"]
            try:
                self.guard.admit(token)
                told = {"act": act} if what == "begin" else {"taken": True}
            except FencedError as error:
                what, told = f"refused {what}", {"fenced": error.highest_token}
            row = {
                "at": time.monotonic(),
                "what": what,
                "token": token,
                "holder": holder,
                "act": act,
            }
            self.file.write(json.dumps(row) + "\n")
            self.file.flush()
            return told


class Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        for line in self.rfile:
            try:
                told = self.server.ledger.do(json.loads(line))
            except (ValueError, KeyError, IndexError, TypeError) as error:
                told = {"error": f"{type(error).__name__}: {error}"}
            self.wfile.write(json.dumps(told).encode() + b"\n")


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = allow_reuse_address = True
    ledger: Ledger


class Client:
    """One connection; OSError or ValueError where the ledger does not answer in time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=PATIENCE_S)
        self.lines = self.sock.makefile("rb")

    def ask(self, **asked: object) -> dict:
        self.sock.sendall(json.dumps(asked).encode() + b"\n")
        return json.loads(self.lines.readline())

    def close(self) -> None:
        self.lines.close()
        self.sock.close()


def rows(path: Path) -> list[dict]:
    """What the ledger has written; a last line that is being written is left out."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    return [json.loads(line) for line in text.splitlines(keepends=True) if line.endswith("\n")]


def faults(rows: list[dict]) -> list[str]:
    """What must never be in a ledger: tokens that fall, holders that share one, acts of two that overlap."""
    found, highest, owners = [], 0, {}
    begun: dict[int, dict] = {}
    taken: list[tuple[float, float, str]] = []
    for row in rows:
        if row["what"].startswith("refused"):
            continue
        if row["token"] < highest:
            found.append(f"token {row['token']} taken after {highest} at {row['at']:.3f}")
        highest = max(highest, row["token"])
        if owners.setdefault(row["token"], row["holder"]) != row["holder"]:
            found.append(f"token {row['token']} of {owners[row['token']]} and of {row['holder']}")
        if row["what"] == "begin":
            begun[row["act"]] = row
        else:
            taken.append((begun[row["act"]]["at"], row["at"], row["holder"]))
    taken.sort()
    for (_, end, one), (begin, _, other) in zip(taken, taken[1:], strict=False):
        if begin < end and one != other:
            found.append(f"acts of {one} and {other} overlap at {begin:.3f}")
    return found


def main(words: list[str]) -> None:
    host, _, port = words[0].rpartition(":")
    with Server((host, int(port)), Handler) as server:
        server.ledger = Ledger(Path(words[1]))
        server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1:])
