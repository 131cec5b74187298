"""A dispatcher whose clock and policy the tests control."""

from types import SimpleNamespace

from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import RequestReceived
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import TimerFired
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.builders import WORKERS, make_request

START_US = 1_000_000


def commands_of_type(kind, commands):
    """Return the commands that are of type `kind`."""
    return [command for command in commands if isinstance(command, kind)]


class RecordingLog:
    """Records the core's log events in their order."""

    def __init__(self):
        self.events = []

    def internal_fault(self, *, where, error):
        """Record the log event for an internal fault."""
        self.events.append(("internal_fault", where, repr(error)))

    def worker_id_conflict(self, *, worker, source, owner):
        """Record the log event for a worker id that two sources list."""
        self.events.append(("worker_id_conflict", worker, source, owner))


class DispatcherHarness:
    """A dispatcher with four workers, its clock, its commands and its log events."""

    def __init__(self, settings=POLICY_SETTINGS):
        self.now_us = START_US
        self.commands = []
        self.log = RecordingLog()
        self.dispatcher = Dispatcher(
            settings,
            1,
            self.now_us,
            LIMITS.loop.timer_tick_us,
            LIMITS.loop.answer_margin_us,
            self.log,
        )
        self.post(EndpointList(EndpointListKind.PERSISTED, WORKERS))

    def post(self, *events):
        """Run one round of the dispatcher with these events; return its commands."""
        commands = self.dispatcher.handle(self.now_us, list(events))
        self.commands += commands
        return commands

    def receive(self, name="aa", **fields):
        """Post a new request; return it and the commands of its round."""
        request = make_request(name, self.now_us, **fields)
        return request, self.post(RequestReceived(request))

    def apply_policy_actions(self, *actions):
        """Run one round in which a stand-in for the policy returns exactly these actions."""
        policy = self.dispatcher.load_balancer
        decisions = [list(actions)]
        self.dispatcher.load_balancer = SimpleNamespace(
            handle=lambda now_us, events: decisions.pop() if decisions else []
        )
        commands = self.post(TimerFired(0))
        self.dispatcher.load_balancer = policy
        return commands

    def run_until(self, end_us):
        """Run a round at the time of each timer up to `end_us`; return the commands of all."""
        commands = []
        while (due_us := self.dispatcher.next_timer_us()) is not None and due_us <= end_us:
            self.now_us = max(due_us, self.now_us)
            commands += self.post()
        self.now_us = end_us
        return commands
