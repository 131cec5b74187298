"""The pool of connections to workers.

State: the idle connections by worker, and the number of open connections, idle or in use. Any
thread may acquire a connection. It belongs to that thread until the thread puts it back or closes
it. The main thread periodically retires idle connections.
"""

import socket
import threading
import time

from stepstream.config.limits import Limits
from stepstream.http.discovery_api import Address
from stepstream.http.errors import HttpError
from stepstream.runtime.sockets import connect, is_stale


class PooledConnection:
    """A connection to a worker."""

    __slots__ = ("sock", "worker", "address", "idle_since")

    def __init__(self, sock: socket.socket, worker: str, address: Address) -> None:
        self.sock = sock
        self.worker = worker
        self.address = address
        self.idle_since = 0.0  # monotonic seconds; set when it is put back

    def may_be_reused(self, address: Address, now_seconds: float, max_idle_seconds: float) -> bool:
        """Decide, without I/O, whether an idle connection may carry a request to `address`.

        It may not after `max_idle_seconds` without use, or if the worker's address has changed. The
        limit is shorter than the worker's own idle timeout, because a request that the worker
        receives after closing the connection is reset.
        """
        is_fresh = now_seconds - self.idle_since < max_idle_seconds
        return is_fresh and self.address == address


class PoolExhaustedError(HttpError):
    """All connections that the limits allow are in use."""


class ConnectionPool:
    """Connections to workers within one limit; idle ones are cached for the next call."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits  # replaced as a whole at a reload
        self.lock = threading.Lock()  # guards `idle` and `open_count`; not held during I/O
        # By worker, in the order in which they were put back, so the longest idle one is first.
        self.idle: dict[str, list[PooledConnection]] = {}
        self.open_count = 0  # idle, in use or being opened

    def acquire(
        self, worker: str, address: Address, *, requires_new: bool = False
    ) -> PooledConnection:
        """Return an idle connection that is still open, or open a new one.

        `requires_new` excludes idle connections, because a worker may have closed one unnoticed.
        The new connection then replaces the worker's longest idle one. Raises OSError if connecting
        fails, PoolExhaustedError if the limit is reached.
        """
        if requires_new:
            displaced = self.pop_longest_idle(worker)
            if displaced is not None:
                self.close(displaced)
        else:
            cached = self.acquire_idle(worker, address)
            if cached is not None:
                return cached
        return self.open_new(worker, address)

    def acquire_idle(self, worker: str, address: Address) -> PooledConnection | None:
        """Return an idle connection that is safe to write to, and close those that are not.

        A request on a connection that its worker has closed is reset, and the job may have run.
        """
        while (connection := self.pop_reusable(worker)) is not None:
            max_idle_seconds = self.limits.timeouts.outbound_idle_seconds
            may_be_reused = connection.may_be_reused(address, time.monotonic(), max_idle_seconds)
            if may_be_reused and not is_stale(connection.sock):
                return connection
            self.close(connection)
        return None

    def open_new(self, worker: str, address: Address) -> PooledConnection:
        """Open a connection within the limit; raises OSError or PoolExhaustedError."""
        self.reserve_slot()
        try:
            sock = connect(
                address, self.limits.timeouts.connect_seconds, self.limits.timeouts.write_seconds
            )
        except BaseException:
            self.release_slot()
            raise
        return PooledConnection(sock, worker, address)

    def pop_longest_idle(self, worker: str) -> PooledConnection | None:
        """Remove and return the worker's longest idle connection, if there is one."""
        with self.lock:
            connections = self.idle.get(worker)
            return connections.pop(0) if connections else None

    def pop_reusable(self, worker: str) -> PooledConnection | None:
        """Remove and return the worker's most recently used connection past the reuse delay.

        A worker may send a second answer, or a part of one, shortly after the first. If the
        connection were in use again, that would be taken for the answer to the next call.
        """
        latest_idle_since = time.monotonic() - self.limits.timeouts.outbound_reuse_delay_seconds
        with self.lock:
            connections = self.idle.get(worker, [])
            for index in reversed(range(len(connections))):
                if connections[index].idle_since <= latest_idle_since:
                    return connections.pop(index)
            return None

    def reserve_slot(self) -> None:
        """Count a connection that is about to be opened.

        At the limit, the longest idle connection of all workers is closed to make room; raises
        PoolExhaustedError if none is idle.
        """
        with self.lock:
            if self.open_count < self.limits.connections.outbound:
                self.open_count += 1
                return
            candidates = [connections for connections in self.idle.values() if connections]
            if not candidates:
                raise PoolExhaustedError("all outbound connections are in use")
            evicted = min(candidates, key=lambda idle: idle[0].idle_since).pop(0)
        evicted.sock.close()  # the new connection takes its slot, so `open_count` stays the same

    def release_slot(self) -> None:
        """Count a connection as closed, or as not opened."""
        with self.lock:
            self.open_count -= 1

    def put_back(self, connection: PooledConnection) -> None:
        """Cache a connection that is between two messages, for the worker's next call."""
        connection.idle_since = time.monotonic()
        with self.lock:
            self.idle.setdefault(connection.worker, []).append(connection)

    def close(self, connection: PooledConnection) -> None:
        """Close a connection that is not among the idle ones."""
        connection.sock.close()
        self.release_slot()

    def retire_idle(self) -> None:
        """Close connections that have been idle for too long, before their workers close them."""
        earliest_idle_since = time.monotonic() - self.limits.timeouts.outbound_idle_seconds
        retired: list[PooledConnection] = []
        with self.lock:
            for worker, connections in list(self.idle.items()):
                retired.extend(one for one in connections if one.idle_since < earliest_idle_since)
                remaining = [one for one in connections if one.idle_since >= earliest_idle_since]
                if remaining:
                    self.idle[worker] = remaining
                else:
                    del self.idle[worker]
        for connection in retired:
            self.close(connection)
