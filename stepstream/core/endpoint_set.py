"""The endpoint set: the workers of several sources merged into the one list that the policy sees.

Each source owns the workers that it has named. A complete list of one source says which of its own
workers are gone, and nothing of another's. An id belongs to the source that named it first, until
that source drops it: calls go to the owner's carrier, so nobody can take over a worker by using its
id. A source that names an id of another's holds a claim, which waits until the id is free.

The decision thread owns the set and changes it. Other threads may call `contains` and `owner`,
which read one entry each.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState

if TYPE_CHECKING:  # maintenance is loaded only where there are operators
    from stepstream.core.log import CoreLog
    from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceState


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """An update of one source's endpoints.

    Posted as an event by the discovery client's thread and by the subsystems that have workers of
    their own.
    """

    source: str
    update: EndpointList


class ClaimKey(NamedTuple):
    """A source and the id that it claims from another."""

    source: str
    worker_id: str


class EndpointSet:
    """The workers of all sources, each with its owner, and the claims that wait for an id."""

    def __init__(self, log: "CoreLog") -> None:
        """Create an empty set; `log` gets one event for each claim that has to wait."""
        self._log = log
        self._endpoints_by_source: dict[str, dict[str, Endpoint]] = {}
        self._owner_by_worker: dict[str, str] = {}
        self._waiting_claims: dict[ClaimKey, Endpoint] = {}
        # The operators' maintenance state; None until there is any.
        self._maintenance: MaintenanceOverlay | None = None

    def apply(self, updated: EndpointsUpdated) -> EndpointList:
        """Merge one source's update; return what the policy is to apply, of the same kind.

        A complete list comes back with all other sources' workers, a failed one as it is.
        """
        source = updated.source
        update = updated.update
        if update.kind is EndpointListKind.FAILED:
            return update
        is_complete = update.kind is not EndpointListKind.CHANGES
        if is_complete:
            self._release_unlisted(source, {endpoint.worker_id for endpoint in update.endpoints})
        endpoints = [endpoint for endpoint in update.endpoints if self._register(source, endpoint)]
        endpoints.extend(self._grant_waiting_claims())
        if is_complete:
            listed = {endpoint.worker_id for endpoint in endpoints}
            endpoints.extend(
                endpoint for endpoint in self._registered() if endpoint.worker_id not in listed
            )
        if self._maintenance is not None:
            endpoints = [self._maintenance.apply(endpoint) for endpoint in endpoints]
        return EndpointList(update.kind, tuple(endpoints))

    def apply_maintenance(self, state: "MaintenanceState") -> EndpointList:
        """Apply the operators' maintenance state; return the endpoints that it changes."""
        if self._maintenance is None:
            # Loaded only where there are operators.
            from stepstream.core.maintenance import MaintenanceOverlay

            self._maintenance = MaintenanceOverlay()
        changed_workers = self._maintenance.update(state)
        changed_endpoints = tuple(
            self._maintenance.apply(endpoint)
            for endpoint in self._registered()
            if endpoint.worker_id in changed_workers
        )
        return EndpointList(EndpointListKind.CHANGES, changed_endpoints)

    def contains(self, worker_id: str) -> bool:
        """Return whether any source has a worker of that id; any thread may ask."""
        return worker_id in self._owner_by_worker

    def owner(self, worker_id: str) -> str | None:
        """Return the source whose carrier takes calls to a worker; None if no source has it."""
        return self._owner_by_worker.get(worker_id)

    def _registered(self) -> Iterator[Endpoint]:
        for endpoints in self._endpoints_by_source.values():
            yield from endpoints.values()

    def _release_unlisted(self, source: str, listed: set[str]) -> None:
        """Drop the workers and claims of a source that its complete list does not name."""
        endpoints = self._endpoints_by_source.get(source, {})
        for worker_id in [worker_id for worker_id in endpoints if worker_id not in listed]:
            del endpoints[worker_id]
            del self._owner_by_worker[worker_id]
        for claim in list(self._waiting_claims):
            if claim.source == source and claim.worker_id not in listed:
                del self._waiting_claims[claim]

    def _register(self, source: str, endpoint: Endpoint) -> bool:
        """Record an endpoint if its id is free or the source's own; else have its claim wait."""
        worker_id = endpoint.worker_id
        owner = self._owner_by_worker.get(worker_id, source)
        if owner != source:
            self._update_claim(ClaimKey(source, worker_id), endpoint, owner)
            return False
        endpoints = self._endpoints_by_source.setdefault(source, {})
        if endpoint.state is EndpointState.REMOVED:
            endpoints.pop(worker_id, None)
            self._owner_by_worker.pop(worker_id, None)
        else:
            endpoints[worker_id] = endpoint
            self._owner_by_worker[worker_id] = source
        return True

    def _update_claim(self, claim: ClaimKey, endpoint: Endpoint, owner: str) -> None:
        if endpoint.state is EndpointState.REMOVED:
            self._waiting_claims.pop(claim, None)
            return
        if claim not in self._waiting_claims:
            self._log.worker_id_conflict(worker=claim.worker_id, source=claim.source, owner=owner)
        self._waiting_claims[claim] = endpoint

    def _grant_waiting_claims(self) -> list[Endpoint]:
        """Register the claims whose ids are free now, the oldest first; return their endpoints."""
        granted = []
        free_claims = [
            claim for claim in self._waiting_claims if claim.worker_id not in self._owner_by_worker
        ]
        for claim in free_claims:
            endpoint = self._waiting_claims.pop(claim)
            # Of several claims to one id, the first one registered makes the others wait again.
            if self._register(claim.source, endpoint):
                granted.append(endpoint)
        return granted
