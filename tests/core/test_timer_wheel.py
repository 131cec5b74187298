"""The timer wheel: no timer is due before its time, and due timers keep their order."""

import pytest

from stepstream.core.timer_wheel import PolicyTimer, TimerWheel

TICK_US = 1_000


def tokens(timers):
    return [timer.token for timer in timers]


@pytest.mark.parametrize(
    ("due_us", "first_due_us"),
    [(12_000, 12_000), (12_001, 13_000), (12_999, 13_000), (10_000, 11_000), (3, 11_000)],
)
def test_a_timer_is_due_in_the_first_tick_not_before_its_time(due_us, first_due_us):
    wheel = TimerWheel(10_000, TICK_US)
    wheel.schedule(due_us, PolicyTimer(1))
    assert wheel.next_due_us() == first_due_us
    assert wheel.pop_due(first_due_us - 1) == []
    assert tokens(wheel.pop_due(first_due_us)) == [1]
    assert wheel.next_due_us() is None


@pytest.mark.parametrize("now_us", [13_000, 9_000_000])
def test_due_timers_are_ordered_by_tick_and_then_by_when_they_were_set(now_us):
    wheel = TimerWheel(10_000, TICK_US)
    for token, due_us in enumerate([13_000, 12_000, 11_000, 12_000]):
        wheel.schedule(due_us, PolicyTimer(token))
    wheel.schedule(9_500_000, PolicyTimer(9))
    assert tokens(wheel.pop_due(now_us)) == [2, 1, 3, 0]
    assert wheel.next_due_us() == 9_500_000


def test_a_cancelled_timer_is_never_due_and_leaves_nothing_behind():
    # Guards against timers that hold answered requests until their deadlines.
    wheel = TimerWheel(10_000, TICK_US)
    kept = wheel.schedule(20_000, PolicyTimer(0))
    for round_number in range(1000):
        handles = [wheel.schedule(30_000 + number * TICK_US, PolicyTimer(1)) for number in range(5)]
        for handle in handles:
            wheel.cancel(handle)
            wheel.cancel(handle)
        assert len(wheel) == 1, round_number
    assert len(wheel._tick_heap) < 100
    assert wheel.next_due_us() == 20_000
    assert tokens(wheel.pop_due(50_000)) == [0]
    wheel.cancel(kept)
    assert wheel.next_due_us() is None
