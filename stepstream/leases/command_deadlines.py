"""When `stepstream lease run` calls the dispatcher and ends its command. Free of I/O and of state.

The command must be gone before the lease can be another holder's, even if the dispatcher dies,
stalls or cannot be reached. All times are seconds of the machine's boot-time clock.
"""

KILL_MARGIN_SECONDS = 0.3  # a process may end some time after SIGKILL
MIN_TERM_TO_KILL_SECONDS = 0.2
TERM_MARGIN_FRACTION_OF_TTL = 1 / 4
HEARTBEATS_PER_TTL = 6
ACQUIRE_CALLS_PER_TTL = 20
MAX_ACQUIRE_INTERVAL_SECONDS = 0.25
MAX_CALL_SECONDS = 2.0
MAX_CALL_FRACTION_OF_TTL = 1 / 4
MIN_CALL_SECONDS = 0.05


def term_margin_seconds(ttl_seconds: float) -> float:
    """Return the time from SIGTERM to the lease's end, in which the command can end by itself."""
    return max(
        ttl_seconds * TERM_MARGIN_FRACTION_OF_TTL, KILL_MARGIN_SECONDS + MIN_TERM_TO_KILL_SECONDS
    )


def is_term_due(now: float, expires_at: float, term_seconds: float) -> bool:
    """Return whether the command gets SIGTERM: the lease was not renewed in time."""
    return now >= expires_at - term_seconds


def is_kill_due(now: float, expires_at: float) -> bool:
    """Return whether the command gets SIGKILL: it ignores SIGTERM and the lease ends."""
    return now >= expires_at - KILL_MARGIN_SECONDS


def has_time_to_run(now: float, expires_at: float, term_seconds: float) -> bool:
    """Return whether a command may start: the lease's end is further away than SIGTERM's margin."""
    return expires_at - now > term_seconds


def exclusive_seconds(remaining_seconds: float, max_clock_drift: float) -> float:
    """Return the time on this program's clock in which nobody else can hold the lease.

    `remaining_seconds` is the dispatcher's answer, on the dispatcher's clock. The result is the
    worst case within the drift bound: this program's clock is slow and the dispatcher's is fast.
    """
    return remaining_seconds * (1 - max_clock_drift) / (1 + max_clock_drift)


def acquire_interval_seconds(ttl_seconds: float) -> float:
    """Return the time between two calls while the program waits for the lease."""
    return min(ttl_seconds / ACQUIRE_CALLS_PER_TTL, MAX_ACQUIRE_INTERVAL_SECONDS)


def call_timeout_seconds(ttl_seconds: float, until_term_seconds: float | None) -> float:
    """Return the bound on a call to the dispatcher.

    `until_term_seconds` is the time until the command gets SIGTERM, None before it runs. A call
    must not delay this program beyond the time at which it has to end the command.
    """
    longest_seconds = min(ttl_seconds * MAX_CALL_FRACTION_OF_TTL, MAX_CALL_SECONDS)
    if until_term_seconds is None:
        return longest_seconds
    return min(longest_seconds, max(until_term_seconds, MIN_CALL_SECONDS))
