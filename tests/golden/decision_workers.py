"""Workers of the simulated platform, and the attempts that they hold."""

from dataclasses import dataclass, field

NO_CLASS = -1


@dataclass
class SimulatedWorker:
    """A worker, the attempts that it holds, and what is wrong with it."""

    entry: dict  # as discovery lists it
    slots: float
    run_time_factor: float = 1.0
    error_fraction: float = 0.0
    reachable: bool = True
    loses: int = NO_CLASS  # the class whose jobs it takes and never begins
    queue: list["SimulatedAttempt"] = field(default_factory=list)
    running: list["SimulatedAttempt"] = field(default_factory=list)

    @property
    def free_slots(self) -> float:
        """The slots that no running attempt takes."""
        return self.slots - sum(attempt.job["slots"] for attempt in self.running)

    def recover(self) -> None:
        """Become as fast and as reachable as a usual worker."""
        self.run_time_factor = 1.0
        self.loses = NO_CLASS
        self.reachable = True


@dataclass
class SimulatedAttempt:
    """One attempt of a job."""

    job: dict
    number: int
    worker: SimulatedWorker
    sent_us: int
    ended: bool = False
