"""The one clock."""

import time


class Clock:
    """System time at start plus the monotonic clock: workers' start times compare, and it never goes back."""

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self.base_ns + time.monotonic_ns()) // 1000
