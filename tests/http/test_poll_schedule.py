"""When discovery is called: the platform's bounds, kept by the schedule alone."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.http.poll_schedule import MIN_INITIAL_BACKOFF_SECONDS, PollSchedule

KNOWN_BY_SECONDS = 6.0  # after discovery had a change and could be reached
DRAIN_GRACE_SECONDS = 0.5  # the drain grace of the platform's days
QUEUE_TIMEOUT_SECONDS = 2.0  # discovery fails a queued call after this time
ROUND_TRIP_SECONDS = 0.3  # of a call that is answered at once
LIST_COST_SECONDS = 0.5  # discovery's work for a complete list
MEAN_JITTER = 0.75
DISPATCHER_COUNTS = st.integers(1, 250)


class UpperBound(random.Random):
    """Yields the upper end of each range."""

    def uniform(self, low, high):
        return high


def schedule_of(dispatcher_count, agent_pushes=False):
    return PollSchedule(dispatcher_count, agent_pushes, UpperBound(0))


@pytest.mark.parametrize("dispatcher_count", range(1, 5))
def test_few_know_of_a_change_in_time_though_a_watch_falls_silent_and_a_call_hangs(
    dispatcher_count,
):
    """From the opening of the watch, at worst: silence, a call beside it that hangs, a pause, and
    the round trip of the next call. The grace for sends is left whole.
    """
    schedule = schedule_of(dispatcher_count)
    longest = (
        schedule.watch_wait_seconds
        + schedule.watch_overrun_seconds
        + schedule.call_timeout_seconds
        + schedule.pause_after_failure_seconds()
        + ROUND_TRIP_SECONDS
    )
    assert longest <= KNOWN_BY_SECONDS - DRAIN_GRACE_SECONDS


def test_with_more_a_silent_watch_is_made_up_for_within_2_s_of_its_wait():
    """Also by the slowest answer that discovery gives; a call that hangs as well is not in time."""
    assert all(
        schedule_of(count).watch_overrun_seconds + QUEUE_TIMEOUT_SECONDS
        <= 2.0 + DRAIN_GRACE_SECONDS
        for count in range(5, 250)
    )


def test_calls_are_not_given_up_before_discovery_fails_them():
    """Six dispatchers that gave theirs up after 1 s after a reload kept its queue full: three were
    not served in 14 s (herd+brink, seed 918771944686).
    """
    assert all(schedule_of(count).call_timeout_seconds > 2.0 for count in (1, 6, 30, 200))


@pytest.mark.parametrize("dispatcher_count", range(1, 9))
def test_a_fleet_whose_calls_all_fail_calls_less_often_than_discovery_serves(dispatcher_count):
    """Each makes a call that waits for 2 s and a pause; a complete list is half a second of work."""
    schedule = schedule_of(dispatcher_count)
    pauses = [schedule.pause_after_failure_seconds() * MEAN_JITTER for _ in range(20)]
    period_seconds = QUEUE_TIMEOUT_SECONDS + pauses[-1]
    assert dispatcher_count / period_seconds * LIST_COST_SECONDS < 1.0


@settings(derandomize=True, deadline=None, database=None)
@given(dispatcher_count=DISPATCHER_COUNTS, failures=st.integers(1, 30))
def test_no_row_of_failures_makes_a_pause_that_with_the_calls_round_it_reaches_the_bound(
    dispatcher_count, failures
):
    """A call that hangs to its timeout, the pause after it and the next call's round trip."""
    schedule = schedule_of(dispatcher_count)
    pauses = [schedule.pause_after_failure_seconds() for _ in range(failures)]
    longest = schedule.call_timeout_seconds + max(pauses) + ROUND_TRIP_SECONDS
    assert longest <= KNOWN_BY_SECONDS - DRAIN_GRACE_SECONDS + 1e-9
    assert min(pauses) >= MIN_INITIAL_BACKOFF_SECONDS / 2  # bounded the other way too: no storm
    schedule.pause_after_answer_seconds(1.0, unchanged=False)
    assert schedule.pause_after_failure_seconds() <= pauses[-1]


@pytest.mark.parametrize(
    ("dispatcher_count", "wait_seconds"),
    [(1, 2.35), (4, 2.35), (8, 4.4), (40, 22.0), (500, 60.0)],
)
def test_watches_last_longer_where_more_of_them_end(dispatcher_count, wait_seconds):
    schedule = schedule_of(dispatcher_count)
    assert schedule.watch_wait_seconds == pytest.approx(wait_seconds)
    assert schedule.watch_wait_seconds <= 60.0


@pytest.mark.parametrize(
    ("dispatcher_count", "spread_seconds"), [(8, 0.0), (9, 0.9), (30, 3.0), (200, 4.0)]
)
def test_the_first_calls_of_a_large_fleet_are_spread(dispatcher_count, spread_seconds):
    first_pause_seconds = schedule_of(dispatcher_count).first_pause_seconds()
    assert first_pause_seconds == pytest.approx(spread_seconds)


@pytest.mark.parametrize(
    ("call_seconds", "unchanged", "pause_seconds"),
    [(0.05, True, 0.1), (0.1, True, 0.0), (0.05, False, 0.0)],
)
def test_only_a_watch_answered_at_once_with_nothing_new_is_followed_by_a_pause(
    call_seconds, unchanged, pause_seconds
):
    pause = schedule_of(1).pause_after_answer_seconds(call_seconds, unchanged=unchanged)
    assert pause == pause_seconds


def test_what_an_agent_pushes_is_never_older_than_half_a_second():
    """What it holds counts as known at once; it answers at no cost."""
    schedule = schedule_of(200, agent_pushes=True)
    assert schedule.first_pause_seconds() == 0.0
    assert schedule.watch_wait_seconds + schedule.watch_overrun_seconds <= 0.5
    assert schedule.call_timeout_seconds + schedule.pause_after_failure_seconds() <= 0.5
