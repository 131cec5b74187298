"""The whole program on loopback: a real process, a scripted worker and a scripted discovery.

The tests wait for observed conditions within generous time limits, so that no result depends on the
speed of the machine.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import replace
from queue import Empty

import pytest

from stepstream.config.node_config import config_from
from stepstream.core.events import ShutdownStarted
from stepstream.http.codec import write_answer, write_request
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.node.node import Node
from stepstream.node.reload import apply_configuration
from tests.case_ids import case_id
from tests.config.configurations import CONFIGURATION, LIMITS
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import ROOT, is_ready, running_process
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def with_shutdown(limits, **seconds):
    """Return the limits with other shutdown times."""
    return replace(limits, shutdown=replace(limits.shutdown, **seconds))


def with_startup(limits, **seconds):
    """Return the limits with other waiting times at startup."""
    return replace(limits, startup=replace(limits.startup, **seconds))


def test_a_job_is_served_with_its_result_even_if_the_notification_precedes_the_202(
    dispatcher,
):
    answer = exchange(dispatcher.port, job_request(body=b"payload"))
    assert (answer.status, answer.body) == (200, b"17.5")
    (job,) = dispatcher.job_calls()
    assert (job.target, job.body, job.headers["request-id"]) == (
        "/revalue",
        b"payload",
        "00000000000000aa",
    )
    # A repeated notification and one for a job from before a restart are both acknowledged.
    assert dispatcher.notify("00000000000000aa", "done", "x") == 200
    assert dispatcher.notify("00ff", "lost") == 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /nothing HTTP/1.1\r\n\r\n", 404),
        (b"GET /revalue HTTP/1.1\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (job_request(Tenant="nobody"), 400),
        (b"POST /revalue HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 17_000, 431),
        (write_request("POST", "/_jobs/news", {}, b"{"), 400),
    ],
    ids=case_id,
)
def test_a_malformed_message_gets_its_status_and_the_dispatcher_keeps_serving(
    dispatcher, data, status
):
    assert exchange(dispatcher.port, data).status == status
    assert exchange(dispatcher.port, job_request()).status == 200


def test_a_pipelined_request_waits_for_the_answer_to_the_one_before(dispatcher):
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        assert exchange(0, job_request("01") + job_request("02"), peer).status == 200
        assert (
            exchange(0, b"GET /-/ready HTTP/1.1\r\n\r\n", peer).status == 200
        )  # this reads the second job's answer
        wait_for(lambda: len(dispatcher.job_calls()) == 2)


def test_the_job_of_a_disconnected_client_is_deleted_at_its_worker(dispatcher):
    dispatcher.hold_jobs.set()
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request("0b"))
        wait_for(dispatcher.job_calls)
    wait_for(
        lambda: (
            [message.target for message in dispatcher.worker.requests if message.method == "DELETE"]
            == ["/jobs/0b"]
        )
    )


def test_a_full_worker_is_retried_and_errors_of_a_keyed_job_do_not_count_as_not_run(dispatcher):
    dispatcher.worker_answers += [write_answer(503, headers={"Not-Started": "1"})]
    assert exchange(dispatcher.port, job_request("0c", path="/nav-publish")).status == 200
    dispatcher.worker_answers += [write_answer(500)] * 4
    assert exchange(dispatcher.port, job_request("0d", path="/nav-publish")).status not in (
        200,
        429,
        503,
    )


def test_after_sigterm_open_and_new_requests_are_served_and_the_process_exits_with_0(dispatcher):
    dispatcher.hold_jobs.set()
    answers = []

    def client(name):
        answers.append(exchange(dispatcher.port, job_request(name, Request_Timeout_Ms="60000")))

    first = threading.Thread(target=client, args=("0e",))
    first.start()
    wait_for(dispatcher.job_calls)
    dispatcher.process.send_signal(signal.SIGTERM)
    wait_for(lambda: exchange(dispatcher.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 503)
    second = threading.Thread(target=client, args=("0f",))
    second.start()
    wait_for(lambda: len(dispatcher.job_calls()) == 2)
    # Notifications arrive on new connections, so the listener must stay open even when the front
    # proxy opens no more connections.
    for name in ("0e", "0f"):
        assert dispatcher.notify(name, "done", "1") == 200
    first.join(WAIT_TIMEOUT_SECONDS)
    second.join(WAIT_TIMEOUT_SECONDS)
    assert [answer.status for answer in answers] == [200] * 2
    assert dispatcher.process.wait(WAIT_TIMEOUT_SECONDS) == 0
    log = dispatcher.process.stderr.read()
    assert "served_requests=2 rejected_requests=0 failed_requests=0" in log
    assert log.endswith("stepstream: info shutdown_finished\n")


def test_after_sigterm_clients_can_use_their_connections_until_the_serving_time_ends(
    dispatcher, make_node
):
    config = config_from({**dispatcher.config, "listen": f"127.0.0.1:{free_port()}"}, {})
    node = make_node(config)
    node.limits = with_shutdown(
        node.limits, serving_seconds=WAIT_TIMEOUT_SECONDS, answering_seconds=WAIT_TIMEOUT_SECONDS
    )
    node.start()
    port = node.server.listeners[0].listener.getsockname()[1]
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as peer:
        # The scripted worker sends notifications only to the first dispatcher, so this test sends
        # the notification to the node itself.
        dispatcher.hold_jobs.set()
        peer.sendall(job_request("0a"))
        wait_for(dispatcher.job_calls)
        stop = threading.Thread(target=node.stop, daemon=True)
        stop.start()
        wait_for(lambda: node.server.state.shutting_down)
        notification = write_request(
            "POST", "/_jobs/news", {}, b'{"id":"0a","from":"s-1","state":"done","result":"1"}'
        )
        assert exchange(port, notification).status == 200
        answer = exchange(0, b"", peer)
        assert (answer.status, answer.keep_alive) == (200, True)
        peer.sendall(job_request("0b"))
        wait_for(lambda: len(dispatcher.job_calls()) == 2)
        assert stop.is_alive()
        # From now on connections close, and the open request must be answered at once.
        node.limits = with_shutdown(node.limits, serving_seconds=0.0)
        wait_for(lambda: node.server.state.closing)
        node.events.put(ShutdownStarted(node.clock.now_us()))
        answer = exchange(0, b"", peer)
        assert answer.status == 503
        assert not answer.keep_alive
    stop.join(WAIT_TIMEOUT_SECONDS)
    assert not stop.is_alive()


def test_a_reload_polls_the_new_discovery_and_keeps_open_requests(dispatcher, start_server):
    dispatcher.hold_jobs.set()
    new_discovery = start_server(dispatcher.discovery_reply)
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request("0e", Request_Timeout_Ms="60000"))
        wait_for(dispatcher.job_calls)
        settings = {
            **dispatcher.config["settings"],
            "services": dispatcher.config["settings"]["services"][::-1],
        }
        new_address = f"127.0.0.1:{new_discovery.port}"
        assert new_address in dispatcher.reload(
            {**dispatcher.config, "discovery": new_address, "settings": settings}
        )
        wait_for(
            lambda: [message for message in new_discovery.requests if "wait=" in message.target]
        )
        old_discovery_count = len(dispatcher.discovery.requests)
        # The job from before the reload and a new job are answered on the same connection.
        assert dispatcher.notify("0e", "done", "1") == 200
        assert exchange(0, b"", peer).body == b"1"
        dispatcher.hold_jobs.clear()
        assert exchange(0, job_request("0f"), peer).status == 200
        wait_for(
            lambda: (
                len([message for message in new_discovery.requests if "wait=" in message.target])
                > 2
            )
        )
    assert new_discovery.requests[0].target == "/api/targets"
    assert len(dispatcher.discovery.requests) == old_discovery_count


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"settings": {}}, "services"),
        ({"discovery": "x"}, "discovery"),
        ({"listen": "127.0.0.1:1"}, "listen"),
    ],
    ids=case_id,
)
def test_a_reload_of_a_faulty_file_logs_one_line_and_changes_nothing(dispatcher, change, key):
    assert key in dispatcher.reload({**dispatcher.config, **change})
    assert exchange(dispatcher.port, job_request()).status == 200
    before = len(dispatcher.discovery.requests)
    wait_for(lambda: len(dispatcher.discovery.requests) > before)


def test_after_sigkill_a_new_process_can_start_on_the_same_address(dispatcher):
    with socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        assert exchange(0, job_request(), peer).status == 200
        dispatcher.process.kill()
        dispatcher.process.wait()
        with running_process(dispatcher.config_file):
            wait_for(dispatcher.is_ready)


def test_an_address_in_use_ends_the_start_with_one_line_that_names_its_key(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps({**CONFIGURATION, "listen": f"127.0.0.1:{taken.getsockname()[1]}"})
        )
        run = subprocess.run(
            [sys.executable, "-m", "stepstream", "serve"],
            cwd=ROOT,
            env={**os.environ, "EDGE_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_SECONDS,
        )
    assert run.returncode == 2
    assert "listen=" in run.stderr
    assert len(run.stderr.splitlines()) == 1


class UninterruptibleSignalQueue:
    """A signal queue whose waits no signal interrupts, as on a bench that controls them."""

    def __init__(self, waits_before_sigterm):
        self.waits_before_sigterm, self.waits = waits_before_sigterm, []

    def get(self, timeout):
        self.waits.append(timeout)
        if len(self.waits) > self.waits_before_sigterm:
            return signal.SIGTERM
        raise Empty


def test_sigterm_is_handled_soon_even_if_it_does_not_interrupt_the_wait(monkeypatch):
    node = Node(config_from(CONFIGURATION, {}))
    node.signals = UninterruptibleSignalQueue(waits_before_sigterm=3)
    task_runs, stopped = [], []
    monkeypatch.setattr(node, "start", lambda: None)
    monkeypatch.setattr(node, "stop", lambda: stopped.append(True))
    monkeypatch.setattr(node, "run_periodic_tasks", lambda: task_runs.append(True))
    switch_interval_seconds = sys.getswitchinterval()
    handlers = {
        signal_number: signal.getsignal(signal_number)
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }
    try:
        assert node.run() == 0
    finally:
        sys.setswitchinterval(switch_interval_seconds)
        for signal_number, handler in handlers.items():
            signal.signal(signal_number, handler)
    assert stopped
    assert max(node.signals.waits) <= 0.05
    assert not task_runs  # the short waits do not make the periodic tasks run more often


PEER_INTERVAL_SECONDS = 0.1


def test_many_peers_that_never_finish_a_message_do_not_delay_the_shutdown(dispatcher):
    dispatcher.process.send_signal(signal.SIGTERM)
    wait_for(lambda: exchange(dispatcher.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 503)
    # The sleep is part of the test: peers that connect after it do not count as clients.
    time.sleep(LIMITS.shutdown.new_connections_seconds + 0.1)
    peers = []
    until = time.monotonic() + 10.0
    try:
        while dispatcher.process.poll() is None and time.monotonic() < until:
            with contextlib.suppress(OSError):
                peer = socket.create_connection(
                    ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
                )
                peer.sendall(b"POST /revalue HTTP/1.1\r\nRequest-Id: 0")
                peers.append(peer)
            with contextlib.suppress(subprocess.TimeoutExpired):
                dispatcher.process.wait(PEER_INTERVAL_SECONDS)
        assert dispatcher.process.wait(WAIT_TIMEOUT_SECONDS) == 0
        assert time.monotonic() < until
    finally:
        for peer in peers:
            peer.close()


@pytest.mark.parametrize("discovery_mode", ["automatic", "subscribe"])
def test_a_dispatcher_is_not_ready_before_it_has_its_first_endpoint_list(
    discovery_mode, start_server, make_node, start_node
):
    """Otherwise the first request could miss changes in a pushed list, or find no workers."""
    answer = threading.Event()
    drained = {"id": "s-1", "addr": "127.0.0.1:1", "state": "draining", "zone": "ruzinov"}

    def reply(message):
        answer.wait(WAIT_TIMEOUT_SECONDS)
        return write_answer(
            200, json.dumps({"version": 4, "full": True, "servers": [drained]}).encode()
        )

    discovery = start_server(reply)
    port = free_port()
    known = {"version": 3, "full": True, "servers": [{**drained, "state": "ready"}]}
    settings = {**CONFIGURATION["settings"], "discovery": discovery_mode}
    config = {
        **CONFIGURATION,
        "settings": settings,
        "known": known if discovery_mode == "automatic" else {},
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
    }
    node = make_node(config_from(config, {}))
    node.limits = with_startup(
        node.limits,
        first_agent_list_seconds=WAIT_TIMEOUT_SECONDS,
        first_endpoint_list_seconds=WAIT_TIMEOUT_SECONDS,
    )
    thread = start_node(node)
    wait_for(lambda: discovery.requests)
    if discovery_mode == "subscribe":
        thread.join(WAIT_TIMEOUT_SECONDS)  # the node listens, but its readiness check fails
    else:
        with pytest.raises(ConnectionRefusedError):
            exchange(port, b"")
    assert not is_ready(port)
    answer.set()
    wait_for(lambda: is_ready(port))
    assert node.destinations.version == 4
    assert node.destinations.usable_address("s-1") is None


def test_a_start_does_not_wait_long_for_a_discovery_that_is_down(make_node, start_node):
    port = free_port()
    config = {
        **CONFIGURATION,
        "known": {},
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
    }
    node = make_node(config_from(config, {}))
    assert node.limits.startup.first_endpoint_list_seconds < 10.0
    assert node.limits.startup.first_agent_list_seconds < 1.0
    node.limits = with_startup(node.limits, first_endpoint_list_seconds=0.05)
    start_node(node)
    wait_for(lambda: is_ready(port))


def test_a_reload_stops_the_old_discovery_client_before_the_new_one_polls(make_node, monkeypatch):
    # Guards against two clients that adopt lists at the same time: an older list could replace a
    # newer one.
    node = make_node(config_from(CONFIGURATION, {}))
    new_client_runs = threading.Event()
    old = node.discovery
    stop = old.stop

    def stop_slowly():
        # A new client that does not wait for this stop would run within these 0.2 s.
        assert not new_client_runs.wait(0.2)
        old.version = 9
        stop()

    monkeypatch.setattr(old, "stop", stop_slowly)
    monkeypatch.setattr(DiscoveryClient, "run", lambda client: new_client_runs.set())
    apply_configuration(node, node.config)
    assert new_client_runs.wait(WAIT_TIMEOUT_SECONDS)
    assert node.discovery.version == 9


def test_a_reload_with_the_same_discovery_continues_the_watch_from_the_current_list(dispatcher):
    wait_for(lambda: dispatcher.discovery.requests)
    settings = {
        **dispatcher.config["settings"],
        "services": dispatcher.config["settings"]["services"][::-1],
    }
    assert "configuration_reloaded" in dispatcher.reload(
        {**dispatcher.config, "settings": settings}
    )
    before = len(dispatcher.discovery.requests)
    wait_for(lambda: len(dispatcher.discovery.requests) >= before + 2)
    assert all("index=3" in message.target for message in dispatcher.discovery.requests)
