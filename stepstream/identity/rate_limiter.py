"""Rate limiting of callers and of audit lines: token buckets and open requests; free of I/O.

The objects have no lock; their owner lets one thread at a time use them.
"""

from dataclasses import dataclass
from enum import Enum

# Nothing tells when a caller without a rate limit ends one of its open requests.
OPEN_REQUESTS_RETRY_SECONDS = 1.0


class Limit(Enum):
    """A limit of a caller. The values are the reasons for the peer and the audit line."""

    OPEN_REQUESTS = "too_many_open"
    RATE = "over_rate"


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """Why a request is rejected for now, and in how many seconds a retry may succeed."""

    limit: Limit
    retry_after_seconds: float


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; times in seconds of the owner's clock.

    Rate and burst are passed with each call: a reload may change them while the level stays.
    """

    level: float  # tokens
    refilled_at: float

    def try_take(self, now: float, rate_per_second: float, burst: float) -> bool:
        """Take one token; return False if there is none.

        The bucket earns `rate_per_second` tokens up to `burst`, so that a flood is bounded while a
        short burst passes. A clock that steps back earns nothing.
        """
        earned = max(now - self.refilled_at, 0.0) * rate_per_second
        self.level = min(self.level + earned, burst)
        self.refilled_at = max(now, self.refilled_at)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def seconds_until_token(self, rate_per_second: float) -> float:
        """Return how many seconds after the last `try_take` there is a token."""
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

        A rate or a bound of 0 is none. Open requests come first: a request that they reject takes
        no token. Without these limits one caller could take all open requests of the dispatcher.
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
        """Count one open request less."""
        self.open_requests = max(self.open_requests - 1, 0)
