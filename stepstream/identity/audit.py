"""Audit lines: who asked for what, what was decided and why; never a token, a key or a body.

Lines of denials are bounded: a flood of forged tokens must not fill the log. What was left out is counted
and said with the next line.
"""

import sys
import time
from collections.abc import Callable
from typing import TextIO

from stepstream.identity.rights import Decision, Verdict
from stepstream.runtime.structured_log import LogFormat, structured_logger

MOST_TEXT = 128  # of what a caller may have made up


class Audit:
    def __init__(
        self,
        form: LogFormat,
        allowed_too: bool,
        denials_per_s: int,
        stream: TextIO = sys.stderr,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """`form`: json or console. `allowed_too`: else only what was not allowed is written."""
        self.logger = structured_logger(form, stream)
        self.allowed_too, self.denials_per_s, self.now = allowed_too, denials_per_s, now
        self.level, self.at, self.left_out = float(denials_per_s), now(), 0

    def decision(
        self, front: str, what: str, decision: Decision, subject: str = "", key: str = ""
    ) -> None:
        if decision.verdict is Verdict.ALLOWED:
            if self.allowed_too:
                self.write(front, what, decision, subject, key)
            return
        if self.may_write():
            left_out, self.left_out = self.left_out, 0
            more = {"left_out": left_out} if left_out else {}
            self.write(front, what, decision, subject, key, **more)
        else:
            self.left_out += 1

    def may_write(self) -> bool:
        now = self.now()
        self.level = min(
            self.level + (now - self.at) * self.denials_per_s, float(self.denials_per_s)
        )
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def write(
        self, front: str, what: str, decision: Decision, subject: str, key: str, **more: int
    ) -> None:
        self.logger.info(
            "audit",
            front=front,
            what=what[:MOST_TEXT],
            decision=decision.verdict.value,
            reason=decision.reason,
            rule=decision.rule,
            caller=decision.caller,
            subject=subject[:MOST_TEXT],
            key=key[:MOST_TEXT],
            **more,
        )
