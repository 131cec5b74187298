"""Rate limiting of callers and of audit lines: token buckets and open requests; free of I/O.

The objects have no lock; whoever owns one makes sure that one thread at a time uses it.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; times in seconds of the owner's clock.

    Rate and burst come with each call, as a reload may change them while the level stays.
    """

    level: float
    refilled_at: float

    def try_take(self, now: float, rate_per_second: float, burst: float) -> bool:
        """Take one token if there is one. A clock that steps back earns nothing."""
        earned = max(now - self.refilled_at, 0.0) * rate_per_second
        self.level = min(self.level + earned, burst)
        self.refilled_at = max(now, self.refilled_at)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def seconds_until_token(self, rate_per_second: float) -> float:
        """Return how long after the last call of `try_take` there is a token."""
        return (1.0 - self.level) / rate_per_second


@dataclass(slots=True)
class RateLimiter:
    """What a caller has used of its limits."""

    bucket: TokenBucket
    open_requests: int = 0

    def close_request(self) -> None:
        """Count one open request less."""
        self.open_requests = max(self.open_requests - 1, 0)
