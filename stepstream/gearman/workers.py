"""Gearman workers: their queues, what they hold and when they are woken; free of I/O.

The module pushes, Gearman's workers pull: a push waits here for its worker's next GRAB_JOB. Up to the hand-
over the job has provably never run; from then on it may have.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from stepstream.core.requests import Call
from stepstream.gearman.codec import GearmanError
from stepstream.gearman.names import Identity, registered_name
from stepstream.model.endpoints import Endpoint, EndpointState
from stepstream.model.events import AttemptResult
from stepstream.ports.payload import ChunkedResult, ResultChunk

ENDED_KEPT = 64  # handles whose late words are passed over in silence
SECOND_US = 1_000_000


@dataclass(eq=False, slots=True)
class Waiting:
    call: Call
    kind: str  # the class by name
    tenant: str
    since_us: int


@dataclass(eq=False, slots=True)
class Assigned:
    call: Call
    handle: str
    function: str
    pieces: list[ResultChunk] = field(default_factory=list)
    size: int = 0
    given_up: bool = False


@dataclass(eq=False, slots=True)
class Member:
    """One connection of a worker. Its key is its id at the module for as long as it is a member."""

    owner: object  # its connection
    key: str
    identity: Identity
    runs: dict[str, int] = field(
        default_factory=dict
    )  # function: its time-out in microseconds, 0 for none
    queue: deque[Waiting] = field(default_factory=deque)
    assigned: dict[str, Assigned] = field(default_factory=dict)
    ended: OrderedDict[str, None] = field(default_factory=OrderedDict)
    asleep: bool = False

    def entry(self, state: EndpointState | None = None) -> Endpoint:
        told = self.identity
        return Endpoint(
            worker_id=self.key,
            zone=told.zone,
            worker_kind=told.kind,
            cell=told.cell,
            state=state or (EndpointState.ACTIVE if self.runs else EndpointState.DRAINING),
            weight=told.weight,
            started_us=told.started_us,
            supported_jobs=frozenset(self.runs),
        )

    @property
    def has_slot(self) -> bool:
        return len(self.assigned) < self.identity.slots


@dataclass(frozen=True, slots=True)
class Ended:
    """A call that is over here, and what that proves."""

    call: Call
    result: AttemptResult


class WorkerTable:
    """Its methods return what the module is to be told; a call is in one place only, queue or assigned."""

    def __init__(self, queue: int, queue_wait_us: int, most_pieces: int) -> None:
        self.queue, self.queue_wait_us, self.most_pieces = queue, queue_wait_us, most_pieces
        self.members: dict[str, Member] = {}

    def key_for(self, name: str) -> str:
        """Guards an id that two connections claim: each is a worker of its own, none takes over."""
        key, n = f"gearman:{name}", 1
        while key in self.members:
            n += 1
            key = f"gearman:{name}~{n}"
        return key

    def join(self, owner: object, identity: Identity) -> Member:
        member = Member(owner, self.key_for(identity.name), identity)
        self.members[member.key] = member
        return member

    # -- what it runs -------------------------------------------------------------------------------------

    def able(self, member: Member, function: str, timeout_us: int) -> None:
        member.runs[function] = timeout_us

    def unable(self, member: Member, function: str | None) -> list[Ended]:
        """CANT_DO, or RESET_ABILITIES for None: what waits for that goes back at once, what runs goes on."""
        if function is None:
            member.runs.clear()
        else:
            member.runs.pop(function, None)
        kept, back = deque(), []
        for waiting in member.queue:
            if registered_name(member.runs, waiting.kind, waiting.tenant) is None:
                back.append(Ended(waiting.call, AttemptResult.NOT_SENT))
            else:
                kept.append(waiting)
        member.queue = kept
        return back

    def leave(self, member: Member) -> list[Ended]:
        """Its connection has ended: what waited has never run, what it held may have."""
        self.members.pop(member.key, None)
        over = [Ended(waiting.call, AttemptResult.NOT_SENT) for waiting in member.queue]
        over += [Ended(a.call, AttemptResult.RESET) for a in member.assigned.values()]
        member.queue.clear()
        member.assigned.clear()
        return over

    # -- calls --------------------------------------------------------------------------------------------

    def push(self, now_us: int, call: Call, kind: str, tenant: str) -> list[Ended]:
        member = self.members.get(call.worker_id)
        if member is None or registered_name(member.runs, kind, tenant) is None:
            return [Ended(call, AttemptResult.NOT_SENT)]
        # Given up or not, the worker still works on it: this wire cannot recall it.
        if any(held.call.request is call.request for held in member.assigned.values()):
            return [Ended(call, AttemptResult.NOT_SENT)]
        if len(member.queue) + len(member.assigned) >= member.identity.slots + self.queue:
            return [Ended(call, AttemptResult.FULL)]
        member.queue.append(Waiting(call, kind, tenant, now_us))
        return []

    def wakes(self, member: Member) -> bool:
        """Whether it is to get a NOOP now; only the one that has work is ever woken, and once."""
        if not (member.asleep and member.queue and member.has_slot):
            return False
        member.asleep = False
        return True

    def grab(self, now_us: int, member: Member, handle: str) -> Assigned | None:
        """The hand-over: the last look at whether the job is still wanted here."""
        member.asleep = False
        if not member.has_slot:
            return None
        while member.queue:
            waiting = member.queue.popleft()
            function = registered_name(member.runs, waiting.kind, waiting.tenant)
            if function is not None and waiting.call.open and now_us < waiting.call.deadline_us:
                held = member.assigned[handle] = Assigned(waiting.call, handle, function)
                return held
        return None

    def stop(self, call: Call) -> None:
        """Given up by the core. What waits is taken back; what runs cannot be recalled on this wire."""
        member = self.members.get(call.worker_id)
        if member is None:
            return
        member.queue = deque(waiting for waiting in member.queue if waiting.call is not call)
        for held in member.assigned.values():
            held.given_up = held.given_up or held.call is call

    def overdue(self, now_us: int) -> list[Ended]:
        """Guards a job against a worker that neither grabs nor goes: it goes back, never run."""
        over = []
        for member in self.members.values():
            while member.queue and now_us - member.queue[0].since_us >= self.queue_wait_us:
                over.append(Ended(member.queue.popleft().call, AttemptResult.FULL))
        return over

    # -- a worker's words on what it holds ----------------------------------------------------------------

    def held(self, member: Member, handle: bytes) -> Assigned | None:
        """None for one that has ended here before; GearmanError for one that was never this connection's."""
        name = handle.decode("ascii", "replace")
        if name in member.assigned:
            return member.assigned[name]
        if name in member.ended:
            return None
        raise GearmanError("JOB_NOT_FOUND", "this connection holds no job of that handle")

    def over(self, member: Member, held: Assigned) -> None:
        del member.assigned[held.handle]
        member.ended[held.handle] = None
        while len(member.ended) > ENDED_KEPT:
            member.ended.popitem(last=False)

    def add_piece(self, held: Assigned, data: bytes, warning: bool) -> bool:
        """False if the job's pieces are more than are kept for it."""
        held.size += len(data)
        if held.size > self.most_pieces:
            return False
        held.pieces.append(ResultChunk(data, warning))
        return True

    def result(self, held: Assigned, last: bytes) -> ChunkedResult:
        return ChunkedResult(tuple(held.pieces), last)
