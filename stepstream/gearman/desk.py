"""The whole Gearman side without its sockets: packets, answers and calls in, packets and events out.

One lock of its driver guards it: connections' threads bring packets, the decision thread answers and calls.
It never waits. `take()` hands over what has become due: bytes by connection, and events for the core, in
order.
"""

import hashlib
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from stepstream.config.limits import Limits
from stepstream.config.operator_file import GearmanSection
from stepstream.core.commands import Answer
from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.events import (
    CallEnded,
    CallTimeoutSet,
    ClientDisconnected,
    Event,
    JobNotification,
    JobStatus,
    RequestReceived,
)
from stepstream.core.requests import Call, Request
from stepstream.gearman import admin, codec, names
from stepstream.gearman.codec import GearmanError, Kind, Packet
from stepstream.gearman.jobs import Job, JobTable, Stage
from stepstream.gearman.session import TOKEN, Session
from stepstream.gearman.workers import SECOND_US, Assigned, Ended, Member, WorkerTable
from stepstream.model.endpoints import EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from stepstream.model.settings import Effect, Settings
from stepstream.ports.access_control import (
    AccessControl,
    Authorization,
    Credential,
    Rejection,
    RejectionKind,
)
from stepstream.ports.payload import ChunkedResult, Payload, result_bytes

SOURCE = "gearman"
MOST_FIGURE = 10**15
CHECK_AGAIN_US = 500_000  # as long as a changed key file may take to be read
BACKGROUND = frozenset((Kind.SUBMIT_JOB_BG, Kind.SUBMIT_JOB_HIGH_BG, Kind.SUBMIT_JOB_LOW_BG))
SUBMITS = BACKGROUND | {Kind.SUBMIT_JOB, Kind.SUBMIT_JOB_HIGH, Kind.SUBMIT_JOB_LOW}
GRABS = frozenset((Kind.GRAB_JOB, Kind.GRAB_JOB_UNIQ, Kind.GRAB_JOB_ALL))
REPORTS = frozenset(
    (
        Kind.WORK_STATUS,
        Kind.WORK_DATA,
        Kind.WORK_WARNING,
        Kind.WORK_COMPLETE,
        Kind.WORK_FAIL,
        Kind.WORK_EXCEPTION,
    )
)


@dataclass(eq=False, slots=True)
class Peer:
    """A connection as the desk knows it."""

    session: Session
    host: str = ""
    number: int = 0
    client_id: bytes = b""
    token: bytes | None = None
    certificate: object = None
    checked_us: int = 0  # when its credential as a worker was last found good
    member: Member | None = None
    gone: bool = False

    @property
    def credential(self) -> Credential:
        return Credential(self.token, self.certificate)


@dataclass(frozen=True, slots=True)
class Send:
    peer: Peer
    data: bytes
    close: bool = False


@dataclass(slots=True)
class Listener:
    """A job's ports.Origin: the core answers it, the driver passes that on to the desk."""

    job: Job
    on_answer: Callable[[Job, Answer], None]
    on_progress: Callable[[Job, int, int], None]

    def answer(self, answer: Answer) -> None:
        self.on_answer(self.job, answer)

    def progress(self, done: int, of: int) -> None:
        self.on_progress(self.job, done, of)


@dataclass(slots=True)
class House:
    """What the desk asks of the program round it."""

    new_id: Callable[[], str]  # a request id that nobody else uses or guesses
    full: Callable[[], bool] = lambda: False  # no place for one more open request
    closing: Callable[[], bool] = lambda: False  # after SIGTERM: nothing new is taken
    on_answer: Callable[[Job, Answer], None] = lambda job, answer: None
    on_progress: Callable[[Job, int, int], None] = lambda job, done, of: None
    gate: AccessControl | None = None  # who is calling, where an installation wants to know


@dataclass(slots=True)
class Out:
    sends: list[Send] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


