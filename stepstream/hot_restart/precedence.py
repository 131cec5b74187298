"""Which process and which state win in a hot restart, as pure functions."""

from collections.abc import Iterable
from typing import Any

from stepstream.hot_restart.process import ProcessRecord

EndpointListJson = dict[str, Any]  # an endpoint list in the form in which discovery sends it


def newest_sibling(processes: Iterable[ProcessRecord], own_pid: int) -> ProcessRecord | None:
    """Return the process other than `own_pid` that started last, None if there is no other.

    Notifications are forwarded to it: after several restarts the older ones are about to end.
    """
    siblings = [process for process in processes if process.pid != own_pid]
    return max(siblings, key=lambda process: process.started_at_us, default=None)


def is_successor(sibling: ProcessRecord, own: ProcessRecord) -> bool:
    """Decide whether a running sibling serves the clients' address after this process ends.

    It must have started later, in microseconds since the epoch, and its listener for clients must
    be open; otherwise a shutdown would leave clients without any process.
    """
    return sibling.ready and sibling.started_at_us > own.started_at_us


def replace_own_record(
    processes: Iterable[ProcessRecord], own: ProcessRecord, alive_pids: set[int]
) -> tuple[ProcessRecord, ...]:
    """Return the records of running processes, this process's own one renewed and last.

    `alive_pids` are the process ids that exist. Records of ended processes would otherwise stay in
    the state file, and their ids may be used again.
    """
    siblings = [
        process for process in processes if process.pid != own.pid and process.pid in alive_pids
    ]
    return (*siblings, own)


def is_newer_list(candidate: EndpointListJson | None, current: EndpointListJson | None) -> bool:
    """Decide whether the candidate replaces the current endpoint list.

    It does with a later version of discovery, and where there is no current list. A process that
    missed a change would otherwise bring back removed workers. A candidate whose version is no
    number does not replace any list; a current list without such a number counts as version 0.
    """
    if candidate is None:
        return False
    candidate_version = _version(candidate)
    if candidate_version is None:
        return False
    return current is None or candidate_version > (_version(current) or 0)


def _version(endpoint_list: EndpointListJson) -> int | None:
    """Return the list's version, 0 if it has none, None if it is no whole number."""
    try:
        return int(endpoint_list.get("version", 0))
    except (TypeError, ValueError, OverflowError):
        return None
