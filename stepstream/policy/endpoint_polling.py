"""Endpoint polling: when to call for the endpoint list, with backoff after a failed call.

The first call is made in every deployment. The backoff takes effect on the simulator alone: the
discovery client of a dispatcher repeats its own calls, see `http/poll_schedule.py`, and sends no
`FAILED` list.
"""

from stepstream.model.actions import TimerToken, WatchEndpoints
from stepstream.model.state import PolicyState
from stepstream.policy.pool_capacity import has_many_dispatchers
from stepstream.policy.timers import set_timer

# Minimum of the first backoff, unless half the poll interval is shorter. Each failed call doubles
# the backoff.
MIN_FIRST_BACKOFF_US = 500_000
# Where many dispatchers started or failed together, they make about one call in this time.
CALL_INTERVAL_US = 100_000
# A call after a failure waits for at least this fraction of the backoff.
MIN_BACKOFF_FRACTION = 0.5
MAX_TO_FIRST_BACKOFF_RATIO = 3


class EndpointPoller:
    """Calls for the endpoint list, one call at a time."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        # Where the list is pushed, a call counts as open for ever, so that none is made.
        self.call_open = not state.settings.polls_endpoints
        self.backoff_us = self._first_backoff_us()
        self.poll_first()

    def poll_first(self) -> None:
        """Call at once, or at a random time where many dispatchers may have started together."""
        settings = self.state.settings
        if has_many_dispatchers(settings):
            self._poll_later(0.0, CALL_INTERVAL_US * settings.dispatcher_count)
        else:
            self.poll()

    def poll(self) -> None:
        """Call for the list, unless a call is open."""
        if not self.call_open:
            self.state.actions.append(WatchEndpoints())
        self.call_open = True

    def on_failure(self) -> None:
        """After a failed call, schedule the next call after the backoff, and double the backoff.

        The source of the list still does the work for a call that was given up. If many dispatchers
        did not back off, the source would serve none of them in time.
        """
        self.call_open = False
        self._poll_later(MIN_BACKOFF_FRACTION, self.backoff_us)
        self.backoff_us = min(2 * self.backoff_us, self._max_backoff_us())

    def on_success(self) -> None:
        """Reset the backoff; the answered call stays open as a watch for changes."""
        self.backoff_us = self._first_backoff_us()

    def _first_backoff_us(self) -> int:
        """Return the first backoff: longer with more dispatchers, at most half a poll interval."""
        settings = self.state.settings
        shared_us = CALL_INTERVAL_US * settings.dispatcher_count
        backoff_us = max(MIN_FIRST_BACKOFF_US, shared_us)
        return min(backoff_us, settings.endpoint_poll_interval_us // 2)

    def _max_backoff_us(self) -> int:
        """Return the longest backoff."""
        half_interval_us = self.state.settings.endpoint_poll_interval_us // 2
        return max(half_interval_us, MAX_TO_FIRST_BACKOFF_RATIO * self._first_backoff_us())

    def _poll_later(self, min_fraction: float, max_wait_us: int) -> None:
        """Call at a random time, as the source serves only the first few of many calls at once."""
        delay_us = int(max_wait_us * self.state.rng.uniform(min_fraction, 1.0))
        set_timer(self.state, TimerToken.POLL_ENDPOINTS, self.state.now_us + delay_us)
