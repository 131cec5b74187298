"""Sequences of signals to a real process, and their effect."""

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


def wait_for_exit(process):
    """Wait until a process ends; return its exit code and its log."""
    _, log = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    return process.returncode, log


def test_a_burst_of_reloads_before_sigterm_causes_no_fault(dispatcher):
    assert exchange(dispatcher.port, job_request()).status == 200
    for _ in range(SIGHUP_COUNT):
        dispatcher.process.send_signal(signal.SIGHUP)
        time.sleep(SIGHUP_INTERVAL_SECONDS)
    dispatcher.process.send_signal(signal.SIGTERM)
    code, log = wait_for_exit(dispatcher.process)
    assert code == 0
    assert "shutdown_finished" in log
    assert "internal_fault" not in log


@pytest.mark.parametrize("second", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_a_shutdown_has_no_effect_and_the_open_request_is_answered(
    dispatcher, second
):
    dispatcher.hold_jobs.set()
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request("0b"))
        wait_for(dispatcher.job_calls)
        dispatcher.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)  # lets the shutdown begin; otherwise `second` could be handled first
        dispatcher.process.send_signal(second)
        assert dispatcher.notify("0b", "done", "17.5") == 200
        assert exchange(0, b"", peer).status == 200
    code, log = wait_for_exit(dispatcher.process)
    assert code == 0
    assert log.count("shutdown_started") == 1


@pytest.mark.parametrize("delay_seconds", [0.0, 0.05, 0.1, 0.2])
def test_sigterm_during_a_start_kills_the_process_before_it_listens_or_shuts_it_down(
    dispatcher, delay_seconds
):
    process = start_serving(dispatcher.config_file)
    time.sleep(delay_seconds)
    process.send_signal(signal.SIGTERM)
    code, log = wait_for_exit(process)
    was_killed = code == -signal.SIGTERM
    # Before the process handles signals, it has no listener and so no client.
    assert was_killed != ("shutdown_finished" in log)
    assert not was_killed or "listener_started" not in log
