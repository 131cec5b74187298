"""The handed-over state as bytes, and what a process makes of it; free of I/O.

The file holds the operators' bans, the processes that share the clients' address, each with its admin
address, and discovery's list as its writer last knew it. It is checked whole: a file that is missing, cut
short, of another format or version, or whose sum does not match is ignored, and the process starts clean.
"""

from dataclasses import dataclass, field
from zlib import crc32

import ujson

from stepstream.core.maintenance import MaintenanceState

FORMAT, VERSION = "stepstream-handover", 1


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    pid: int
    admin: str  # HOST:PORT of its admin listener, where its sibling passes news on
    started_us: int
    ready: bool = False  # it takes clients


@dataclass(frozen=True, slots=True)
class Handover:
    bans: MaintenanceState = MaintenanceState()
    processes: tuple[ProcessRecord, ...] = field(default_factory=tuple)
    listed: dict | None = (
        None  # discovery's list as the writer last knew it, in discovery's own form
    )


class DamagedError(Exception):
    """The file cannot be used; the text says why, for one line in the log."""


def encode(state: Handover) -> bytes:
    body = {
        "generation": state.bans.generation,
        "banned": sorted(state.bans.in_maintenance),
        "lifted": [list(pair) for pair in state.bans.released],
        "processes": [[p.pid, p.admin, p.started_us, p.ready] for p in state.processes],
        "list": state.listed,
    }
    text = ujson.dumps(body, sort_keys=True)
    outer = {"format": FORMAT, "version": VERSION, "sum": crc32(text.encode()), "body": text}
    return ujson.dumps(outer).encode()


def decode(data: bytes) -> Handover:
    """DamagedError if anything of it is amiss."""
    try:
        outer = ujson.loads(data)
    except (ValueError, RecursionError):
        raise DamagedError("not whole JSON") from None
    if not isinstance(outer, dict) or outer.get("format") != FORMAT:
        raise DamagedError("not a handed-over state")
    if outer.get("version") != VERSION:
        raise DamagedError(f"version {outer.get('version')!r}, not {VERSION}")
    text = outer.get("body")
    if not isinstance(text, str) or crc32(text.encode()) != outer.get("sum"):
        raise DamagedError("its sum does not match")
    try:
        body = ujson.loads(text)
        bans = MaintenanceState(
            int(body["generation"]),
            frozenset(str(w) for w in body["banned"]),
            tuple((str(w), int(at)) for w, at in body["lifted"]),
        )
        processes = tuple(
            ProcessRecord(int(p), str(a), int(s), bool(r)) for p, a, s, r in body["processes"]
        )
        listed = body.get("list")
        if listed is not None and not isinstance(listed, dict):
            raise TypeError
    except (ValueError, KeyError, TypeError):
        raise DamagedError("a field is missing or of the wrong type") from None
    return Handover(bans, processes, listed)


def with_own(state: Handover, own: ProcessRecord, alive: set[int]) -> Handover:
    """The state as this process writes it: its own entry new, those of ended processes gone."""
    others = tuple(p for p in state.processes if p.pid != own.pid and p.pid in alive)
    return Handover(state.bans, (*others, own), state.listed)


def sibling(state: Handover, own_pid: int) -> ProcessRecord | None:
    """The other process on the clients' address, the newest if there were several."""
    others = [p for p in state.processes if p.pid != own_pid]
    return max(others, key=lambda p: p.started_us) if others else None
