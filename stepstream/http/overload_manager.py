"""The overload manager: keeps the process within the memory that the platform allows.

Three budgets count the bytes of messages of all protocols. They do not know what else takes memory:
threads, decoded messages, the allocator's free blocks. The resident memory has all of it, so that
its part of the limit, the memory pressure, decides as well. See `MemoryPressure` for
what each level does.

Any thread may call the methods, unless they say otherwise. No lock of a connection may be held
during `relieve`.
"""

import gc
import threading
from collections.abc import Callable, Sequence
from enum import IntEnum

from stepstream.config.limits import Limits
from stepstream.http.memory_shedding import connections_to_shed
from stepstream.ports.connections import Connection
from stepstream.runtime import log_events
from stepstream.runtime.allocator import release_free_memory
from stepstream.runtime.byte_budget import ByteBudget
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.resident_memory import ResidentMemory

# Of the limit, the least resident memory of each level.
SHRINK_FRACTION = 0.75
SHED_FRACTION = 0.85
REJECT_FRACTION = 0.92
# What is ended at a time under pressure, of what connections hold.
SHED_FRACTION_OF_BUFFERED = 0.5
# A small request takes no more memory than its rejection.
SMALL_PAYLOAD_BYTES = 4096
SMALL_PAYLOAD_FRACTION_OF_BUDGET = 0.125
PERIOD_SECONDS = 0.5
SHRINK_SECONDS = 5.0  # without pressure, between two looks for free memory
# A visible step of the memory, as a part of its limit.
STEP_FRACTION = 1 / 16


class MemoryPressure(IntEnum):
    """How much of the memory limit is in use; each level includes those below it."""

    NONE = 0
    SHRINK = 1  # free memory is given back to the system
    SHED = 2  # unfinished messages are ended, and large requests are rejected
    REJECT = 3  # new connections of clients are rejected, and quiet ones are closed


def memory_pressure(counted_bytes: int, limit_bytes: int) -> MemoryPressure:
    """Decide the level of `counted_bytes` under `limit_bytes`; 0 stands for no limit."""
    if not limit_bytes:
        return MemoryPressure.NONE
    fraction = counted_bytes / limit_bytes
    if fraction >= REJECT_FRACTION:
        return MemoryPressure.REJECT
    if fraction >= SHED_FRACTION:
        return MemoryPressure.SHED
    if fraction >= SHRINK_FRACTION:
        return MemoryPressure.SHRINK
    return MemoryPressure.NONE


