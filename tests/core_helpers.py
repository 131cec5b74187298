"""A dispatcher core with a clock of the tests' own."""

from net_helpers import LIMITS, SETTINGS, WORKERS, request

from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import (
    RequestReceived,
)
from stepstream.model.endpoints import EndpointList, EndpointListKind

START_US = 1_000_000


class Desk:
    """A dispatcher with four workers, its clock and its commands."""

    def __init__(self, settings=SETTINGS):
        self.now, self.commands, self.complaints = START_US, [], []
        self.core = Dispatcher(
            settings,
            1,
            self.now,
            LIMITS.loop.timer_tick_us,
            LIMITS.loop.answer_margin_us,
            self.complaints.append,
        )
        self.tell(EndpointList(EndpointListKind.PERSISTED, WORKERS))

    def tell(self, *events):
        found = self.core.handle(self.now, list(events))
        self.commands += found
        return found

    def take(self, name="aa", **more):
        taken = request(name, self.now, **more)
        return taken, self.tell(RequestReceived(taken))

    def until(self, at_us):
        """Rings every timer up to then, each at its time."""
        found = []
        while (due := self.core.next_timer_us()) is not None and due <= at_us:
            self.now = max(due, self.now)
            found += self.tell()
        self.now = at_us
        return found
