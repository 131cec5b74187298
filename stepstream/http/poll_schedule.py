"""Decide when discovery is called and how long each call may take.

No I/O and no clock: durations are seconds, passed in and returned.

The platform sets these bounds. A dispatcher must know a change within 6 s after discovery has it
and can be reached, whatever has failed in between. If a silent watch missed the change, the bound
is 6 s after the watch fell silent, or 2 s after the end of its wait if that is later. If lists are
pushed to an agent on the dispatcher's machine, the dispatcher must know a list as soon as the agent
has it.

While discovery can be reached, a dispatcher that shares it with at most three others therefore gets
its next answer after at most

    watch wait + overrun (2.75 s) + timeout of a call that hangs (2.2 s) + backoff (0.25 s) = 5.2 s

plus the round trip of the next call. Discovery serves only a few calls a second. With more
dispatchers, watches therefore wait longer, and a silent watch stays open until the next call is
answered. A call's timeout is longer than the 2 s after which discovery fails a queued call.
Otherwise discovery would still serve the abandoned call, and its replacements would keep the queue
full.
"""

import random
from dataclasses import dataclass, field

from stepstream.model.settings import Settings

# How long discovery may wait before it answers a watch. Shorter waits cost discovery more calls.
# With longer waits a silent watch is noticed later.
MIN_WATCH_WAIT_SECONDS = 2.35
WATCH_WAIT_PER_DISPATCHER_SECONDS = 0.55
MAX_WATCH_WAIT_SECONDS = 60.0  # the platform's bound

# A watch counts as silent once this time has passed after the end of its wait.
WATCH_OVERRUN_SECONDS = 0.4
# Timeout of a call that discovery answers without waiting. It is longer than the 2 s
# after which discovery fails a queued call.
CALL_TIMEOUT_SECONDS = 2.2

# The first calls of a large fleet that starts at one time are spread, because they would otherwise
# fill discovery's queue. Until its first call, a dispatcher uses the list from before its start.
MAX_DISPATCHERS_WITHOUT_SPREAD = 8
FIRST_CALL_SPREAD_PER_DISPATCHER_SECONDS = 0.1
MAX_FIRST_CALL_SPREAD_SECONDS = 4.0

# Exponential backoff after failed calls. With shorter pauses, a fleet whose calls all fail would
# overload discovery. Longer pauses would break the bound of 6 s.
MIN_INITIAL_BACKOFF_SECONDS = 0.25
INITIAL_BACKOFF_PER_DISPATCHER_SECONDS = 0.05
MIN_BACKOFF_CAP_SECONDS = 0.5
BACKOFF_CAP_PER_DISPATCHER_SECONDS = 0.35
MAX_BACKOFF_CAP_SECONDS = 3.0
MAX_BACKOFF_DOUBLINGS = 8  # bounds the exponent; fewer doublings reach the cap
MIN_JITTER_FRACTION = 0.5  # each pause is multiplied by a random number from this to 1

# An agent on the same machine costs discovery nothing, so it is called often.
AGENT_WATCH_WAIT_SECONDS = 0.25
AGENT_WATCH_OVERRUN_SECONDS = 0.1
AGENT_CALL_TIMEOUT_SECONDS = 0.25
AGENT_BACKOFF_SECONDS = 0.05

# Prevents a busy loop if discovery answers watches without waiting.
PAUSE_AFTER_UNCHANGED_SECONDS = 0.1


