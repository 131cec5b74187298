"""Fair shares of the processor for the connections' reader threads.

A connection takes a turn to parse and handle a bounded part of what its peer has sent. Each has
credit for the work of its turns, refilled as time passes; a sound peer never uses it up.

- Of the connections with credit, a few take their turns at a time, those with most credit first.
  A connection is overtaken for a short time only: however many others come, its turn comes.
- Connections without credit take turns one at a time, and each turn is followed by a rest of the
  same length. However many peers send at full speed, they leave half of the processor.

The GIL lets one thread run. Without these turns hundreds of threads compete for it with the
decision thread, and each holds a message in its parsed form meanwhile.

The reader thread of a connection owns its `WorkCredit`. `ReadLanes` is shared. A turn takes the
connection's lock, so no lock may be held while waiting for a turn.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from heapq import heappop, heappush

from stepstream.model.records import record

MESSAGE_COST_US = 100.0
PARSER_STEP_COST_US = 2.0
BYTE_COST_US = 0.02
CREDIT_US_PER_SECOND = 5_000.0  # half a percent of a processor
MAX_CREDIT_US = 20_000.0
# Hundreds of new connections at a time must not have credit for seconds of work.
INITIAL_CREDIT_US = 1_000.0
MAX_DEBT_US = 50_000.0
MAX_TURNS_AT_ONCE = 3
LANE_CHECK_SECONDS = 0.1  # between two checks whether a waiting connection has ended
# The longest time by which a connection with full credit goes before one that waits already.
MAX_OVERTAKING_SECONDS = 0.1


@record
class Work:
    """What one turn of a connection did."""

    messages: int
    parser_steps: int
    received_bytes: int

    @property
    def cost_us(self) -> float:
        """The estimated processor time in microseconds, the same on every machine."""
        return (
            self.messages * MESSAGE_COST_US
            + self.parser_steps * PARSER_STEP_COST_US
            + self.received_bytes * BYTE_COST_US
        )


class WorkCredit:
    """The work that a connection may do at once, refilled as time passes."""

    __slots__ = ("credit_us", "refilled_at_seconds", "is_unlimited")

    def __init__(self, now_seconds: float, *, is_unlimited: bool = False) -> None:
        """`is_unlimited`: the peer is on a worker's host, whose notifications end open requests."""
        self.credit_us = INITIAL_CREDIT_US
        self.refilled_at_seconds = now_seconds  # monotonic
        self.is_unlimited = is_unlimited

    def refill(self, now_seconds: float) -> None:
        """Add what the time since the last call allows."""
        refill_us = (now_seconds - self.refilled_at_seconds) * CREDIT_US_PER_SECOND
        self.refilled_at_seconds = now_seconds
        self.credit_us = min(self.credit_us + refill_us, MAX_CREDIT_US)
        if self.is_unlimited:
            self.credit_us = MAX_CREDIT_US

    @property
    def is_used_up(self) -> bool:
        """Whether the connection has done more work than it has credit for."""
        return self.credit_us < 0

    def spend(self, work: Work) -> None:
        """Charge the work of a turn."""
        self.credit_us = max(self.credit_us - work.cost_us, -MAX_DEBT_US)


def turn_order_seconds(credit_us: float, now_seconds: float) -> float:
    """Return the time by which connections that begin to wait now are ordered, earliest first."""
    return now_seconds - credit_us / MAX_CREDIT_US * MAX_OVERTAKING_SECONDS


class ReadLanes:
    """Lets connections with credit take turns a few at a time, and the others one at a time."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards the next three fields
        self._turn_count = 0  # turns under way, of connections with credit
        self._waiting: list[tuple[float, int, threading.Lock]] = []  # a heap: first turn first
        self._waiting_count = 0  # since the start; makes each entry of the heap different
        self._slow_lane = threading.Lock()  # held for the turn of a connection without credit

    @contextmanager
    def turn(self, credit: WorkCredit, has_ended: Callable[[], bool]) -> Iterator[None]:
        """Run the body of the `with` statement as the next turn of a connection.

        Without credit it waits for the slow lane, at the longest until it has credit again. A
        connection that ends meanwhile does not wait any longer.
        """
        while not self._has_credit(credit):
            if has_ended():
                yield
                return
            if self._slow_lane.acquire(timeout=LANE_CHECK_SECONDS):
                with self._rest_and_release(has_lane=True):
                    yield
                return
        self._begin(credit.credit_us)
        try:
            yield
        finally:
            self._end()

    @staticmethod
    def _has_credit(credit: WorkCredit) -> bool:
        credit.refill(time.monotonic())
        return not credit.is_used_up

    def _begin(self, credit_us: float) -> None:
        with self._lock:
            if self._turn_count < MAX_TURNS_AT_ONCE:
                self._turn_count += 1
                return
            signal = threading.Lock()
            signal.acquire()
            self._waiting_count += 1
            order_seconds = turn_order_seconds(credit_us, time.monotonic())
            heappush(self._waiting, (order_seconds, self._waiting_count, signal))
        signal.acquire()  # until `_end` passes a turn on

    def _end(self) -> None:
        """Pass the turn on to the first of the waiting connections."""
        with self._lock:
            if self._waiting:
                _, _, signal = heappop(self._waiting)
                signal.release()
            else:
                self._turn_count -= 1

    @contextmanager
    def try_slow_turn(self) -> Iterator[bool]:
        """Run the body in the slow lane if that is free; the value tells whether it was."""
        has_lane = self._slow_lane.acquire(blocking=False)
        with self._rest_and_release(has_lane=has_lane):
            yield has_lane

    @contextmanager
    def _rest_and_release(self, *, has_lane: bool) -> Iterator[None]:
        """After the body, rest for as long as it took, and leave the slow lane."""
        started_at_seconds = time.monotonic()
        try:
            yield
            if has_lane:
                time.sleep(time.monotonic() - started_at_seconds)
        finally:
            if has_lane:
                self._slow_lane.release()
