"""Detect from refused connections that the endpoint list may be stale.

Until its wait is over, a silent watch looks like a list without changes. With many dispatchers the
wait is up to a minute. Meanwhile workers that the list shows as active may have ended, and their
machines refuse connections. One refusal is usually a crash that the list will report soon. Several
refusals that the list does not report suggest that the watch no longer delivers.

The detector does no I/O and reads no clock: times are monotonic seconds, passed in. It has no lock
of its own; `DestinationSet` calls it under its lock.
"""

import random
from dataclasses import dataclass, field
from math import inf

# With 1, every crash of a worker would cost discovery an extra call.
MIN_REFUSING_WORKERS = 2
# The list reports a crash with about this delay. An earlier check would not show the crash yet.
CRASH_REPORT_DELAY_SECONDS = 2.0
# All dispatchers notice a crash at the same time, and discovery answers one call after another.
CHECK_SPREAD_PER_DISPATCHER_SECONDS = 0.05
MAX_CHECK_SPREAD_SECONDS = 10.0
MIN_CHECK_INTERVAL_SECONDS = 15.0
MAX_REMEMBERED_WORKERS = 256  # bounds the memory; refusals of further workers are ignored


@dataclass
class StalenessDetector:
    """The active workers that refuse connections, and the time of the next check of the list.

    `dispatcher_count` is the number of dispatchers that call the same discovery service. `rng`
    yields the random part of the delay. The main thread may replace `dispatcher_count` at any time.
    """

    dispatcher_count: int
    rng: random.Random
    # By worker: the time of its first refusal since a list last had it or it accepted a connection.
    first_refusal_seconds: dict[str, float] = field(default_factory=dict)
    check_due_seconds: float = inf  # infinite: no check is scheduled
    last_check_seconds: float = -inf

    def record_refusal(self, worker: str, now_seconds: float) -> None:
        """Record that a worker listed as active refuses connections.

        Once MIN_REFUSING_WORKERS workers refuse, a check is scheduled.
        """
        is_known = worker in self.first_refusal_seconds
        if is_known or len(self.first_refusal_seconds) >= MAX_REMEMBERED_WORKERS:
            return
        self.first_refusal_seconds[worker] = now_seconds
        if len(self.first_refusal_seconds) == MIN_REFUSING_WORKERS:
            earliest_seconds = earliest_check_seconds(now_seconds, self.last_check_seconds)
            spread_seconds = check_spread_seconds(self.dispatcher_count)
            self.check_due_seconds = earliest_seconds + self.rng.uniform(0.0, spread_seconds)

    def record_connect(self, worker: str) -> None:
        """Record that a worker accepts connections."""
        if self.first_refusal_seconds.pop(worker, None) is not None:
            self.cancel_check_if_few_refuse()

    def record_listed(self, workers: set[str] | None) -> None:
        """Record that a list of discovery has these workers; None: a complete list."""
        if workers is None:
            self.first_refusal_seconds.clear()
        else:
            for worker in workers & self.first_refusal_seconds.keys():
                del self.first_refusal_seconds[worker]
        self.cancel_check_if_few_refuse()

    def cancel_check_if_few_refuse(self) -> None:
        """Cancel a scheduled check if fewer than MIN_REFUSING_WORKERS refuse."""
        if len(self.first_refusal_seconds) < MIN_REFUSING_WORKERS:
            self.check_due_seconds = inf

    def claim_check(self, now_seconds: float) -> bool:
        """Return whether the list must be checked now, and count the check as made.

        Returns True at most once for each scheduled check. The next check follows at least
        MIN_CHECK_INTERVAL_SECONDS later.
        """
        if now_seconds < self.check_due_seconds:
            return False
        self.first_refusal_seconds.clear()
        self.check_due_seconds = inf
        self.last_check_seconds = now_seconds
        return True


def earliest_check_seconds(now_seconds: float, last_check_seconds: float) -> float:
    """Decide from when on the list may be checked, if enough workers refuse at `now_seconds`.

    The list first gets time to report the crash of these workers. A check also does not follow soon
    after another one: if a list that was just checked shows workers as active, they are active.
    """
    refusals_count_from = max(now_seconds, last_check_seconds + MIN_CHECK_INTERVAL_SECONDS)
    return refusals_count_from + CRASH_REPORT_DELAY_SECONDS


def check_spread_seconds(dispatcher_count: int) -> float:
    """Decide the longest random delay of a check.

    The delay keeps the dispatchers of a fleet from calling discovery at the same time.
    """
    other_dispatchers = dispatcher_count - 1
    return min(CHECK_SPREAD_PER_DISPATCHER_SECONDS * other_dispatchers, MAX_CHECK_SPREAD_SECONDS)
