"""The core's timers on a timer wheel of coarse ticks: cheap to set, never due early.

A timer cannot be cancelled. The handler of a due timer checks whether its call or request has ended
meanwhile. The decision thread owns the wheel. Times are microseconds on the node's clock.
"""

from stepstream.core.requests import Call, Request
from stepstream.model.records import record


@record
class PolicyTimer:
    """A timer that the policy has set for itself."""

    token: int  # the policy's id of the timer


@record
class CallTimeout:
    """A call has reached its time limit."""

    call: Call


@record
class AnswerDeadline:
    """The latest time at which a request's answer still reaches the client in time."""

    request: Request


@record
class AnswerOverdue:
    """One tick after the answer deadline: a request without an answer fails."""

    request: Request


Timer = PolicyTimer | CallTimeout | AnswerDeadline | AnswerOverdue


class TimerWheel:
    """Timers by tick. A timer is due in the first tick that begins at its time or later."""

    def __init__(self, now_us: int, tick_us: int) -> None:
        self.tick_us = tick_us
        self._last_tick = now_us // tick_us  # the latest tick whose timers were taken
        self._timers_by_tick: dict[int, list[Timer]] = {}

    def schedule(self, due_us: int, timer: Timer) -> None:
        """Set a timer; if its time has already passed, it is due in the next tick."""
        rounded_up_tick = -(-due_us // self.tick_us)
        tick = max(rounded_up_tick, self._last_tick + 1)
        self._timers_by_tick.setdefault(tick, []).append(timer)

    def pop_due(self, now_us: int) -> list[Timer]:
        """Remove and return the timers that are due, by tick, then in the order they were set."""
        current_tick = now_us // self.tick_us
        ticks_passed = current_tick - self._last_tick
        if ticks_passed <= 0:
            return []
        # After a long stall there are fewer ticks with timers than ticks that have passed.
        if ticks_passed <= len(self._timers_by_tick):
            due_ticks = list(range(self._last_tick + 1, current_tick + 1))
        else:
            due_ticks = sorted(tick for tick in self._timers_by_tick if tick <= current_tick)
        self._last_tick = current_tick
        return [timer for tick in due_ticks for timer in self._timers_by_tick.pop(tick, ())]

    def next_due_us(self) -> int | None:
        """Return when the next timer is due, in microseconds; None without timers."""
        if not self._timers_by_tick:
            return None
        return min(self._timers_by_tick) * self.tick_us
