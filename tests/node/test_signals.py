"""Signals in series, on a real process: what each order of them does."""

import signal
import socket
import time

import pytest

from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import start_serving
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

SIGHUP_COUNT = 30
SIGHUP_INTERVAL_SECONDS = 0.002


def end_of(process):
    """Wait for a process; return its exit code and its log."""
    _, log = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    return process.returncode, log


def test_a_burst_of_reloads_before_sigterm_ends_well(dispatcher):
    assert exchange(dispatcher.port, job_request()).status == 200
    for _ in range(SIGHUP_COUNT):
        dispatcher.process.send_signal(signal.SIGHUP)
        time.sleep(SIGHUP_INTERVAL_SECONDS)
    dispatcher.process.send_signal(signal.SIGTERM)
    code, log = end_of(dispatcher.process)
    assert code == 0
    assert "shutdown_finished" in log
    assert "internal_fault" not in log


@pytest.mark.parametrize("second", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_a_stop_changes_nothing_and_the_open_request_is_answered(
    dispatcher, second
):
    dispatcher.hold_jobs.set()
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request("0b"))
        wait_for(dispatcher.job_calls)
        dispatcher.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)  # it is in its stop by now; earlier the signal would count as the first
        dispatcher.process.send_signal(second)
        assert dispatcher.notify("0b", "done", "17.5") == 200
        assert exchange(0, b"", peer).status == 200
    code, log = end_of(dispatcher.process)
    assert code == 0
    assert log.count("shutdown_started") == 1


@pytest.mark.parametrize("delay_seconds", [0.0, 0.05, 0.1, 0.2])
def test_sigterm_in_a_start_ends_the_process_before_or_after_it_serves_but_never_between(
    dispatcher, delay_seconds
):
    process = start_serving(dispatcher.config_file)
    time.sleep(delay_seconds)
    process.send_signal(signal.SIGTERM)
    code, log = end_of(process)
    was_killed = code == -signal.SIGTERM
    # Before it handles signals it has opened no listener, and no client was taken.
    assert was_killed != ("shutdown_finished" in log)
    assert not was_killed or "listener_started" not in log
