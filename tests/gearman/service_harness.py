"""The core, the policy and the Gearman service on a simulated clock, with peers; no sockets."""

from dataclasses import replace

import msgspec

from stepstream.config.operator_file import GearmanSection
from stepstream.core.commands import Answer, Progress, StartCall, StopCall
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.events import JobNotification, JobStatus
from stepstream.gearman import codec
from stepstream.gearman.codec import PacketKind, Parser
from stepstream.gearman.service import GearmanService
from stepstream.gearman.session import Reply, Session
from stepstream.gearman.state import FRONT_NAME, ServiceHost
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.settings import Effect, JobClass
from stepstream.runtime.byte_budget import ByteBudget
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.harness import RecordingLog

START_US = 1_800_000_000_000_000
SECTION = GearmanSection(listen="127.0.0.1:4730", tenant="tatra-invest", queue=2)
OUTCOME_KINDS = (PacketKind.WORK_COMPLETE, PacketKind.WORK_FAIL)
NOT_IDEMPOTENT_CLASS = JobClass(
    latency_objective_us=200_000, deadline_us=5_000_000, effect=Effect.NOT_IDEMPOTENT, name="once"
)
SETTINGS_WITH_NOT_IDEMPOTENT_CLASS = replace(
    POLICY_SETTINGS, classes=(*POLICY_SETTINGS.classes, NOT_IDEMPOTENT_CLASS), polls_endpoints=False
)


class FakePeer:
    """A peer whose bytes go through its session, and which keeps the packets that it receives."""

    def __init__(self, harness):
        self.harness = harness
        self.session = Session(LIMITS)
        self.peer = harness.service.connect(self.session, "127.0.0.1")
        self.parser = Parser(LIMITS, responses=True)
        self.received = []
        self.command_output = b""
        self.closed_by_service = False

    def send(self, kind, *args):
        """Send a packet; return the packets received in reply."""
        return self.send_bytes(codec.encode_request(kind, *args))

    def send_bytes(self, data):
        """Send bytes; return the packets received in reply."""
        count_before = len(self.received)
        for step in self.session.feed(data):
            if isinstance(step, Reply):
                self.harness.service.send(self.peer, step.data, close=step.close)
            elif isinstance(step, codec.Packet):
                self.harness.service.on_packet(self.harness.now_us, self.peer, step)
            else:
                self.harness.shutdown_requested = self.harness.service.on_text_command(
                    self.harness.now_us, self.peer, step.tokens
                )
        self.harness.deliver_output()
        return self.received[count_before:]

    def receive(self, data, close):
        """Keep what the service sends: packets, or the answer to a text command."""
        if data[:1] != b"\0":
            self.command_output += data
            return
        self.parser.feed(data)
        while (packet := self.parser.next_message()) is not None:
            self.received.append(packet)
        self.closed_by_service = self.closed_by_service or close

    def packets_of(self, *kinds):
        """Return the received packets of these kinds."""
        return [packet for packet in self.received if packet.kind in kinds]

    def disconnect(self):
        """End the connection."""
        self.harness.service.disconnect(self.peer)
        self.harness.deliver_output()

    def register_worker(self, name="w", *functions, fields=""):
        """Register as a worker; `fields` is appended to the client id."""
        self.send(PacketKind.SET_CLIENT_ID, f"{name};start=1{fields}")
        for function in functions or ("revalue", "nav-publish"):
            self.send(PacketKind.CAN_DO, function)
        return self

    def grab_job(self):
        """Return the assigned job (handle, function, unique, workload), or None."""
        (packet,) = [
            packet
            for packet in self.send(PacketKind.GRAB_JOB_UNIQ)
            if packet.kind in (PacketKind.NO_JOB, PacketKind.JOB_ASSIGN_UNIQ)
        ]
        return packet.args or None


