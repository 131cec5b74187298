"""Workers' notifications of their jobs.

A notification may arrive before the worker's response to the call, more than once, or after a
restart of this process. Each takes effect at most once. The handler owns the flag that tells
whether a sibling process of a hot restart exists. The decision thread calls it.
"""

from stepstream.core.call_handler import CallHandler
from stepstream.core.commands import ForwardNotification, Progress
from stepstream.core.dispatch_state import DispatchState
from stepstream.core.events import RESULT_BY_STATUS, JobNotification, JobStatus
from stepstream.core.requests import Call, Outcome, Request
from stepstream.model.events import AttemptResult, AttemptStarted, JobAbandoned


class NotificationHandler:
    """Applies a notification to the call that it is about.

    It answers the call's request, ends the call or reports its start.
    """

    def __init__(self, state: DispatchState, calls: CallHandler) -> None:
        # If True, a request that is unknown here may be open in the sibling process.
        self.has_sibling_process = False
        self._state = state
        self._calls = calls

    def handle(self, now_us: int, notification: JobNotification) -> None:
        """Apply a notification to its request's latest call to that worker, if there is one."""
        request = self._state.requests.get(notification.request_id)
        if request is None:
            self._forward(notification)
            return
        for call in reversed(request.calls):
            if call.worker_id == notification.worker_id:
                self._apply(now_us, request, call, notification)
                return

    def _forward(self, notification: JobNotification) -> None:
        if self.has_sibling_process and not notification.forwarded:
            self._state.output.commands.append(ForwardNotification(notification))

    def _apply(
        self, now_us: int, request: Request, call: Call, notification: JobNotification
    ) -> None:
        if notification.status is JobStatus.DONE:
            self._complete(now_us, request, call, notification)
        elif call.open:
            self._apply_to_open_call(now_us, request, call, notification)

    def _complete(
        self, now_us: int, request: Request, call: Call, notification: JobNotification
    ) -> None:
        first_result = not request.answered
        if first_result:
            self._state.requests.answer(request, Outcome.SERVED, notification.result)
        call.ended_by_notification = True
        if call.open:
            self._calls.end(now_us, call, AttemptResult.OK, notification.load_report)
        elif first_result:
            # The call had already ended, but its worker has completed the job: the policy
            # cancels the other calls.
            self._state.output.policy_events.append(JobAbandoned(request.id))

    def _apply_to_open_call(
        self, now_us: int, request: Request, call: Call, notification: JobNotification
    ) -> None:
        output = self._state.output
        status = notification.status
        if status is JobStatus.STARTED:
            output.policy_events.append(
                AttemptStarted(request.id, call.attempt_number, call.worker_id)
            )
        elif status is JobStatus.RUNNING:
            if notification.progress and not request.answered:
                done, total = notification.progress
                output.commands.append(Progress(request, done, total))
        else:
            call.ended_by_notification = True
            result = RESULT_BY_STATUS[status]
            self._calls.end(now_us, call, result, notification.load_report)
