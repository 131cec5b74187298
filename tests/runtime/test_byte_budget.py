"""Budgets of bytes: what reservations hold is counted once, and returned once."""

import threading

from stepstream.runtime.byte_budget import ByteBudget, ByteReservation


def test_a_budget_counts_what_its_reservations_hold():
    budget = ByteBudget(100)
    first, second = ByteReservation(budget, 60), ByteReservation(budget)
    second.resize(40)
    assert (budget.used_bytes, budget.is_exceeded()) == (100, False)
    assert (budget.has_room_for(0), budget.has_room_for(1)) == (True, False)
    second.resize(41)
    assert budget.is_exceeded()
    first.release()
    first.release()
    first.resize(500)
    assert budget.used_bytes == 41


def test_threads_that_resize_and_release_lose_no_byte():
    # Guards against a budget that fills up, or empties, by lost updates.
    budget = ByteBudget(100)

    def use():
        for size_bytes in range(2000):
            reservation = ByteReservation(budget, size_bytes)
            reservation.resize(size_bytes // 2)
            reservation.release()

    threads = [threading.Thread(target=use) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert budget.used_bytes == 0
