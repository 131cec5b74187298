"""When discovery is called and for how long each call may go on; free of I/O, seconds passed in and out.

The platform's clocks: a change counts as told 6 s after discovery had it and could be reached, whatever has
failed; what a silent watch misses counts 6 s after it fell silent or, if later, 2 s after its wait is over.
Where lists are pushed, what the agent beside the dispatcher holds counts at once.

So from the last answer to the next one that can be had, a dispatcher of a few takes at most

    wait + slack (2.8 s) + limit (1.0) + pause (0.5) + limit (1.0) = 5.3 s

with one call hung on the way. Of many, each call is work for a discovery that serves a few a second: their
watches wait longer, and a silent one stays open until the call beside it has been answered.
"""

import random
from dataclasses import dataclass, field

from stepstream import interface as i

FEW = 8  # dispatchers; so many may call as often as they need to
LONGEST_WAIT = 60.0  # the platform's bound
WAIT = 2.4  # of a watch of a few
WAIT_EACH = 0.5  # of many, for each dispatcher: their watches end twice a second in all
SLACK = 0.4  # a watch unanswered so long after its wait is called beside
LIMIT = 1.0  # of a call that is answered at once, of a few
LIMIT_MANY = 2.2  # of many: discovery itself fails a call after 2 s in its queue
FIRST_EACH = 0.1  # the fleet's first calls, or its calls after a failure, are spread by so much each
LONGEST_FIRST = 4.0  # and over so long at most
AGAIN, LONGEST_AGAIN = 0.25, 0.5  # pause after a failure, doubled each time, of a few
LONGEST_AGAIN_MANY = 3.0
AGENT_WAIT, AGENT_SLACK, AGENT_LIMIT, AGENT_AGAIN = 0.25, 0.1, 0.25, 0.05
PAUSE = 0.1  # before a watch goes on that was answered at once with nothing new; 0.2 s would end it


@dataclass
class Schedule:
    """`dispatchers`: of the fleet that calls the same discovery; `pushed`: an agent beside it is called."""

    dispatchers: int
    pushed: bool
    draw: random.Random
    failures: int = field(default=0, init=False)  # in a row

    @classmethod
    def of(cls, settings: i.Settings, draw: random.Random) -> "Schedule":
        return cls(settings.fleet_size, not settings.must_ask, draw)

    @property
    def few(self) -> bool:
        return self.dispatchers <= FEW

    @property
    def wait(self) -> float:
        """How long a watch may wait."""
        if self.pushed:
            return AGENT_WAIT
        return WAIT if self.few else min(max(WAIT, WAIT_EACH * self.dispatchers), LONGEST_WAIT)

    @property
    def slack(self) -> float:
        return AGENT_SLACK if self.pushed else SLACK

    @property
    def limit(self) -> float:
        """Of a call that does not wait, and of the making of a connection."""
        if self.pushed:
            return AGENT_LIMIT
        return LIMIT if self.few else LIMIT_MANY

    def first(self) -> float:
        """The pause before the first call: asked by a whole fleet as one, discovery serves a few only."""
        if self.pushed or self.few:
            return 0.0
        return self.draw.uniform(0.0, min(FIRST_EACH * self.dispatchers, LONGEST_FIRST))

    def failed(self) -> float:
        """The pause after a call that failed."""
        self.failures += 1
        if self.pushed:
            return AGENT_AGAIN
        least = AGAIN if self.few else max(FIRST_EACH * self.dispatchers, AGAIN)
        most = LONGEST_AGAIN if self.few else LONGEST_AGAIN_MANY
        return min(least * 2 ** min(self.failures - 1, 8), most) * self.draw.uniform(0.5, 1.0)

    def answered(self, took: float, idle: bool) -> float:
        """The pause after an answer; `idle`: a watch's that told nothing new."""
        self.failures = 0
        # Guards discovery from a loop of calls, should it answer watches without waiting.
        return PAUSE if idle and took < PAUSE else 0.0
