"""Bounded waits on conditions: no verdict rests on how fast the machine is."""

import time

WAIT_TIMEOUT_SECONDS = 20.0  # that anything in a test may take on a busy machine
POLL_SECONDS = 0.01


def wait_for(condition):
    """Return the condition's first true value; fail the test if it does not come in time."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not (found := condition()):
        assert time.monotonic() < deadline, "the condition did not come true"
        time.sleep(POLL_SECONDS)
    return found
