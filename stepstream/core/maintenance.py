"""Maintenance of workers: the operators' bans, and how a banned worker looks to the module; free of I/O.

A banned worker is shown to the module as draining, whatever its catalogue says, so that the module's rule on
drains holds for it: nothing new after the grace. The ban lasts until the call back. The return is cold: the
operators restart the worker meanwhile, so it is shown as started when it was let back, unless its catalogue
tells of a later start.
"""

import threading
from dataclasses import dataclass, field, replace

from stepstream.model.endpoints import Endpoint, EndpointState

LIFTED_MOST = 1024  # returns remembered for their cold start; the oldest go first


@dataclass(frozen=True, slots=True)
class MaintenanceState:
    """What passes between processes and to the core. `generation` orders two states: the higher is newer."""

    generation: int = 0
    in_maintenance: frozenset[str] = frozenset()
    released: tuple[
        tuple[str, int], ...
    ] = ()  # (worker, microseconds on the one clock base) of each return


@dataclass
class MaintenanceCounters:
    out: int = 0  # calls that took a worker out
    back: int = 0  # calls that let one back
    again: int = 0  # calls that changed nothing
    unknown: int = 0  # calls for ids that nobody holds


class MaintenanceRegistry:
    """The operators' word, shared by the admin listener's thread and whoever hands the state over."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.state = MaintenanceState()
        self.counts = MaintenanceCounters()

    def begin(self, worker: str) -> bool:
        """Whether that changed anything; a second call out changes nothing."""
        with self.lock:
            if worker in self.state.in_maintenance:
                self.counts.again += 1
                return False
            self.counts.out += 1
            self.state = replace(
                self.state,
                generation=self.state.generation + 1,
                in_maintenance=self.state.in_maintenance | {worker},
            )
            return True

    def release(self, worker: str, now_us: int) -> bool:
        with self.lock:
            if worker not in self.state.in_maintenance:
                self.counts.again += 1
                return False
            self.counts.back += 1
            lifted = tuple(pair for pair in self.state.released if pair[0] != worker)[
                -(LIFTED_MOST - 1) :
            ]
            self.state = MaintenanceState(
                self.state.generation + 1,
                self.state.in_maintenance - {worker},
                (*lifted, (worker, now_us)),
            )
            return True

    def adopt(self, state: MaintenanceState) -> bool:
        """Another process's state, if it is newer than this one's."""
        with self.lock:
            if state.generation <= self.state.generation:
                return False
            self.state = state
            return True

    def snapshot(self) -> MaintenanceState:
        with self.lock:
            return self.state

    def contains(self, worker: str) -> bool:
        return worker in self.state.in_maintenance


@dataclass
class MaintenanceOverlay:
    """The bans as the core keeps them, to be laid over every entry that a catalogue gives."""

    in_maintenance: frozenset[str] = frozenset()
    released: dict[str, int] = field(default_factory=dict)

    def update(self, state: MaintenanceState) -> set[str]:
        """The workers whose look has changed."""
        changed = set(self.in_maintenance ^ state.in_maintenance)
        lifted = dict(state.released)
        changed |= {w for w, at_us in lifted.items() if self.released.get(w) != at_us}
        self.in_maintenance, self.released = state.in_maintenance, lifted
        return changed

    def apply(self, entry: Endpoint) -> Endpoint:
        if entry.worker_id in self.in_maintenance:
            return (
                entry
                if entry.state is not EndpointState.ACTIVE
                else replace(entry, state=EndpointState.DRAINING)
            )
        back_us = self.released.get(entry.worker_id)
        if (
            back_us is not None
            and back_us > entry.started_us
            and entry.state is not EndpointState.REMOVED
        ):
            return replace(entry, started_us=back_us)
        return entry
