"""The record of a resource guarded by fencing tokens, and the check of mutual exclusion on it.

`Ledger` admits operations and appends each one to a file; `ledger.py` serves it over TCP.
`read_entries` reads the file and `find_breaches` verifies it. The keys and the values of `what` are
those of the file and keep its spelling.
"""

import json
import threading
import time
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from stepstream.config.json_decoding import decode_json
from stepstream.leases.fencing import FencedError, FencingGuard

JsonObject = dict[str, Any]

REJECTED_PREFIX = "refused"
"""The beginning of `what` in the entry of a rejected operation."""


class LedgerEntry(TypedDict):
    """A line of the file: the begin or the end of an operation."""

    at: float  # the ledger's monotonic time, in seconds
    what: str  # "begin" or "end", after REJECTED_PREFIX if the token was rejected
    token: int
    holder: str
    act: int  # the operation's number


class Operation(NamedTuple):
    """An operation that was begun: its fencing token and the lease holder that began it."""

    token: int
    holder: str


class CompletedOperation(NamedTuple):
    """A completed operation: its begin and end by the ledger's monotonic time in seconds."""

    begin: float
    end: float
    holder: str


class Ledger:
    """Admit operations by their fencing tokens and append each one to a file."""

    def __init__(self, path: Path) -> None:
        self.lock = threading.Lock()  # guards all below and the order of the lines in the file
        self.guard = FencingGuard()
        self.file = path.open("a", encoding="utf-8")
        self.operations: list[Operation] = []  # index: the operation's number

    def admit(self, request: JsonObject) -> JsonObject:
        """Admit or reject the begin or end of an operation, record it and return the response.

        Raise KeyError, IndexError or TypeError if a member of the request is missing or invalid.
        """
        with self.lock:
            step = request["do"]
            number = self._add_operation(request) if step == "begin" else request["act"]
            operation = self.operations[number]
            try:
                self.guard.admit(operation.token)
            except FencedError as error:
                self._record(f"{REJECTED_PREFIX} {step}", number, operation)
                return {"fenced": error.highest_token}
            self._record(step, number, operation)
            return {"act": number} if step == "begin" else {"taken": True}

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def _add_operation(self, request: JsonObject) -> int:
        """Add the operation that a request begins, and return its number."""
        self.operations.append(Operation(request["token"], request["holder"]))
        return len(self.operations) - 1

    def _record(self, what: str, number: int, operation: Operation) -> None:
        """Append an entry to the file."""
        entry: LedgerEntry = {
            "at": time.monotonic(),
            "what": what,
            "token": operation.token,
            "holder": operation.holder,
            "act": number,
        }
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()


def is_rejected(entry: LedgerEntry) -> bool:
    """Return whether the guard rejected the operation's token."""
    return entry["what"].startswith(REJECTED_PREFIX)


def read_entries(path: Path) -> list[LedgerEntry]:
    """Read the entries of a ledger's file, without a last line that is not yet complete."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    return [decode_json(line) for line in text.splitlines(keepends=True) if line.endswith("\n")]


def find_breaches(entries: list[LedgerEntry]) -> list[str]:
    """Return a description of each breach of mutual exclusion in a ledger's entries.

    Tokens must never decrease, no two holders may share a token, and the operations of two holders,
    from begin to end, must not overlap. Rejected operations had no effect and do not count.
    """
    admitted = [entry for entry in entries if not is_rejected(entry)]
    return _token_breaches(admitted) + _overlap_breaches(admitted)


def _token_breaches(admitted: list[LedgerEntry]) -> list[str]:
    """Describe each token that is smaller than an earlier one or that two holders used."""
    breaches = []
    highest = 0
    owners: dict[int, str] = {}
    for entry in admitted:
        token = entry["token"]
        holder = entry["holder"]
        if token < highest:
            breaches.append(f"token {token} admitted after {highest} at {entry['at']:.3f}")
        highest = max(highest, token)
        owner = owners.setdefault(token, holder)
        if owner != holder:
            breaches.append(f"token {token} of {owner} and of {holder}")
    return breaches


def _overlap_breaches(admitted: list[LedgerEntry]) -> list[str]:
    """Describe each operation that overlaps the next one to begin, if that is another holder's."""
    begun_at: dict[int, float] = {}
    completed: list[CompletedOperation] = []
    for entry in admitted:
        if entry["what"] == "begin":
            begun_at[entry["act"]] = entry["at"]
        else:
            completed.append(
                CompletedOperation(begun_at[entry["act"]], entry["at"], entry["holder"])
            )
    completed.sort()
    return [
        f"operations of {earlier.holder} and {following.holder} overlap at {following.begin:.3f}"
        for earlier, following in pairwise(completed)
        if following.begin < earlier.end and earlier.holder != following.holder
    ]
