"""The inbound server: listening sockets, and the budget of connections whatever their protocol.

Each listener has an accepting thread (`accept_loop`, started by the node), each connection a reader
thread of the server's pool; a second pool writes to slow peers. The main thread calls
`enforce_timeouts` periodically and the methods of a shutdown; the admin listener's thread calls
`close_idle` during a drain.

`lock` guards the connections and their counts. A connection may hold its own lock when it takes
this one (`is_overloaded`), so no connection's lock is taken while this one is held:
`has_open_request` and `busy` take none.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from stepstream.config.limits import Limits
from stepstream.core.events import Event
from stepstream.http.client_api import ClientApi, overload_answer
from stepstream.http.client_connection import ClientConnection
from stepstream.http.eviction import EvictionRank, evict_connections
from stepstream.http.lingering import LingeringSockets
from stepstream.http.server_state import ServerState
from stepstream.ports.connections import Connection, ListenerSpec
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.sockets import shut_down
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport

__all__ = ["EvictionRank", "InboundServer"]


class InboundServer:
    """Accepts connections, admits them within the budget and ends those that waste it.

    "External" connections come from other hosts than the workers'. They may not take the places
    that are reserved for workers, whose notifications end the requests that clients wait for.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        client_api: ClientApi,
        post: Callable[[Event], None],
        is_worker_host: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """`post` gives the core an event; any thread may call it."""
        self.limits = limits
        self.clock = clock
        self.post = post
        self.is_worker_host = is_worker_host
        self.state = ServerState(client_api)
        self.state.is_overloaded = self.is_overloaded
        self.reader_threads = ThreadPool("inbound", limits.connections.inbound)
        self.slow_writer_threads = ThreadPool("late writer", limits.connections.slow_writer_threads)
        self.lock = threading.Lock()
        self.connections: set[Connection] = set()
        self.external_count = 0  # of `connections`
        self.evicted_count = 0  # evicted, but not closed yet by their reader threads
        self.lingering = LingeringSockets(limits)
        self.rejected_count = 0
        self.listeners: list[ListenerSpec] = []

    def reconfigure(self, limits: Limits, client_api: ClientApi) -> None:
        """Apply a reload; connections beyond a smaller budget stay until they end."""
        self.limits = limits
        self.lingering.limits = limits
        self.state.client_api = client_api
        self.reader_threads.max_threads = limits.connections.inbound
        self.slow_writer_threads.max_threads = limits.connections.slow_writer_threads

    # -- listeners --------------------------------------------------------------------------------

    def bind(self, address: tuple[str, int]) -> ListenerSpec:
        """Reserve the platform's address; connections are refused until `start_listening`.

        The new process of a hot restart holds the address beside the old one (SO_REUSEPORT).
        """
        create_connection = self._http_connection_factory(Transport)
        return self.listen(
            address, create_connection, self._overload_response, reuse_port=True, start=False
        )

    def start_listening(self, spec: ListenerSpec) -> None:
        """Open a listener that `bind` made."""
        spec.listener.listen(self.limits.connections.listen_backlog)

    def listen_with_transport(
        self, address: tuple[str, int], create_transport: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """Listen for HTTP over another kind of transport; OSError if the address cannot be had.

        Its connections are closed without an answer when the budget is spent.
        """
        no_response = bytes
        create_connection = self._http_connection_factory(create_transport)
        return self.listen(address, create_connection, no_response)

    def _http_connection_factory(
        self, create_transport: Callable[[socket.socket], Transport]
    ) -> Callable[[socket.socket, bool], Connection]:
        """Return what makes an HTTP connection of an accepted socket, as `ListenerSpec` asks."""

        def create_connection(sock: socket.socket, is_external: bool) -> Connection:  # noqa: FBT001  as ListenerSpec calls it
            return ClientConnection(create_transport(sock), self, is_external=is_external)

        return create_connection

    def listen(
        self,
        address: tuple[str, int],
        create_connection: Callable[[socket.socket, bool], Connection],
        overload_response: Callable[[], bytes],
        *,
        reuse_port: bool = False,
        start: bool = True,
    ) -> ListenerSpec:
        """Listen on an address for any protocol; OSError if it cannot be had.

        `create_connection` is given an accepted socket and whether it is external. `reuse_port`
        lets two processes of this user listen there at once; `start` False only binds.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # A restart must not wait for the connections of the process before it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if reuse_port:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            if start:
                sock.listen(self.limits.connections.listen_backlog)
        except OSError:
            sock.close()
            raise
        spec = ListenerSpec(sock, create_connection, overload_response)
        self.listeners.append(spec)
        return spec

    def accept_loop(self, spec: ListenerSpec) -> None:
        """Accept connections until the listener is closed; in a thread of its own."""
        while True:
            try:
                sock, peer = spec.listener.accept()
            except OSError as error:
                if spec.listener.fileno() < 0:
                    return
                # A peer gone before its accept, or no descriptor left: neither may end the loop.
                log_events.accept_failed(reason=str(error))
                time.sleep(self.limits.timeouts.accept_retry_seconds)
                continue
            self._admit_or_reject(spec, sock, peer[0])

    def close_listeners(self) -> None:
        """Close every listener."""
        for spec in self.listeners:
            self.close_listener(spec)

    def close_listener(self, spec: ListenerSpec) -> None:
        """Close a listener, after taking the connections that the kernel has accepted for it."""
        if spec.listener.fileno() < 0:
            return
        spec.listener.setblocking(False)  # noqa: FBT003  the socket's signature
        try:
            while True:
                sock, peer = spec.listener.accept()
                sock.setblocking(True)  # noqa: FBT003  the socket's signature
                self._admit_or_reject(spec, sock, peer[0])
        except OSError:
            pass
        shut_down(spec.listener)
        spec.listener.close()

    # -- the budget -------------------------------------------------------------------------------

    def _admit_or_reject(self, spec: ListenerSpec, sock: socket.socket, host: str) -> None:
        is_external = not self.is_worker_host(host)
        if self._is_full(is_external=is_external):
            self._evict_connections()
        if self._is_full(is_external=is_external):
            self._reject(spec, sock)
            return
        connection = spec.create_connection(sock, is_external)
        with self.lock:
            self.connections.add(connection)
            if is_external:
                self.external_count += 1
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A pool, for workers bring each notification on a connection of its own.
        self.reader_threads.submit(connection.run)

    def _is_full(self, *, is_external: bool) -> bool:
        budget = self.limits.connections
        with self.lock:
            open_count = len(self.connections)
            if open_count + self.evicted_count >= budget.inbound + budget.evicted_unclosed:
                return True
            max_external = budget.inbound - budget.reserved_for_workers
            if is_external and self.external_count >= max_external:
                return True
            return open_count >= budget.inbound

    def _evict_connections(self) -> None:
        now_seconds = time.monotonic()
        for connection in evict_connections(self._snapshot(), now_seconds, self.limits):
            # Its place is free at once, its descriptor when its reader thread has closed it.
            with self.lock:
                if self._discard(connection):
                    self.evicted_count += 1
                    connection.evicted = True

    def _reject(self, spec: ListenerSpec, sock: socket.socket) -> None:
        """Send the overload response before a byte is read, without a thread."""
        self.rejected_count += 1
        try:
            sock.send(spec.overload_response(), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        self.lingering.add(sock, self.limits.timeouts.rejected_linger_seconds)

    def _overload_response(self) -> bytes:
        retry_after_us = self.state.client_api.settings.max_retry_after_us
        return overload_answer(retry_after_us, close=True)

    def remove_connection(self, connection: Connection) -> None:
        """Free the place of a connection that its reader thread has closed."""
        with self.lock:
            self._discard(connection)
            if connection.evicted:
                self.evicted_count -= 1
                connection.evicted = False

    def _discard(self, connection: Connection) -> bool:
        """Forget a connection, unless it is forgotten already; the caller holds the lock."""
        if connection not in self.connections:
            return False
        self.connections.discard(connection)
        if connection.is_external:
            self.external_count -= 1
        return True

    def _snapshot(self) -> list[Connection]:
        with self.lock:
            return list(self.connections)

    def is_overloaded(self) -> bool:
        """Tell whether requests are open on as many connections as may have one.

        Others do not count: connections between requests are evicted when a notification needs
        their place.
        """
        max_open_requests = self.limits.connections.open_requests
        if len(self.connections) < max_open_requests:
            return False
        with self.lock:
            open_requests = sum(connection.has_open_request() for connection in self.connections)
            return open_requests >= max_open_requests

    # -- timeouts and shutdown --------------------------------------------------------------------

    def enforce_timeouts(self) -> None:
        """End what has gone on for too long; the main thread calls this periodically."""
        now_seconds = time.monotonic()
        for connection in self._snapshot():
            connection.enforce_timeouts(now_seconds)
        self.lingering.close_due(now_seconds)

    def close_idle(self) -> None:
        """Close clients' connections that are between requests."""
        for connection in self._snapshot():
            connection.close_if_idle()

    def busy(self) -> bool:
        """Tell whether a shutdown should wait for a connection, as `Connection.busy` tells."""
        with self.lock:
            return any(connection.busy() for connection in self.connections)
