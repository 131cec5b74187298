"""Rate limiting of callers and of audit lines: token buckets and open requests; free of I/O.

The objects have no lock; their owner lets one thread at a time use them.
"""

from dataclasses import dataclass
from enum import Enum

# For a caller without a rate limit: it is unknown when one of its open requests ends.
OPEN_REQUESTS_RETRY_SECONDS = 1.0


class Limit(Enum):
    """A limit of a caller. The values are the reasons for the peer and the audit line."""

    OPEN_REQUESTS = "too_many_open"
    RATE = "over_rate"


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The limit that rejects a request, and in how many seconds a retry may succeed."""

    limit: Limit
    retry_after_seconds: float


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; times in seconds of the owner's clock.

    Rate and burst are arguments of each call: a reload may change them and keeps the level.
    """

    level: float  # tokens
    refilled_at: float

    def try_take(self, now: float, rate_per_second: float, burst: float) -> bool:
        """Take one token; return False if there is none.

        The bucket is refilled at `rate_per_second` up to `burst` tokens: a flood is bounded, and a
        short burst passes. A clock that steps back adds no tokens.
        """
        added = max(now - self.refilled_at, 0.0) * rate_per_second
        self.level = min(self.level + added, burst)
        self.refilled_at = max(now, self.refilled_at)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def seconds_until_token(self, rate_per_second: float) -> float:
        """Return how many seconds after the last `try_take` a token is available."""
        return (1.0 - self.level) / rate_per_second


@dataclass(slots=True)
class RateLimiter:
    """What a caller has used of its limits."""

    bucket: TokenBucket
    open_requests: int = 0

    def try_open(
        self, now: float, rate_per_second: float, burst: int, max_open_requests: int
    ) -> LimitExceeded | None:
        """Count one more open request, or return the limit that rejects it.

        A rate or a maximum of 0 means no limit. The open requests are checked first: a request over
        their maximum takes no token. Without these limits one caller could use up all open requests
        that the dispatcher allows.
        """
        if max_open_requests and self.open_requests >= max_open_requests:
            has_rate = rate_per_second > 0
            retry_after_seconds = 1 / rate_per_second if has_rate else OPEN_REQUESTS_RETRY_SECONDS
            return LimitExceeded(Limit.OPEN_REQUESTS, retry_after_seconds)
        if rate_per_second and not self.bucket.try_take(now, rate_per_second, float(burst)):
            return LimitExceeded(Limit.RATE, self.bucket.seconds_until_token(rate_per_second))
        self.open_requests += 1
        return None

    def close_request(self) -> None:
        """Count one open request fewer."""
        self.open_requests = max(self.open_requests - 1, 0)
