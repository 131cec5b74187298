"""The endpoint set: the workers of several sources, merged into one list for the policy.

Each source owns the workers that it lists. A complete list of one source removes its own workers
that are not on it, and leaves the workers of other sources alone. An id belongs to the source that
listed it first, until that source drops it. Calls go to the owner's carrier, so no source can take
over a worker by listing its id. A source that lists an id of another source holds a claim. The
claim waits until the id is free.

The decision thread owns the set and changes it. Other threads may call `contains` and `owner`,
which read one entry each.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.records import record

if TYPE_CHECKING:  # maintenance is loaded only where there are operators
    from stepstream.core.log import CoreLog
    from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceState


@record
class EndpointsUpdated:
    """An update of one source's endpoints.

    Posted as an event by the discovery client's thread and by the subsystems that have workers of
    their own.
    """

    source: str
    update: EndpointList


class ClaimKey(NamedTuple):
    """A source, and an id that it lists while another source owns it."""

    source: str
    worker_id: str


class EndpointSet:
    """The workers of all sources, each with its owner, and the claims that wait for an id."""

    def __init__(self, log: "CoreLog") -> None:
        """Create an empty set; `log` gets one event for each new claim."""
        self._log = log
        self._endpoints_by_source: dict[str, dict[str, Endpoint]] = {}
        self._owner_by_worker: dict[str, str] = {}
        self._waiting_claims: dict[ClaimKey, Endpoint] = {}
        # The operators' maintenance state; None until there is any.
        self._maintenance: MaintenanceOverlay | None = None

    def apply(self, updated: EndpointsUpdated) -> EndpointList:
        """Merge one source's update; return the update for the policy, of the same kind.

        A complete list also gets the workers of all other sources. A failed update is returned as
        it is.
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
        """Return whether any source has a worker of that id; any thread may call it."""
        return worker_id in self._owner_by_worker

    def owner(self, worker_id: str) -> str | None:
        """Return the source that owns a worker and carries its calls; None if no source has it."""
        return self._owner_by_worker.get(worker_id)

    def _registered(self) -> Iterator[Endpoint]:
        for endpoints in self._endpoints_by_source.values():
            yield from endpoints.values()

    def _release_unlisted(self, source: str, listed: set[str]) -> None:
        """Drop the workers and claims of a source that are not on its complete list."""
        endpoints = self._endpoints_by_source.get(source, {})
        for worker_id in [worker_id for worker_id in endpoints if worker_id not in listed]:
            del endpoints[worker_id]
            del self._owner_by_worker[worker_id]
        for claim in list(self._waiting_claims):
            if claim.source == source and claim.worker_id not in listed:
                del self._waiting_claims[claim]

    def _register(self, source: str, endpoint: Endpoint) -> bool:
        """Record an endpoint and return True, or a claim and False if another source owns its id.

        The first owner keeps an id, so that its calls go to the same worker whatever others list.
        """
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
        """Register the claims whose ids are free now, oldest first; return their endpoints."""
        granted = []
        free_claims = [
            claim for claim in self._waiting_claims if claim.worker_id not in self._owner_by_worker
        ]
        for claim in free_claims:
            endpoint = self._waiting_claims.pop(claim)
            # If several sources claim one id, the oldest claim wins and the others keep waiting.
            if self._register(claim.source, endpoint):
                granted.append(endpoint)
        return granted
