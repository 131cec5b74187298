"""Turns of the reader threads: credit decides who goes first, and the others leave room."""

import threading
import time

import pytest

from stepstream.http.read_lanes import (
    CREDIT_US_PER_SECOND,
    INITIAL_CREDIT_US,
    MAX_CREDIT_US,
    MAX_OVERTAKING_SECONDS,
    MAX_TURNS_AT_ONCE,
    MESSAGE_COST_US,
    ReadLanes,
    Work,
    WorkCredit,
    turn_order_seconds,
)
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

SMALL_REQUEST = Work(messages=1, parser_steps=2, received_bytes=300)


class FixedCredit(WorkCredit):
    """A credit that is not refilled."""

    def refill(self, now_seconds):
        pass


def credit_of(credit_us):
    credit = FixedCredit(0.0)
    credit.credit_us = credit_us
    return credit


@pytest.mark.parametrize("per_second", [1, 20, 40])
def test_a_sound_client_never_uses_up_its_credit(per_second):
    credit = WorkCredit(0.0)
    for number in range(10 * per_second):
        credit.refill(number / per_second)
        assert not credit.is_used_up
        credit.spend(SMALL_REQUEST)


def test_a_client_at_full_speed_uses_up_its_credit_and_gets_it_back():
    credit = WorkCredit(0.0)
    for _ in range(int(INITIAL_CREDIT_US / MESSAGE_COST_US) + 1):
        credit.spend(SMALL_REQUEST)
    credit.refill(0.0)
    assert credit.is_used_up
    credit.refill(2 * INITIAL_CREDIT_US / CREDIT_US_PER_SECOND)
    assert not credit.is_used_up


def test_a_peer_on_a_workers_host_has_credit_whatever_it_sends():
    credit = WorkCredit(0.0, is_unlimited=True)
    credit.spend(Work(10_000, 0, 0))
    credit.refill(0.0)
    assert credit.credit_us == MAX_CREDIT_US


def test_of_the_connections_that_wait_the_one_with_most_credit_is_next():
    # Guards against sound clients that wait behind all hostile ones.
    lanes = ReadLanes()
    release = threading.Event()
    order = []

    def hold():
        with lanes.turn(credit_of(MAX_CREDIT_US), lambda: False):
            release.wait(WAIT_TIMEOUT_SECONDS)

    def take(credit_us):
        with lanes.turn(credit_of(credit_us), lambda: False):
            order.append(credit_us)

    threads = [threading.Thread(target=hold) for _ in range(MAX_TURNS_AT_ONCE)]
    for thread in threads:
        thread.start()
    wait_for(lambda: lanes._turn_count == MAX_TURNS_AT_ONCE)
    waiting = [part * MAX_CREDIT_US for part in (0.3, 0.0, 1.0, 0.7)]
    for count, credit_us in enumerate(waiting, start=1):
        threads.append(threading.Thread(target=take, args=(credit_us,)))
        threads[-1].start()
        wait_for(lambda count=count: len(lanes._waiting) == count)
    release.set()
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
    # Up to MAX_TURNS_AT_ONCE take their turns at a time, so that neighbours may change places.
    assert set(order) == set(waiting)
    assert order.index(waiting[1]) > order.index(waiting[2])
    assert lanes._turn_count == 0


def test_a_connection_with_less_credit_is_overtaken_for_a_short_time_only():
    # Guards against sound requests that wait for seconds, as new connections always go first.
    waiting_since_seconds = 10.0
    order_seconds = turn_order_seconds(0.0, waiting_since_seconds)
    a_moment_later = waiting_since_seconds + MAX_OVERTAKING_SECONDS
    assert turn_order_seconds(MAX_CREDIT_US, waiting_since_seconds) < order_seconds
    assert turn_order_seconds(MAX_CREDIT_US, a_moment_later + 0.001) > order_seconds


def test_a_connection_that_waits_for_the_slow_lane_goes_on_once_it_has_credit_again():
    # Guards against sound clients that used up their credit once and wait behind all others.
    lanes = ReadLanes()
    credit = WorkCredit(time.monotonic())
    credit.spend(Work(messages=15, parser_steps=0, received_bytes=0))
    with lanes.try_slow_turn() as has_lane:
        assert has_lane
        with lanes.turn(credit, lambda: False):
            assert not credit.is_used_up


def test_a_connection_without_credit_waits_for_the_slow_lane_unless_it_ends():
    lanes = ReadLanes()
    with lanes.try_slow_turn() as has_lane:
        assert has_lane
        with lanes.try_slow_turn() as has_second:
            assert not has_second
        with lanes.turn(credit_of(-1.0), lambda: True):
            pass  # it has ended, so that it does not wait
        with lanes.turn(credit_of(1.0), lambda: False):
            pass  # it has credit
    with lanes.try_slow_turn() as has_lane:
        assert has_lane
