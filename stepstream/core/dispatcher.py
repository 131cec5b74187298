"""The dispatcher: routes events, timers and the policy's actions to their handlers.

It uses no socket and no protocol. One round takes the time and a batch of events, and returns
commands. Fronts and carriers post the events, and the node executes the commands. The decision
thread owns the dispatcher and everything in it. Other threads may read `open_count` and call
`endpoints.contains` and `endpoints.owner`. Times are microseconds on the process's monotonic clock.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar, TypeVarTuple

from stepstream.core.action_handler import ActionHandler
from stepstream.core.call_handler import CallHandler
from stepstream.core.commands import Command
from stepstream.core.dispatch_state import DispatchState
from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.core.events import (
    CallEnded,
    CallTimeoutSet,
    ClientDisconnected,
    Event,
    JobNotification,
    MaintenanceChanged,
    RequestFaulted,
    RequestReceived,
    ShutdownStarted,
    SiblingProcessChanged,
)
from stepstream.core.notification_handler import NotificationHandler
from stepstream.core.request_handler import RequestHandler
from stepstream.core.request_ids import RequestIdClaims
from stepstream.core.request_table import RequestTable
from stepstream.core.requests import Outcome, Request
from stepstream.core.round_output import RoundOutput
from stepstream.core.timer_handler import TimerHandler
from stepstream.core.timer_wheel import TimerWheel
from stepstream.model.events import JobSubmitted, PolicyEvent, SettingsChanged
from stepstream.model.settings import Settings
from stepstream.policy.load_balancer import LoadBalancer

if TYPE_CHECKING:
    from stepstream.core.log import CoreLog

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


class Dispatcher:
    """The core of the program: one policy, the open requests, their calls and the timers."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now_us: int,
        tick_us: int,
        answer_margin_us: int,
        log: "CoreLog",
    ) -> None:
        """Create a dispatcher without requests.

        `seed` seeds the policy's random numbers. `tick_us` is the timers' resolution.
        `answer_margin_us` is the time that is reserved before a deadline for writing the answer.
        `log` gets one event for each fault.
        """
        self.load_balancer = LoadBalancer(settings, seed, now_us)
        self.endpoints = EndpointSet(log)
        self._log = log
        self._output = RoundOutput()
        self._timers = TimerWheel(now_us, tick_us)
        self._state = DispatchState(
            settings=settings,
            answer_margin_us=answer_margin_us,
            timers=self._timers,
            requests=RequestTable(self._output, self._timers),
            output=self._output,
        )
        self._request_handler = RequestHandler(self._state)
        self._call_handler = CallHandler(self._state)
        self._notification_handler = NotificationHandler(self._state, self._call_handler)
        self._timer_handler = TimerHandler(self._state, self._call_handler)
        self._action_handler = ActionHandler(self._state, self._call_handler)

    @property
    def requests(self) -> dict[str, Request]:
        """The requests that are open or have calls in flight, by id; callers only read it."""
        return self._state.requests.by_id

    def share_request_ids(self, claims: RequestIdClaims) -> None:
        """Ask `claims` before each admission; call it before the decision thread starts."""
        self._state.requests.claims = claims

    @property
    def open_count(self) -> int:
        """The number of requests without an answer; any thread may read it."""
        return self._state.requests.open_count

    def next_timer_us(self) -> int | None:
        """Return when the next timer is due, in microseconds; None without timers."""
        return self._timers.next_due_us()

    def handle(self, now_us: int, events: list[Event]) -> list[Command]:
        """Run one round: due timers, then events, then the policy until no policy event is left."""
        for timer in self._timers.pop_due(now_us):
            self._run_guarded("timer handling", self._timer_handler.handle, now_us, timer)
        for event in events:
            self._run_guarded("event handling", self._route, now_us, event)
        # An action may end a call at once. That is a new event for the policy.
        while self._output.policy_events:
            policy_events = self._output.take_policy_events()
            actions = self._run_guarded(
                "policy decisions", self.load_balancer.handle, now_us, policy_events
            )
            if actions is None:
                self._fail_new_requests(policy_events)
                continue
            for action in actions:
                self._run_guarded("action handling", self._action_handler.handle, now_us, action)
        return self._output.take_commands()

    def _run_guarded(
        self, step_name: str, step: Callable[[*Arguments], Result], *arguments: *Arguments
    ) -> Result | None:
        """Run a step; log its fault under `step_name` and return None.

        A fault costs only the timer, event or action that caused it.
        """
        try:
            return step(*arguments)
        except Exception as error:  # noqa: BLE001  the decision thread must outlive any fault
            self._log.internal_fault(where=step_name, error=error)
            return None

    def _fail_new_requests(self, policy_events: list[PolicyEvent]) -> None:
        """Fail the new requests among events on which the policy failed.

        The policy does not know these requests and would never answer them.
        """
        for event in policy_events:
            if not isinstance(event, JobSubmitted):
                continue
            request = self._state.requests.get(event.job_id)
            if request is not None and not request.calls:
                self._state.requests.answer(request, Outcome.FAILED)

    def _route(self, now_us: int, event: Event) -> None:
        match event:
            case RequestReceived() | ClientDisconnected() | RequestFaulted() | ShutdownStarted():
                self._request_handler.handle(now_us, event)
            case CallEnded() | CallTimeoutSet():
                self._call_handler.handle(now_us, event)
            case JobNotification():
                self._notification_handler.handle(now_us, event)
            case SiblingProcessChanged(present):
                self._notification_handler.has_sibling_process = present
            case EndpointsUpdated():
                self._output.policy_events.append(self.endpoints.apply(event))
            case MaintenanceChanged(state):
                self._output.policy_events.append(self.endpoints.apply_maintenance(state))
            case SettingsChanged(settings):
                self._state.settings = settings
                self._output.policy_events.append(event)
            case _:
                self._output.policy_events.append(event)
