"""The pool of connections to workers.

State: the idle connections by worker, and the number of connections open in all, idle or in use.
Any thread may acquire and put back; a connection in use belongs to the thread that acquired it,
until that thread puts it back or closes it. The main thread retires old idle connections from time
to time.
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


class PoolExhaustedError(HttpError):
    """As many connections are in use as the limits allow."""


class ConnectionPool:
    """Connections to workers, idle ones cached for the next call, all within one limit."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits  # replaced as one at a reload
        self.lock = threading.Lock()  # guards `idle` and `open_count`; not held for any I/O
        # by worker, in the order in which they were put back: the longest idle comes first
        self.idle: dict[str, list[PooledConnection]] = {}
        self.open_count = 0  # idle ones, those in use and those being made

    def acquire(
        self, worker: str, address: Address, *, requires_new: bool = False
    ) -> PooledConnection:
        """Return an idle connection that still stands, or make a new one.

        `requires_new` rules out idle ones, any of which may have died unnoticed; the new one takes
        the place of the worker's longest idle one. Raises OSError if connecting fails,
        PoolExhaustedError if the limit is reached.
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
        """Return an idle connection that is safe to write to, closing those found that are not.

        Guards against a stale connection: a request written to one that its worker has closed is
        reset.
        """
        while (connection := self.pop_reusable(worker)) is not None:
            idle_seconds = time.monotonic() - connection.idle_since
            is_fresh = idle_seconds < self.limits.timeouts.outbound_idle_seconds
            if is_fresh and connection.address == address and not is_stale(connection.sock):
                return connection
            self.close(connection)
        return None

    def open_new(self, worker: str, address: Address) -> PooledConnection:
        """Connect within the limit; raises OSError or PoolExhaustedError."""
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
        """Take out the worker's longest idle connection."""
        with self.lock:
            connections = self.idle.get(worker)
            return connections.pop(0) if connections else None

    def pop_reusable(self, worker: str) -> PooledConnection | None:
        """Take out the worker's most recently used connection past the reuse delay.

        The delay guards the next call against a second answer, or half a line, that comes a moment
        after the last one: it would pass for the answer to that call.
        """
        idle_by = time.monotonic() - self.limits.timeouts.outbound_reuse_delay_seconds
        with self.lock:
            connections = self.idle.get(worker, [])
            for index in reversed(range(len(connections))):
                if connections[index].idle_since <= idle_by:
                    return connections.pop(index)
            return None

    def reserve_slot(self) -> None:
        """Count a connection about to be made.

        If the limit is reached, the longest idle one of all makes room; raises PoolExhaustedError
        if there is none.
        """
        with self.lock:
            if self.open_count < self.limits.connections.outbound:
                self.open_count += 1
                return
            candidates = [connections for connections in self.idle.values() if connections]
            if not candidates:
                raise PoolExhaustedError("all outbound connections are in use")
            evicted = min(candidates, key=lambda idle: idle[0].idle_since).pop(0)
        evicted.sock.close()  # its slot goes to the new one: the count stays

    def release_slot(self) -> None:
        """Count a connection as closed, or as not made."""
        with self.lock:
            self.open_count -= 1

    def put_back(self, connection: PooledConnection) -> None:
        """Offer a connection between two messages to the worker's next call."""
        connection.idle_since = time.monotonic()
        with self.lock:
            self.idle.setdefault(connection.worker, []).append(connection)

    def close(self, connection: PooledConnection) -> None:
        """Close a connection that is not, or no longer, among the idle ones."""
        connection.sock.close()
        self.release_slot()

    def retire_idle(self) -> None:
        """Close connections idle for too long, before their workers do."""
        idle_by = time.monotonic() - self.limits.timeouts.outbound_idle_seconds
        retired: list[PooledConnection] = []
        with self.lock:
            for worker, connections in list(self.idle.items()):
                retired.extend(one for one in connections if one.idle_since < idle_by)
                remaining = [one for one in connections if one.idle_since >= idle_by]
                if remaining:
                    self.idle[worker] = remaining
                else:
                    del self.idle[worker]
        for connection in retired:
            self.close(connection)
