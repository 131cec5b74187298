"""The core: one load balancer, the open requests, their outbound calls and the timers.

It knows no socket and no platform. It takes (now, events) and returns commands; a front turns what it
reads into events and carries the commands out. Times are microseconds on the front's clock. The decision
thread owns it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.core.timer_wheel import TimerWheel
from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    PolicyAction,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    SettingsChanged,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.policy.load_balancer import LoadBalancer

if TYPE_CHECKING:
    pass
from stepstream.core.commands import (
    Answer,
    CheckWorkerHealth,
    Command,
    ForwardNotification,
    LogMessage,
    Outcome,
    PollEndpoints,
    Progress,
    StartCall,
    StopCall,
)
from stepstream.core.events import (
    RESULT_BY_STATUS,
    CallEnded,
    CallTimeoutSet,
    ClientDisconnected,
    Event,
    JobNotification,
    JobStatus,
    MaintenanceChanged,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
    SiblingProcessChanged,
)
from stepstream.core.requests import Call, Request, write_deadline


class Dispatcher:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        now_us: int,
        tick_us: int,
        early_us: int,
        complain: Callable[[str], None],
    ) -> None:
        """`tick_us`: of the wheel; `early_us`: before a deadline, the time that writing an answer needs."""
        self.settings, self.complain = settings, complain
        self.tick_us, self.early_us = tick_us, early_us
        self.load_balancer = LoadBalancer(settings, seed, now_us)
        self.endpoints = EndpointSet(complain)
        self.wheel = TimerWheel(now_us, tick_us)
        self.requests: dict[str, Request] = {}  # open, or with calls still out
        self.open_count = 0  # requests that are owed an answer
        self.last_us: int | None = None  # the process ends then
        self.commands: list[Command] = []
        self.telling: list[PolicyEvent] = []  # for the module
        self.has_sibling_process = (
            False  # a process beside this one may hold requests that this one does not
        )

    def next_timer_us(self) -> int | None:
        return self.wheel.next_due_us()

    def handle(self, now_us: int, events: list[Event]) -> list[Command]:
        for item in self.wheel.pop_due(now_us):
            self.guarded(self.on_timer, now_us, item)
        for event in events:
            self.guarded(self.on_event, now_us, event)
        # Ending calls at once, as the module asked or because they may not go, tells it something new.
        while self.telling:
            told, self.telling = self.telling, []
            actions = self.guarded(self.load_balancer.handle, now_us, told)
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

    def rescue(self, told: list[PolicyEvent]) -> None:
        """The module failed over these: its new jobs would be owed an answer that it never gives."""
        for event in told:
            request = self.requests.get(event.job_id) if isinstance(event, JobSubmitted) else None
            if request is not None and not request.calls:
                self.answer(request, Outcome.FAILED)

    # -- events -------------------------------------------------------------------------------------------

    def on_event(self, now_us: int, event: Event) -> None:
        match event:
            case RequestReceived(request):
                self.on_arrived(now_us, request)
            case ClientDisconnected(request):
                self.close(request)
            case CallEnded(call, result, report):
                self.end_call(now_us, call, result, report=report)
            case JobNotification():
                self.on_news(now_us, event)
            case EndpointsUpdated():
                self.telling.append(self.endpoints.apply(event))
            case MaintenanceChanged(state):
                self.telling.append(self.endpoints.maintain(state))
            case SiblingProcessChanged(present):
                self.has_sibling_process = present
            case CallTimeoutSet(call, at_us) if call.open:
                self.wheel.schedule(at_us, call)
            case CallTimeoutSet():
                pass
            case RequestFaulted(request) if self.requests.get(request.id) is request:
                self.answer(request, Outcome.FAILED)
                self.telling.append(JobAbandoned(request.id))
            case RequestFaulted():
                pass  # guards the first of two with one id: the second's fault is not its
            case ShutdownStarted(by_us):
                self.last_us = by_us
                for request in self.requests.values():
                    self.hurry(request)
            case SettingsChanged(settings):
                self.settings = settings
                self.telling.append(event)
            case _:
                self.telling.append(event)

    def on_arrived(self, now_us: int, request: Request) -> None:
        if request.id in self.requests:
            # Guards against an id that comes twice: two requests in one entry would get one answer.
            self.commands.append(Answer(request, Outcome.FAILED))
            return
        if self.open_count >= self.settings.max_open_requests:
            self.commands.append(
                Answer(request, Outcome.REJECTED, None, self.settings.max_retry_after_us)
            )
            return
        if not self.renamed(request):
            self.commands.append(Answer(request, Outcome.FAILED))
            return
        self.requests[request.id] = request
        self.open_count += 1
        self.wheel.schedule(request.deadline_us - self.early_us, request)
        self.hurry(request)
        budget_us = max(request.deadline_us - now_us, 0)
        self.telling.append(
            JobSubmitted(
                job_id=request.id,
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
            self.wheel.schedule(self.last_us - self.early_us, request)

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

    def on_news(self, now_us: int, told: JobNotification) -> None:
        """News may come before the 202, twice, or be of a time before a restart: applied at most once."""
        request = self.requests.get(told.request_id)
        calls = [c for c in request.calls if c.worker_id == told.worker_id] if request else []
        if request is None and self.has_sibling_process and not told.forwarded:
            self.commands.append(ForwardNotification(told))
        if not calls:
            return
        call = calls[-1]
        if told.status is JobStatus.DONE:
            self.on_done(now_us, request, call, told)
        elif told.status is JobStatus.STARTED and call.open:
            self.telling.append(AttemptStarted(request.id, call.number, call.worker_id))
        elif (
            told.status is JobStatus.RUNNING
            and call.open
            and told.progress
            and not request.answered
        ):
            self.commands.append(Progress(request, *told.progress))
        elif told.status in RESULT_BY_STATUS and call.open:
            call.notified = True
            self.end_call(now_us, call, RESULT_BY_STATUS[told.status], report=told.load_report)

    def on_done(self, now_us: int, request: Request, call: Call, told: JobNotification) -> None:
        served = not request.answered
        if served:
            self.answer(request, Outcome.SERVED, told.result)
        call.notified = True
        if call.open:
            self.end_call(now_us, call, AttemptResult.OK, True, told.load_report)
        elif served:
            # A call given up or broken before its 202 has served after all: the module only needs to let go.
            self.telling.append(JobAbandoned(request.id))

    def end_call(
        self,
        now_us: int,
        call: Call,
        result: AttemptResult,
        over: bool = False,
        report: dict[str, float] | None = None,
    ) -> None:
        if not call.open:
            return
        call.open, call.result = False, result
        request = call.request
        over = over or request.answered
        spent_us = max(now_us - call.sent_us, 0)
        told = AttemptEnded(request.id, call.number, call.worker_id, result, spent_us, over, report)
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
            self.telling.append(JobAbandoned(request.id))

    # -- timers -------------------------------------------------------------------------------------------

    def on_timer(self, now_us: int, item: object) -> None:
        match item:
            case int():
                self.telling.append(TimerFired(item))
            case Call():
                self.time_out(now_us, item)
            case Request(answered=False):
                self.on_deadline(now_us, item)
            case tuple():
                self.last_word(item[0])

    def time_out(self, now_us: int, call: Call) -> None:
        if call.open:
            self.commands.append(StopCall(call))
            self.end_call(now_us, call, AttemptResult.TIMEOUT)

    def on_deadline(self, now_us: int, request: Request) -> None:
        """Whatever the threads do, calls end here; the module then gives its answer in the same round."""
        for call in request.calls:
            self.time_out(now_us, call)
        # Guards against a module that has no answer by the next tick.
        self.wheel.schedule(now_us + self.tick_us, (request,))

    def last_word(self, request: Request) -> None:
        if not request.answered:
            self.answer(request, Outcome.FAILED)
            self.telling.append(JobAbandoned(request.id))

    # -- the module's actions -----------------------------------------------------------------------------

    def on_action(self, now_us: int, action: PolicyAction) -> None:
        match action:
            case StartAttempt(job, worker, limit_us):
                self.on_push(now_us, self.requests.get(job), worker, limit_us)
            case Reject(job, pause_us):
                self.on_final(job, Outcome.REJECTED, pause_us)
            case Fail(job):
                self.on_final(job, Outcome.FAILED, 0)
            case CancelAttempt(job, number):
                self.on_cancel(now_us, self.requests.get(job), number)
            case SetTimer(token, at_us):
                self.wheel.schedule(at_us, token)
            case WatchEndpoints(active):
                self.commands += [PollEndpoints(watch=True)] if active else []
            case FetchEndpoints():
                self.commands.append(PollEndpoints(watch=False))
            case CheckHealth(worker):
                self.commands.append(CheckWorkerHealth(worker))
            case WriteLog(text):
                self.commands.append(LogMessage(text))

    def on_push(self, now_us: int, request: Request | None, worker: str, limit_us: int) -> None:
        if request is None:
            return
        deadline_us = request.deadline_us - self.early_us
        if limit_us:
            deadline_us = min(deadline_us, now_us + limit_us)
        call = Call(request, len(request.calls), worker, now_us, deadline_us)
        # An open call to a worker bars a second one to it, and so does one given up, whose DELETE may come
        # behind the second one, or one ended by news that may repeat.
        barred = any(
            c.worker_id == worker and (c.notified or not c.worker_finished) for c in request.calls
        )
        call.write_deadline_us = write_deadline(request)
        request.calls.append(call)
        spent = len(request.calls) > self.settings.attempt_limit
        if request.answered or barred or spent or now_us >= deadline_us:
            self.end_call(now_us, call, AttemptResult.NOT_SENT)
            return
        if limit_us:
            self.wheel.schedule(deadline_us, call)
        self.commands.append(StartCall(call))

    def on_final(self, job: str, outcome: Outcome, pause_us: int) -> None:
        request = self.requests.get(job)
        if request is not None:
            self.answer(request, outcome, None, pause_us)

    def on_cancel(self, now_us: int, request: Request | None, number: int) -> None:
        if request is not None and 0 <= number < len(request.calls) and request.calls[number].open:
            call = request.calls[number]
            self.commands.append(StopCall(call))
            self.end_call(now_us, call, AttemptResult.CANCELLED)
