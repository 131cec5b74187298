"""Maintenance of workers by operators, and how it changes the endpoints that the policy sees.

A worker in maintenance is shown to the policy as draining, whatever its source says: it gets
nothing new once the policy's grace period is over. Maintenance lasts until an operator releases the
worker. As operators restart a worker meanwhile, it is shown as started at its release, so that it
goes through slow start, unless its source tells of a later start.

`MaintenanceRegistry` belongs to the admin service and may be used by any thread;
`MaintenanceOverlay` belongs to the endpoint set and thereby to the decision thread. A
`MaintenanceState` passes from one to the other.
"""

import threading
from dataclasses import dataclass, field, replace

from stepstream.model.endpoints import Endpoint, EndpointState

MAX_RELEASES = 1024  # releases remembered for their slow start; the oldest are dropped first


@dataclass(frozen=True, slots=True)
class MaintenanceState:
    """The complete state, as it passes between processes and to the core."""

    generation: int = 0  # orders two states: the higher one is newer
    in_maintenance: frozenset[str] = frozenset()  # worker ids
    # Worker id and time of each release, the oldest first; microseconds on the clock that all
    # processes of a machine share.
    released: tuple[tuple[str, int], ...] = ()


@dataclass
class MaintenanceCounters:
    """What operators' calls have come to since the start."""

    begun: int = 0  # calls that put a worker into maintenance
    released: int = 0  # calls that released one
    unchanged: int = 0  # calls that changed nothing
    unknown: int = 0  # calls for ids that no source has


class MaintenanceRegistry:
    """The operators' maintenance state, as this process knows it.

    Shared by the admin listener's thread and by those that hand the state over to another process.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()  # guards `state` and `counts`
        self.state = MaintenanceState()
        self.counts = MaintenanceCounters()

    def begin(self, worker_id: str) -> bool:
        """Put a worker into maintenance; return whether that changed anything."""
        with self.lock:
            if worker_id in self.state.in_maintenance:
                self.counts.unchanged += 1
                return False
            self.counts.begun += 1
            self.state = replace(
                self.state,
                generation=self.state.generation + 1,
                in_maintenance=self.state.in_maintenance | {worker_id},
            )
            return True

    def release(self, worker_id: str, now_us: int) -> bool:
        """Release a worker from maintenance; return whether that changed anything."""
        with self.lock:
            if worker_id not in self.state.in_maintenance:
                self.counts.unchanged += 1
                return False
            self.counts.released += 1
            earlier = [pair for pair in self.state.released if pair[0] != worker_id]
            released = (*earlier, (worker_id, now_us))
            self.state = MaintenanceState(
                generation=self.state.generation + 1,
                in_maintenance=self.state.in_maintenance - {worker_id},
                released=released[-MAX_RELEASES:],
            )
            return True

    def adopt(self, state: MaintenanceState) -> bool:
        """Take over another process's state if it is newer; return whether it was."""
        with self.lock:
            if state.generation <= self.state.generation:
                return False
            self.state = state
            return True

    def snapshot(self) -> MaintenanceState:
        """Return the current state."""
        with self.lock:
            return self.state

    def contains(self, worker_id: str) -> bool:
        """Return whether a worker is in maintenance."""
        return worker_id in self.state.in_maintenance


@dataclass
class MaintenanceOverlay:
    """The maintenance state as the endpoint set lays it over every endpoint of its sources."""

    in_maintenance: frozenset[str] = frozenset()  # worker ids
    released_us: dict[str, int] = field(
        default_factory=dict
    )  # time of the latest release, by worker

    def update(self, state: MaintenanceState) -> set[str]:
        """Take over a new state; return the ids of the workers that it shows differently."""
        released_us = dict(state.released)
        changed = set(self.in_maintenance ^ state.in_maintenance)
        changed.update(
            worker_id
            for worker_id, at_us in released_us.items()
            if self.released_us.get(worker_id) != at_us
        )
        self.in_maintenance = state.in_maintenance
        self.released_us = released_us
        return changed

    def apply(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as the policy is to see it."""
        if endpoint.worker_id in self.in_maintenance:
            if endpoint.state is EndpointState.ACTIVE:
                return replace(endpoint, state=EndpointState.DRAINING)
            return endpoint
        if endpoint.state is EndpointState.REMOVED:
            return endpoint
        released_us = self.released_us.get(endpoint.worker_id)
        if released_us is not None and released_us > endpoint.started_us:
            return replace(endpoint, started_us=released_us)
        return endpoint
