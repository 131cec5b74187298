"""Pooled connections to workers."""

import socket
import threading
import time

pass
from stepstream.config.limits import Limits
from stepstream.http.destination_set import Address
from stepstream.runtime.sockets import connect, is_stale


class PooledConnection:
    """A connection to a worker."""

    __slots__ = ("sock", "worker", "address", "idle_since")

    def __init__(self, sock: socket.socket, worker: str, address: Address) -> None:
        self.sock, self.worker, self.address = sock, worker, address
        self.idle_since = 0.0


class PoolExhaustedError(Exception):
    """The budget of connections is spent."""


class ConnectionPool:
    """Connections to workers, idle ones kept for the next call, all within one budget."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.lock = threading.Lock()
        self.idle: dict[str, list[PooledConnection]] = {}
        self.count = 0  # idle ones and those in use

    def take(self, worker: str, address: Address, new: bool = False) -> PooledConnection:
        """An idle connection that still stands, or a new one; OSError or NoRoomError.

        `new`: not an idle one, which may have died unheard; the new one takes its place.
        """
        if new and (line := self.pop(worker, oldest=True)) is not None:
            self.close(line)
        while not new and (line := self.pop(worker)) is not None:
            # Guards against a stale connection: a request written to one after its closing is reset.
            fresh = time.monotonic() - line.idle_since < self.limits.timeouts.outbound_idle_seconds
            if fresh and line.address == address and not is_stale(line.sock):
                return line
            self.close(line)
        self.reserve()
        try:
            sock = connect(
                address, self.limits.timeouts.connect_seconds, self.limits.timeouts.write_seconds
            )
        except BaseException:
            self.release()
            raise
        return PooledConnection(sock, worker, address)

    def pop(self, worker: str, oldest: bool = False) -> PooledConnection | None:
        """An idle one, of those that have rested the one used last.

        Guards the next call against a second answer, or half a line, that comes a moment behind the last one:
        it would pass for its own.
        """
        rested = time.monotonic() - self.limits.timeouts.outbound_reuse_delay_seconds
        with self.lock:
            lines = self.idle.get(worker, ())
            order = range(len(lines)) if oldest else reversed(range(len(lines)))
            place = next((k for k in order if oldest or lines[k].idle_since <= rested), None)
            return None if place is None else lines.pop(place)

    def reserve(self) -> None:
        with self.lock:
            if self.count < self.limits.connections.outbound:
                self.count += 1
                return
            idle = [lines for lines in self.idle.values() if lines]
            if not idle:
                raise PoolExhaustedError
            oldest = min(idle, key=lambda lines: lines[0].idle_since).pop(0)
        oldest.sock.close()  # its place is ours: the count stays

    def release(self) -> None:
        with self.lock:
            self.count -= 1

    def give(self, line: PooledConnection) -> None:
        line.idle_since = time.monotonic()
        with self.lock:
            self.idle.setdefault(line.worker, []).append(line)

    def close(self, line: PooledConnection) -> None:
        line.sock.close()
        self.release()

    def sweep(self) -> None:
        """Retires connections idle for long, the oldest of which stand first."""
        oldest = time.monotonic() - self.limits.timeouts.outbound_idle_seconds
        with self.lock:
            retired = [
                line for lines in self.idle.values() for line in lines if line.idle_since < oldest
            ]
            for worker, lines in list(self.idle.items()):
                self.idle[worker] = [line for line in lines if line.idle_since >= oldest]
                if not self.idle[worker]:
                    del self.idle[worker]
        for line in retired:
            self.close(line)
