"""Clients that leave, on a running dispatcher: nothing that they sent begins afterwards.

The platform's bound: an attempt that begins more than 0.1 s after the client has closed is lost.
"""

import contextlib
import json
import socket
import struct
import subprocess
import sys
import time

import pytest

from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import running_process
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

MAX_START_AFTER_CLOSE_SECONDS = 0.1
PIPELINED_REQUESTS = 150  # together below the limit of bytes after an open request
ROUNDS = 8
CROWD_SECONDS = 12
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REPEATS = 12  # connections, of which the kernel gives some to each of two processes


@pytest.fixture
def state_folder(tmp_path, monkeypatch):
    """The folder that both processes of a hot restart share."""
    folder = tmp_path / "state"
    folder.mkdir()
    monkeypatch.setenv("TMPDIR", str(folder))
    return folder


@pytest.fixture
def crowd():
    """Let hostile clients send costly messages to a port, from a process of their own."""
    with contextlib.ExitStack() as stack:

        def start(port):
            module = "stepstream.lab.load.hostile_clients"
            command = [sys.executable, "-m", module, f"127.0.0.1:{port}", "tiny-chunks"]
            options = ["--connections=40", f"--seconds={CROWD_SECONDS}"]
            process = subprocess.Popen([*command, *options], stdout=subprocess.DEVNULL)
            stack.callback(process.wait)
            stack.callback(process.kill)

        yield start


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)


def sent_ids(dispatcher):
    return [call.headers["request-id"] for call in dispatcher.job_calls()]


@contextlib.contextmanager
def watched_starts(dispatcher):
    """Yield when each attempt began at the worker, by request id (monotonic seconds)."""
    begun_at = {}
    reply = dispatcher.worker.reply

    def reply_and_record(message):
        if message.method == "POST":
            begun_at[message.headers["request-id"]] = time.monotonic()
        return reply(message)

    dispatcher.worker.reply = reply_and_record
    yield begun_at


def leave(peer, how):
    """Leave as a client does, with its bytes unread."""
    if how == "reset":
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if how == "half close":
        peer.shutdown(socket.SHUT_WR)
    else:
        peer.close()


@pytest.mark.parametrize("how", ["close", "reset", "half close"])
def test_requests_of_a_client_that_has_left_are_not_sent_beside_a_crowd(dispatcher, crowd, how):
    # Guards against requests that are sent on after their client has closed with much unread.
    crowd(dispatcher.port)
    peers = []
    left_at = {}
    with watched_starts(dispatcher) as begun_at:
        for number in range(ROUNDS):
            peer = connect(dispatcher.port)
            peers.append(peer)
            ids = [f"{number:02d}{index:04d}" for index in range(PIPELINED_REQUESTS)]
            with contextlib.suppress(OSError):
                peer.sendall(b"".join(job_request(request_id) for request_id in ids))
            time.sleep(0.02 * number)  # how many of them are sent before differs
            leave(peer, how)
            left_at.update(dict.fromkeys(ids, time.monotonic()))
        time.sleep(1.0)  # in which a late attempt would begin
    delays = {request_id: at - left_at[request_id] for request_id, at in begun_at.items()}
    assert begun_at
    assert max(delays.values()) <= MAX_START_AFTER_CLOSE_SECONDS
    for peer in peers:
        peer.close()


@pytest.mark.parametrize("how", ["close", "reset", "half close"])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(dispatcher, how):
    # Guards against a second run of a job whose first run went on at its worker.
    dispatcher.hold_jobs.set()
    with connect(dispatcher.port) as peer:
        peer.sendall(job_request("aa"))
        wait_for(lambda: sent_ids(dispatcher) == ["aa"])
        leave(peer, how)
        wait_for(lambda: any(call.method == "DELETE" for call in dispatcher.worker.requests))
        answer = exchange(dispatcher.port, job_request("aa"))
    assert sent_ids(dispatcher) == ["aa"]
    assert answer.status == 502


def test_an_id_whose_job_never_ran_may_come_again(dispatcher):
    dispatcher.worker_answers += [
        b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
    ] * 4
    assert exchange(dispatcher.port, job_request("aa", Request_Timeout_Ms="300")).status == 503
    dispatcher.worker_answers.clear()
    wait_for(lambda: exchange(dispatcher.port, job_request("aa")).status == 200)


def test_an_id_does_not_run_again_at_the_other_process_of_a_hot_restart(
    state_folder, start_dispatcher, tmp_path
):
    # Guards against a second run at the new process while the old one's worker still runs the job.
    dispatcher = start_dispatcher(operator=f"127.0.0.1:{free_port()}")
    dispatcher.hold_jobs.set()
    new_config = {**dispatcher.config, "operator": f"127.0.0.1:{free_port()}"}
    new_config_path = tmp_path / "new.json"
    new_config_path.write_text(json.dumps(new_config))
    with connect(dispatcher.port) as peer:
        peer.sendall(job_request("aa"))
        wait_for(lambda: sent_ids(dispatcher) == ["aa"])
        with running_process(new_config_path) as sibling:
            wait_for(lambda: "listener_started" in sibling.stderr.readline())
            peer.close()
            answers = [exchange(dispatcher.port, job_request("aa")) for _ in range(REPEATS)]
    assert sent_ids(dispatcher) == ["aa"]
    assert {answer.status for answer in answers} == {502}
