"""Decide when discovery is called and how long each call may take.

No I/O and no clock: durations are seconds, passed in and returned.

The platform holds a dispatcher to these bounds. A change counts as known 6 s after discovery had it
and could be reached, whatever has failed in between. What a silent watch misses counts as known 6 s
after the watch fell silent or, if that is later, 2 s after its wait is over. Where an agent beside
the dispatcher is pushed the lists, what the agent holds counts as known at once.

From one obtainable answer to the next, a dispatcher that shares discovery with at most three others
therefore takes at most

    watch wait + overrun (2.75 s) + timeout of a call that hangs (2.2 s) + backoff (0.25 s) = 5.2 s

and the next call's round trip. With more dispatchers, each call is work for a discovery service
that serves a few a second: watches wait longer, and a silent one stays open until the call beside
it has been answered. No call is given up before discovery itself would fail it (after 2 s in its
queue): it would be served all the same, and the calls that replace it would keep the queue full for
good.
"""

import random
from dataclasses import dataclass, field

from stepstream.model.settings import Settings

# So many dispatchers may make their first calls at once; more would fill discovery's queue at a
# common start.
UNSPREAD_DISPATCHERS = 8

# A watch waits for the largest of these, within the platform's bound. Shorter waits cost discovery
# more calls, longer ones delay the notice of a watch that has fallen silent.
MIN_WATCH_WAIT_SECONDS = 2.35
# Up to 109 dispatchers, watches then end less than twice a second in all.
WATCH_WAIT_PER_DISPATCHER_SECONDS = 0.55
MAX_WATCH_WAIT_SECONDS = 60.0  # the platform's bound

# A watch unanswered so long after its wait is taken for silent, and a call is made beside it.
WATCH_OVERRUN_SECONDS = 0.4
# Timeout of a call that does not wait. Discovery itself fails one after 2 s in its queue: a shorter
# timeout keeps that queue full of calls whose callers have left.
CALL_TIMEOUT_SECONDS = 2.2

# First calls are spread over so much for each dispatcher, and over no more than the bound: a
# dispatcher serves from the list of before its start for so long.
FIRST_PAUSE_PER_DISPATCHER_SECONDS = 0.1
MAX_FIRST_PAUSE_SECONDS = 4.0

# Exponential backoff: the pause after a failed call begins at the larger of the first two and
# doubles with each failure. Shorter pauses let a fleet whose calls all fail ask for more than
# discovery serves.
BACKOFF_SECONDS = 0.25
BACKOFF_PER_DISPATCHER_SECONDS = 0.05
# It grows up to so much for each dispatcher, within these bounds; longer pauses break the 6 s
# above.
MAX_BACKOFF_PER_DISPATCHER_SECONDS = 0.35
MAX_BACKOFF_AT_LEAST_SECONDS = 0.5
MAX_BACKOFF_AT_MOST_SECONDS = 3.0
MAX_BACKOFF_DOUBLINGS = 8  # the bounds above are reached long before; keeps the power small
MIN_JITTER_FACTOR = 0.5  # each pause is scaled by a random factor from this to 1

# An agent on the same machine answers at no cost, and what it holds counts at once: all its times
# are short.
AGENT_WATCH_WAIT_SECONDS = 0.25
AGENT_WATCH_OVERRUN_SECONDS = 0.1
AGENT_CALL_TIMEOUT_SECONDS = 0.25
AGENT_BACKOFF_SECONDS = 0.05

# Pause after a watch that was answered at once with nothing new: without it, a discovery service
# that does not wait would be called in a loop. A pause of 0.2 s would make the watch count as
# ended.
UNCHANGED_PAUSE_SECONDS = 0.1


@dataclass
class PollSchedule:
    """The times of one discovery client's calls.

    `dispatcher_count` is the number of dispatchers that call the same discovery service;
    `agent_pushes` says that the address called is an agent beside the dispatcher. Owned by the
    discovery client's thread; the main thread may replace `dispatcher_count` at any time, and check
    threads read the timeouts.
    """

    dispatcher_count: int
    agent_pushes: bool
    rng: random.Random
    consecutive_failures: int = field(default=0, init=False)

    @classmethod
    def from_settings(cls, settings: Settings, rng: random.Random) -> "PollSchedule":
        """Make the schedule that the settings ask for."""
        return cls(settings.dispatcher_count, not settings.polls_endpoints, rng)

    @property
    def watch_wait_seconds(self) -> float:
        """How long discovery may hold a watch before it answers."""
        if self.agent_pushes:
            return AGENT_WATCH_WAIT_SECONDS
        fleet_wait = WATCH_WAIT_PER_DISPATCHER_SECONDS * self.dispatcher_count
        return min(max(MIN_WATCH_WAIT_SECONDS, fleet_wait), MAX_WATCH_WAIT_SECONDS)

    @property
    def watch_overrun_seconds(self) -> float:
        """How long after its wait a watch counts as silent."""
        return AGENT_WATCH_OVERRUN_SECONDS if self.agent_pushes else WATCH_OVERRUN_SECONDS

    @property
    def call_timeout_seconds(self) -> float:
        """The timeout of a call that does not wait, and of making a connection."""
        return AGENT_CALL_TIMEOUT_SECONDS if self.agent_pushes else CALL_TIMEOUT_SECONDS

    def first_pause_seconds(self) -> float:
        """Return the pause before the first call; spreads a fleet that starts at the same time."""
        if self.agent_pushes or self.dispatcher_count <= UNSPREAD_DISPATCHERS:
            return 0.0
        spread = FIRST_PAUSE_PER_DISPATCHER_SECONDS * self.dispatcher_count
        return self.rng.uniform(0.0, min(spread, MAX_FIRST_PAUSE_SECONDS))

    def pause_after_failure_seconds(self) -> float:
        """Count a failed call and return the pause before the next one."""
        self.consecutive_failures += 1
        if self.agent_pushes:
            return AGENT_BACKOFF_SECONDS
        shortest = max(BACKOFF_PER_DISPATCHER_SECONDS * self.dispatcher_count, BACKOFF_SECONDS)
        longest = min(
            max(
                MAX_BACKOFF_PER_DISPATCHER_SECONDS * self.dispatcher_count,
                MAX_BACKOFF_AT_LEAST_SECONDS,
            ),
            MAX_BACKOFF_AT_MOST_SECONDS,
        )
        doublings = min(self.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        return min(shortest * 2.0**doublings, longest) * self.rng.uniform(MIN_JITTER_FACTOR, 1.0)

    def pause_after_answer_seconds(self, took_seconds: float, *, unchanged: bool) -> float:
        """Count an answer and return the pause before the next call.

        `unchanged` says that a watch was answered without anything new.
        """
        self.consecutive_failures = 0
        if unchanged and took_seconds < UNCHANGED_PAUSE_SECONDS:
            return UNCHANGED_PAUSE_SECONDS
        return 0.0