class Desk:
    def __init__(
        self, name: str, section: GearmanSection, settings: Settings, limits: Limits, house: House
    ) -> None:
        self.name, self.section, self.settings, self.limits = name, section, settings, limits
        self.house = house
        self.jobs = JobTable(section.keep_s * SECOND_US, section.keep_most)
        self.workers = WorkerTable(
            section.queue, section.queue_wait_ms * 1000, limits.gearman.partial_result_bytes
        )
        self.peers: dict[Peer, None] = {}  # a dict for its order
        self.max_queue: dict[str, int] = {}  # by function, set by the text command
        self.handles = self.numbers = 0
        self.out = Out()

    def reconfigure(self, section: GearmanSection, settings: Settings, limits: Limits) -> None:
        """A reload: what is open or joined stays as it is."""
        self.section, self.settings, self.limits = section, settings, limits
        self.jobs.keep_us, self.jobs.keep_most = section.keep_s * SECOND_US, section.keep_most
        self.workers.queue, self.workers.queue_wait_us = section.queue, section.queue_wait_ms * 1000

    def take(self) -> Out:
        out, self.out = self.out, Out()
        return out

    def send(self, peer: Peer, data: bytes, close: bool = False) -> None:
        if not peer.gone:
            self.out.sends.append(Send(peer, data, close))

    def post(self, event: Event) -> None:
        self.out.events.append(event)

    # -- connections --------------------------------------------------------------------------------------

    def opened(self, session: Session, host: str) -> Peer:
        self.numbers += 1
        peer = Peer(session, host, self.numbers)
        self.peers[peer] = None
        return peer

    def closed(self, peer: Peer) -> None:
        """Foreground jobs that nobody hangs on any more are given up; a worker's are over."""
        if peer.gone:
            return
        peer.gone = True
        self.peers.pop(peer, None)
        for job in self.jobs.leave(peer):
            self.give_up(job, 0)
        self.dismiss(peer)

    def give_up(self, job: Job, now_us: int) -> list[object]:
        request, owed = job.request, self.jobs.end(job, Stage.FAILED, now_us)
        if request is not None:
            self.post(ClientDisconnected(request))
        return owed

    def cancel(self, now_us: int, job: Job) -> None:
        """The operator's word: its clients hear of a failure, and its calls are given up."""
        job.exception = b"cancelled by an operator"
        for peer in self.give_up(job, now_us):
            for data in outcome(job, None, peer.session.exceptions):
                self.send(peer, data)

    def on_packet(self, now_us: int, peer: Peer, packet: Packet) -> None:
        """Faults answer with ERROR; those of the framing have ended the connection before this."""
        try:
            self.act(now_us, peer, packet)
        except GearmanError as fault:
            reply = peer.session.fault(fault)
            self.send(peer, reply.data, reply.close)

    def act(self, now_us: int, peer: Peer, packet: Packet) -> None:
        kind, args = packet.kind, packet.args
        if kind in SUBMITS:
            self.submit(now_us, peer, *args, background=kind in BACKGROUND)
        elif kind in GRABS:
            self.grab(now_us, peer, kind)
        elif kind in REPORTS:
            self.report(peer, kind, *args)
        elif kind is Kind.OPTION_REQ:
            self.identify(peer, args[0].removeprefix(TOKEN))
        elif kind is Kind.GET_STATUS:
            job = self.jobs.by_handle.get(args[0].decode("ascii", "replace"))
            self.check_status(peer, job)
            self.send(peer, codec.answer(Kind.STATUS_RES, args[0], *status_of(job)))
        elif kind is Kind.GET_STATUS_UNIQUE:
            job = self.jobs.latest.get(args[0])
            self.check_status(peer, job)
            clients = len(job.clients) if job else 0
            self.send(peer, codec.answer(Kind.STATUS_RES_UNIQUE, args[0], *status_of(job), clients))
        elif kind is Kind.PRE_SLEEP:
            self.sleep(peer)
        elif kind is Kind.SET_CLIENT_ID:
            self.rename(now_us, peer, args[0])
        elif kind in (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT):
            self.can_do(now_us, peer, *args)
        elif kind is Kind.CANT_DO:
            self.cant_do(peer, args[0].decode("utf-8", "replace"))
        elif kind is Kind.RESET_ABILITIES:
            self.cant_do(peer, None)
        # ALL_YOURS: this worker has no other server. Nothing here depends on that.

    def on_line(self, now_us: int, peer: Peer, words: tuple[str, ...]) -> bool:
        """A text command; True if it asks the program to end and may."""
        if self.house.gate is not None and words[0] != "version":
            turned = self.house.gate.authorize_admin(SOURCE, peer.credential, " ".join(words))
            if turned is not None:
                self.send(peer, admin.error(turned.kind.value, turned.reason).encode())
                return False
        text, ends = admin.run(self, now_us, words)
        self.send(peer, text.encode())
        return ends

    # -- clients ------------------------------------------------------------------------------------------

    def submit(
        self,
        now_us: int,
        peer: Peer,
        function: bytes,
        unique: bytes,
        workload: bytes,
        background: bool,
    ) -> None:
        asked = names.split_function(function, self.settings)
        visa = self.visa_for(peer, asked)
        try:
            self.take_in(now_us, peer, asked, unique, workload, background, visa)
        except GearmanError:
            if visa is not None:
                visa.release()
            raise

    def take_in(
        self,
        now_us: int,
        peer: Peer,
        asked: names.Function,
        unique: bytes,
        workload: bytes,
        background: bool,
        visa: Authorization | None,
    ) -> None:
        tenant = visa.tenant if visa else asked.tenant
        target = names.find_target(
            asked, self.settings, self.section.tenant if tenant is None else tenant
        )
        kind = self.settings.classes[target.job_class]
        if unique == b"-":  # the protocol's word for: by what the workload is
            unique = hashlib.sha256(workload).hexdigest().encode()
        if kind.effect is Effect.IDEMPOTENT_WITH_KEY and not re.fullmatch(rb"[!-~]{1,128}", unique):
            raise GearmanError(
                "BAD_UNIQUE", f"{kind.name} needs a unique id of 1 to 128 printable characters"
            )
        if len(unique) > self.limits.gearman.unique_id_bytes:
            raise GearmanError(
                "BAD_UNIQUE", f"a unique id has at most {self.limits.gearman.unique_id_bytes} bytes"
            )
        if len(workload) > self.limits.sizes.body_bytes:
            raise GearmanError(
                "WORKLOAD_TOO_LARGE", f"a workload has at most {self.limits.sizes.body_bytes} bytes"
            )
        if self.jobs.count_of(peer) >= self.section.jobs_a_connection:
            raise self.refusal("this connection has too many open jobs")
        name = names.function_name(self.settings, target.job_class, target.tenant)
        job = self.jobs.joinable(name, unique)
        if job is None:
            job = self.new_job(now_us, name, unique, workload, target)
            job.visa = visa
        elif visa is not None:
            visa.release()  # the job is open once, and counts for who brought it
        if visa is not None:
            job.callers.add(visa.caller)
        job.background = job.background or background
        if not background:
            self.jobs.hang(job, peer)
        # The handle first: an outcome may follow at once.
        self.send(peer, codec.answer(Kind.JOB_CREATED, job.handle))

    def new_job(
        self, now_us: int, name: str, unique: bytes, workload: bytes, target: names.Target
    ) -> Job:
        if self.house.closing():
            raise GearmanError("SHUTTING_DOWN", "no new jobs are taken; another server may")
        if self.jobs.open.get(name, 0) >= self.max_queue.get(name, MOST_FIGURE):
            raise self.refusal(f"{name} has as many jobs as maxqueue allows")
        full = self.house.full() or sum(self.jobs.open.values()) >= self.limits.gearman.open_jobs
        if full or self.jobs.held + len(workload) > self.limits.gearman.in_flight_workload_bytes:
            raise self.refusal("too many jobs are open here")
        kind = self.settings.classes[target.job_class]
        job = Job(self.new_handle(), name, unique, len(workload))
        job.listener = Listener(job, self.house.on_answer, self.house.on_progress)
        key = unique.decode("ascii") if kind.effect is Effect.IDEMPOTENT_WITH_KEY else ""
        job.request = Request(
            id=self.house.new_id(),
            job_class=target.job_class,
            arrived_us=now_us,
            deadline_us=now_us + kind.deadline_us,
            tenant=target.tenant,
            slots=target.slots,
            payload=Payload(f"/{kind.name}", workload, key),
            response_sink=job.listener,
            settings=self.settings,
        )
        self.jobs.add(job)
        self.post(RequestReceived(job.request))
        return job

    # -- who is calling -----------------------------------------------------------------------------------

    def identify(self, peer: Peer, token: bytes) -> None:
        """OPTION_REQ `token:JWT`: it counts for all that follows, and is looked at anew each time."""
        peer.token, peer.checked_us = token or None, 0
        self.send(peer, codec.answer(Kind.OPTION_RES, "token"))

    def visa_for(self, peer: Peer, asked: names.Function) -> Authorization | None:
        gate = self.house.gate
        if gate is None:
            return None
        found = gate.authorize_request(SOURCE, peer.credential, asked.kind, asked.tenant)
        if isinstance(found, Rejection):
            raise turned_away(found)
        return found

    def check_status(self, peer: Peer, job: Job | None) -> None:
        """Another's job is nobody else's business, whether it is there or not."""
        gate = self.house.gate
        if gate is None:
            return
        found = gate.authorize_job_access(SOURCE, peer.credential, job.callers if job else set())
        if found is not None:
            raise turned_away(found)

    def check_worker(self, now_us: int, peer: Peer) -> None:
        """Its credential may have ended since it joined: it gets nothing more, what it holds goes on."""
        if now_us - peer.checked_us < CHECK_AGAIN_US:
            return
        turned = self.house.gate.authorize_worker(
            SOURCE, peer.credential, peer.member.identity.name
        )
        if turned is not None:
            raise turned_away(turned)
        peer.checked_us = now_us

    def refusal(self, why: str) -> GearmanError:
        pause = self.settings.max_retry_after_us / 1e6
        return GearmanError("JOB_QUEUE_FULL", f"refused retry-after={pause:.3f} {why}")

    def new_handle(self) -> str:
        self.handles += 1
        return f"H:{self.name}:{self.handles}"

    def answer(self, now_us: int, job: Job, answer: Answer) -> None:
        """The core's one final answer, to each submission that hangs on the job."""
        for peer in self.jobs.finish(job, answer, now_us):
            for data in outcome(job, answer.result, peer.session.exceptions):
                self.send(peer, data)

    def progress(self, job: Job, done: int, of: int) -> None:
        if job.stage is Stage.OPEN:
            job.done, job.of = done, of
            for peer in dict.fromkeys(job.clients):
                self.send(peer, codec.answer(Kind.WORK_STATUS, job.handle, done, of))

    # -- workers as members -------------------------------------------------------------------------------

    def rename(self, now_us: int, peer: Peer, data: bytes) -> None:
        """SET_CLIENT_ID. A member that changes who it is leaves and joins as another worker."""
        identity = names.read_client_id(data, self.settings, self.section.worker, now_us)
        peer.client_id = data
        if peer.member is None or peer.member.identity == replace(
            identity, started_us=peer.member.identity.started_us
        ):
            return
        if peer.member.assigned:
            raise GearmanError("BAD_CLIENT_ID", "a worker that holds jobs keeps its id")
        runs = peer.member.runs
        self.dismiss(peer)
        member = self.member_of(now_us, peer)
        member.runs.update(runs)
        self.tell(member)

    def member_of(self, now_us: int, peer: Peer) -> Member:
        if peer.member is None:
            if len(self.workers.members) >= self.limits.gearman.workers:
                raise GearmanError(
                    "TOO_MANY_WORKERS",
                    f"at most {self.limits.gearman.workers} workers may join here",
                )
            told = peer.client_id or f"c{peer.number}".encode()
            identity = names.read_client_id(told, self.settings, self.section.worker, now_us)
            if self.house.gate is not None:
                turned = self.house.gate.authorize_worker(SOURCE, peer.credential, identity.name)
                if turned is not None:
                    raise turned_away(turned)
            peer.member = self.workers.join(peer, identity)
        return peer.member

    def dismiss(self, peer: Peer) -> None:
        member, peer.member = peer.member, None
        if member is not None:
            # The list first: what goes back must not be pushed here again.
            self.tell(member, EndpointState.REMOVED)
            self.end(self.workers.leave(member))

    def tell(self, member: Member, state: EndpointState | None = None) -> None:
        self.post(
            EndpointsUpdated(SOURCE, EndpointList(EndpointListKind.CHANGES, (member.entry(state),)))
        )

    def end(self, over: list[Ended]) -> None:
        for ended in over:
            self.post(CallEnded(ended.call, ended.result))

    def can_do(self, now_us: int, peer: Peer, function: bytes, timeout: bytes = b"0") -> None:
        name = function.decode("utf-8", "replace")
        if not re.fullmatch(r"[!-~]{1,128}", name) or "+" in name:
            raise GearmanError(
                "BAD_FUNCTION", "a function's name has 1 to 128 printable characters, none a +"
            )
        seconds = read_figure("timeout", timeout)
        member = self.member_of(now_us, peer)
        if name not in member.runs and len(member.runs) >= self.limits.gearman.functions_per_worker:
            raise GearmanError(
                "TOO_MANY_FUNCTIONS",
                f"a worker names at most {self.limits.gearman.functions_per_worker}",
            )
        self.workers.able(member, name, seconds * SECOND_US)
        self.tell(member)

    def cant_do(self, peer: Peer, function: str | None) -> None:
        """One function, or all: a drain, told before what waits for it goes back."""
        if (member := peer.member) is not None:
            back = self.workers.unable(member, function)
            self.tell(member)
            self.end(back)

    def sleep(self, peer: Peer) -> None:
        if (member := peer.member) is not None:
            member.asleep = True
            self.wake(member)

    def wake(self, member: Member) -> None:
        if self.workers.wakes(member):
            self.send(member.owner, codec.answer(Kind.NOOP))

    # -- calls --------------------------------------------------------------------------------------------

    def start(self, now_us: int, call: Call) -> None:
        request = call.request
        settings = request.settings or self.settings  # a reload may have moved the class since
        kind = settings.classes[request.job_class].name
        over = self.workers.push(now_us, call, kind, settings.tenant_name(request.tenant))
        self.end(over)
        if not over:
            self.wake(self.workers.members[call.worker_id])

    def stop(self, call: Call) -> None:
        self.workers.stop(call)

    def grab(self, now_us: int, peer: Peer, form: Kind) -> None:
        if peer.member is not None and self.house.gate is not None:
            self.check_worker(now_us, peer)
        held = self.workers.grab(now_us, peer.member, self.new_handle()) if peer.member else None
        if held is None:
            self.send(peer, codec.answer(Kind.NO_JOB))
            return
        self.send(peer, assignment(held, form))
        self.post(JobNotification(held.call.request.id, held.call.worker_id, JobStatus.STARTED))
        timeout_us = peer.member.runs.get(held.function, 0)
        if timeout_us:
            self.post(CallTimeoutSet(held.call, now_us + timeout_us))

    def report(self, peer: Peer, kind: Kind, handle: bytes, *args: bytes) -> None:
        member = peer.member
        if member is None:
            raise GearmanError(
                "JOB_NOT_FOUND", "this connection is no worker: it has said no CAN_DO"
            )
        held = self.workers.held(member, handle)
        if held is None:
            return  # told twice, or a WORK_FAIL behind its WORK_EXCEPTION
        if kind is Kind.WORK_STATUS:
            done, of = (
                read_figure(name, arg)
                for name, arg in zip(("numerator", "denominator"), args, strict=True)
            )
            self.post(
                JobNotification(
                    held.call.request.id,
                    held.call.worker_id,
                    JobStatus.RUNNING,
                    progress=(done, of),
                )
            )
        elif kind in (Kind.WORK_DATA, Kind.WORK_WARNING):
            if not self.workers.add_piece(held, args[0], kind is Kind.WORK_WARNING):
                self.fail(member, held, b"its pieces are too large")
                raise GearmanError(
                    "RESULT_TOO_LARGE",
                    f"a job's pieces have at most {self.limits.gearman.partial_result_bytes} bytes",
                )
        elif kind is Kind.WORK_COMPLETE:
            self.workers.over(member, held)
            result = self.workers.result(held, args[0])
            self.post(
                JobNotification(held.call.request.id, held.call.worker_id, JobStatus.DONE, result)
            )
        else:
            self.fail(member, held, args[0] if args else b"")
        self.wake(member)

    def fail(self, member: Member, held: Assigned, text: bytes) -> None:
        origin = held.call.request.response_sink
        if text and isinstance(origin, Listener):
            origin.job.exception = text
        self.workers.over(member, held)
        self.end([Ended(held.call, AttemptResult.ERROR)])

    def look(self, now_us: int) -> None:
        """Every while: what has gone on for too long."""
        self.end(self.workers.overdue(now_us))
        self.jobs.expire(now_us)


