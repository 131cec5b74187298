"""When a shutdown closes connections and when it ends."""

import pytest

from stepstream.config.limits import ShutdownTimeouts
from stepstream.node.shutdown import may_end, must_close_connections

TIMEOUTS = ShutdownTimeouts(serving_seconds=2.0, quiet_seconds=0.3, min_seconds=0.8)


@pytest.mark.parametrize(
    ("elapsed_seconds", "hot_restarting", "closes"),
    [(1.9, False, False), (2.0, False, True), (0.0, True, True)],
)
def test_connections_close_after_the_serving_time_and_at_once_in_a_hot_restart(
    elapsed_seconds, hot_restarting, closes
):
    decided = must_close_connections(elapsed_seconds, TIMEOUTS, hot_restarting=hot_restarting)
    assert decided == closes


@pytest.mark.parametrize(
    ("elapsed_seconds", "quiet_seconds", "ends"),
    [(0.8, 0.3, True), (0.7, 0.7, False), (5.0, 0.2, False)],
)
def test_a_shutdown_ends_after_a_quiet_period_but_not_before_its_minimum_time(
    elapsed_seconds, quiet_seconds, ends
):
    assert may_end(elapsed_seconds, quiet_seconds, TIMEOUTS) == ends
