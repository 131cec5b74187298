"""Discarding of what a peer sends after its last answer (RFC 9112, 9.6).

A peer that is still sending must be read, or the reset of its connection might destroy the answer.
Only the connection in the slow lane is read; the others look from time to time whether their peers
have closed. Hundreds of threads that read would take the GIL, which each system call releases, from
the decision thread.
"""

import time

from stepstream.config.limits import KIB
from stepstream.http.read_lanes import ReadLanes
from stepstream.runtime.transport import Transport

# In one turn of the slow lane.
MAX_READS = 8
READ_BYTES = 128 * KIB
# Between two looks without a turn.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5


class InputDiscarder:
    """Discards the input of one connection; its reader thread calls it."""

    def __init__(self, transport: Transport, lanes: ReadLanes) -> None:
        self._transport = transport
        self._lanes = lanes
        self._pause_seconds = MIN_PAUSE_SECONDS
        self.received_at_seconds = 0.0  # monotonic; of the latest bytes that were discarded

    def discard(self) -> bool:
        """Discard a bounded amount, or pause; return whether more may come."""
        with self._lanes.try_slow_turn() as has_turn:
            if has_turn:
                return self._discard_available()
        time.sleep(self._pause_seconds)
        self._pause_seconds = min(2 * self._pause_seconds, MAX_PAUSE_SECONDS)
        if self._transport.has_peer_left():
            return self._discard_available()  # what is left ends with the peer's close
        return True

    def _discard_available(self) -> bool:
        """Discard a bounded amount of what has arrived; return whether more may come."""
        try:
            for _ in range(MAX_READS):
                if not self._transport.drop_available(READ_BYTES):
                    return False
                self.received_at_seconds = time.monotonic()
                if not self._transport.has_unread():
                    return True
        except OSError:
            return False
        return True
