"""Records of workers: load, cap, health and slow start as one dispatcher has seen them.

The policy's state owns the records; only the decision thread touches them.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf
from zlib import crc32

from stepstream.model.endpoints import Endpoint
from stepstream.model.pools import Pool

# Bounds of the estimate of the load reports' lag, see `model.load_report_lag`.
MAX_REPORT_LAG_US = 300_000
MAX_REPORT_INTERVAL_US = 2_000_000
BUSY_HISTORY_US = MAX_REPORT_INTERVAL_US + MAX_REPORT_LAG_US


# A change of the slots of our unfinished attempts on a worker: its time in microseconds, and the
# slots. A plain tuple, as each attempt makes two of them.
BusyChange = tuple[int, float]


@dataclass(eq=False, slots=True)
class ClassEjection:
    """The ejection of one job class from a worker that did not start earlier jobs of it."""

    ejection_time_us: int = 0
    next_probation_us: int = 0  # when the next probation attempt may be sent
    ejected_at_us: int = 0  # when it was last ejected; earlier attempts do not extend it


@dataclass(eq=False, slots=True)
class Worker:
    """What one dispatcher knows of one worker process."""

    endpoint: Endpoint
    slow_start_ends_us: int  # when the worker has warmed up
    last_attempt_us: float  # our last attempt on it, or when we learned that it had started
    pool: Pool
    slow_start_window_ends_us: float = -inf  # end of the window that `admitted_in_window` is for
    admitted_in_window: bool = False  # whether it may get one attempt within that window
    current_weight: float = 0.0  # of smooth weighted round robin
    busy_slots: float = 0.0  # slots of our unfinished attempts
    running_slots: float = 0.0  # the busy slots whose attempts have started
    cap: float | None = None  # slots that it may be loaded with; None: not known yet
    headroom: float = 0.0  # free slots when last measured, less our own changes since
    headroom_at_us: float = -inf  # when the headroom was measured
    last_report_us: float = -inf
    last_report_headroom: float = 0.0  # free slots less queued jobs, as reported
    busy_history: deque[BusyChange] = field(default_factory=deque)  # of the last BUSY_HISTORY_US
    refused_at_us: float = -inf  # when its machine last refused a connection
    failure_rate: float = 0.0  # running mean of recent outcomes
    slowness: float = 0.0  # mean logarithm of the ratio of its ended runs to the usual run time
    slowness_with_open_runs: float = 0.0
    ejection_time_us: int = 0  # above 0: ejected from its pool until a probation attempt succeeds
    # When the next probation attempt may be sent. A worker that is not ejected can be ejected for
    # failures only from this time on.
    next_probation_us: int = 0
    class_ejections: dict[int, ClassEjection] = field(default_factory=dict)  # by class
    id_hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.id_hash = crc32(self.endpoint.worker_id.encode())

    def change_busy_slots(self, now_us: int, slots: float) -> None:
        """Add to the slots of our unfinished attempts on it, and take them off its headroom."""
        self.busy_slots += slots
        self.busy_history.append((now_us, slots))
        while self.busy_history[0][0] < now_us - BUSY_HISTORY_US:
            self.busy_history.popleft()
        self.headroom -= slots

    def reclassify_ejections(self, old_names: tuple[str, ...], new_names: tuple[str, ...]) -> None:
        """Replace the ejected classes' indexes by those of new settings; drop removed classes."""
        self.class_ejections = {
            new_names.index(old_names[job_class]): ejection
            for job_class, ejection in self.class_ejections.items()
            if old_names[job_class] in new_names
        }
