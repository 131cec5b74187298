"""The audit log: who requested what, the decision and its reason.

Tokens, key material and request bodies are never written. Lines of denials are rate-limited: a
flood of forged tokens must not fill the log. Suppressed lines are counted, and the next line states
their number. An `AuditLog` owns that count and the token bucket. Writers hold the access control's
lock.
"""

import sys
import time
from collections.abc import Callable
from typing import TextIO

from stepstream.identity.permissions import Decision, Verdict
from stepstream.identity.rate_limiter import TokenBucket
from stepstream.runtime import log_events
from stepstream.runtime.structured_log import LogFormat, structured_logger

MAX_FIELD_LENGTH = 128  # in characters; a peer may have chosen the field's content


class AuditLog:
    """Writes decisions as structured log lines.

    `include_allowed`: whether admissions are written too. At most `max_denials_per_second` other
    decisions are written per second. `now` returns monotonic seconds.
    """

    def __init__(
        self,
        log_format: LogFormat,
        max_denials_per_second: int,
        *,
        include_allowed: bool,
        stream: TextIO = sys.stderr,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.logger = structured_logger(log_format, stream)
        self.include_allowed = include_allowed
        self.max_denials_per_second = max_denials_per_second
        self.now = now
        self.bucket = TokenBucket(float(max_denials_per_second), now())
        self.suppressed_count = 0  # denials not written since the last written one

    def should_record(self, decision: Decision) -> bool:
        """Return whether a decision is to be written; the rate limit may still suppress it."""
        return self.include_allowed or decision.verdict is not Verdict.ALLOWED

    def record(
        self, front: str, operation: str, decision: Decision, subject: str = "", key_id: str = ""
    ) -> None:
        """Write a decision if it is to be recorded and within the rate limit."""
        if not self.should_record(decision):
            return
        if decision.verdict is Verdict.ALLOWED:
            self._write(front, operation, decision, subject, key_id)
            return
        rate_per_second = self.max_denials_per_second
        if not self.bucket.try_take(self.now(), rate_per_second, float(rate_per_second)):
            self.suppressed_count += 1
            return
        suppressed_count = self.suppressed_count
        self.suppressed_count = 0
        self._write(front, operation, decision, subject, key_id, suppressed_count)

    def _write(
        self,
        front: str,
        operation: str,
        decision: Decision,
        subject: str,
        key_id: str,
        suppressed_count: int = 0,
    ) -> None:
        log_events.audit(
            self.logger,
            front=front,
            what=operation[:MAX_FIELD_LENGTH],
            decision=decision.verdict.value,
            reason=decision.reason,
            rule=decision.rule,
            caller=decision.caller,
            subject=subject[:MAX_FIELD_LENGTH],
            key=key_id[:MAX_FIELD_LENGTH],
            left_out=suppressed_count,
        )
