"""The core's timers on a timer wheel of coarse ticks: cheap to set, never due early.

A timer that is not needed any more is cancelled, so that the wheel holds nothing of what has ended.
The decision thread owns the wheel. Times are microseconds on the node's clock.
"""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

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


# The heap may hold this many ticks without timers before it is rebuilt.
MAX_EMPTY_TICKS = 64


class TimerHandle(NamedTuple):
    """Names a timer for `TimerWheel.cancel`."""

    tick: int
    number: int  # counts all timers that were set


class TimerWheel:
    """Timers by tick. A timer is due in the first tick that begins at its time or later."""

    def __init__(self, now_us: int, tick_us: int) -> None:
        self.tick_us = tick_us
        self._last_tick = now_us // tick_us  # the latest tick whose timers were taken
        self._timers_by_tick: dict[int, dict[int, Timer]] = {}  # each tick's by number
        self._tick_heap: list[int] = []  # all ticks with timers, and some without
        self._timer_count = 0  # timers that were set since the start

    def __len__(self) -> int:
        return sum(len(timers) for timers in self._timers_by_tick.values())

    def schedule(self, due_us: int, timer: Timer) -> TimerHandle:
        """Set a timer; if its time has already passed, it is due in the next tick."""
        rounded_up_tick = -(-due_us // self.tick_us)
        tick = max(rounded_up_tick, self._last_tick + 1)
        timers = self._timers_by_tick.get(tick)
        if timers is None:
            timers = self._timers_by_tick[tick] = {}
            heappush(self._tick_heap, tick)
        self._timer_count += 1
        timers[self._timer_count] = timer
        return TimerHandle(tick, self._timer_count)

    def cancel(self, handle: TimerHandle) -> None:
        """Remove a timer; do nothing if it was taken or cancelled before."""
        timers = self._timers_by_tick.get(handle.tick)
        if timers is None:
            return
        timers.pop(handle.number, None)
        if not timers:
            del self._timers_by_tick[handle.tick]
            self._discard_empty_ticks()

    def _discard_empty_ticks(self) -> None:
        """Rebuild the heap once most of its ticks have no timers."""
        if len(self._tick_heap) > 2 * len(self._timers_by_tick) + MAX_EMPTY_TICKS:
            self._tick_heap = list(self._timers_by_tick)
            heapify(self._tick_heap)

    def pop_due(self, now_us: int) -> list[Timer]:
        """Remove and return the timers that are due, by tick, then in the order they were set."""
        current_tick = now_us // self.tick_us
        due: list[Timer] = []
        while self._tick_heap and self._tick_heap[0] <= current_tick:
            timers = self._timers_by_tick.pop(heappop(self._tick_heap), None)
            if timers is not None:
                due.extend(timers.values())
        self._last_tick = max(self._last_tick, current_tick)
        return due

    def next_due_us(self) -> int | None:
        """Return when the next timer is due, in microseconds; None without timers."""
        heap = self._tick_heap
        while heap and heap[0] not in self._timers_by_tick:
            heappop(heap)
        return heap[0] * self.tick_us if heap else None
