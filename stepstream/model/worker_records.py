"""Records of workers: load, cap, health and slow start as one dispatcher has seen them.

The policy's state owns the records; only the decision thread touches them.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf
from zlib import crc32

from stepstream.model.ejections import ClassEjection
from stepstream.model.endpoints import Endpoint
from stepstream.model.pools import Pool

LONGEST_REPORT_LAG_US = 300_000  # the longest lag of load reports that is considered
LONGEST_REPORT_INTERVAL_US = 2_000_000  # between two load reports that are compared
BUSY_HISTORY_US = LONGEST_REPORT_INTERVAL_US + LONGEST_REPORT_LAG_US
HEADROOM_VALID_US = 2_000_000  # an older load report tells nothing
ANY_CLASS = -1  # in place of a class, where a question is of a worker as a whole


# A change of the slots of our unfinished attempts on a worker: its time in microseconds, and the
# slots. A plain tuple, as each attempt makes two of them.
BusyChange = tuple[int, float]


@dataclass(eq=False, slots=True)
class Worker:
    """What one dispatcher knows of one worker process."""

    endpoint: Endpoint
    slow_start_ends_us: int  # from here on it has surely warmed up
    last_attempt_us: float  # our last attempt on it, or when we learned of its start
    pool: Pool
    slow_start_window_ends_us: float = -inf  # of the window for which admission was drawn
    admitted_in_window: bool = False  # whether one attempt may go to it within that window
    current_weight: float = 0.0  # smooth weighted round robin: the largest is next
    busy_slots: float = 0.0  # slots of our unfinished attempts
    running_slots: float = 0.0  # of these, that have started
    cap: float | None = None  # slots that it may be loaded with; None: not learned yet
    headroom: float = 0.0  # by its last load report, kept up with our own changes since
    headroom_at_us: float = -inf  # the time of that report, or of other news of its headroom
    last_report_us: float = -inf
    last_report_headroom: float = 0.0  # free slots less queued jobs, as reported
    busy_history: deque[BusyChange] = field(default_factory=deque)  # for BUSY_HISTORY_US
    failure_rate: float = 0.0  # running mean of recent outcomes
    slowness: float = 0.0  # mean logarithm of how much longer than usual its ended runs took
    slowness_with_open_runs: float = 0.0
    ejection_time_us: int = 0  # above 0: ejected from its pool until a probation attempt succeeds
    next_probation_us: int = 0  # when the next probation attempt may be sent
    class_ejections: dict[int, ClassEjection] = field(default_factory=dict)  # by class
    id_hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.id_hash = crc32(self.endpoint.worker_id.encode())

    def has_valid_headroom(self, now_us: int) -> bool:
        """Return whether its headroom is known and recent enough to go by."""
        return now_us - self.headroom_at_us <= HEADROOM_VALID_US

    def accepts(self, job_class: int, now_us: int) -> bool:
        """Return whether it is not ejected, or due for probation, for the class."""
        ejection = self.class_ejections.get(job_class)
        return (ejection is None or now_us >= ejection.next_probation_us) and (
            not self.ejection_time_us or now_us >= self.next_probation_us
        )

    def eject(self, ejection_time_us: int, now_us: int) -> None:
        """Keep jobs away until a probation attempt, sent after this time, succeeds."""
        self.ejection_time_us = ejection_time_us
        self.next_probation_us = now_us + ejection_time_us

    def eject_class(self, job_class: int, attempt_sent_us: int, now_us: int) -> None:
        """Keep the class away from this worker, which lost an attempt sent then."""
        ejection = self.class_ejections.setdefault(job_class, ClassEjection())
        ejection.extend(attempt_sent_us, now_us)

    def record_attempt(self, job_class: int, now_us: int) -> None:
        """Note an attempt: one at a time on probation, and one for each slow-start admission."""
        self.last_attempt_us = now_us
        self.admitted_in_window = False
        if self.ejection_time_us:
            self.next_probation_us = now_us + self.ejection_time_us
        if job_class in self.class_ejections:
            self.class_ejections[job_class].begin_probation(now_us)

    def record_start(self, job_class: int) -> None:
        """Note that it has started a job of the class: an ejection of the class is shortened."""
        ejection = self.class_ejections.get(job_class)
        if ejection is not None and ejection.shorten():
            del self.class_ejections[job_class]

    def change_busy(self, now_us: int, slots: float) -> None:
        """Change the slots of our unfinished attempts on it, and its headroom with them."""
        self.busy_slots += slots
        self.busy_history.append((now_us, slots))
        while self.busy_history[0][0] < now_us - BUSY_HISTORY_US:
            self.busy_history.popleft()
        self.headroom -= slots


def accepting_workers(workers: list[Worker], job_class: int, now_us: int) -> list[Worker]:
    """Return the workers that accept the class; few are ejected, so most need no closer look."""
    return [
        worker
        for worker in workers
        if not (worker.ejection_time_us or worker.class_ejections)
        or worker.accepts(job_class, now_us)
    ]
