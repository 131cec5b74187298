"""Simulate the process of one member that uses leases: its clocks, its stalls, its participant.

A `LeaseCluster` owns the processes; only the thread that runs its timeline may touch them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.leases.participant import Participant


@dataclass(eq=False)
class Process:
    """Hold the simulated process of one member.

    `rate`: local seconds per second of the timeline, of its monotonic clock. `ahead`: seconds by
    which its time of day is ahead. `origin`: when that monotonic clock showed zero.
    """

    name: str
    rate: float = 1.0
    ahead: float = 0.0
    origin: float = 0.0
    core: Participant | None = None  # None: not running
    starts: int = 0
    stalled_until: float = 0.0
    tick_number: int = 0  # of the scheduled tick that counts; earlier ones are void
    socket_queue: list[tuple[str, bytes]] = field(default_factory=list)  # received while stalled
    stalled_steps: list[Callable[[], None]] = field(default_factory=list)  # its tasks'

    @property
    def running_core(self) -> Participant:
        """Return the participant of a running process; RuntimeError if it does not run."""
        if self.core is None:
            raise RuntimeError(f"member {self.name} is not running")
        return self.core

    def local(self, now: float) -> float:
        """Return what its monotonic clock shows at a time of the timeline."""
        return (now - self.origin) * self.rate

    def real(self, local: float) -> float:
        """Return the time of the timeline at which its monotonic clock shows `local`."""
        return self.origin + local / self.rate