class ServiceHarness:
    """The service, the real core and all peers, on a clock that only the test advances."""

    def __init__(self, settings=SETTINGS_WITH_NOT_IDEMPOTENT_CLASS, section=SECTION, limits=LIMITS):
        self.now_us = START_US
        self.shutdown_requested = False
        self.request_count = 0
        self.log = RecordingLog()
        self.http_calls = []
        self.stopped_calls = []
        self.core = Dispatcher(settings, 1, self.now_us, 2_000, 4_000, self.log)
        self.closing = False
        self.overloaded = False
        self.host = ServiceHost(
            new_request_id=self.new_request_id,
            is_overloaded=lambda: self.overloaded,
            open_request_memory=ByteBudget(limits.memory.open_request_bytes),
            buffered_memory=ByteBudget(limits.memory.buffered_bytes),
            is_closing=lambda: self.closing,
            on_answer=self.on_answer,
            on_progress=self.on_progress,
        )
        self.service = GearmanService("n0", section, settings, limits, self.host)
        self.peers = []

    @property
    def state(self):
        """The service's state."""
        return self.service.state

    def new_request_id(self):
        """Return the next request id."""
        self.request_count += 1
        return f"{self.request_count:016x}"

    def on_answer(self, job, answer):
        """Pass a final answer to the service."""
        self.service.answer(self.now_us, job, answer)

    def on_progress(self, job, done, total):
        """Pass a job's progress to the service."""
        self.service.progress(job, done, total)

    def connect(self):
        """Return a new peer."""
        self.peers.append(FakePeer(self))
        return self.peers[-1]

    def list_http_worker(self, name="s-1"):
        """Post an endpoint list of discovery with one HTTP worker."""
        self.post_events(
            EndpointsUpdated(
                "discovery", EndpointList(EndpointListKind.COMPLETE, (Endpoint(name),))
            )
        )

    def post_events(self, *events):
        """Pass events to the core, and deliver the resulting output."""
        self.run_core(list(events))
        self.deliver_output()

    def deliver_output(self):
        """Deliver the service's output to peers and core until there is no more."""
        while True:
            output = self.service.take_output()
            for send in output.sends:
                for peer in self.peers:
                    if peer.peer is send.peer:
                        peer.receive(send.data, send.close)
            if not output.events:
                return
            self.run_core(output.events)

    def run_core(self, events):
        """Run one round of the core, and execute its commands."""
        for command in self.core.handle(self.now_us, events):
            match command:
                case StartCall(call):
                    is_gearman = self.core.endpoints.owner(call.worker_id) == FRONT_NAME
                    call.carrier = self.service if is_gearman else None
                    if is_gearman:
                        self.service.start(self.now_us, call)
                    else:
                        self.http_calls.append(call)
                case StopCall(call):
                    self.stopped_calls.append(call)
                    self.service.stop(call)
                case Answer(request):
                    request.response_sink.answer(command)
                case Progress(request, done, total):
                    request.response_sink.progress(done, total)

    def notify_from_http_worker(self, call, status, result=None, progress=None):
        """Notify the core of a call's status, as its HTTP worker does."""
        self.post_events(JobNotification(call.request.id, call.worker_id, status, result, progress))

    def complete_http_call(self, call, result="17.5"):
        """Notify the core that an HTTP worker has completed a call."""
        self.notify_from_http_worker(call, JobStatus.DONE, result)

    def advance_time(self, duration_us, step_us=100_000):
        """Advance the clock in steps of at most `step_us`; run timers when they are due."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            timer_us = self.core.next_timer_us()
            self.now_us = min(
                end_us,
                self.now_us + step_us,
                max(timer_us, self.now_us + 1) if timer_us else end_us,
            )
            self.run_core([])
            self.service.run_periodic_tasks(self.now_us)
            self.deliver_output()
        assert not self.log.events


def section_with(**fields):
    """Return a copy of `SECTION` in which these fields are replaced."""
    return msgspec.structs.replace(SECTION, **fields)


def harness_with_worker(**options):
    """Return a harness and a registered worker."""
    harness = ServiceHarness(**options)
    worker = harness.connect().register_worker()
    harness.advance_time(10_000)
    return harness, worker


def submit_job(peer, function="revalue", unique="", workload="x", kind=PacketKind.SUBMIT_JOB):
    """Submit a job; return its handle."""
    packets = peer.send(kind, function, unique, workload)
    (packet,) = [packet for packet in packets if packet.kind is PacketKind.JOB_CREATED]
    return packet.args[0]


def error_code(packets):
    """Return the code of the only ERROR among these packets."""
    (packet,) = [packet for packet in packets if packet.kind is PacketKind.ERROR]
    return packet.args[0].decode()


def job_status(peer, handle):
    """Ask for a job's status; return known, running, numerator and denominator."""
    packets = peer.send(PacketKind.GET_STATUS, handle)
    (packet,) = [packet for packet in packets if packet.kind is PacketKind.STATUS_RES]
    return tuple(int(number) for number in packet.args[1:])
