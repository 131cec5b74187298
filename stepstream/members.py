"""Several catalogues merged into the one destination set that the module is told; free of I/O.

Each source owns the workers it has named. A full list of one source says who of its own is gone and nothing
of another's. An id belongs to the source that named it first for as long as that source holds it: calls go to
its carrier, and nobody can take over a worker by calling himself the same.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stepstream import interface as i

if TYPE_CHECKING:
    from stepstream.maintenance import BanState, Overlay


@dataclass(frozen=True, slots=True)
class Listed:
    """A catalogue's word on its workers; `source` names it."""

    source: str
    told: i.WorkerList


class Members:
    def __init__(self, complain: Callable[[str], None]) -> None:
        self.complain = complain
        self.owned: dict[str, dict[str, i.WorkerEntry]] = {}  # by source, what it holds
        self.source_of: dict[str, str] = {}
        self.claims: dict[tuple[str, str], i.WorkerEntry] = {}  # to ids that another source holds
        self.overlay: Overlay | None = None  # the operators' bans, once there have been any

    def apply(self, listed: Listed) -> i.WorkerList:
        """What the module is told of this: a list of the same kind that takes nothing from other sources."""
        source, told = listed.source, listed.told
        if told.kind is i.ListKind.FAILED:
            return told
        full = told.kind is not i.ListKind.CHANGES
        if full:
            self.let_go(source, {entry.worker for entry in told.entries})
        entries = [entry for entry in told.entries if self.take(source, entry)]
        entries += self.heirs()
        if full:
            named = {entry.worker for entry in entries}
            entries += [
                e for held in self.owned.values() for e in held.values() if e.worker not in named
            ]
        if self.overlay is not None:
            entries = [self.overlay.lay(entry) for entry in entries]
        return i.WorkerList(told.kind, tuple(entries))

    def maintain(self, state: "BanState") -> i.WorkerList:
        """The operators' bans: the entries whose look they change, as changes."""
        if self.overlay is None:
            from stepstream.maintenance import Overlay

            self.overlay = Overlay()
        changed = self.overlay.take(state)
        held = [e for own in self.owned.values() for e in own.values() if e.worker in changed]
        return i.WorkerList(i.ListKind.CHANGES, tuple(self.overlay.lay(entry) for entry in held))

    def holds(self, worker: str) -> bool:
        """Whether any source has a worker by that id; safe to ask from another thread."""
        return worker in self.source_of

    def heirs(self) -> list[i.WorkerEntry]:
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

    def take(self, source: str, entry: i.WorkerEntry) -> bool:
        """Whether the entry is this source's to give."""
        owner = self.source_of.get(entry.worker, source)
        if owner != source:
            self.claim((source, entry.worker), entry, owner)
            return False
        held = self.owned.setdefault(source, {})
        if entry.state is i.WorkerState.OUT:
            held.pop(entry.worker, None)
            self.source_of.pop(entry.worker, None)
        else:
            held[entry.worker] = entry
            self.source_of[entry.worker] = source
        return True

    def claim(self, claim: tuple[str, str], entry: i.WorkerEntry, owner: str) -> None:
        if entry.state is i.WorkerState.OUT:
            self.claims.pop(claim, None)
            return
        if claim not in self.claims:
            self.complain(f"worker {claim[1]} of {claim[0]} waits: {owner} holds that id")
        self.claims[claim] = entry

    def source(self, worker: str) -> str | None:
        """Whose carrier takes calls to this worker; None for one that nobody holds."""
        return self.source_of.get(worker)
