"""Several catalogues merged into the one destination set that the module is told; free of I/O.

Each source owns the workers it has named. A full list of one source says who of its own is gone and nothing
of another's. An id belongs to the source that named it first for as long as that source holds it: calls go to
its carrier, and nobody can take over a worker by calling himself the same.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState

if TYPE_CHECKING:
    from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceState


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """A catalogue's word on its workers; `source` names it."""

    source: str
    update: EndpointList


class EndpointSet:
    def __init__(self, complain: Callable[[str], None]) -> None:
        self.complain = complain
        self.owned: dict[str, dict[str, Endpoint]] = {}  # by source, what it holds
        self.source_of: dict[str, str] = {}
        self.claims: dict[tuple[str, str], Endpoint] = {}  # to ids that another source holds
        self.overlay: MaintenanceOverlay | None = (
            None  # the operators' bans, once there have been any
        )

    def apply(self, listed: EndpointsUpdated) -> EndpointList:
        """What the module is told of this: a list of the same kind that takes nothing from other sources."""
        source, told = listed.source, listed.update
        if told.kind is EndpointListKind.FAILED:
            return told
        full = told.kind is not EndpointListKind.CHANGES
        if full:
            self.let_go(source, {entry.worker_id for entry in told.endpoints})
        entries = [entry for entry in told.endpoints if self.take(source, entry)]
        entries += self.heirs()
        if full:
            named = {entry.worker_id for entry in entries}
            entries += [
                e for held in self.owned.values() for e in held.values() if e.worker_id not in named
            ]
        if self.overlay is not None:
            entries = [self.overlay.apply(entry) for entry in entries]
        return EndpointList(told.kind, tuple(entries))

    def maintain(self, state: "MaintenanceState") -> EndpointList:
        """The operators' bans: the entries whose look they change, as changes."""
        if self.overlay is None:
            from stepstream.core.maintenance import MaintenanceOverlay

            self.overlay = MaintenanceOverlay()
        changed = self.overlay.update(state)
        held = [e for own in self.owned.values() for e in own.values() if e.worker_id in changed]
        return EndpointList(
            EndpointListKind.CHANGES, tuple(self.overlay.apply(entry) for entry in held)
        )

    def contains(self, worker: str) -> bool:
        """Whether any source has a worker by that id; safe to ask from another thread."""
        return worker in self.source_of

    def heirs(self) -> list[Endpoint]:
        """Workers whose id another source held until now."""
        free = [claim for claim in self.claims if claim[1] not in self.source_of]
        return [entry for claim in free if self.take(claim[0], entry := self.claims.pop(claim))]

    def let_go(self, source: str, named: set[str]) -> None:
        held = self.owned.get(source, {})
        for worker in [worker for worker in held if worker not in named]:
            del held[worker], self.source_of[worker]
        for claim in [
            claim for claim in self.claims if claim[0] == source and claim[1] not in named
        ]:
            del self.claims[claim]

    def take(self, source: str, entry: Endpoint) -> bool:
        """Whether the entry is this source's to give."""
        owner = self.source_of.get(entry.worker_id, source)
        if owner != source:
            self.claim((source, entry.worker_id), entry, owner)
            return False
        held = self.owned.setdefault(source, {})
        if entry.state is EndpointState.REMOVED:
            held.pop(entry.worker_id, None)
            self.source_of.pop(entry.worker_id, None)
        else:
            held[entry.worker_id] = entry
            self.source_of[entry.worker_id] = source
        return True

    def claim(self, claim: tuple[str, str], entry: Endpoint, owner: str) -> None:
        if entry.state is EndpointState.REMOVED:
            self.claims.pop(claim, None)
            return
        if claim not in self.claims:
            self.complain(f"worker {claim[1]} of {claim[0]} waits: {owner} holds that id")
        self.claims[claim] = entry

    def owner(self, worker: str) -> str | None:
        """Whose carrier takes calls to this worker; None for one that nobody holds."""
        return self.source_of.get(worker)
