"""Threads that continue after a fault."""

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
