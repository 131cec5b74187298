"""The inbound server: listening sockets, and the budget of connections of all protocols.

Each listener has an accepting thread (`accept_loop`, started by the node). Each connection has a
reader thread of the server's pool. A second pool writes to slow peers. The main thread calls
`enforce_timeouts` periodically, and the methods of a shutdown. The admin listener's thread calls
`close_idle` during a drain.

`lock` guards the connections and their counts. A connection may hold its own lock when it takes
this one (`is_overloaded`). No connection's lock may therefore be taken while this one is held:
`has_open_request` and `busy` take none.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from stepstream.config.limits import ConnectionLimits, Limits
from stepstream.core.events import Event
from stepstream.http.client_api import ClientApi, overload_answer
from stepstream.http.client_connection import ClientConnection
from stepstream.http.eviction import evict_connections
from stepstream.http.lingering import LingeringSockets
from stepstream.http.overload_manager import OverloadManager
from stepstream.http.read_lanes import ReadLanes
from stepstream.http.server_state import ServerState
from stepstream.ports.connections import Connection, ListenerSpec
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.resident_memory import ResidentMemory
from stepstream.runtime.sockets import quiet_seconds, shut_down
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport


class InboundServer:
    """Accepts connections, admits them within the budget and enforces their timeouts.

    An external connection comes from a host without a worker. It cannot use the connections that
    are reserved for workers, whose notifications end the open requests.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        client_api: ClientApi,
        post: Callable[[Event], None],
        is_worker_host: Callable[[str], bool],
        resident: ResidentMemory,
    ) -> None:
        """`post` hands an event to the core; any thread may call it."""
        self.limits = limits
        self.clock = clock
        self.post = post
        self.is_worker_host = is_worker_host
        self.state = ServerState(client_api)
        self.state.is_overloaded = self.is_overloaded
        rejected_notifications = RateLimitedLogger(log_events.job_notification_rejected, limits)
        self.state.report_rejected_notification = rejected_notifications.add
        self.overload_manager = OverloadManager(limits, resident, self._snapshot)
        self.state.has_room_for_payload = self.overload_manager.has_room_for_payload
        self.state.report_memory_rejection = self.overload_manager.rejections.add
        self.read_lanes = ReadLanes()
        # Replaced by the node: how many events wait for the core.
        self.pending_event_count: Callable[[], int] = lambda: 0
        self.reader_threads = ThreadPool("inbound", max_reader_threads(limits.connections))
        self.buffered_input_threads = ThreadPool(
            "buffered input", limits.connections.buffered_input_threads
        )
        self.slow_writer_threads = ThreadPool("slow writer", limits.connections.slow_writer_threads)
        self.lock = threading.Lock()
        self.connections: set[Connection] = set()
        self.external_count = 0  # of `connections`
        # Of accepting threads only.
        self.evict_again_at_seconds = 0.0  # monotonic
        self.may_wait_for_place = True  # no wait was in vain since the latest admission
        self.evicted_count = 0  # evicted connections that their reader threads have not closed yet
        self.lingering = LingeringSockets(limits)
        self.rejected_count = 0
        self.failed_accepts = RateLimitedLogger(log_events.accept_failed, limits, max_lines=1)
        self.listeners: list[ListenerSpec] = []
        self.is_ending = False  # if True, no request that arrives would be answered

    def reconfigure(self, limits: Limits, client_api: ClientApi) -> None:
        """Apply a reload; connections beyond a smaller budget stay open until they end."""
        self.limits = limits
        self.lingering.limits = limits
        self.overload_manager.reconfigure(limits)
        self.state.client_api = client_api
        # Connections stay open beyond a smaller budget, and each of them has a thread.
        self.reader_threads.max_threads = max(
            self.reader_threads.max_threads, max_reader_threads(limits.connections)
        )
        self.slow_writer_threads.max_threads = limits.connections.slow_writer_threads

    # -- listeners --------------------------------------------------------------------------------

    def bind(self, address: tuple[str, int]) -> ListenerSpec:
        """Bind the platform's address; connections are refused until `start_listening`.

        In a hot restart, the old and the new process bind it at the same time (SO_REUSEPORT).
        """
        create_connection = self._http_connection_factory(Transport)
        return self.listen(
            address, create_connection, self._overload_response, reuse_port=True, start=False
        )

    def start_listening(self, spec: ListenerSpec) -> None:
        """Open a listener that `bind` has created."""
        spec.listener.listen(self.limits.connections.listen_backlog)

    def listen_with_transport(
        self, address: tuple[str, int], create_transport: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """Listen for HTTP over another kind of transport; OSError if the address is not available.

        Beyond the budget, its connections are closed without an answer.
        """
        no_response = bytes
        create_connection = self._http_connection_factory(create_transport)
        return self.listen(address, create_connection, no_response)

    def _http_connection_factory(
        self, create_transport: Callable[[socket.socket], Transport]
    ) -> Callable[[socket.socket, bool], Connection]:
        """Return the `create_connection` of a `ListenerSpec` for HTTP."""

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
        """Listen on an address for any protocol; OSError if the address is not available.

        `create_connection` takes an accepted socket and whether it is external. With `reuse_port`,
        two processes of this user may listen on the address. With `start` False it is only bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # A restart must not wait for the connections of the previous process to expire.
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
                if spec.closing.is_set():
                    return
                # The peer has disconnected before the accept, or no descriptor is left. Neither may
                # end the loop.
                self.failed_accepts.add(str(error))
                time.sleep(self.limits.timeouts.accept_retry_seconds)
                continue
            self._admit_or_reject(spec, sock, peer[0])

    def close_listeners(self) -> None:
        """Close every listener at the end of the process.

        A connection that arrives from now on is closed without reading its request, so that its
        peer may send the request elsewhere. A request that was read would stay unanswered.
        """
        self.is_ending = True
        for spec in self.listeners:
            self.close_listener(spec)

    def close_listener(self, spec: ListenerSpec) -> None:
        """Close a listener, after accepting the connections in its backlog.

        It takes `listener_drain_seconds` at most: clients that connect again and again would put
        the close off for ever. The kernel resets a connection that arrives between the last accept
        and `shut_down`; its request is not read.
        """
        if spec.closing.is_set():
            return
        spec.closing.set()
        spec.listener.setblocking(False)  # noqa: FBT003  the socket's signature
        ends_at_seconds = time.monotonic() + self.limits.timeouts.listener_drain_seconds
        try:
            while time.monotonic() < ends_at_seconds:
                sock, peer = spec.listener.accept()
                sock.setblocking(True)  # noqa: FBT003  the socket's signature
                self._admit_or_reject(spec, sock, peer[0])
        except OSError:
            pass
        shut_down(spec.listener)
        spec.listener.close()

    # -- the budget -------------------------------------------------------------------------------

    def _admit_or_reject(self, spec: ListenerSpec, sock: socket.socket, host: str) -> None:
        if self.is_ending:
            sock.close()
            return
        is_external = not self.is_worker_host(host)
        backlog_seconds = 0.0
        if self._is_full(is_external=is_external):
            accepted_at_seconds = time.monotonic()
            age_seconds = self._age_seconds(sock)
            if not self._has_place(spec, age_seconds=age_seconds, is_external=is_external):
                self._reject(spec, sock)
                return
            backlog_seconds = age_seconds + time.monotonic() - accepted_at_seconds
        else:
            self.state.clients_wait = False
            self.may_wait_for_place = True
        connection = spec.create_connection(sock, is_external)
        connection.backlog_seconds = backlog_seconds
        with self.lock:
            self.connections.add(connection)
            if is_external:
                self.external_count += 1
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Workers open a connection for each notification. A pool avoids starting a thread for each.
        self.reader_threads.submit(connection.run)

    def _age_seconds(self, sock: socket.socket) -> float:
        """Return how long a new connection has waited to be accepted, at most the longest wait.

        Where the system does not tell it, it counts as the longest: those behind it must not wait.
        """
        age_seconds = quiet_seconds(sock)
        longest_seconds = self.limits.timeouts.admission_wait_seconds
        return longest_seconds if age_seconds is None else min(age_seconds, longest_seconds)

    def _has_place(self, spec: ListenerSpec, *, age_seconds: float, is_external: bool) -> bool:
        """Make room for a connection if there is none; return whether it may be admitted.

        It waits for a place, as do those behind it in the backlog, until it is
        `admission_wait_seconds` old. Clients that are rejected at once connect again at once, and
        the more often they do, the fewer places are left for others. After a wait in vain nobody
        waits until a connection is admitted: workers' notifications, which end open requests, may
        stand behind it.
        """
        timeouts = self.limits.timeouts
        began_at_seconds = time.monotonic()
        longest_wait_seconds = min(
            timeouts.place_wait_seconds, timeouts.admission_wait_seconds - age_seconds
        )
        while True:
            self._evict_connections(for_external=is_external)
            if not self._is_full(is_external=is_external):
                self.may_wait_for_place = True
                return True
            if not self.may_wait_for_place or spec.closing.is_set():
                return False
            if not self.overload_manager.admits_clients():
                return False
            self.state.clients_wait = True
            if time.monotonic() - began_at_seconds >= longest_wait_seconds:
                # An old connection does not wait, which tells nothing about places.
                self.may_wait_for_place = longest_wait_seconds < timeouts.place_wait_seconds
                return False
            time.sleep(timeouts.admission_check_seconds)

    def _is_full(self, *, is_external: bool) -> bool:
        if is_external and not self.overload_manager.admits_clients():
            return True
        with self.lock:
            return is_budget_spent(
                self.limits.connections,
                open_count=len(self.connections),
                external_count=self.external_count,
                evicted_count=self.evicted_count,
                is_external=is_external,
            )

    def _evict_connections(self, *, for_external: bool) -> None:
        """Make room for a connection; a client takes no worker's place, which it could not use.

        If none can be evicted, the next attempt is made a little later: in a flood, ranking all
        connections for each new one would keep the accepting thread from its backlog.
        """
        now_seconds = time.monotonic()
        if now_seconds < self.evict_again_at_seconds:
            return
        self.evict_again_at_seconds = now_seconds + self.limits.timeouts.eviction_retry_seconds
        candidates = [one for one in self._snapshot() if one.is_external or not for_external]
        for connection in evict_connections(candidates, now_seconds, self.limits):
            # Its place in the budget is free now. Its descriptor is free once its reader thread has
            # closed it.
            self.evict_again_at_seconds = now_seconds
            with self.lock:
                if self._discard(connection):
                    self.evicted_count += 1
                    connection.evicted = True

    def _reject(self, spec: ListenerSpec, sock: socket.socket) -> None:
        """Send the overload response, without reading and without another thread."""
        with self.lock:
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
        """Remove a connection; return False if it was removed before. The caller holds the lock."""
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
        """Decide whether the next request is rejected.

        It is rejected once `open_requests` connections have an open request. The other connections
        remain for notifications, without which no request would end. Connections between requests
        do not count, because they are evicted when a notification needs a connection.
        """
        max_open_requests = self.limits.connections.open_requests
        if len(self.connections) < max_open_requests:
            return False
        with self.lock:
            open_requests = sum(connection.has_open_request() for connection in self.connections)
            return open_requests >= max_open_requests

    # -- backlog ----------------------------------------------------------------------------------

    def wait_for_core(self) -> None:
        """Wait while more events wait for the core than it takes in two batches, or large ones."""
        while self._has_backlog():
            time.sleep(self.limits.loop.core_backlog_check_seconds)

    def _has_backlog(self) -> bool:
        if self.pending_event_count() > self.limits.loop.core_backlog_events:
            return True
        return self.overload_manager.queued_result_memory.is_exceeded()

    # -- timeouts and shutdown --------------------------------------------------------------------

    def enforce_timeouts(self) -> None:
        """Enforce the timeouts of all connections; the main thread calls this periodically."""
        now_seconds = time.monotonic()
        for connection in self._snapshot():
            connection.enforce_timeouts(now_seconds)
        self.overload_manager.run_periodic_tasks(now_seconds)
        self.lingering.close_due(now_seconds)

    def close_idle(self) -> None:
        """Close clients' connections that are between requests."""
        for connection in self._snapshot():
            connection.close_if_idle()

    def delays_shutdown(self) -> bool:
        """Return whether a shutdown must wait for a connection (`Connection.delays_shutdown`)."""
        with self.lock:
            return any(connection.delays_shutdown() for connection in self.connections)


def max_reader_threads(budget: ConnectionLimits) -> int:
    """Return how many connections have a thread at a time: also those that are evicted."""
    return budget.inbound + budget.evicted_unclosed


def is_budget_spent(
    budget: ConnectionLimits,
    *,
    open_count: int,
    external_count: int,
    evicted_count: int,
    is_external: bool,
) -> bool:
    """Decide whether a new connection must be rejected unless another one is evicted.

    - `open_count` connections are open, of them `external_count` from hosts without a worker.
      Workers may use all of `inbound`. External connections leave `reserved_for_workers` free, so
      that notifications still arrive when clients use all other connections, and also when the
      budget has become smaller than what clients have open.
    - `evicted_count` evicted connections still use a descriptor, because their threads have not
      closed them yet. At most `evicted_unclosed` of them are admitted on top of `inbound`, so that
      the process does not run out of descriptors.
    """
    worker_count = open_count - external_count
    if not is_external and worker_count < budget.reserved_for_workers:
        return False
    max_descriptors = budget.inbound + budget.evicted_unclosed
    if open_count + evicted_count >= max_descriptors:
        return True
    max_external = budget.inbound - budget.reserved_for_workers
    if is_external and external_count >= max_external:
        return True
    return open_count >= budget.inbound
