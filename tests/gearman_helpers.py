"""The core, the module and the Gearman desk on one clock without a socket; peers are lists of packets."""

from dataclasses import replace

from net_helpers import LIMITS, SETTINGS

from stepstream.config.operator_file import GearmanSection
from stepstream.core.commands import Answer, Progress, StartCall, StopCall
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.events import JobNotification, JobStatus
from stepstream.gearman import codec
from stepstream.gearman.codec import Kind, Parser
from stepstream.gearman.desk import SOURCE, Desk, House
from stepstream.gearman.session import Reply, Session
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.settings import Effect, JobClass

START = 1_800_000_000_000_000
SECTION = GearmanSection(listen="127.0.0.1:4730", tenant="tatra-invest", queue=2)
UNSAFE = JobClass(
    latency_objective_us=200_000, deadline_us=5_000_000, effect=Effect.NOT_IDEMPOTENT, name="once"
)
THREE = replace(SETTINGS, classes=(*SETTINGS.classes, UNSAFE), polls_endpoints=False)


class Plug:
    """One peer: what it sends goes through its session, what it gets is kept as packets."""

    def __init__(self, floor):
        self.floor, self.session = floor, Session(LIMITS)
        self.peer = floor.desk.opened(self.session, "127.0.0.1")
        self.parser, self.got, self.text, self.ended = Parser(LIMITS, answers=True), [], b"", False

    def send(self, kind, *args):
        return self.raw(codec.request(kind, *args))

    def raw(self, data):
        before = len(self.got)
        for step in self.session.feed(data):
            if isinstance(step, Reply):
                self.floor.desk.send(self.peer, step.data, step.close)
            elif isinstance(step, codec.Packet):
                self.floor.desk.on_packet(self.floor.now, self.peer, step)
            else:
                self.floor.shut = self.floor.desk.on_line(self.floor.now, self.peer, step.words)
        self.floor.settle()
        return self.got[before:]

    def take(self, data, close):
        if data[:1] != b"\0":
            self.text += data
            return
        self.parser.feed(data)
        while (packet := self.parser.next()) is not None:
            self.got.append(packet)
        self.ended = self.ended or close

    def of(self, *kinds):
        return [packet for packet in self.got if packet.kind in kinds]

    def leave(self):
        self.floor.desk.closed(self.peer)
        self.floor.settle()

    def join(self, name="w", *functions, extra=""):
        self.send(Kind.SET_CLIENT_ID, f"{name};start=1{extra}")
        for function in functions or ("revalue", "nav-publish"):
            self.send(Kind.CAN_DO, function)
        return self

    def grab(self):
        """The job handed over (handle, function, unique, workload), or None."""
        (packet,) = [
            p
            for p in self.send(Kind.GRAB_JOB_UNIQ)
            if p.kind in (Kind.NO_JOB, Kind.JOB_ASSIGN_UNIQ)
        ]
        return packet.args or None


class Floor:
    def __init__(self, settings=THREE, section=SECTION, limits=LIMITS):
        self.now, self.shut, self.ids = START, False, 0
        self.faults, self.http, self.stopped = [], [], []
        self.core = Dispatcher(settings, 1, self.now, 2_000, 4_000, self.faults.append)
        self.closing = self.full = False
        house = House(
            self.new_id, lambda: self.full, lambda: self.closing, self.on_answer, self.on_progress
        )
        self.desk = Desk("n0", section, settings, limits, house)
        self.plugs = []

    def new_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    def on_answer(self, job, answer):
        self.desk.answer(self.now, job, answer)

    def on_progress(self, job, done, of):
        self.desk.progress(job, done, of)

    def plug(self):
        self.plugs.append(Plug(self))
        return self.plugs[-1]

    def http_worker(self, name="s-1"):
        self.tell(
            EndpointsUpdated(
                "discovery", EndpointList(EndpointListKind.COMPLETE, (Endpoint(name),))
            )
        )

    def tell(self, *events):
        self.run(list(events))
        self.settle()

    def settle(self):
        while True:
            out = self.desk.take()
            for send in out.sends:
                for plug in self.plugs:
                    if plug.peer is send.peer:
                        plug.take(send.data, send.close)
            if not out.events:
                return
            self.run(out.events)

    def run(self, events):
        for command in self.core.handle(self.now, events):
            match command:
                case StartCall(call):
                    gearman = self.core.endpoints.owner(call.worker_id) == SOURCE
                    call.carrier = self.desk if gearman else None
                    self.desk.start(self.now, call) if gearman else self.http.append(call)
                case StopCall(call):
                    self.stopped.append(call)
                    self.desk.stop(call)
                case Answer(request):
                    request.response_sink.answer(command)
                case Progress(request, done, of):
                    request.response_sink.progress(done, of)

    def http_news(self, call, news, result=None, progress=None):
        self.tell(JobNotification(call.request.id, call.worker_id, news, result, progress))

    def http_done(self, call, result="17.5"):
        self.http_news(call, JobStatus.DONE, result)

    def later(self, us, step=100_000):
        """Time passes; timers ring as they come due."""
        until = self.now + us
        while self.now < until:
            due = self.core.next_timer_us()
            self.now = min(until, self.now + step, max(due, self.now + 1) if due else until)
            self.run([])
            self.desk.look(self.now)
            self.settle()
        assert not self.faults
