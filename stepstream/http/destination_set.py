"""The destination set: which workers there are and where they listen."""

import random
import threading
import time

from stepstream.http.platform_api import EndpointAnswer
from stepstream.http.staleness import StalenessDetector
from stepstream.model.endpoints import Endpoint, EndpointListKind, EndpointState

Address = tuple[str, int]


SOURCE = "discovery"


class DestinationSet:
    """Where workers listen, and which of them may get new work, as last told.

    The discovery thread writes it before the core hears of a change: calls on their way look here last.
    """

    def __init__(self, doubt: StalenessDetector | None = None) -> None:
        """`doubt`: of a dispatcher that has discovery to itself, if it is left out."""
        self.lock = threading.Lock()
        self.doubt = doubt or StalenessDetector(1, random.Random(0))
        self.addresses: dict[str, Address] = {}
        self.ready: set[str] = set()
        self.hosts: frozenset[str] = frozenset()
        self.banned: frozenset[str] = frozenset()  # out for maintenance, whatever the list says
        self.entries: dict[
            str, Endpoint
        ] = {}  # the list as it stands, for a hot restart's successor
        self.version: int | None = None
        self.changes = 0  # lists applied so far

    def apply(self, targets: EndpointAnswer) -> None:
        with self.lock:
            if targets.update.kind is not EndpointListKind.CHANGES:
                self.addresses, self.ready, self.entries = {}, set(), {}
            self.addresses.update(targets.addresses)
            for entry in targets.update.endpoints:
                if entry.state is EndpointState.ACTIVE:
                    self.ready.add(entry.worker_id)
                else:
                    self.ready.discard(entry.worker_id)
                if entry.state is EndpointState.REMOVED:
                    self.entries.pop(entry.worker_id, None)
                else:
                    self.entries[entry.worker_id] = entry
            self.hosts = frozenset(host for host, _ in self.addresses.values())
            self.version, self.changes = targets.version, self.changes + 1
            whole = targets.update.kind is not EndpointListKind.CHANGES
            self.doubt.told(
                None if whole else {entry.worker_id for entry in targets.update.endpoints}
            )

    def report_refused(self, worker: str) -> None:
        """Its machine refuses connections; if the list calls it ready, one of the two is wrong."""
        with self.lock:
            if worker in self.ready:
                self.doubt.refused(worker, time.monotonic())

    def report_reachable(self, worker: str) -> None:
        if self.doubt.refused_at:  # looked at without the lock: nearly always empty
            with self.lock:
                self.doubt.reached(worker)

    def is_suspected_stale(self) -> bool:
        """Whether the list is to be asked for anew now."""
        with self.lock:
            return self.doubt.due(time.monotonic())

    def listed(self) -> dict | None:
        """The list in discovery's own form, zones and kinds by the settings' index; None before the first."""
        with self.lock:
            if self.version is None:
                return None
            rows = [
                {
                    "id": e.worker_id,
                    "addr": f"{self.addresses[e.worker_id][0]}:{self.addresses[e.worker_id][1]}",
                    "zone": e.zone,
                    "kind": e.worker_kind,
                    "cell": e.cell,
                    "state": "ready" if e.state is EndpointState.ACTIVE else "draining",
                    "weight": e.weight,
                    "started_ms": e.started_us // 1000,
                }
                for e in self.entries.values()
                if e.worker_id in self.addresses
            ]
            return {"version": self.version, "full": True, "servers": rows}

    def is_worker(self, host: str) -> bool:
        return host in self.hosts

    def address(self, worker: str) -> Address | None:
        """None for a worker that must not get new work."""
        with self.lock:
            usable = worker in self.ready and worker not in self.banned
            return self.addresses.get(worker) if usable else None

    def usable(self) -> list[str]:
        """The workers that may get new work."""
        with self.lock:
            return sorted(self.ready - self.banned)

    def ban(self, workers: frozenset[str]) -> None:
        with self.lock:
            self.banned = workers

    def last_address(self, worker: str) -> Address | None:
        with self.lock:
            return self.addresses.get(worker)
