"""When discovery is called: the clocks on what counts as told, held by the schedule alone."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.http import poll_schedule as terms
from stepstream.http.poll_schedule import PollSchedule

TOLD = 6.0  # s after discovery had it and could be reached
GRACE = 0.5  # the drain grace of the platform's days
QUEUE = 2.0  # s after which discovery fails a call that waits
ANSWER = 0.3  # the way of a call that is answered at once
SIZES = st.integers(1, 250)


class Slowest(random.Random):
    def uniform(self, low, high):
        return high


def of(size, pushed=False):
    return PollSchedule(size, pushed, Slowest(0))


def test_a_few_hear_of_a_change_in_time_though_a_watch_falls_silent_and_one_call_hangs():
    """From the opening of the watch, at worst: silence, a call beside it that hangs, a pause, and the answer
    to the next call on its way. The grace for sends is left whole.
    """
    for size in range(1, 5):
        one = of(size)
        worst = one.wait + one.slack + one.limit + one.failed() + ANSWER
        assert worst <= TOLD - GRACE


def test_of_more_a_silent_watch_is_answered_for_within_2_s_of_its_wait():
    """Also by the slowest answer that discovery gives; a call that hangs as well is not in time there."""
    assert all(of(size).slack + QUEUE <= 2.0 + GRACE for size in range(5, 250))


def test_calls_are_not_given_up_before_discovery_fails_them():
    """Six dispatchers that gave theirs up after 1 s after a reload kept its queue full: three were not served
    in 14 s (herd+brink, seed 918771944686).
    """
    assert all(of(size).limit > 2.0 for size in (1, 6, 30, 200))


@pytest.mark.parametrize("size", range(1, 9))
def test_a_fleet_whose_calls_all_fail_asks_for_less_than_discovery_serves(size):
    """Each makes a call that waits for 2 s and a pause; a whole list is half a second of discovery's work."""
    one = of(size)
    pauses = [one.failed() * 0.75 for _ in range(20)]  # the mean of the draw
    assert size / (QUEUE + pauses[-1]) * 0.5 < 1.0


@settings(derandomize=True, deadline=None, database=None)
@given(size=SIZES, failures=st.integers(1, 30))
def test_no_row_of_failures_makes_a_pause_that_with_the_calls_round_it_reaches_the_bound(
    size, failures
):
    """A call that hangs to its limit, the pause after it and the next call's way, whatever failed before."""
    one = of(size)
    pauses = [one.failed() for _ in range(failures)]
    assert one.limit + max(pauses) + ANSWER <= TOLD - GRACE + 1e-9
    assert min(pauses) >= terms.BACKOFF / 2  # bounded the other way too: no storm
    one.answered(1.0, idle=False)
    assert one.failed() <= pauses[-1]


@pytest.mark.parametrize(
    ("size", "seconds"), [(1, 2.35), (4, 2.35), (8, 4.4), (40, 22.0), (500, 60.0)]
)
def test_watches_last_longer_where_more_of_them_end(size, seconds):
    assert of(size).wait == pytest.approx(seconds)
    assert of(size).wait <= 60.0


def test_an_agents_word_is_never_older_than_half_a_second():
    """What it holds counts as told at once; it answers at no cost."""
    one = of(200, pushed=True)
    assert one.first() == 0.0
    assert one.wait + one.slack <= 0.5
    assert one.limit + one.failed() <= 0.5
