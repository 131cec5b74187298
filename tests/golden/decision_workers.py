"""Workers of the simulated platform, and the attempts that they hold."""

from dataclasses import dataclass, field

NO_CLASS = -1


@dataclass
class SimulatedWorker:
    """A worker with its attempts and its faults."""

    entry: dict  # the worker's entry in discovery's list, as plain data
    slots: float
    run_time_factor: float = 1.0
    error_fraction: float = 0.0
    reachable: bool = True
    lost_class: int = NO_CLASS  # the class of the jobs that the worker accepts and never begins
    queue: list["SimulatedAttempt"] = field(default_factory=list)
    running: list["SimulatedAttempt"] = field(default_factory=list)

    @property
    def free_slots(self) -> float:
        """Return the slots that no running attempt takes."""
        return self.slots - sum(attempt.job["slots"] for attempt in self.running)

    def recover(self) -> None:
        """Return to the usual speed, be reachable and lose no jobs."""
        self.run_time_factor = 1.0
        self.lost_class = NO_CLASS
        self.reachable = True


@dataclass
class SimulatedAttempt:
    """One attempt of a job."""

    job: dict
    number: int
    worker: SimulatedWorker
    sent_us: int
    ended: bool = False
