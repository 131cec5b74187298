"""The decision thread: takes events in batches, lets the core decide and executes its commands.

Only this thread changes the core and the outcome counts. Nothing that it calls may wait for a peer.
"""

from queue import Empty
from typing import NoReturn, cast

from stepstream.core.commands import (
    Answer,
    CheckWorkerHealth,
    Command,
    LogMessage,
    Outcome,
    PollEndpoints,
    Progress,
    StartCall,
    StopCall,
)
from stepstream.core.events import Event
from stepstream.core.requests import ResponseSink
from stepstream.http.destination_set import DISCOVERY_SOURCE
from stepstream.node.context import NodeContext
from stepstream.ports.carriers import Carrier
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded

MICROSECONDS_PER_SECOND = 1e6


class DecisionThread:
    """The loop of the decision thread, and its counts of answers."""

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.outcome_counts = dict.fromkeys(Outcome, 0)  # requests answered, by outcome

    def run(self) -> NoReturn:
        """Run batches until the process ends; a fault is logged, and its batch is lost."""
        while True:
            run_guarded("decisions", self.run_batch)

    def run_batch(self) -> None:
        """Wait for events or a timer, let the core decide, and execute its commands."""
        context = self.context
        events = self.next_events()
        for command in context.core.handle(context.clock.now_us(), events):
            run_guarded("a command", self.execute, command)

    def next_events(self) -> list[Event]:
        """Wait for an event, at most until the next timer; return the queued events in order.

        Returns at most `event_batch` events, and none if a timer is due first.
        """
        loop = self.context.limits.loop
        wait_seconds = loop.max_wait_seconds
        timer_us = self.context.core.next_timer_us()
        if timer_us is not None:
            wait_seconds = (timer_us - self.context.clock.now_us()) / MICROSECONDS_PER_SECOND
        queue = self.context.events
        events: list[Event] = []
        try:
            if wait_seconds > 0:
                events.append(queue.get(timeout=min(wait_seconds, loop.max_wait_seconds)))
            while len(events) < loop.event_batch:
                events.append(queue.get_nowait())
        except Empty:
            pass
        return events

    def execute(self, command: Command) -> None:
        """Execute one command; a command without a handler is dropped."""
        context = self.context
        match command:
            case StartCall(call):
                carrier = self.carrier_of(call.worker_id)
                call.carrier = carrier
                carrier.start(call)
            case StopCall(call):
                # The core declares carrier and sink as optional and imports nothing of `ports`.
                # Both are set before these commands are executed.
                cast(Carrier, call.carrier).stop(call)
            case Progress(request, done, total):
                cast(ResponseSink, request.response_sink).progress(done, total)
            case Answer(request):
                self.outcome_counts[command.outcome] += 1
                cast(ResponseSink, request.response_sink).answer(command)
            case CheckWorkerHealth(worker_id):
                if not context.is_health_check_delegated(worker_id):
                    self.carrier_of(worker_id).check_health(worker_id)
            case PollEndpoints():
                context.discovery.poll()
            case LogMessage(text):
                log_events.policy_message(text=text)
            case _:
                handler = context.command_handlers.get(type(command))
                if handler is not None:
                    handler(command)

    def carrier_of(self, worker_id: str) -> Carrier:
        """Return the carrier of the source that owns the worker.

        A worker without an owner gets discovery's carrier, which ends the call as not sent.
        """
        return self.context.carriers[
            self.context.core.endpoints.owner(worker_id) or DISCOVERY_SOURCE
        ]
