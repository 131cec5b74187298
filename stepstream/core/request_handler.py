"""Events of requests: their arrival, their client's disconnection, a front's fault, the shutdown.

It owns the deadline of the shutdown. The decision thread calls it.
"""

from stepstream.core.dispatch_state import DispatchState
from stepstream.core.events import (
    ClientDisconnected,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
)
from stepstream.core.requests import Answer, Outcome, Request
from stepstream.core.timer_wheel import AnswerDeadline
from stepstream.model.events import JobSubmitted
from stepstream.model.settings import Settings


class RequestHandler:
    """Admits requests, sets their deadlines and closes them."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._shutdown_deadline_us: int | None = None  # the process ends then

    def handle(
        self,
        now_us: int,
        event: RequestReceived | ClientDisconnected | RequestFaulted | ShutdownStarted,
    ) -> None:
        """Handle an event of one request, or of all that are open."""
        match event:
            case RequestReceived(request):
                self._receive(now_us, request)
            case ClientDisconnected(request):
                self._state.requests.abandon(request)
            case RequestFaulted(request):
                # The fault of a second request with the same id must not end the first.
                if self._state.requests.contains(request):
                    self._state.requests.fail(request)
            case ShutdownStarted(deadline_us):
                self._shutdown_deadline_us = deadline_us
                for request in self._state.requests.by_id.values():
                    self._limit_to_shutdown(request)

    def _receive(self, now_us: int, request: Request) -> None:
        state = self._state
        if request.id in state.requests.by_id:
            # Two requests under one id would get one answer between them.
            state.output.commands.append(Answer(request, Outcome.FAILED))
            return
        if state.requests.open_count >= state.settings.max_open_requests:
            retry_after_us = state.settings.max_retry_after_us
            state.output.commands.append(
                Answer(request, Outcome.REJECTED, retry_after_us=retry_after_us)
            )
            return
        if not translate_to_settings(request, state.settings):
            state.output.commands.append(Answer(request, Outcome.FAILED))
            return
        self._admit(now_us, request)

    def _admit(self, now_us: int, request: Request) -> None:
        state = self._state
        state.requests.add(request)
        state.timers.schedule(request.deadline_us - state.answer_margin_us, AnswerDeadline(request))
        self._limit_to_shutdown(request)
        state.output.policy_events.append(
            JobSubmitted(
                job_id=request.id,
                job_class=request.job_class,
                budget_us=max(request.deadline_us - now_us, 0),
                tenant=request.tenant,
                key=request.key,
                slots=request.slots,
                memory=request.memory,
                client_retry=request.client_retry,
            )
        )

    def _limit_to_shutdown(self, request: Request) -> None:
        """Bring the deadline forward to the shutdown: an answer in time beats a reset."""
        deadline_us = self._shutdown_deadline_us
        if deadline_us is None or deadline_us >= request.deadline_us or request.answered:
            return
        request.deadline_us = deadline_us
        self._state.timers.schedule(
            deadline_us - self._state.answer_margin_us, AnswerDeadline(request)
        )


def translate_to_settings(request: Request, settings: Settings) -> bool:
    """Make a request that was read under replaced settings index the current ones.

    Classes and tenants are matched by name. Return False if the current settings lack either.
    """
    read_under = request.settings
    if read_under is None or read_under is settings:
        return True
    class_name = read_under.classes[request.job_class].name
    tenant_name = read_under.tenants[request.tenant] if read_under.tenants else ""
    if class_name not in settings.class_names:
        return False
    if settings.tenants and tenant_name not in settings.tenants:
        return False
    request.job_class = settings.class_names.index(class_name)
    request.tenant = settings.tenants.index(tenant_name) if settings.tenants else 0
    request.settings = settings
    return True
