"""Events of requests: arrival, the client's disconnection, a front's fault, and the shutdown.

The handler owns the shutdown's deadline. The decision thread calls it.
"""

from stepstream.core.dispatch_state import DispatchState
from stepstream.core.events import (
    ClientDisconnected,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
)
from stepstream.core.request_table import RequestTable
from stepstream.core.requests import Answer, Outcome, Request
from stepstream.core.timer_wheel import AnswerDeadline
from stepstream.model.events import JobSubmitted
from stepstream.model.settings import Settings


class RequestHandler:
    """Admits requests, sets their deadlines and closes them."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._shutdown_deadline_us: int | None = None  # None: no shutdown has started

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
                # A fault of a second request with the same id must not end the first one.
                if self._state.requests.contains(request):
                    self._state.requests.fail(request)
            case ShutdownStarted(deadline_us):
                self._shutdown_deadline_us = deadline_us
                for request in self._state.requests.by_id.values():
                    self._apply_shutdown_deadline(request)

    def _receive(self, now_us: int, request: Request) -> None:
        immediate_answer = answer_on_arrival(request, self._state.requests, self._state.settings)
        if immediate_answer is None:
            self._admit(now_us, request)
        else:
            request.release_payload()
            self._state.output.commands.append(immediate_answer)

    def _admit(self, now_us: int, request: Request) -> None:
        state = self._state
        translate_to_settings(request, state.settings)
        state.requests.add(request)
        self._schedule_answer_deadline(request)
        self._apply_shutdown_deadline(request)
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

    def _apply_shutdown_deadline(self, request: Request) -> None:
        deadline_us = self._shutdown_deadline_us
        if deadline_us is None or request.answered:
            return
        if deadline_us < request.deadline_us:
            # The client must get an answer before the process ends and resets its connection.
            request.deadline_us = deadline_us
            self._schedule_answer_deadline(request)

    def _schedule_answer_deadline(self, request: Request) -> None:
        due_us = request.deadline_us - self._state.answer_margin_us
        self._state.requests.schedule(due_us, request, AnswerDeadline(request))


def answer_on_arrival(
    request: Request, open_requests: RequestTable, settings: Settings
) -> Answer | None:
    """Decide whether a request that arrives is answered at once; None: it is admitted.

    - Failed, if a request with the same id is open: the two could not be told apart, and would
      share one answer. So is one whose id may have run before, here or in another process: it could
      run a second time.
    - Rejected, if `settings.max_open_requests` are open. The retry-after is the longest one,
      `settings.max_retry_after_us`.
    - Failed, if a reload has removed its job class or tenant since the front read it.
    """
    if request.id in open_requests.by_id or request.id in open_requests.recent_ids:
        return Answer(request, Outcome.FAILED)
    if open_requests.open_count >= settings.max_open_requests:
        return Answer(request, Outcome.REJECTED, retry_after_us=settings.max_retry_after_us)
    if not has_class_and_tenant(settings, request):
        return Answer(request, Outcome.FAILED)
    if not open_requests.claims.claim(request.id):
        return Answer(request, Outcome.FAILED)
    return None


def has_class_and_tenant(settings: Settings, request: Request) -> bool:
    """Return whether the settings have the request's job class and tenant, compared by name."""
    request_settings = request.settings
    if request_settings is None or request_settings is settings:
        return True
    if request_settings.classes[request.job_class].name not in settings.class_names:
        return False
    return not settings.tenants or tenant_name(request_settings, request.tenant) in settings.tenants


def translate_to_settings(request: Request, settings: Settings) -> None:
    """Change a request's job class and tenant to their indexes in `settings`.

    A front may have read the request under earlier settings, and a reload may reorder job classes
    and tenants. They are matched by name, and `settings` must have both.
    """
    request_settings = request.settings
    if request_settings is None or request_settings is settings:
        return
    class_name = request_settings.classes[request.job_class].name
    request.job_class = settings.class_names.index(class_name)
    if settings.tenants:
        request.tenant = settings.tenants.index(tenant_name(request_settings, request.tenant))
    else:
        request.tenant = 0
    request.settings = settings


def tenant_name(settings: Settings, tenant: int) -> str:
    """Return the name of a tenant by its index; empty if the settings have no tenants."""
    return settings.tenants[tenant] if settings.tenants else ""
