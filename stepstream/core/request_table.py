"""The table of open requests, and the rule that each request gets at most one final answer.

The decision thread owns it. The main thread reads `open_count` for the status line and the
shutdown.
"""

from typing import cast

from stepstream.core.request_ids import RecentRequestIds, RequestIdClaims, UnsharedRequestIds
from stepstream.core.requests import Answer, Outcome, Request
from stepstream.core.round_output import RoundOutput
from stepstream.core.timer_wheel import Timer, TimerHandle, TimerWheel
from stepstream.model.events import JobAbandoned


class RequestTable:
    """Requests by id, from admission until they are answered and all their calls have ended."""

    def __init__(self, output: RoundOutput, timers: TimerWheel) -> None:
        self.by_id: dict[str, Request] = {}
        self.recent_ids = RecentRequestIds()  # of removed requests that may have run
        # Replaced where processes share clients.
        self.claims: RequestIdClaims = UnsharedRequestIds()
        self.open_count = 0  # requests without an answer
        self._output = output
        self._timers = timers

    def get(self, request_id: str) -> Request | None:
        """Return the request with that id; None if there is none, or it has been removed."""
        return self.by_id.get(request_id)

    def contains(self, request: Request) -> bool:
        """Return whether this request object, not another one with the same id, is in the table."""
        return self.by_id.get(request.id) is request

    def add(self, request: Request) -> None:
        """Add a request without an answer; its id must be new."""
        self.by_id[request.id] = request
        self.open_count += 1

    def answer(
        self,
        request: Request,
        outcome: Outcome,
        result: object = None,
        retry_after_us: int = 0,
    ) -> None:
        """Give the final answer; drop it if the request has one or is not in the table."""
        if request.answered or not self.contains(request):
            return
        self._output.commands.append(Answer(request, outcome, result, retry_after_us))
        self._set_answered(request)

    def fail(self, request: Request) -> None:
        """Answer a request as failed without asking the policy, which then cancels its calls."""
        self.answer(request, Outcome.FAILED)
        self._output.policy_events.append(JobAbandoned(request.id))

    def abandon(self, request: Request) -> None:
        """Close a request whose client has disconnected; the policy then cancels its calls."""
        if request.answered or not self.contains(request):
            return
        self._set_answered(request)
        self._output.policy_events.append(JobAbandoned(request.id))

    def remove_if_finished(self, request: Request) -> None:
        """Remove a request that is answered and has no call in flight."""
        if request.answered and not request.has_open_calls:
            if self.contains(request):
                del self.by_id[request.id]
                if request.may_have_run:
                    self.recent_ids.add(request.id)
            self._cancel_timers(request)
            # A call refers to its request: without this cycle both are freed at once.
            request.calls.clear()

    def schedule(self, due_us: int, request: Request, timer: Timer) -> None:
        """Set a timer that is cancelled when the request is removed."""
        request.timers.append(self._timers.schedule(due_us, timer))

    def _cancel_timers(self, request: Request) -> None:
        for handle in request.timers:
            self._timers.cancel(cast(TimerHandle, handle))
        request.timers.clear()

    def _set_answered(self, request: Request) -> None:
        request.answered = True
        request.release_payload()
        self.open_count -= 1
        self.remove_if_finished(request)
