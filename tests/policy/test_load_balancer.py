"""The load balancer as a whole: it polls the endpoint list, and its actions are deterministic."""

from stepstream.model.actions import SetTimer, WatchEndpoints
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import TimerFired
from tests.model.builders import HIGH_PRIORITY, IDEMPOTENT
from tests.policy.harness import PolicyHarness


def test_the_endpoint_list_is_polled_at_once_and_again_after_failures():
    harness = PolicyHarness(IDEMPOTENT, polls_endpoints=True)
    assert WatchEndpoints(True) in harness.start_actions
    waits_us = []
    for _ in range(6):
        after_failure = harness.handle(EndpointList(EndpointListKind.FAILED))
        (timer,) = [action for action in after_failure if isinstance(action, SetTimer)]
        assert WatchEndpoints(True) not in after_failure
        waits_us.append(timer.at_us - harness.now_us)
        harness.now_us = timer.at_us
        assert WatchEndpoints(True) in harness.handle(TimerFired(timer.token))
    assert waits_us[0] < 1_000_000
    assert waits_us[-1] > waits_us[0]
    assert max(waits_us) <= harness.settings.endpoint_poll_interval_us


def test_same_events_give_the_same_actions():
    def run_jobs():
        harness = PolicyHarness(IDEMPOTENT, HIGH_PRIORITY, workers=5, seed=7, polls_endpoints=True)
        for number in range(50):
            harness.advance(1000).submit(number % 2)
        harness.fire_timers()
        return harness.actions

    assert run_jobs() == run_jobs()
