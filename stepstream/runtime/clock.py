"""The one clock of a dispatcher."""

import time


class Clock:
    """System time at the start, carried on by the monotonic clock; any thread may read it.

    Workers' start times, which are system times, compare with it, and it never goes back.
    """

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Give the time in microseconds since 1970."""
        return (self.base_ns + time.monotonic_ns()) // 1000
