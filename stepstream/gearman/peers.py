"""Records of connections, workers and their calls; free of I/O.

The tables of `jobs` and `workers` and the parts of the service share these records, all under the
lock of the front that owns the service. Times are microseconds on the node's clock.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.core.job_results import ResultChunk
from stepstream.core.requests import Call
from stepstream.gearman.names import WorkerIdentity
from stepstream.gearman.session import Session
from stepstream.model.endpoints import Endpoint, EndpointState
from stepstream.ports.access_control import Credential
from stepstream.runtime.byte_budget import ByteReservation


@dataclass(eq=False, slots=True)
class QueuedCall:
    """A call that waits for its worker's next GRAB_JOB; it has certainly not run."""

    call: Call
    class_name: str
    tenant: str
    queued_at_us: int


@dataclass(eq=False, slots=True)
class AssignedCall:
    """A call whose job was assigned to its worker; it may have run."""

    call: Call
    handle: str  # the job handle that the worker was given
    function: str  # the name under which the worker registered it
    chunks: list[ResultChunk] = field(default_factory=list)  # of WORK_DATA and WORK_WARNING
    chunk_bytes: int = 0
    reservation: ByteReservation | None = None  # of the chunks


@dataclass(eq=False, slots=True)
class Worker:
    """A connection in its role as a worker, from its first CAN_DO on."""

    peer: "Peer"
    worker_id: str  # its id in the core while it is connected
    identity: WorkerIdentity
    timeouts_us: dict[str, int] = field(
        default_factory=dict
    )  # by registered function; 0: no timeout
    queue: deque[QueuedCall] = field(default_factory=deque)
    assigned: dict[str, AssignedCall] = field(default_factory=dict)  # by job handle
    ended_handles: OrderedDict[str, None] = field(default_factory=OrderedDict)  # oldest first
    asleep: bool = False  # it has sent PRE_SLEEP and waits for a NOOP

    def endpoint(self, state: EndpointState | None = None) -> Endpoint:
        """Return the worker as an endpoint of the core; it drains if it has no function."""
        identity = self.identity
        default_state = EndpointState.ACTIVE if self.timeouts_us else EndpointState.DRAINING
        return Endpoint(
            worker_id=self.worker_id,
            zone=identity.zone,
            worker_kind=identity.kind,
            cell=identity.cell,
            state=state or default_state,
            weight=identity.weight,
            started_us=identity.started_us,
            supported_jobs=frozenset(self.timeouts_us),
        )


@dataclass(eq=False, slots=True)
class Peer:
    """A connection in the service; its peer may be a client, a worker and an operator at once."""

    session: Session
    host: str = ""
    connection_number: int = 0  # 1 for the first connection since the start
    client_id: bytes = b""  # as SET_CLIENT_ID gave it
    token: bytes | None = None
    certificate: object = None  # set by the connection's reader thread before its first packet
    authorized_at_us: int = 0  # when its credential was last verified for its worker id
    worker: Worker | None = None
    disconnected: bool = False
    # Whether its connection was closed by its side, as the system knows it; any thread calls it.
    has_left: Callable[[], bool] = lambda: False

    @property
    def credential(self) -> Credential:
        """The token and certificate that the peer has presented."""
        return Credential(self.token, self.certificate)
