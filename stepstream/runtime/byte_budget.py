"""Budgets of memory in bytes, and the reservations that draw on them.

A budget counts what its reservations hold. A reservation may exceed the budget, because the bytes
that it counts have been received already; whoever resizes it checks `is_exceeded` and makes room.
Any thread may use both.
"""

import threading


class ByteBudget:
    """Bytes that may be held together."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes  # replaced by a reload
        self.used_bytes = 0
        self._lock = threading.Lock()  # guards `used_bytes`

    def add(self, size_bytes: int) -> None:
        """Count bytes as held; a negative size counts them as freed."""
        with self._lock:
            self.used_bytes += size_bytes

    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.used_bytes > self.limit_bytes

    def has_room_for(self, size_bytes: int) -> bool:
        """Return whether so many more bytes stay within the limit."""
        return self.used_bytes + size_bytes <= self.limit_bytes


class ByteReservation:
    """The bytes that one owner holds of a budget, until it releases them or is freed."""

    def __init__(self, budget: ByteBudget, size_bytes: int = 0) -> None:
        self._budget = budget
        self._lock = threading.Lock()  # guards `size_bytes` and `_is_released`
        self._is_released = False
        self.size_bytes = size_bytes
        budget.add(size_bytes)

    def resize(self, size_bytes: int) -> None:
        """Hold this many bytes from now on; do nothing after the release."""
        if size_bytes == self.size_bytes:
            return
        with self._lock:
            if self._is_released:
                return
            self._budget.add(size_bytes - self.size_bytes)
            self.size_bytes = size_bytes

    def release(self) -> None:
        """Hold nothing from now on; repeated calls have no effect."""
        with self._lock:
            self._is_released = True
            self._budget.add(-self.size_bytes)
            self.size_bytes = 0

    def __del__(self) -> None:
        self.release()
