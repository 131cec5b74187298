"""Simulate the process of one member that uses leases: its clocks and its participant.

A `LeaseCluster` owns the processes; only the thread that runs its timeline may touch them.
"""

from dataclasses import dataclass, field

from stepstream.lab.simulation.cluster import SimulatedProcess
from stepstream.lab.simulation.errors import NotRunningError
from stepstream.lab.simulation.timeline import Step
from stepstream.leases.participant import Participant


@dataclass(eq=False)
class LeaseProcess(SimulatedProcess):
    """The simulated process of one member.

    Attributes:
        clock_rate: seconds of its monotonic clock per second of the timeline.
        clock_offset_seconds: by how much its time of day is ahead of the timeline's.
        clock_origin: the time of the timeline at which its monotonic clock showed zero.
        participant: the program's own; None while the process does not run.
        starts: how often the process was started.
        stalled_steps: steps of its tasks that came due during a stall.

    """

    clock_rate: float = 1.0
    clock_offset_seconds: float = 0.0
    clock_origin: float = 0.0
    participant: Participant | None = None
    starts: int = 0
    stalled_steps: list[Step] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process exists; true for a stalled process as well."""
        return self.participant is not None

    @property
    def running_participant(self) -> Participant:
        """The participant of a running process; NotRunningError if it does not run."""
        if self.participant is None:
            raise NotRunningError(self.name)
        return self.participant

    def discard_state(self) -> None:
        """Drop the participant: all leases and promises of the process."""
        self.participant = None

    def to_local_time(self, now: float) -> float:
        """Return what its monotonic clock shows at a time of the timeline."""
        return (now - self.clock_origin) * self.clock_rate

    def to_timeline(self, local_time: float) -> float:
        """Return the time of the timeline at which its monotonic clock shows `local_time`."""
        return self.clock_origin + local_time / self.clock_rate
