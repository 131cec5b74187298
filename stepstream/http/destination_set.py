"""The destination set: the addresses of discovery's workers, and which of them may get new work.

State: the endpoint list as discovery last reported it, the workers in maintenance, and the detector
of a stale list. The discovery client's thread replaces the list before it notifies the core. A
call that is not written yet therefore sees a change in the last check before its first byte. Any
thread may read. All methods take the lock, unless a comment says why they need none.
"""

import random
import threading
import time

from stepstream.http.discovery_api import Address, EndpointAnswer
from stepstream.http.staleness import StalenessDetector
from stepstream.model.endpoints import Endpoint, EndpointListKind, EndpointState

DISCOVERY_SOURCE = "discovery"  # the name of this source of endpoints


def host_and_port(address: Address) -> str:
    """Return an address in the form of a Host header, which discovery uses as well."""
    return f"{address[0]}:{address[1]}"


class DestinationSet:
    """The current endpoint list, merged from complete lists and changes."""

    def __init__(self, staleness: StalenessDetector | None = None) -> None:
        """`staleness` defaults to a detector for the only dispatcher that calls discovery."""
        # Guards all fields. No other lock is taken while it is held.
        self.lock = threading.Lock()
        self.staleness = staleness or StalenessDetector(1, random.Random(0))
        self.addresses: dict[str, Address] = {}
        self.active_workers: set[str] = set()
        self.worker_hosts: frozenset[str] = frozenset()
        self.in_maintenance: frozenset[str] = frozenset()  # get no new work, even if listed
        self.endpoints: dict[str, Endpoint] = {}  # handed over in a hot restart
        self.version: int | None = None  # discovery's version of the list; None: no list yet
        self.update_count = 0

    def apply(self, answer: EndpointAnswer) -> None:
        """Apply a complete list or a list of changes."""
        with self.lock:
            is_complete = answer.update.kind is not EndpointListKind.CHANGES
            if is_complete:
                self.addresses = {}
                self.active_workers = set()
                self.endpoints = {}
            self.addresses.update(answer.addresses)
            for endpoint in answer.update.endpoints:
                self.apply_endpoint(endpoint)
            self.worker_hosts = frozenset(host for host, _ in self.addresses.values())
            self.version = answer.version
            self.update_count += 1
            listed = {endpoint.worker_id for endpoint in answer.update.endpoints}
            self.staleness.record_listed(None if is_complete else listed)

    def apply_endpoint(self, endpoint: Endpoint) -> None:
        """Apply one entry; the caller holds the lock."""
        if endpoint.state is EndpointState.ACTIVE:
            self.active_workers.add(endpoint.worker_id)
        else:
            self.active_workers.discard(endpoint.worker_id)
        if endpoint.state is EndpointState.REMOVED:
            # Its address stays, because a cancellation may still be sent to it.
            self.endpoints.pop(endpoint.worker_id, None)
        else:
            self.endpoints[endpoint.worker_id] = endpoint

    def set_in_maintenance(self, workers: frozenset[str]) -> None:
        """Replace the workers in maintenance; none of them gets new work from now on."""
        with self.lock:
            self.in_maintenance = workers

    # -- addresses ---------------------------------------------------------------------------------

    def usable_address(self, worker: str) -> Address | None:
        """Decide whether a worker may get new work; return its address, or None if it may not.

        A worker may get new work if the list shows it as active and it is not in maintenance.
        """
        with self.lock:
            may_get_work = worker in self.active_workers and worker not in self.in_maintenance
            return self.addresses.get(worker) if may_get_work else None

    def listed_address(self, worker: str) -> Address | None:
        """Return a worker's latest address, whether or not it may get new work."""
        with self.lock:
            return self.addresses.get(worker)

    def usable_workers(self) -> list[str]:
        """Return the workers that may get new work, sorted."""
        with self.lock:
            return sorted(self.active_workers - self.in_maintenance)

    def is_worker_host(self, host: str) -> bool:
        """Return whether a worker listens at this host."""
        # Needs no lock: the set is replaced as a whole.
        return host in self.worker_hosts

    # -- staleness ---------------------------------------------------------------------------------

    def report_refused(self, worker: str) -> None:
        """Report that a worker's machine refuses connections.

        If the list shows the worker as active, the list is stale or the worker has just crashed.
        """
        with self.lock:
            if worker in self.active_workers:
                self.staleness.record_refusal(worker, time.monotonic())

    def report_reachable(self, worker: str) -> None:
        """Report that a worker accepts connections."""
        # Checked without the lock, so that calls do not wait for it: nearly always, no worker is
        # recorded as refusing.
        if self.staleness.first_refusal_seconds:
            with self.lock:
                self.staleness.record_connect(worker)

    def claim_staleness_check(self) -> bool:
        """Return whether the list must be checked now; if so, the caller must check it."""
        with self.lock:
            return self.staleness.claim_check(time.monotonic())

    # -- hot restart -------------------------------------------------------------------------------

    def export_list(self) -> dict[str, object] | None:
        """Return the list in discovery's own JSON form; None before the first list.

        Zones and kinds are given as indexes into the settings.
        """
        with self.lock:
            if self.version is None:
                return None
            rows = [
                export_endpoint(endpoint, self.addresses[endpoint.worker_id])
                for endpoint in self.endpoints.values()
                if endpoint.worker_id in self.addresses
            ]
            return {"version": self.version, "full": True, "servers": rows}


def export_endpoint(endpoint: Endpoint, address: Address) -> dict[str, object]:
    """Return one entry in discovery's JSON form; the keys and states are wire names."""
    return {
        "id": endpoint.worker_id,
        "addr": host_and_port(address),
        "zone": endpoint.zone,
        "kind": endpoint.worker_kind,
        "cell": endpoint.cell,
        "state": "ready" if endpoint.state is EndpointState.ACTIVE else "draining",
        "weight": endpoint.weight,
        "started_ms": endpoint.started_us // 1000,
    }
