"""The Gearman front and carrier: its listeners, and its connection to the core.

`GearmanFront` owns the service and guards it with its lock. The main thread opens listeners,
reloads and runs periodic tasks. The decision thread passes the core's answers and calls. One reader
thread per connection passes what the peer sends. One writer thread sends what slow peers did not
accept at once.
"""

import secrets
import socket
import threading
from collections.abc import Callable
from queue import SimpleQueue

from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import GearmanSection, split_address
from stepstream.core.commands import Answer
from stepstream.core.requests import Call
from stepstream.gearman import codec
from stepstream.gearman.connection import GearmanConnection
from stepstream.gearman.jobs import Job
from stepstream.gearman.peers import Peer
from stepstream.gearman.service import GearmanService
from stepstream.gearman.state import ServiceHost
from stepstream.gearman.writer import THREAD_NAME, Writer
from stepstream.http.server import InboundServer
from stepstream.model.events import HealthChecked
from stepstream.ports.access_control import AccessControl
from stepstream.ports.connections import ListenerSpec
from stepstream.runtime.threads import spawn_thread
from stepstream.runtime.transport import Transport

OVERLOAD_RESPONSE = codec.encode_error("SERVER_FULL", "refused: too many connections")
REQUEST_ID_RANDOM_BYTES = 8


class GearmanFront:
    """Listens for Gearman's peers, and carries the core's calls to its workers; a `ports.Carrier`.

    `lock` guards the service and `connections`. A thread that holds it may take the server's lock
    and a connection's lock.
    """

    def __init__(
        self,
        section: GearmanSection,
        config: NodeConfig,
        server: InboundServer,
        signals: "SimpleQueue[int]",
        pending_event_count: Callable[[], int],
        access_control: AccessControl | None = None,
    ) -> None:
        """Create the front; `pending_event_count` returns how many events wait for the core."""
        self.server = server
        self.signals = signals
        self.pending_event_count = pending_event_count
        self.address = split_address(section.listen)
        self.lock = threading.RLock()
        self.connections: dict[Peer, GearmanConnection] = {}
        self.writer = Writer()
        host = ServiceHost(
            new_request_id=lambda: secrets.token_hex(REQUEST_ID_RANDOM_BYTES),
            is_overloaded=server.is_overloaded,
            open_request_memory=server.overload_manager.open_request_memory,
            buffered_memory=server.overload_manager.buffered_memory,
            is_closing=lambda: server.state.closing,
            on_answer=self._on_answer,
            on_progress=self._on_progress,
            access_control=access_control,
        )
        self.service = GearmanService(config.name, section, config.settings, server.limits, host)

    # -- the main thread --------------------------------------------------------------------------

    def listen(self) -> ListenerSpec:
        """Open the listener and start the writer thread; raise OSError if that fails."""
        spec = self.server.listen(
            self.address, self._connection_factory(Transport), lambda: OVERLOAD_RESPONSE
        )
        spawn_thread(THREAD_NAME, self.writer.run)  # it runs until the process ends
        return spec

    def listen_with_transport(
        self, address: tuple[str, int], create_transport: Callable[[socket.socket], Transport]
    ) -> ListenerSpec:
        """Listen over another kind of transport; raise OSError if that fails.

        Connections beyond the server's limit are closed without an answer.
        """
        no_response = bytes  # called, it returns b""
        return self.server.listen(address, self._connection_factory(create_transport), no_response)

    def _connection_factory(
        self, create_transport: Callable[[socket.socket], Transport]
    ) -> Callable[[socket.socket, bool], GearmanConnection]:
        def create_connection(sock: socket.socket, is_external: bool) -> GearmanConnection:  # noqa: FBT001  as ListenerSpec calls it
            return GearmanConnection(create_transport(sock), self, is_external=is_external)

        return create_connection

    def reconfigure(self, section: GearmanSection, config: NodeConfig) -> None:
        """Apply a reload; open jobs, workers and connections stay as they are."""
        with self.lock:
            self.service.reconfigure(section, config.settings, self.server.limits)

    def run_periodic_tasks(self) -> None:
        """End queued calls that waited too long, and drop expired outcomes of background jobs."""
        with self.lock:
            self.service.run_periodic_tasks(self.now_us())
            self.flush()

    # -- any thread -------------------------------------------------------------------------------

    def now_us(self) -> int:
        """Return the time on the node's clock in microseconds."""
        return self.server.clock.now_us()

    def flush(self) -> None:
        """Send and post the service's output.

        The caller holds the lock, so that bytes and events leave in the order in which the service
        produced them.
        """
        output = self.service.take_output()
        for send in output.sends:
            connection = self.connections.get(send.peer)
            if connection is not None:
                connection.send(send.data, close=send.close)
        for event in output.events:
            self.server.post(event)

    # -- the decision thread ----------------------------------------------------------------------

    def _on_answer(self, job: Job, answer: Answer) -> None:
        with self.lock:
            self.service.answer(self.now_us(), job, answer)
            self.flush()

    def _on_progress(self, job: Job, numerator: int, denominator: int) -> None:
        with self.lock:
            self.service.progress(job, numerator, denominator)
            self.flush()

    def start(self, call: Call) -> None:
        """Queue a call until its worker requests a job."""
        with self.lock:
            self.service.start(self.now_us(), call)
            self.flush()

    def stop(self, call: Call) -> None:
        """Drop a call if it is still queued; a worker that holds it already finishes it."""
        with self.lock:
            self.service.stop(call)

    def check_health(self, worker: str) -> None:
        """Report whether a worker is connected; the protocol has no health check of a worker."""
        with self.lock:
            is_connected = worker in self.service.state.workers.by_id
            self.server.post(HealthChecked(worker, is_connected))
