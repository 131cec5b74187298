"""Threads that outlive a fault."""

from node_helpers import wait_for

from stepstream.runtime.threads import ThreadPool


def test_a_thread_pool_outlives_the_faults_of_its_jobs(capfd):
    pool, seen = ThreadPool("test", 1), []
    pool.submit(lambda: 1 / 0)
    pool.submit(seen.append, 1)
    wait_for(lambda: seen)
    assert pool.thread_count == 1
    assert "ZeroDivisionError" in capfd.readouterr().err