def turned_away(turned: Rejection) -> GearmanError:
    if turned.kind is RejectionKind.RATE_LIMITED:
        return GearmanError(
            "JOB_QUEUE_FULL",
            f"refused retry-after={turned.retry_after_seconds:.3f} {turned.reason}",
        )
    return GearmanError(turned.kind.value, turned.reason)


def assignment(held: Assigned, form: Kind) -> bytes:
    payload, request = held.call.request.payload, held.call.request
    unique = payload.idempotency_key or request.id
    match form:
        case Kind.GRAB_JOB_UNIQ:
            return codec.answer(
                Kind.JOB_ASSIGN_UNIQ, held.handle, held.function, unique, payload.body
            )
        case Kind.GRAB_JOB_ALL:
            return codec.answer(
                Kind.JOB_ASSIGN_ALL, held.handle, held.function, unique, "", payload.body
            )
    return codec.answer(Kind.JOB_ASSIGN, held.handle, held.function, payload.body)


def outcome(job: Job, result: object, exceptions: bool) -> list[bytes]:
    """A final answer as packets: the table of docs/gearman.md, 'Outcomes'."""
    handle = job.handle
    if job.stage is Stage.SERVED:
        pieces, last = (
            (result.chunks, result.last)
            if isinstance(result, ChunkedResult)
            else ((), result_bytes(result))
        )
        kinds = {True: Kind.WORK_WARNING, False: Kind.WORK_DATA}
        told = [codec.answer(kinds[piece.warning], handle, piece.data) for piece in pieces]
        return [*told, codec.answer(Kind.WORK_COMPLETE, handle, last)]
    if job.stage is Stage.REFUSED:
        why = f"refused retry-after={job.pause_us / 1e6:.3f}".encode()
    else:
        why = b"failed" + (b" " + job.exception if job.exception else b"")
    kind = Kind.WORK_EXCEPTION if exceptions else Kind.WORK_WARNING
    return [codec.answer(kind, handle, why), codec.answer(Kind.WORK_FAIL, handle)]


def status_of(job: Job | None) -> tuple[int, int, int, int]:
    return job.status() if job else (0, 0, 0, 0)


def read_figure(name: str, data: bytes) -> int:
    """Whole numbers; some libraries send 3.0 for 3."""
    try:
        number = float(data)
    except ValueError:
        number = -1.0
    if not 0 <= number <= MOST_FIGURE:
        raise GearmanError("BAD_ARGUMENTS", f"{name} is not a number from 0 to {MOST_FIGURE}")
    return int(number)
