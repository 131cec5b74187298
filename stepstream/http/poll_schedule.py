"""When discovery is called and for how long each call may go on; free of I/O, seconds passed in and out.

The platform's clocks: a change counts as told 6 s after discovery had it and could be reached, whatever has
failed; what a silent watch misses counts 6 s after it fell silent or, if later, 2 s after its wait is over.
Where lists are pushed, what the agent beside the dispatcher holds counts at once.

So from one answer to the next that can be had, a dispatcher of four or fewer takes at most

    wait + slack (2.75 s) + limit of a call that hangs (2.2) + pause (0.25) = 5.2 s

and the next call's way. Of more, each call is work for a discovery that serves a few a second: their
watches wait longer, and a silent one stays open until the call beside it has been answered. No call is
given up before discovery itself would fail it (2 s in its queue): given up, it is served all the same, and
calls made anew for it keep the queue full for good.
"""

import random
from dataclasses import dataclass, field

from stepstream.model.settings import Settings

FEW = 8  # dispatchers; so many may make their first calls at once
LONGEST_WAIT = 60.0  # the platform's bound
WAIT = 2.35  # of a watch, at least
WAIT_EACH = 0.55  # and for each dispatcher: up to 109 of them, watches end less than twice a second
SLACK = 0.4  # a watch unanswered so long after its wait is called beside
LIMIT = 2.2  # of a call that does not wait: discovery itself fails one after 2 s in its queue
FIRST_EACH = 0.1  # the fleet's first calls are spread by so much each
LONGEST_FIRST = 4.0  # and over so long at most
BACKOFF, BACKOFF_EACH = (
    0.25,
    0.05,
)  # after a failure, at least, and for each dispatcher; doubled each time
LONGEST_BACKOFF_EACH, LONGEST_BACKOFF = (
    0.35,
    3.0,
)  # up to so much for each dispatcher, within these bounds
LEAST_LONGEST_BACKOFF = 0.5
AGENT_WAIT, AGENT_SLACK, AGENT_LIMIT, AGENT_BACKOFF = 0.25, 0.1, 0.25, 0.05
PAUSE = 0.1  # before a watch goes on that was answered at once with nothing new; 0.2 s would end it


@dataclass
class PollSchedule:
    """`dispatchers`: of the fleet that calls the same discovery; `pushed`: an agent beside it is called."""

    dispatchers: int
    pushed: bool
    draw: random.Random
    failures: int = field(default=0, init=False)  # in a row

    @classmethod
    def of(cls, settings: Settings, draw: random.Random) -> "PollSchedule":
        return cls(settings.dispatcher_count, not settings.polls_endpoints, draw)

    @property
    def wait(self) -> float:
        """How long a watch may wait."""
        if self.pushed:
            return AGENT_WAIT
        return min(max(WAIT, WAIT_EACH * self.dispatchers), LONGEST_WAIT)

    @property
    def slack(self) -> float:
        return AGENT_SLACK if self.pushed else SLACK

    @property
    def limit(self) -> float:
        """Of a call that does not wait, and of the making of a connection."""
        return AGENT_LIMIT if self.pushed else LIMIT

    def first(self) -> float:
        """The pause before the first call: asked by a whole fleet as one, discovery serves a few only."""
        if self.pushed or self.dispatchers <= FEW:
            return 0.0
        return self.draw.uniform(0.0, min(FIRST_EACH * self.dispatchers, LONGEST_FIRST))

    def failed(self) -> float:
        """The pause after a call that failed."""
        self.failures += 1
        if self.pushed:
            return AGENT_BACKOFF
        least = max(BACKOFF_EACH * self.dispatchers, BACKOFF)
        most = min(
            max(LONGEST_BACKOFF_EACH * self.dispatchers, LEAST_LONGEST_BACKOFF), LONGEST_BACKOFF
        )
        return min(least * 2 ** min(self.failures - 1, 8), most) * self.draw.uniform(0.5, 1.0)

    def answered(self, took: float, idle: bool) -> float:
        """The pause after an answer; `idle`: a watch's that told nothing new."""
        self.failures = 0
        # Guards discovery from a loop of calls, should it answer watches without waiting.
        return PAUSE if idle and took < PAUSE else 0.0
