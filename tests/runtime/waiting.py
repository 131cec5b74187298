"""Bounded waits for conditions, so that no test depends on the speed of the machine."""

import time

WAIT_TIMEOUT_SECONDS = 20.0  # enough for any step of a test on a busy machine
POLL_SECONDS = 0.01


def wait_for(condition):
    """Return the condition's first true value; fail the test if there is none in time."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not (found := condition()):
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(POLL_SECONDS)
    return found