@dataclass
class PollSchedule:
    """The times of one discovery client's calls.

    `dispatcher_count` is the number of dispatchers that call the same discovery service.
    `agent_pushes` is True if the client calls an agent on the dispatcher's machine. The thread of
    the discovery client owns the schedule. The main thread may replace `dispatcher_count` at any
    time, and check threads read the timeouts.
    """

    dispatcher_count: int
    agent_pushes: bool
    rng: random.Random
    consecutive_failures: int = field(default=0, init=False)

    @classmethod
    def from_settings(cls, settings: Settings, rng: random.Random) -> "PollSchedule":
        """Create the schedule for the settings."""
        return cls(settings.dispatcher_count, not settings.polls_endpoints, rng)

    @property
    def watch_wait_seconds(self) -> float:
        """How long discovery may wait before it answers a watch."""
        if self.agent_pushes:
            return AGENT_WATCH_WAIT_SECONDS
        return fleet_watch_wait_seconds(self.dispatcher_count)

    @property
    def watch_overrun_seconds(self) -> float:
        """How long after the end of its wait a watch counts as silent."""
        return AGENT_WATCH_OVERRUN_SECONDS if self.agent_pushes else WATCH_OVERRUN_SECONDS

    @property
    def call_timeout_seconds(self) -> float:
        """The timeout of connecting, and of a call that discovery answers without waiting."""
        return AGENT_CALL_TIMEOUT_SECONDS if self.agent_pushes else CALL_TIMEOUT_SECONDS

    def first_pause_seconds(self) -> float:
        """Return a random pause before the first call."""
        if self.agent_pushes or self.dispatcher_count <= MAX_DISPATCHERS_WITHOUT_SPREAD:
            return 0.0
        return self.rng.uniform(0.0, first_call_spread_seconds(self.dispatcher_count))

    def pause_after_failure_seconds(self) -> float:
        """Count a failed call and return the pause before the next one."""
        self.consecutive_failures += 1
        if self.agent_pushes:
            return AGENT_BACKOFF_SECONDS
        pause_seconds = backoff_seconds(self.consecutive_failures, self.dispatcher_count)
        return pause_seconds * self.rng.uniform(MIN_JITTER_FRACTION, 1.0)

    def pause_after_answer_seconds(self, call_seconds: float, *, unchanged: bool) -> float:
        """Count an answer and return the pause before the next call.

        `call_seconds` is the duration of the call. `unchanged` is True for a watch whose answer has
        nothing new.
        """
        self.consecutive_failures = 0
        if unchanged and call_seconds < PAUSE_AFTER_UNCHANGED_SECONDS:
            return PAUSE_AFTER_UNCHANGED_SECONDS
        return 0.0


def fleet_watch_wait_seconds(dispatcher_count: int) -> float:
    """Decide how long discovery may wait before it answers a watch.

    The wait grows with the number of dispatchers: with up to 109 of them, fewer than two watches a
    second end at all dispatchers together.
    """
    fleet_wait_seconds = WATCH_WAIT_PER_DISPATCHER_SECONDS * dispatcher_count
    return min(max(MIN_WATCH_WAIT_SECONDS, fleet_wait_seconds), MAX_WATCH_WAIT_SECONDS)


def first_call_spread_seconds(dispatcher_count: int) -> float:
    """Decide over how long the first calls of a fleet that starts at one time are spread."""
    fleet_spread_seconds = FIRST_CALL_SPREAD_PER_DISPATCHER_SECONDS * dispatcher_count
    return min(fleet_spread_seconds, MAX_FIRST_CALL_SPREAD_SECONDS)


def backoff_seconds(consecutive_failures: int, dispatcher_count: int) -> float:
    """Decide the pause after the latest of `consecutive_failures` failed calls, without jitter.

    It starts with the initial backoff and doubles with each failure up to the cap. Both grow with
    the number of dispatchers, because all of them call the same discovery service.
    """
    initial_seconds = max(
        INITIAL_BACKOFF_PER_DISPATCHER_SECONDS * dispatcher_count, MIN_INITIAL_BACKOFF_SECONDS
    )
    fleet_cap_seconds = BACKOFF_CAP_PER_DISPATCHER_SECONDS * dispatcher_count
    cap_seconds = min(max(fleet_cap_seconds, MIN_BACKOFF_CAP_SECONDS), MAX_BACKOFF_CAP_SECONDS)
    doublings = min(consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
    return min(initial_seconds * 2.0**doublings, cap_seconds)
