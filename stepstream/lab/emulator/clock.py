"""Units of time, and the clock that emulated workers, discovery and clients share."""

import time

NS_PER_US = 1000
US_PER_MS = 1000
US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000


class Clock:
    """Unix time in microseconds that never goes back."""

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the present Unix time."""
        return (self.base_ns + time.monotonic_ns()) // NS_PER_US
