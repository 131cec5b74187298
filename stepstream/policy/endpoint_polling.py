"""Endpoint polling: when to call for the endpoint list, with backoff after a failed call."""

from stepstream.model.actions import TimerToken, WatchEndpoints
from stepstream.model.pool_load import MANY_DISPATCHERS
from stepstream.model.state import PolicyState

LEAST_BACKOFF_US = 500_000  # first wait after a failed call, doubled each time
CALL_INTERVAL_US = 100_000  # between two calls of dispatchers that started, or failed, together


class EndpointPoller:
    """Calls for the endpoint list; one call at a time."""

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        self.call_open = not state.settings.polls_endpoints  # else the list comes by itself
        self.backoff_us = self._first_backoff_us()
        dispatcher_count = state.settings.dispatcher_count
        if dispatcher_count > MANY_DISPATCHERS:
            self._poll_later(0.0, CALL_INTERVAL_US * dispatcher_count)
        else:
            self.poll()

    def poll(self) -> None:
        """Call for the list, unless a call is open."""
        if not self.call_open:
            self.state.actions.append(WatchEndpoints())
        self.call_open = True

    def on_failure(self) -> None:
        """Call again later, as a call has failed."""
        self.call_open = False
        self._poll_later(0.5, self.backoff_us)
        # Calls given up are work for discovery too: a fleet that does not back off never gets in.
        half_interval_us = self.state.settings.endpoint_poll_interval_us // 2
        longest_us = max(half_interval_us, 3 * self._first_backoff_us())
        self.backoff_us = min(2 * self.backoff_us, longest_us)

    def on_success(self) -> None:
        """Begin with the first backoff again."""
        self.backoff_us = self._first_backoff_us()

    def _first_backoff_us(self) -> int:
        settings = self.state.settings
        least_us = max(LEAST_BACKOFF_US, CALL_INTERVAL_US * settings.dispatcher_count)
        return min(least_us, settings.endpoint_poll_interval_us // 2)

    def _poll_later(self, least_fraction: float, wait_us: int) -> None:
        # By chance within the wait: of a whole fleet at once discovery serves only the first few.
        delay_us = int(wait_us * self.state.rng.uniform(least_fraction, 1.0))
        self.state.set_timer(TimerToken.POLL_ENDPOINTS, self.state.now_us + delay_us)
