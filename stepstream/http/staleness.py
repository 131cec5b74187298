"""Detect from refused connections that the endpoint list may be stale.

A watch that has fallen silent looks like a list without changes until its wait is over, up to a
minute where many dispatchers share one discovery service. Meanwhile workers that the list calls
active have ended, and their machines refuse connections. One refusal is a crash that the list will
report a little later; several that stay unreported suggest that the watch no longer delivers.

The detector does no I/O and reads no clock: times are monotonic seconds passed in. It has no lock
of its own; `DestinationSet` calls it under its lock.
"""

import random
from dataclasses import dataclass, field
from math import inf

# Workers that must refuse before the list is checked. One alone is a crash that the list will still
# report: with 1, every crash would cost discovery an extra call.
MIN_REFUSING_WORKERS = 2
# The list reports a crash with about this delay. A check made sooner would be answered before the
# crash is listed, and prove nothing.
NOTIFICATION_DELAY_SECONDS = 2.0
# All dispatchers see a crash at the same time, and discovery answers one call after another: the
# check is delayed by a random part of this for each other dispatcher, ...
SPREAD_PER_DISPATCHER_SECONDS = 0.05
# ... and by no more than this in all, or a large fleet would learn of a broken watch too late.
MAX_SPREAD_SECONDS = 10.0
# Between two checks. A list that has just been checked and still calls the workers active is
# believed.
CHECK_INTERVAL_SECONDS = 15.0
# Refusing workers remembered at a time; further ones change nothing and are ignored. Bounds the
# memory.
MAX_REMEMBERED_WORKERS = 256


@dataclass
class StalenessDetector:
    """Workers that refuse although listed as active, and when to check the list because of them.

    `dispatcher_count` is the number of dispatchers that call the same discovery service; `rng`
    yields the random part of the delay. The main thread may replace `dispatcher_count` at any time.
    """

    dispatcher_count: int
    rng: random.Random
    # by worker: the time of its first refusal since it was last listed or reached
    first_refusal_seconds: dict[str, float] = field(default_factory=dict)
    check_due_seconds: float = inf  # the next check; infinite while too few workers refuse
    last_check_seconds: float = -inf

    def record_refusal(self, worker: str, now_seconds: float) -> None:
        """Record that a worker listed as active refuses connections.

        The refusal that makes enough workers schedules a check.
        """
        if (
            worker in self.first_refusal_seconds
            or len(self.first_refusal_seconds) >= MAX_REMEMBERED_WORKERS
        ):
            return
        self.first_refusal_seconds[worker] = now_seconds
        if len(self.first_refusal_seconds) == MIN_REFUSING_WORKERS:
            spread = min(
                SPREAD_PER_DISPATCHER_SECONDS * (self.dispatcher_count - 1), MAX_SPREAD_SECONDS
            )
            self.check_due_seconds = (
                max(now_seconds, self.last_check_seconds + CHECK_INTERVAL_SECONDS)
                + NOTIFICATION_DELAY_SECONDS
                + self.rng.uniform(0.0, spread)
            )

    def record_connect(self, worker: str) -> None:
        """Record that a worker accepts connections."""
        if self.first_refusal_seconds.pop(worker, None) is not None:
            self.cancel_check_if_few_refuse()

    def record_listed(self, workers: set[str] | None) -> None:
        """Record that discovery reported on these workers, or on all of them (None)."""
        if workers is None:
            self.first_refusal_seconds.clear()
        else:
            for worker in workers & self.first_refusal_seconds.keys():
                del self.first_refusal_seconds[worker]
        self.cancel_check_if_few_refuse()

    def cancel_check_if_few_refuse(self) -> None:
        """Drop a scheduled check once too few workers refuse."""
        if len(self.first_refusal_seconds) < MIN_REFUSING_WORKERS:
            self.check_due_seconds = inf

    def claim_check(self, now_seconds: float) -> bool:
        """Return whether the list is to be checked now, and count the check as made.

        True at most once for each scheduled check; the next one is CHECK_INTERVAL_SECONDS away at
        least.
        """
        if now_seconds < self.check_due_seconds:
            return False
        self.first_refusal_seconds.clear()
        self.check_due_seconds = inf
        self.last_check_seconds = now_seconds
        return True
