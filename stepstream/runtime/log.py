"""Plain log lines on standard error, rate-limited where peers can cause them."""

import sys
import threading
import time

from stepstream.config.limits import Limits


def log(text: str) -> None:
    """Write one line; docs/oncall.md explains each."""
    sys.stderr.write(f"stepstream: {text}\n")
    sys.stderr.flush()


class LogRateLimit:
    """At most so many lines a period, and a count of those suppressed; not locked.

    Guards the log against a flood of bad input. Times are seconds on any clock that only moves
    forward, which the caller passes in.
    """

    def __init__(self, lines_per_period: int, period_seconds: float) -> None:
        self.lines_per_period = lines_per_period
        self.period_seconds = period_seconds
        self.period_started_at = -period_seconds  # the first line begins a period
        self.line_count = 0  # of this period
        self.suppressed_count = 0  # since the last line that was allowed

    def line_suffix(self, now: float) -> str | None:
        """Count a line; give what it says of those suppressed before it, or None to suppress it."""
        if now - self.period_started_at >= self.period_seconds:
            self.period_started_at = now
            self.line_count = 0
        if self.line_count >= self.lines_per_period:
            self.suppressed_count += 1
            return None
        self.line_count += 1
        suppressed = self.suppressed_count
        self.suppressed_count = 0
        return f" ({suppressed} more such not logged)" if suppressed else ""


class RateLimitedLogger:
    """Counts what cannot be read of one sort of input, and logs it at a bounded rate; any thread.

    `prefix` begins each line.
    """

    def __init__(self, prefix: str, limits: Limits) -> None:
        self.prefix = prefix
        self.count = 0
        self.lock = threading.Lock()  # guards the count and the rate limit
        self.rate_limit = LogRateLimit(
            limits.logging.lines_per_period, limits.logging.period_seconds
        )

    def add(self, text: str) -> None:
        """Count one more, and log it unless there were too many of late."""
        with self.lock:
            self.count += 1
            suffix = self.rate_limit.line_suffix(time.monotonic())
        if suffix is not None:
            log(f"{self.prefix} {text}{suffix}")
