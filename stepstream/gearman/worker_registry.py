"""The worker registry: it registers and removes workers and their functions.

Each change is posted to the core as an update of the endpoint list, before the calls that the
change ends. Reader threads call this module, under the lock of the front that owns the service.
"""

import re
from dataclasses import replace

from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.codec import Packet, parse_number_argument
from stepstream.gearman.errors import RequestError
from stepstream.gearman.names import WorkerIdentity, parse_client_id
from stepstream.gearman.peers import Peer, Worker
from stepstream.gearman.state import FRONT_NAME, SECOND_US, ServiceState
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState

FUNCTION_NAME = re.compile(r"[!-*,-~]{1,128}")  # printable, no space and no +
NO_TIMEOUT = b"0"


class WorkerRegistry:
    """Handles SET_CLIENT_ID, CAN_DO, CAN_DO_TIMEOUT, CANT_DO and RESET_ABILITIES."""

    def __init__(self, state: ServiceState, access: AccessChecks) -> None:
        self.state = state
        self.access = access

    def set_client_id(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Handle SET_CLIENT_ID; remove and register a worker again if its identity changes."""
        (client_id,) = packet.args
        identity = parse_client_id(
            client_id, self.state.settings, self.state.section.worker, now_us
        )
        peer.client_id = client_id
        worker = peer.worker
        if worker is None:
            return
        if is_same_identity(worker.identity, identity):
            return
        if worker.assigned:
            raise RequestError("BAD_CLIENT_ID", "a worker that holds jobs keeps its id")
        timeouts_us = worker.timeouts_us
        self.remove(peer)
        new_worker = self._get_or_register(now_us, peer)
        new_worker.timeouts_us.update(timeouts_us)
        self._post_endpoint(new_worker)

    def can_do(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Handle CAN_DO, and CAN_DO_TIMEOUT with its timeout in seconds: register a function."""
        function_name, *timeouts = packet.args
        function = function_name.decode("utf-8", "replace")
        if not FUNCTION_NAME.fullmatch(function):
            raise RequestError(
                "BAD_FUNCTION", "a function's name has 1 to 128 printable characters, none a +"
            )
        timeout_seconds = parse_number_argument("timeout", timeouts[0] if timeouts else NO_TIMEOUT)
        worker = self._get_or_register(now_us, peer)
        max_functions = self.state.limits.gearman.functions_per_worker
        if function not in worker.timeouts_us and len(worker.timeouts_us) >= max_functions:
            raise RequestError("TOO_MANY_FUNCTIONS", f"a worker names at most {max_functions}")
        self.state.workers.add_function(worker, function, timeout_seconds * SECOND_US)
        self._post_endpoint(worker)

    def cant_do(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Handle CANT_DO: remove a function of a worker."""
        self._remove_functions(peer, packet.args[0].decode("utf-8", "replace"))

    def reset_abilities(self, _now_us: int, peer: Peer, _packet: Packet) -> None:
        """Handle RESET_ABILITIES: remove all functions of a worker."""
        self._remove_functions(peer, None)

    def remove(self, peer: Peer) -> None:
        """Remove the worker of a peer, if the peer has registered as one."""
        worker = peer.worker
        peer.worker = None
        if worker is not None:
            # The core must learn of the removal first, so that it sends no ended call here again.
            self._post_endpoint(worker, EndpointState.REMOVED)
            self.state.output.post_all(self.state.workers.remove(worker))

    def _remove_functions(self, peer: Peer, function: str | None) -> None:
        """Remove one function of a worker, or all for None."""
        worker = peer.worker
        if worker is not None:
            ended = self.state.workers.remove_functions(worker, function)
            self._post_endpoint(worker)
            self.state.output.post_all(ended)

    def _get_or_register(self, now_us: int, peer: Peer) -> Worker:
        """Return the worker of a peer; register the peer as a worker if it is none yet."""
        if peer.worker is not None:
            return peer.worker
        max_workers = self.state.limits.gearman.workers
        if len(self.state.workers.by_id) >= max_workers:
            raise RequestError("TOO_MANY_WORKERS", f"at most {max_workers} workers may join here")
        client_id = peer.client_id or f"c{peer.connection_number}".encode()
        identity = parse_client_id(
            client_id, self.state.settings, self.state.section.worker, now_us
        )
        self.access.check_new_worker(peer, identity.name)
        peer.worker = self.state.workers.add(peer, identity)
        return peer.worker

    def _post_endpoint(self, worker: Worker, state: EndpointState | None = None) -> None:
        change = EndpointList(EndpointListKind.CHANGES, (worker.endpoint(state),))
        self.state.output.post(EndpointsUpdated(FRONT_NAME, change))


def is_same_identity(known: WorkerIdentity, announced: WorkerIdentity) -> bool:
    """Decide whether a new client id leaves the worker's identity unchanged.

    The start time is not compared. Without `start` in the client id, each SET_CLIENT_ID would set a
    new start time, and a warm worker would go through slow start again.
    """
    return known == replace(announced, started_us=known.started_us)
