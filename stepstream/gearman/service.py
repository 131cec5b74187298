"""The Gearman service, without sockets: it routes each input to the part that handles it.

The inputs are peers' packets and the core's answers and calls; the outputs are packets for peers
and events for the core, which `take_output` returns. The front that owns the service guards it with
one lock: reader threads pass packets, the decision thread passes answers and calls, and the main
thread reloads and runs periodic tasks. No method blocks.
"""

from collections.abc import Callable

from stepstream.config.limits import Limits
from stepstream.config.operator_file import GearmanSection
from stepstream.core.commands import Answer
from stepstream.core.requests import Call
from stepstream.gearman.access import AccessChecks
from stepstream.gearman.admin import AdminCommands
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.errors import GearmanError
from stepstream.gearman.job_admission import SUBMIT_JOB_KINDS, JobAdmission
from stepstream.gearman.job_assignment import GRAB_JOB_KINDS, JobAssignment
from stepstream.gearman.jobs import Job
from stepstream.gearman.notifications import ClientNotifier
from stepstream.gearman.peers import Peer
from stepstream.gearman.session import Session
from stepstream.gearman.state import Output, ServiceHost, ServiceState
from stepstream.gearman.text_commands import (
    TextCommand,
    error_line,
    parse_command,
    unknown_command_error,
)
from stepstream.gearman.work_reports import WORK_REPORT_KINDS, WorkReports
from stepstream.gearman.worker_registry import WorkerRegistry
from stepstream.model.settings import Settings

PacketHandler = Callable[
    [int, Peer, Packet], None
]  # the first argument is the time in microseconds


class GearmanService:
    """Creates the parts of the service, and passes each packet to the part that handles it."""

    def __init__(
        self,
        name: str,
        section: GearmanSection,
        settings: Settings,
        limits: Limits,
        host: ServiceHost,
    ) -> None:
        """Create the parts; `name` is this dispatcher's, and part of each job handle."""
        self.state = ServiceState(name, section, settings, limits, host)
        self.access = AccessChecks(self.state)
        self.admission = JobAdmission(self.state, self.access)
        self.registry = WorkerRegistry(self.state, self.access)
        self.assignment = JobAssignment(self.state, self.access)
        self.reports = WorkReports(self.state, self.assignment)
        self.notifier = ClientNotifier(self.state, self.access)
        self.admin = AdminCommands(self.state, self.notifier)
        # ALL_YOURS has no handler: it only states that the worker has no other server.
        self.handlers: dict[PacketKind, PacketHandler] = {
            **dict.fromkeys(SUBMIT_JOB_KINDS, self.admission.submit),
            **dict.fromkeys(GRAB_JOB_KINDS, self.assignment.grab_job),
            **dict.fromkeys(WORK_REPORT_KINDS, self.reports.handle_report),
            PacketKind.OPTION_REQ: self.access.set_token,
            PacketKind.GET_STATUS: self.notifier.send_status,
            PacketKind.GET_STATUS_UNIQUE: self.notifier.send_status_by_unique,
            PacketKind.PRE_SLEEP: self.assignment.pre_sleep,
            PacketKind.SET_CLIENT_ID: self.registry.set_client_id,
            PacketKind.CAN_DO: self.registry.can_do,
            PacketKind.CAN_DO_TIMEOUT: self.registry.can_do,
            PacketKind.CANT_DO: self.registry.cant_do,
            PacketKind.RESET_ABILITIES: self.registry.reset_abilities,
        }

    def reconfigure(self, section: GearmanSection, settings: Settings, limits: Limits) -> None:
        """Apply a reload; open jobs and connected workers stay as they are."""
        self.state.reconfigure(section, settings, limits)

    def take_output(self) -> Output:
        """Return the bytes for peers and the events since the last call, each in order."""
        return self.state.take_output()

    # -- connections ------------------------------------------------------------------------------

    def connect(self, session: Session, host: str) -> Peer:
        """Add a new connection; return its peer."""
        self.state.peer_count += 1
        peer = Peer(session, host, self.state.peer_count)
        self.state.peers[peer] = None
        return peer

    def disconnect(self, peer: Peer) -> None:
        """End the foreground jobs and the worker of a connection that has ended."""
        if peer.disconnected:
            return
        peer.disconnected = True
        self.state.peers.pop(peer, None)
        self.notifier.remove_client(peer)
        self.registry.remove(peer)

    def send(self, peer: Peer, data: bytes, *, close: bool = False) -> None:
        """Send bytes to a peer, in order with its other packets."""
        self.state.output.send(peer, data, close=close)

    def on_packet(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Handle a packet; reply to the peer if it raises an error."""
        handler = self.handlers.get(packet.kind)
        if handler is None:
            return
        try:
            handler(now_us, peer, packet)
        except GearmanError as error:
            reply = peer.session.reply_to_error(error)
            self.send(peer, reply.data, close=reply.close)

    def on_text_command(self, now_us: int, peer: Peer, tokens: tuple[str, ...]) -> bool:
        """Run a text command; return whether the program is to shut down."""
        if tokens[0] != TextCommand.VERSION.value:
            rejection = self.access.authorize_command(peer, tokens)
            if rejection is not None:
                self.send(peer, error_line(rejection.kind.value, rejection.reason).encode())
                return False
        parsed = parse_command(tokens)
        if parsed is None:
            self.send(peer, unknown_command_error().encode())
            return False
        result = self.admin.run(now_us, parsed)
        self.send(peer, result.answer.encode())
        return result.shuts_down

    # -- the core ---------------------------------------------------------------------------------

    def answer(self, now_us: int, job: Job, answer: Answer) -> None:
        """Handle the core's final answer to a job."""
        self.notifier.send_outcome(now_us, job, answer)

    def progress(self, job: Job, numerator: int, denominator: int) -> None:
        """Handle the progress of a job."""
        self.notifier.send_progress(job, numerator, denominator)

    def start(self, now_us: int, call: Call) -> None:
        """Queue a call until its worker requests a job."""
        self.assignment.start(now_us, call)

    def stop(self, call: Call) -> None:
        """Drop a call that the core has given up."""
        self.assignment.stop(call)

    def run_periodic_tasks(self, now_us: int) -> None:
        """End queued calls that waited too long, and drop expired outcomes of background jobs."""
        self.assignment.expire_queued(now_us)
        self.state.jobs.expire_outcomes(now_us)
