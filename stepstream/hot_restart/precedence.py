"""The rules on which process and which state take precedence in a hot restart; no I/O."""

from collections.abc import Iterable
from typing import Any

from stepstream.core.maintenance import MAX_REMEMBERED_RELEASES, MaintenanceState
from stepstream.hot_restart.process import ProcessRecord

EndpointListJson = dict[str, Any]  # an endpoint list in the form in which discovery sends it


def newest_sibling(processes: Iterable[ProcessRecord], own_pid: int) -> ProcessRecord | None:
    """Return the process other than `own_pid` that started last, None if there is no other.

    Notifications are forwarded to it. After several restarts the older processes are about to end.
    """
    siblings = [process for process in processes if process.pid != own_pid]
    return max(siblings, key=lambda process: process.started_at_us, default=None)


def is_successor(sibling: ProcessRecord, own: ProcessRecord) -> bool:
    """Decide whether a running sibling serves the clients' address after this process ends.

    The sibling must have started later than this process, and its listener for clients must be
    open. Otherwise no process would serve clients after the shutdown of this one.
    """
    return sibling.ready and sibling.started_at_us > own.started_at_us


def replace_own_record(
    processes: Iterable[ProcessRecord], own: ProcessRecord, alive_pids: set[int]
) -> tuple[ProcessRecord, ...]:
    """Return the records of running processes, with `own`, this process's new one, as the last.

    `alive_pids` are the process ids that exist. Records of ended processes are dropped: their
    process ids may be used again.
    """
    siblings = [
        process for process in processes if process.pid != own.pid and process.pid in alive_pids
    ]
    return (*siblings, own)


def merge_maintenance(
    base: MaintenanceState, own: MaintenanceState, theirs: MaintenanceState
) -> MaintenanceState:
    """Return the state with the changes of both processes since `base`, their last common state.

    If only one process has changed a worker's maintenance, the result has that change. A result
    that is the state of neither process gets a higher generation.
    """
    is_own_unchanged = (own.in_maintenance, own.released) == (base.in_maintenance, base.released)
    if own == theirs or is_own_unchanged:
        return theirs if theirs.generation > own.generation else own
    begun = own.in_maintenance - base.in_maintenance
    ended = base.in_maintenance - own.in_maintenance
    in_maintenance = (theirs.in_maintenance | begun) - ended
    released = _merge_releases(own.released, theirs.released, in_maintenance)
    newer = max(own, theirs, key=lambda state: state.generation)
    equals_newer = (in_maintenance, released) == (newer.in_maintenance, newer.released)
    if equals_newer and own.generation != theirs.generation:
        return newer
    return MaintenanceState(newer.generation + 1, in_maintenance, released)


def _merge_releases(
    own: tuple[tuple[str, int], ...],
    theirs: tuple[tuple[str, int], ...],
    in_maintenance: frozenset[str],
) -> tuple[tuple[str, int], ...]:
    """Return the latest release of each worker, the oldest release first."""
    latest: dict[str, int] = {}
    for worker_id, at_us in (*theirs, *own):
        latest[worker_id] = max(at_us, latest.get(worker_id, at_us))
    releases = [
        (worker_id, at_us) for worker_id, at_us in latest.items() if worker_id not in in_maintenance
    ]
    releases.sort(key=lambda release: release[1])
    return tuple(releases[-MAX_REMEMBERED_RELEASES:])


def is_newer_list(candidate: EndpointListJson | None, current: EndpointListJson | None) -> bool:
    """Decide whether the candidate replaces the current endpoint list.

    It does if discovery gave it a later version, or if there is no current list. Without the
    comparison, a process that missed a change would bring back removed workers. A candidate whose
    version is not a number replaces no list; a current list with such a version counts as version
    0.
    """
    if candidate is None:
        return False
    candidate_version = _list_version(candidate)
    if candidate_version is None:
        return False
    return current is None or candidate_version > (_list_version(current) or 0)


def _list_version(endpoint_list: EndpointListJson) -> int | None:
    """Return the list's version; 0 if it has none, None if the version is not a whole number."""
    try:
        return int(endpoint_list.get("version", 0))
    except (TypeError, ValueError, OverflowError):
        return None