class OverloadManager:
    """The budgets of messages, the memory pressure, and what follows from both."""

    def __init__(
        self,
        limits: Limits,
        resident: ResidentMemory,
        connections: Callable[[], Sequence[Connection]],
    ) -> None:
        """Create the budgets; `connections` returns the connections that are open."""
        self.limits = limits  # replaced by a reload
        self.resident = resident
        self.connections = connections
        self.open_request_memory = ByteBudget(limits.memory.open_request_bytes)
        self.buffered_memory = ByteBudget(limits.memory.buffered_bytes)
        self.queued_result_memory = ByteBudget(limits.memory.queued_result_bytes)
        self.rejections = RateLimitedLogger(log_events.message_memory_exhausted, limits)
        self._shedding_lock = threading.Lock()  # one thread at a time chooses what to end
        # Of the main thread.
        self._next_tasks_at_seconds = 0.0
        self._lowest_bytes = limits.memory.process_bytes  # since the start
        self._shrunk_at_seconds = 0.0
        self._logged_bytes = 0  # 0: nothing to compare with yet
        self._logged_shedding = False

    def reconfigure(self, limits: Limits) -> None:
        """Apply a reload."""
        self.limits = limits
        self.open_request_memory.limit_bytes = limits.memory.open_request_bytes
        self.buffered_memory.limit_bytes = limits.memory.buffered_bytes
        self.queued_result_memory.limit_bytes = limits.memory.queued_result_bytes

    @property
    def pressure(self) -> MemoryPressure:
        """The present level."""
        return memory_pressure(self.resident.counted_bytes(), self.limits.memory.process_bytes)

    def has_room_for_payload(self, size_bytes: int) -> bool:
        """Decide whether a request of this size is admitted.

        Large requests leave room for small ones in the budget.
        """
        budget = self.open_request_memory
        if size_bytes <= SMALL_PAYLOAD_BYTES:
            return budget.has_room_for(size_bytes)
        reserved_bytes = int(budget.limit_bytes * SMALL_PAYLOAD_FRACTION_OF_BUDGET)
        if not budget.has_room_for(size_bytes + reserved_bytes):
            return False
        return self.pressure < MemoryPressure.SHED

    def admits_clients(self) -> bool:
        """Decide whether new connections of clients are accepted."""
        return self.pressure < MemoryPressure.REJECT

    def relieve(self) -> None:
        """End unfinished messages while they exceed their budget, or under pressure.

        While one thread does it, another one returns at once.
        """
        if not self.buffered_memory.is_exceeded() and self.pressure < MemoryPressure.SHED:
            return
        if not self._shedding_lock.acquire(blocking=False):
            return
        try:
            for connection in connections_to_shed(self.connections(), self._excess_bytes()):
                self.rejections.add("unfinished messages and unread answers hold too much")
                connection.shed_buffered_message()
        finally:
            self._shedding_lock.release()

    def _excess_bytes(self) -> int:
        used_bytes = self.buffered_memory.used_bytes
        excess_bytes = used_bytes - self.buffered_memory.limit_bytes
        if self.pressure < MemoryPressure.SHED:
            return excess_bytes
        return max(excess_bytes, int(used_bytes * SHED_FRACTION_OF_BUFFERED))

    def run_periodic_tasks(self, now_seconds: float) -> None:
        """Give back free memory under pressure, and log what has changed; for the main thread.

        It does so once in `PERIOD_SECONDS`, however often it is called; the time is monotonic.
        """
        self.relieve()
        if now_seconds < self._next_tasks_at_seconds:
            return
        self._next_tasks_at_seconds = now_seconds + PERIOD_SECONDS
        self.resident.count_files()
        if self._may_have_free_memory(now_seconds):
            self._shrunk_at_seconds = now_seconds
            gc.collect()
            release_free_memory()
        self._log_changes()

    def _may_have_free_memory(self, now_seconds: float) -> bool:
        """Decide whether to look for free memory: under pressure, or from time to time after it."""
        if self.pressure >= MemoryPressure.SHRINK:
            return True
        counted_bytes = self.resident.counted_bytes()
        self._lowest_bytes = min(self._lowest_bytes, counted_bytes)
        has_grown = counted_bytes - self._lowest_bytes >= self._step_bytes
        return has_grown and now_seconds - self._shrunk_at_seconds >= SHRINK_SECONDS

    @property
    def _step_bytes(self) -> float:
        return self.limits.memory.process_bytes * STEP_FRACTION

    def _log_changes(self) -> None:
        memory = self.limits.memory
        counted_bytes = self.resident.counted_bytes()
        pressure = memory_pressure(counted_bytes, memory.process_bytes)
        self._logged_bytes = self._logged_bytes or counted_bytes
        has_moved = abs(counted_bytes - self._logged_bytes) >= self._step_bytes
        sheds = pressure >= MemoryPressure.SHED
        if not memory.process_bytes or not (has_moved or sheds != self._logged_shedding):
            return
        self._logged_bytes = counted_bytes
        self._logged_shedding = sheds
        log_events.memory_usage_changed(
            pressure=pressure.name.lower(),
            memory_bytes=counted_bytes,
            memory_limit_bytes=memory.process_bytes,
            open_request_bytes=self.open_request_memory.used_bytes,
            buffered_bytes=self.buffered_memory.used_bytes,
            queued_result_bytes=self.queued_result_memory.used_bytes,
            connections=len(self.connections()),
            threads=threading.active_count(),
        )
