"""The record of a process that shares the clients' address in a hot restart."""

import os
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """A process of a dispatcher, as the state file lists it."""

    pid: int
    admin_address: str  # HOST:PORT of its admin listener, which takes forwarded notifications
    started_at_us: int  # microseconds since the epoch
    ready: bool = False  # its listener for clients is open


def own_record(admin_address: tuple[str, int], now_us: int) -> ProcessRecord:
    """Return the record of this process, started at `now_us` and not ready yet."""
    host, port = admin_address
    return ProcessRecord(os.getpid(), f"{host}:{port}", now_us)


def is_alive(pid: int) -> bool:
    """Return whether a process with this id exists; signal 0 only checks that (kill(2))."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        return True
    return True
