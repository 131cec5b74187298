"""Calls of requests to workers: their start, their timeout and their end.

A call that the core has ended stays ended, whatever its carrier reports later. The decision thread
calls the handler. The state of a call is in its `Call` record.
"""

from stepstream.core.commands import StartCall, StopCall
from stepstream.core.dispatch_state import DispatchState
from stepstream.core.events import CallEnded, CallTimeoutSet
from stepstream.core.requests import Call, Request
from stepstream.core.timer_wheel import CallTimeout
from stepstream.model.events import AttemptEnded, AttemptResult


class CallHandler:
    """Starts and ends calls, and reports their ends to the policy."""

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    def handle(self, now_us: int, event: CallEnded | CallTimeoutSet) -> None:
        """Handle a carrier's report on a call."""
        match event:
            case CallEnded(call, result, load_report):
                self.end(now_us, call, result, load_report)
            case CallTimeoutSet(call, at_us):
                if call.open:
                    self._state.requests.schedule(at_us, call.request, CallTimeout(call))

    def start(self, now_us: int, request: Request, worker_id: str, timeout_us: int) -> None:
        """Start a call that the policy has decided on.

        `timeout_us` is the call's own timeout; with 0 only the request's deadline limits the call.
        A call that `may_start` denies still gets its attempt number and ends at once with NOT_SENT.
        """
        state = self._state
        deadline_us = call_deadline_us(request, now_us, timeout_us, state.answer_margin_us)
        call = Call(
            request,
            attempt_number=len(request.calls),
            worker_id=worker_id,
            sent_us=now_us,
            deadline_us=deadline_us,
            write_deadline_us=request.next_call_write_deadline_us(),
        )
        is_allowed = may_start(call, now_us, state.settings.attempt_limit)
        request.calls.append(call)
        if not is_allowed:
            self.end(now_us, call, AttemptResult.NOT_SENT)
            return
        if timeout_us:
            state.requests.schedule(deadline_us, request, CallTimeout(call))
        state.output.commands.append(StartCall(call))

    def cancel(self, now_us: int, request: Request, attempt_number: int) -> None:
        """Cancel the call with this attempt number; do nothing if it is not open."""
        if 0 <= attempt_number < len(request.calls):
            self._stop(now_us, request.calls[attempt_number], AttemptResult.CANCELLED)

    def time_out(self, now_us: int, call: Call) -> None:
        """End a call that has reached its time limit; do nothing if it is not open."""
        self._stop(now_us, call, AttemptResult.TIMEOUT)

    def end(
        self,
        now_us: int,
        call: Call,
        result: AttemptResult,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """End a call and report it to the policy; do nothing if it is not open."""
        if not call.open:
            return
        call.open = False
        call.result = result
        request = call.request
        self._state.output.policy_events.append(
            AttemptEnded(
                job_id=request.id,
                attempt_number=call.attempt_number,
                worker_id=call.worker_id,
                result=result,
                elapsed_us=max(now_us - call.sent_us, 0),
                job_answered=request.answered,
                load_report=load_report,
            )
        )
        self._state.requests.remove_if_finished(request)

    def _stop(self, now_us: int, call: Call, result: AttemptResult) -> None:
        if call.open:
            self._state.output.commands.append(StopCall(call))
            self.end(now_us, call, result)


def call_deadline_us(request: Request, now_us: int, timeout_us: int, answer_margin_us: int) -> int:
    """Decide when a call that starts at `now_us` times out.

    Every call ends `answer_margin_us` before the request's deadline: the answer still has to be
    written within that time. `timeout_us` may end it earlier; 0 means that the call has no timeout
    of its own.
    """
    deadline_us = request.deadline_us - answer_margin_us
    if timeout_us:
        deadline_us = min(deadline_us, now_us + timeout_us)
    return deadline_us


def may_start(call: Call, now_us: int, attempt_limit: int) -> bool:
    """Decide whether a new call, not yet among its request's calls, may go to its worker.

    `attempt_limit` is the largest number of calls for one request. The policy's state may be one
    event old, so the core checks again what must always hold: no call after the answer, none beyond
    the limit, none past its deadline, and none that may collide with an earlier call.
    """
    request = call.request
    if request.answered:
        return False
    if call.attempt_number >= attempt_limit:
        return False
    if now_us >= call.deadline_us:
        return False
    return not may_collide(request, call.worker_id)


def may_collide(request: Request, worker_id: str) -> bool:
    """Decide whether a new call to a worker could meet an earlier call of the request there.

    Both calls carry the same request id. An open call may collide. A call that was cancelled or
    timed out may collide as well: its cancellation may reach the worker after the new call. So may
    a call that a notification has ended, because the worker may deliver that notification again.
    """
    calls_to_worker = [call for call in request.calls if call.worker_id == worker_id]
    return any(call.ended_by_notification or not call.worker_finished for call in calls_to_worker)
