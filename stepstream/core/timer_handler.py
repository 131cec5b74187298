"""Handles timers that are due: the policy's own, timeouts of calls and deadlines of answers.

The decision thread calls the handler, which has no state of its own.
"""

from stepstream.core.call_handler import CallHandler
from stepstream.core.dispatch_state import DispatchState
from stepstream.core.requests import Request
from stepstream.core.timer_wheel import (
    AnswerDeadline,
    AnswerOverdue,
    CallTimeout,
    PolicyTimer,
    Timer,
)
from stepstream.model.events import AnswerDue, AttemptResult, TimerFired


class TimerHandler:
    """Acts on each timer that is due, unless its call or request has ended."""

    def __init__(self, state: DispatchState, calls: CallHandler) -> None:
        self._state = state
        self._calls = calls

    def handle(self, now_us: int, timer: Timer) -> None:
        """Act on a timer that is due."""
        match timer:
            case PolicyTimer(token):
                self._state.output.policy_events.append(TimerFired(token))
            case CallTimeout(call):
                self._calls.time_out(now_us, call)
            case AnswerDeadline(request):
                if request.answered:
                    self._forget_calls(now_us, request)
                else:
                    self._end_calls(now_us, request)
            case AnswerOverdue(request):
                if not request.answered:
                    self._state.requests.fail(request)

    def _end_calls(self, now_us: int, request: Request) -> None:
        """End all calls, whatever their carriers do, and let the policy answer in this round.

        Only the policy knows whether the client may safely retry. A request that it leaves
        open fails one tick later.
        """
        for call in request.calls:
            self._calls.time_out(now_us, call)
        self._state.output.policy_events.append(AnswerDue(request.id))
        overdue_us = now_us + self._state.timers.tick_us
        self._state.requests.schedule(overdue_us, request, AnswerOverdue(request))

    def _forget_calls(self, now_us: int, request: Request) -> None:
        """End the calls that an answered request has left behind, without a word to their workers.

        Their outcomes may never be reported; the request would stay in memory for ever.
        """
        for call in request.calls:
            self._calls.end(now_us, call, AttemptResult.CANCELLED)
