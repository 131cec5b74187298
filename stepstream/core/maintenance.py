"""Maintenance of workers by operators, and its effect on the endpoints that the policy sees.

The policy sees a worker in maintenance as draining, whatever its source reports. It gets
no new job from that moment on. Maintenance lasts until an operator releases the worker.
Operators usually restart a worker in maintenance. The policy therefore sees the release as its
start, so that the worker goes through slow start, unless its source reports a later start.

`MaintenanceRegistry` belongs to the admin service and may be used by any thread;
`MaintenanceOverlay` belongs to the endpoint set and thereby to the decision thread. A
`MaintenanceState` passes from one to the other.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from stepstream.model.endpoints import Endpoint, EndpointState
from stepstream.model.records import record

# Releases that are remembered for slow start; the oldest are dropped first.
MAX_REMEMBERED_RELEASES = 1024


@record
class MaintenanceState:
    """The complete maintenance state, as it is sent to other processes and to the core."""

    generation: int = 0  # the state with the higher generation is the newer one
    in_maintenance: frozenset[str] = frozenset()  # worker ids
    # Worker id and time of each release, the oldest first; microseconds on the clock that all
    # processes of a machine share.
    released: tuple[tuple[str, int], ...] = ()


@dataclass
class MaintenanceCounters:
    """Counts of operators' requests since the start, by their effect."""

    begun: int = 0  # put a worker into maintenance
    released: int = 0  # released a worker
    unchanged: int = 0  # changed nothing
    unknown: int = 0  # named an id that no source has


class MaintenanceRegistry:
    """The operators' maintenance state, as this process holds it.

    The admin listener's thread and the threads that send the state to other processes share it.
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
            earlier = [
                (released_worker, at_us)
                for released_worker, at_us in self.state.released
                if released_worker != worker_id
            ]
            released = (*earlier, (worker_id, now_us))
            self.state = MaintenanceState(
                generation=self.state.generation + 1,
                in_maintenance=self.state.in_maintenance - {worker_id},
                released=released[-MAX_REMEMBERED_RELEASES:],
            )
            return True

    def adopt(self, state: MaintenanceState) -> bool:
        """Adopt another process's state if it is newer; return whether it was adopted."""
        with self.lock:
            if state.generation <= self.state.generation:
                return False
            self.state = state
            return True

    def merge(self, merge_into: Callable[[MaintenanceState], MaintenanceState]) -> MaintenanceState:
        """Replace the state by `merge_into(state)` under the lock; return the new state."""
        with self.lock:
            self.state = merge_into(self.state)
            return self.state

    def snapshot(self) -> MaintenanceState:
        """Return the current state."""
        with self.lock:
            return self.state

    def contains(self, worker_id: str) -> bool:
        """Return whether a worker is in maintenance."""
        return worker_id in self.state.in_maintenance


@dataclass
class MaintenanceOverlay:
    """The maintenance state as the endpoint set applies it to the endpoints of its sources."""

    in_maintenance: frozenset[str] = frozenset()  # worker ids
    # Time of the latest release, by worker id.
    released_us: dict[str, int] = field(default_factory=dict)

    def update(self, state: MaintenanceState) -> set[str]:
        """Adopt a new state; return the ids of the workers whose maintenance or release changed."""
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
        """Decide what the policy sees of an endpoint of a source.

        In maintenance, an active worker is draining. After its release, a worker counts as started
        at the release, unless its source reports a later start.
        """
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
