"""The clock of a dispatcher."""

import time


class Clock:
    """The system time at the start plus the monotonic time since then; any thread may read it.

    It never goes back. It can be compared with workers' start times, which are system times.
    """

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return Unix time in microseconds, which never decreases."""
        return (self.base_ns + time.monotonic_ns()) // 1000
