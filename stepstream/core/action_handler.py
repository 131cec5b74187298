"""Carries out the policy's actions: applies them to requests and calls, or issues commands.

An action on a request that is no longer open has no effect. The decision thread calls the handler,
which has no state of its own.
"""

from stepstream.core.call_handler import CallHandler
from stepstream.core.commands import CheckWorkerHealth, LogMessage, PollEndpoints
from stepstream.core.dispatch_state import DispatchState
from stepstream.core.requests import Outcome
from stepstream.core.timer_wheel import PolicyTimer
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


class ActionHandler:
    """Carries out the policy's actions."""

    def __init__(self, state: DispatchState, calls: CallHandler) -> None:
        self._state = state
        self._calls = calls

    def handle(self, now_us: int, action: PolicyAction) -> None:
        """Carry out one action."""
        match action:
            case StartAttempt() | CancelAttempt() | Reject() | Fail():
                self._act_on_request(now_us, action)
            case SetTimer(token, at_us):
                self._state.timers.schedule(at_us, PolicyTimer(token))
            case WatchEndpoints() | FetchEndpoints() | CheckHealth() | WriteLog():
                self._issue_command(action)

    def _act_on_request(
        self, now_us: int, action: StartAttempt | CancelAttempt | Reject | Fail
    ) -> None:
        request = self._state.requests.get(action.job_id)
        if request is None:
            return
        match action:
            case StartAttempt(_, worker_id, timeout_us):
                self._calls.start(now_us, request, worker_id, timeout_us)
            case CancelAttempt(_, attempt_number):
                self._calls.cancel(now_us, request, attempt_number)
            case Reject(_, retry_after_us):
                self._state.requests.answer(
                    request, Outcome.REJECTED, retry_after_us=retry_after_us
                )
            case Fail():
                self._state.requests.answer(request, Outcome.FAILED)

    def _issue_command(
        self, action: WatchEndpoints | FetchEndpoints | CheckHealth | WriteLog
    ) -> None:
        commands = self._state.output.commands
        match action:
            case WatchEndpoints(active):
                if active:
                    commands.append(PollEndpoints(watch=True))
            case FetchEndpoints():
                commands.append(PollEndpoints(watch=False))
            case CheckHealth(worker_id):
                commands.append(CheckWorkerHealth(worker_id))
            case WriteLog(text):
                commands.append(LogMessage(text))
