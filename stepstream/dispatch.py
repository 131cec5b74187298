"""The core: one Balancer, the open requests, their outbound calls and the timers.

It knows no socket and no platform. It takes (now, events) and gives commands; a front turns what it hears
into events and carries the commands out. Times are microseconds on the front's clock. One thread owns it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from stepstream import interface as i
from stepstream.balance import Balancer
from stepstream.members import Listed, Members
from stepstream.wheel import Wheel

if TYPE_CHECKING:
    from stepstream.maintenance import BanState


@dataclass(eq=False, slots=True)
class Request:
    """One job of a client. `payload` and `origin` are for carrier and front; the core hands them back."""

    id: str
    job_class: int
    arrived_us: int
    deadline_us: int
    tenant: int = 0
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False
    payload: object = None  # a ports.Payload
    origin: object = None  # a ports.Origin
    settings: i.Settings | None = None  # those that its numbers are of
    calls: "list[Call]" = field(default_factory=list)
    answered: bool = False
    gone: bool = False  # its client has left: set by the front before the core hears of it

    @property
    def wary(self) -> bool:
        """A kept connection that breaks under it would cost it: it may have run and must not run twice."""
        if self.settings is None or self.settings.handshake_price:
            return False
        return self.settings.classes[self.job_class].effect is i.Effect.UNSAFE


@dataclass(eq=False, slots=True)
class Call:
    """One outbound call; `handle` is its carrier's."""

    request: Request
    number: int
    worker: str
    sent_us: int
    deadline_us: int
    open: bool = True
    told: bool = False  # ended by news; a repeat of that news may still be on its way
    result: i.Result | None = None  # how it ended
    write_by_us: int | None = None  # a repeat of a keyed job: past it nothing of it may be written
    carrier: object = None  # the ports.Carrier that took it
    handle: object = None

    @property
    def settled(self) -> bool:
        """Its worker is done with it: of one given up the word that ends it may still be on its way there."""
        return not self.open and self.result not in (i.Result.TIMEOUT, i.Result.CANCELLED)

    @property
    def wanted(self) -> bool:
        """Whether it may still be sent: its client waits, and nobody else has answered."""
        return self.open and not self.request.answered and not self.request.gone


def write_by(request: Request) -> int | None:
    """Until when a further call of a keyed job may be written: its repeats are dropped only inside the
    window, which runs from the sending of the first call that may have run.
    """
    if request.settings is None:
        return None
    kind = request.settings.classes[request.job_class]
    if kind.effect is not i.Effect.KEYED:
        return None
    ran = next((c for c in request.calls if c.result is None or not c.result.never_ran), None)
    return None if ran is None else ran.sent_us + kind.window_us


class News(Enum):
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


NEWS_RESULTS = {
    News.FAILED: i.Result.ERROR,
    News.RETURNED: i.Result.FULL,
    News.LOST: i.Result.RESET,
}

# Events besides the module's own WorkerList and Probed.


@dataclass(frozen=True, slots=True)
class Arrived:
    request: Request


@dataclass(frozen=True, slots=True)
class Left:
    """The client has closed its connection."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The exchange for a call ended without the worker taking the job."""

    call: Call
    result: i.Result
    report: dict[str, float] | None = None  # the worker's load, if its answer told


@dataclass(frozen=True, slots=True)
class Maintained:
    """The operators' bans, whole."""

    state: "BanState"


@dataclass(frozen=True, slots=True)
class Told:
    """A worker's news of a job."""

    id: str
    worker: str
    news: News
    result: object = None
    progress: tuple[int, int] | None = None  # with News.RUNNING: so much of so much is done
    relayed: bool = False  # passed on by the process beside this one in a hot restart
    report: dict[str, float] | None = None  # the worker's load, with news that ends a call


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Whether a process beside this one shares the clients' address: news it does not know goes there."""

    present: bool


@dataclass(frozen=True, slots=True)
class Expires:
    """The worker's own bound on a call that has begun: past it the call has timed out."""

    call: Call
    at_us: int


@dataclass(frozen=True, slots=True)
class Broken:
    """A thread of the front failed on this request: it must be answered all the same."""

    request: Request


