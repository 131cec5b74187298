"""Threads that continue after a fault."""

import threading
import weakref

from stepstream.runtime.threads import ThreadPool, run_until_closed
from tests.runtime.thread_ends import end_pool
from tests.runtime.waiting import wait_for


def test_a_thread_pool_continues_after_a_fault_of_a_task(capfd):
    pool = ThreadPool("test", 1)
    seen = []
    pool.submit(lambda: 1 / 0)
    pool.submit(seen.append, 1)
    wait_for(lambda: seen)
    assert pool.thread_count == 1
    end_pool(pool)
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_a_thread_pool_runs_each_task_once_and_the_idle_threads_end():
    # Guards against threads, and their memory, that stay after a crowd has gone.
    pool = ThreadPool("test", 8, idle_seconds=0.05)
    seen = []
    gate = threading.Event()
    for number in range(40):
        pool.submit(lambda number=number: (gate.wait(5), seen.append(number)))
    assert pool.thread_count == 8
    gate.set()
    wait_for(lambda: len(seen) == 40)
    assert sorted(seen) == list(range(40))
    wait_for(lambda: pool.thread_count == 0)
    pool.submit(seen.append, 40)
    wait_for(lambda: seen[-1] == 40)


def test_a_small_load_after_a_peak_keeps_one_thread_and_not_all_of_them():
    # Guards against tasks that go round all threads, so that none is ever idle for long.
    pool = ThreadPool("test", 8, idle_seconds=0.2)
    gate = threading.Event()
    for _ in range(8):
        pool.submit(gate.wait, 5)
    gate.set()
    wait_for(lambda: len(pool.idle_threads) == 8)

    def submit_until_one_is_left():
        pool.submit(int)
        return pool.thread_count == 1

    wait_for(submit_until_one_is_left)
    wait_for(lambda: pool.thread_count == 0)


def test_an_idle_thread_keeps_nothing_of_its_last_task():
    # Guards against ended connections that idle threads hold in memory.
    pool = ThreadPool("test", 1)
    argument = threading.Event()
    held = weakref.ref(argument)
    pool.submit(argument.is_set)
    del argument
    wait_for(lambda: held() is None)
    end_pool(pool)


def test_a_loop_continues_after_a_fault_and_a_pause_and_ends_once_closed(capfd, monkeypatch):
    pauses = []
    monkeypatch.setattr("stepstream.runtime.threads.time.sleep", pauses.append)
    steps = []

    def step():
        steps.append(len(steps))
        if len(steps) == 2:
            raise KeyError("lost")

    run_until_closed("the loop", step, lambda: len(steps) == 3, 0.5)
    assert steps == [0, 1, 2]
    assert pauses == [0.5]
    assert capfd.readouterr().err == (
        "stepstream: error internal_fault where=\"the loop\" error_type=KeyError error='lost'\n"
    )


def test_a_closed_loop_runs_no_step():
    steps = []
    run_until_closed("the loop", lambda: steps.append(1), lambda: True, 0.5)
    assert steps == []
