"""Plain lines on standard error, at a bounded rate where peers can cause them."""

import sys
import threading
import time

from stepstream.config.limits import Limits


def log(text: str) -> None:
    """One line on standard error; docs/oncall.md explains each."""
    sys.stderr.write(f"stepstream: {text}\n")
    sys.stderr.flush()


class LogRateLimit:
    """A flood of bad input must not flood the log. Seconds passed in."""

    def __init__(self, most: int, period: float) -> None:
        self.lines_per_period, self.period_seconds = most, period
        self.since, self.lines, self.suppressed_count = -period, 0, 0

    def line_suffix(self, now: float) -> str | None:
        """None: say nothing; else what to add to the line (those held back before it)."""
        if now - self.since >= self.period_seconds:
            self.since, self.lines = now, 0
        if self.lines >= self.lines_per_period:
            self.suppressed_count += 1
            return None
        self.lines += 1
        held, self.suppressed_count = self.suppressed_count, 0
        return f" ({held} more such not logged)" if held else ""


class RateLimitedLogger:
    """What cannot be read of one sort of input: counted, and logged at a bounded rate. Any thread."""

    def __init__(self, what: str, limits: Limits) -> None:
        """`what` begins each line."""
        self.prefix, self.count, self.lock = what, 0, threading.Lock()
        self.rate_limit = LogRateLimit(
            limits.logging.lines_per_period, limits.logging.period_seconds
        )

    def add(self, text: str) -> None:
        with self.lock:
            self.count += 1
            more = self.rate_limit.line_suffix(time.monotonic())
        if more is not None:
            log(f"{self.prefix} {text}{more}")
