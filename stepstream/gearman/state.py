"""The state that the parts of the Gearman service share: tables, configuration and output.

A service has one `ServiceState`. The front that owns the service guards it with its lock. No
function here blocks.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stepstream.config.limits import Limits
from stepstream.config.operator_file import GearmanSection
from stepstream.core.commands import Answer
from stepstream.core.events import Event
from stepstream.gearman.jobs import Job, JobTable
from stepstream.gearman.names import MILLISECOND_US
from stepstream.gearman.peers import Peer
from stepstream.gearman.workers import WorkerTable
from stepstream.model.settings import Settings
from stepstream.ports.access_control import AccessControl
from stepstream.runtime.byte_budget import ByteBudget

FRONT_NAME = "gearman"  # in access control, and as the source of workers in the core
SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class OutgoingBytes:
    """Bytes to send to a peer; nothing is sent after bytes with `close`."""

    peer: Peer
    data: bytes
    close: bool = False


@dataclass(slots=True)
class Output:
    """Bytes for peers and events for the core, each in order."""

    sends: list[OutgoingBytes] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)

    def send(self, peer: Peer, data: bytes, *, close: bool = False) -> None:
        """Add bytes for a peer, unless it has disconnected."""
        if not peer.disconnected:
            self.sends.append(OutgoingBytes(peer, data, close))

    def post(self, event: Event) -> None:
        """Add an event."""
        self.events.append(event)

    def post_all(self, events: Iterable[Event]) -> None:
        """Add events."""
        self.events.extend(events)


@dataclass(slots=True)
class ServiceHost:
    """The functions and the access control that the program provides to the service."""

    new_request_id: Callable[[], str]  # unique, and not to be guessed by a peer
    is_overloaded: Callable[[], bool]  # the core accepts no further request
    open_request_memory: ByteBudget  # for the workloads of open jobs
    buffered_memory: ByteBudget  # for the chunks of results
    is_closing: Callable[[], bool]  # the last phase of a shutdown: no new jobs
    # The core's answer to a job and its progress; called on the decision thread.
    on_answer: Callable[[Job, Answer], None]
    on_progress: Callable[[Job, int, int], None]
    access_control: AccessControl | None = None  # None: peers are not identified


class ServiceState:
    """The tables, configuration and output of one service."""

    def __init__(
        self,
        name: str,
        section: GearmanSection,
        settings: Settings,
        limits: Limits,
        host: ServiceHost,
    ) -> None:
        """Create empty tables; `name` is this dispatcher's, and part of each job handle."""
        self.name = name
        self.section = section
        self.settings = settings
        self.limits = limits
        self.host = host
        self.jobs = JobTable(
            section.outcome_retention_seconds * SECOND_US, max_retained_outcomes(section, limits)
        )
        self.workers = WorkerTable(
            section.queue,
            section.queue_wait_ms * MILLISECOND_US,
            limits.gearman.partial_result_bytes,
            host.buffered_memory,
        )
        self.peers: dict[Peer, None] = {}  # a set in the order of connecting
        self.max_queue: dict[str, int] = {}  # by function, set by the text command `maxqueue`
        self.peer_count = 0  # since the start
        self.handle_count = 0  # since the start
        self.output = Output()

    def reconfigure(self, section: GearmanSection, settings: Settings, limits: Limits) -> None:
        """Apply a reload; open jobs and connected workers stay as they are."""
        self.section = section
        self.settings = settings
        self.limits = limits
        self.jobs.retention_us = section.outcome_retention_seconds * SECOND_US
        self.jobs.max_retained = max_retained_outcomes(section, limits)
        self.workers.queue_length = section.queue
        self.workers.queue_wait_us = section.queue_wait_ms * MILLISECOND_US

    def new_handle(self) -> str:
        """Return a job handle that was never used before."""
        self.handle_count += 1
        return f"H:{self.name}:{self.handle_count}"

    def take_output(self) -> Output:
        """Return the output since the last call."""
        output = self.output
        self.output = Output()
        return output


def max_retained_outcomes(section: GearmanSection, limits: Limits) -> int:
    """Return how many outcomes are retained: as the operator says, as far as the memory allows."""
    return min(section.max_retained_outcomes, limits.gearman.retained_outcomes)