@dataclass(frozen=True, slots=True)
class LastCall:
    """The process ends soon: whatever is open or still comes is answered by then."""

    by_us: int


Event = (
    Arrived
    | Left
    | CallEnded
    | Told
    | Expires
    | Broken
    | Listed
    | Maintained
    | Neighbour
    | i.Probed
    | i.NewSettings
    | LastCall
)


class Outcome(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class StartCall:
    call: Call


@dataclass(frozen=True, slots=True)
class StopCall:
    call: Call


@dataclass(frozen=True, slots=True)
class Answer:
    request: Request
    outcome: Outcome
    result: object = None
    pause_us: int = 0


@dataclass(frozen=True, slots=True)
class Progress:
    request: Request
    done: int
    of: int


@dataclass(frozen=True, slots=True)
class ProbeWorker:
    worker: str


@dataclass(frozen=True, slots=True)
class AskList:
    watch: bool


@dataclass(frozen=True, slots=True)
class Note:
    text: str


@dataclass(frozen=True, slots=True)
class PassOn:
    """News of a request that this process does not hold, for the process beside it."""

    told: Told


Command = StartCall | StopCall | Answer | Progress | ProbeWorker | AskList | Note | PassOn


class Dispatcher:
    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        now_us: int,
        tick_us: int,
        early_us: int,
        complain: Callable[[str], None],
    ) -> None:
        """`tick_us`: of the wheel; `early_us`: before a deadline, the time that writing an answer needs."""
        self.settings, self.complain = settings, complain
        self.tick_us, self.early_us = tick_us, early_us
        self.balancer = Balancer(settings, seed, now_us)
        self.members = Members(complain)
        self.wheel = Wheel(now_us, tick_us)
        self.requests: dict[str, Request] = {}  # open, or with calls still out
        self.open_count = 0  # requests that are owed an answer
        self.last_us: int | None = None  # the process ends then
        self.commands: list[Command] = []
        self.telling: list[i.Event] = []  # for the module
        self.neighbour = False  # a process beside this one may hold requests that this one does not

    def next_us(self) -> int | None:
        return self.wheel.next_us()

    def handle(self, now_us: int, events: list[Event]) -> list[Command]:
        for item in self.wheel.due(now_us):
            self.guarded(self.on_timer, now_us, item)
        for event in events:
            self.guarded(self.on_event, now_us, event)
        # Ending calls at once, as the module asked or because they may not go, tells it something new.
        while self.telling:
            told, self.telling = self.telling, []
            actions = self.guarded(self.balancer.handle, now_us, told)
            if actions is None:
                self.rescue(told)
                continue
            for action in actions:
                self.guarded(self.on_action, now_us, action)
        commands, self.commands = self.commands, []
        return commands

    def guarded(self, step: Callable, *args: object) -> object:
        """Guards the decision thread: one fault must cost at most what it was about."""
        try:
            return step(*args)
        except Exception as error:
            self.complain(f"fault in {step.__name__}: {type(error).__name__}: {error}")
            return None

    def rescue(self, told: list[i.Event]) -> None:
        """The module failed over these: its new jobs would be owed an answer that it never gives."""
        for event in told:
            request = self.requests.get(event.job) if isinstance(event, i.Job) else None
            if request is not None and not request.calls:
                self.answer(request, Outcome.FAILED)

    # -- events -------------------------------------------------------------------------------------------

    def on_event(self, now_us: int, event: Event) -> None:
        match event:
            case Arrived(request):
                self.on_arrived(now_us, request)
            case Left(request):
                self.close(request)
            case CallEnded(call, result, report):
                self.end_call(now_us, call, result, report=report)
            case Told():
                self.on_news(now_us, event)
            case Listed():
                self.telling.append(self.members.apply(event))
            case Maintained(state):
                self.telling.append(self.members.maintain(state))
            case Neighbour(present):
                self.neighbour = present
            case Expires(call, at_us) if call.open:
                self.wheel.set(at_us, call)
            case Expires():
                pass
            case Broken(request) if self.requests.get(request.id) is request:
                self.answer(request, Outcome.FAILED)
                self.telling.append(i.ClientLeft(request.id))
            case Broken():
                pass  # guards the first of two with one id: the second's fault is not its
            case LastCall(by_us):
                self.last_us = by_us
                for request in self.requests.values():
                    self.hurry(request)
            case i.NewSettings(settings):
                self.settings = settings
                self.telling.append(event)
            case _:
                self.telling.append(event)

    def on_arrived(self, now_us: int, request: Request) -> None:
        if request.id in self.requests:
            # Guards against an id that comes twice: two requests in one entry would get one answer.
            self.commands.append(Answer(request, Outcome.FAILED))
            return
        if self.open_count >= self.settings.max_open:
            self.commands.append(
                Answer(request, Outcome.REFUSED, None, self.settings.max_retry_after_us)
            )
            return
        if not self.renamed(request):
            self.commands.append(Answer(request, Outcome.FAILED))
            return
        self.requests[request.id] = request
        self.open_count += 1
        self.wheel.set(request.deadline_us - self.early_us, request)
        self.hurry(request)
        budget_us = max(request.deadline_us - now_us, 0)
        self.telling.append(
            i.Job(
                job=request.id,
                job_class=request.job_class,
                budget_us=budget_us,
                tenant=request.tenant,
                key=request.key,
                slots=request.slots,
                memory=request.memory,
                client_retry=request.client_retry,
            )
        )

    def hurry(self, request: Request) -> None:
        """Guards a request against the end of the process: an answer in time beats a reset."""
        if self.last_us is not None and self.last_us < request.deadline_us and not request.answered:
            request.deadline_us = self.last_us
            self.wheel.set(self.last_us - self.early_us, request)

    def renamed(self, request: Request) -> bool:
        """Guards against a request read by settings replaced since: its numbers are those."""
        old, new = request.settings, self.settings
        if old is None or old is new:
            return True
        kind = old.classes[request.job_class].name
        tenant = old.tenants[request.tenant] if old.tenants else ""
        if kind not in new.class_names or (new.tenants and tenant not in new.tenants):
            return False
        request.job_class = new.class_names.index(kind)
        request.tenant = new.tenants.index(tenant) if new.tenants else 0
        request.settings = new
        return True

    def on_news(self, now_us: int, told: Told) -> None:
        """News may come before the 202, twice, or be of a time before a restart: applied at most once."""
        request = self.requests.get(told.id)
        calls = [c for c in request.calls if c.worker == told.worker] if request else []
        if request is None and self.neighbour and not told.relayed:
            self.commands.append(PassOn(told))
        if not calls:
            return
        call = calls[-1]
        if told.news is News.DONE:
            self.on_done(now_us, request, call, told)
        elif told.news is News.STARTED and call.open:
            self.telling.append(i.Started(request.id, call.number, call.worker))
        elif told.news is News.RUNNING and call.open and told.progress and not request.answered:
            self.commands.append(Progress(request, *told.progress))
        elif told.news in NEWS_RESULTS and call.open:
            call.told = True
            self.end_call(now_us, call, NEWS_RESULTS[told.news], report=told.report)

    def on_done(self, now_us: int, request: Request, call: Call, told: Told) -> None:
        served = not request.answered
        if served:
            self.answer(request, Outcome.SERVED, told.result)
        call.told = True
        if call.open:
            self.end_call(now_us, call, i.Result.OK, True, told.report)
        elif served:
            # A call given up or broken before its 202 has served after all: the module only needs to let go.
            self.telling.append(i.ClientLeft(request.id))

    def end_call(
        self,
        now_us: int,
        call: Call,
        result: i.Result,
        over: bool = False,
        report: dict[str, float] | None = None,
    ) -> None:
        if not call.open:
            return
        call.open, call.result = False, result
        request = call.request
        over = over or request.answered
        spent_us = max(now_us - call.sent_us, 0)
        told = i.AttemptEnded(request.id, call.number, call.worker, result, spent_us, over, report)
        self.telling.append(told)
        self.forget(request)

    def forget(self, request: Request) -> None:
        if request.answered and not any(call.open for call in request.calls):
            self.requests.pop(request.id, None)

    def answer(
        self, request: Request, outcome: Outcome, result: object = None, pause_us: int = 0
    ) -> None:
        """The one final answer; whatever would be a second one is dropped."""
        if not request.answered and self.requests.get(request.id) is request:
            self.commands.append(Answer(request, outcome, result, pause_us))
            self.settle(request)

    def settle(self, request: Request) -> None:
        request.answered = True
        self.open_count -= 1
        self.forget(request)

    def close(self, request: Request) -> None:
        """The client has gone: nothing is owed, and the module calls off what is out."""
        if not request.answered and self.requests.get(request.id) is request:
            self.settle(request)
            self.telling.append(i.ClientLeft(request.id))

    # -- timers -------------------------------------------------------------------------------------------

    def on_timer(self, now_us: int, item: object) -> None:
        match item:
            case int():
                self.telling.append(i.Timer(item))
            case Call():
                self.time_out(now_us, item)
            case Request(answered=False):
                self.on_deadline(now_us, item)
            case tuple():
                self.last_word(item[0])

    def time_out(self, now_us: int, call: Call) -> None:
        if call.open:
            self.commands.append(StopCall(call))
            self.end_call(now_us, call, i.Result.TIMEOUT)

    def on_deadline(self, now_us: int, request: Request) -> None:
        """Whatever the threads do, calls end here; the module then gives its answer in the same round."""
        for call in request.calls:
            self.time_out(now_us, call)
        # Guards against a module that has no answer by the next tick.
        self.wheel.set(now_us + self.tick_us, (request,))

    def last_word(self, request: Request) -> None:
        if not request.answered:
            self.answer(request, Outcome.FAILED)
            self.telling.append(i.ClientLeft(request.id))

    # -- the module's actions -----------------------------------------------------------------------------

    def on_action(self, now_us: int, action: i.Action) -> None:
        match action:
            case i.Push(job, worker, limit_us):
                self.on_push(now_us, self.requests.get(job), worker, limit_us)
            case i.Refuse(job, pause_us):
                self.on_final(job, Outcome.REFUSED, pause_us)
            case i.Fail(job):
                self.on_final(job, Outcome.FAILED, 0)
            case i.Cancel(job, number):
                self.on_cancel(now_us, self.requests.get(job), number)
            case i.WakeMe(token, at_us):
                self.wheel.set(at_us, token)
            case i.WatchList(active):
                self.commands += [AskList(watch=True)] if active else []
            case i.FetchList():
                self.commands.append(AskList(watch=False))
            case i.Probe(worker):
                self.commands.append(ProbeWorker(worker))
            case i.Log(text):
                self.commands.append(Note(text))

    def on_push(self, now_us: int, request: Request | None, worker: str, limit_us: int) -> None:
        if request is None:
            return
        deadline_us = request.deadline_us - self.early_us
        if limit_us:
            deadline_us = min(deadline_us, now_us + limit_us)
        call = Call(request, len(request.calls), worker, now_us, deadline_us)
        # An open call to a worker bars a second one to it, and so does one given up, whose DELETE may come
        # behind the second one, or one ended by news that may repeat.
        barred = any(c.worker == worker and (c.told or not c.settled) for c in request.calls)
        call.write_by_us = write_by(request)
        request.calls.append(call)
        spent = len(request.calls) > self.settings.attempt_limit
        if request.answered or barred or spent or now_us >= deadline_us:
            self.end_call(now_us, call, i.Result.NOT_SENT)
            return
        if limit_us:
            self.wheel.set(deadline_us, call)
        self.commands.append(StartCall(call))

    def on_final(self, job: str, outcome: Outcome, pause_us: int) -> None:
        request = self.requests.get(job)
        if request is not None:
            self.answer(request, outcome, None, pause_us)

    def on_cancel(self, now_us: int, request: Request | None, number: int) -> None:
        if request is not None and 0 <= number < len(request.calls) and request.calls[number].open:
            call = request.calls[number]
            self.commands.append(StopCall(call))
            self.end_call(now_us, call, i.Result.CANCELLED)
