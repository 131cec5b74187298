"""Plain log lines on standard error, one per event, rate-limited where peers can cause them.

A line is `stepstream: SEVERITY EVENT field=value ...`. `runtime.log_events` defines the events;
only that module calls `write_event`.
"""

import sys
import threading
import time
from enum import StrEnum
from typing import Protocol

import ujson

from stepstream.config.limits import Limits

QUOTED_CHARACTERS = frozenset(' "=\\')
DECIMALS = 3  # of a logged floating-point number


class Severity(StrEnum):
    """How much an event matters to on-call staff."""

    INFO = "info"  # nothing to do
    WARNING = "warning"  # look at it if it repeats
    ERROR = "error"  # somebody has to act


def write_event(severity: Severity, event: str, **fields: object) -> None:
    """Write one line of an event with its fields, in their order."""
    parts = [f"stepstream: {severity.value} {event}"]
    parts.extend(f"{name}={format_value(value)}" for name, value in fields.items())
    sys.stderr.write(" ".join(parts) + "\n")
    sys.stderr.flush()


def format_value(value: object) -> str:
    """Return a field's value; text that is empty or not one plain word becomes a JSON string."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(round(value, DECIMALS))
    text = str(value)
    if text and text.isprintable() and QUOTED_CHARACTERS.isdisjoint(text):
        return text
    return ujson.dumps(text, escape_forward_slashes=False)


class LogRateLimit:
    """Limits the log lines per period and counts the suppressed ones; not thread-safe.

    Guards the log against a flood of bad input. The caller passes the time, in seconds on any clock
    that never goes back.
    """

    def __init__(self, lines_per_period: int, period_seconds: float) -> None:
        self.lines_per_period = lines_per_period
        self.period_seconds = period_seconds
        self.period_started_at = -period_seconds  # so that the first line begins a period
        self.line_count = 0  # of this period
        self.suppressed_count = 0  # since the last line that was allowed

    def admit_line(self, now: float) -> int | None:
        """Count a line; return how many were suppressed before it, or None to suppress it."""
        if now - self.period_started_at >= self.period_seconds:
            self.period_started_at = now
            self.line_count = 0
        if self.line_count >= self.lines_per_period:
            self.suppressed_count += 1
            return None
        self.line_count += 1
        suppressed = self.suppressed_count
        self.suppressed_count = 0
        return suppressed


class RateLimitedEvent(Protocol):
    """An event of `log_events` that bad input can cause at any rate."""

    def __call__(self, *, reason: str, suppressed_events: int) -> None:
        """Write the line; `suppressed_events` events were left out since the previous line."""


class RateLimitedLogger:
    """Counts bad input of one kind and logs its event at a limited rate; any thread may use it.

    `event` is a function of `log_events`. `limits` holds the rate (10 lines in 10 s). `max_lines`
    replaces its number of lines if given.
    """

    def __init__(
        self, event: RateLimitedEvent, limits: Limits, max_lines: int | None = None
    ) -> None:
        self.event = event
        self.count = 0
        self.lock = threading.Lock()  # guards the count and the rate limit
        lines_per_period = limits.logging.lines_per_period if max_lines is None else max_lines
        self.rate_limit = LogRateLimit(lines_per_period, limits.logging.period_seconds)

    def add(self, reason: str) -> None:
        """Count one occurrence, and log it unless the rate limit is reached."""
        with self.lock:
            self.count += 1
            suppressed = self.rate_limit.admit_line(time.monotonic())
        if suppressed is not None:
            self.event(reason=reason, suppressed_events=suppressed)
