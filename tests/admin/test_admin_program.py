"""The running program with an admin listener: drains, maintenance, and which modules it loads."""

import json
import socket
import subprocess
import sys

import pytest

from tests.admin.calls import call_admin
from tests.config.configurations import CONFIGURATION
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import ROOT
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


@pytest.fixture
def dispatcher(start_dispatcher):
    """A dispatcher's process with an admin listener."""
    return start_dispatcher(operator=f"127.0.0.1:{free_port()}")


def admin_port(dispatcher):
    return int(dispatcher.config["operator"].rpartition(":")[2])


def put(dispatcher, path):
    return call_admin(admin_port(dispatcher), f"PUT {path} HTTP/1.1\r\n\r\n".encode()).status


def test_the_program_drains_on_request_and_serves_again(dispatcher):
    assert call_admin(admin_port(dispatcher), b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    connection = socket.create_connection(
        ("127.0.0.1", dispatcher.port), timeout=WAIT_TIMEOUT_SECONDS
    )
    assert exchange(0, job_request("00000000000000a1"), connection).status == 200
    assert put(dispatcher, "/healthcheck/fail") == 200
    assert not dispatcher.is_ready()
    assert call_admin(admin_port(dispatcher), b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 503
    answer = exchange(
        0, job_request("00000000000000a2"), connection
    )  # a drain still serves open connections
    assert answer.status == 200
    connection.settimeout(WAIT_TIMEOUT_SECONDS)
    assert connection.recv(10) == b""  # the drain closes connections after its delay
    assert put(dispatcher, "/healthcheck/ok") == 200
    wait_for(dispatcher.is_ready)


def test_a_worker_gets_no_jobs_until_its_maintenance_ends(dispatcher):
    assert put(dispatcher, "/workers/s-9/maint") == 404
    assert put(dispatcher, "/workers/s-1/maint") == 200
    assert put(dispatcher, "/workers/s-1/maint") == 200
    before = len(dispatcher.job_calls())
    assert exchange(dispatcher.port, job_request("00000000000000b1")).status != 200
    assert len(dispatcher.job_calls()) == before
    assert put(dispatcher, "/workers/s-1/ready") == 200
    request_ids = (f"00000000000000c{k}" for k in range(10_000))
    wait_for(lambda: exchange(dispatcher.port, job_request(next(request_ids))).status == 200)


ADMIN_MODULES = (
    "stepstream.admin",
    "stepstream.core.drain",
    "stepstream.core.maintenance",
    "stepstream.hot_restart",
)


def modules_and_threads_of_a_start(operator):
    """Start a dispatcher in its own process; return its admin modules and its threads, as text."""
    config = {
        **CONFIGURATION,
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
    }
    if operator:
        config["operator"] = f"127.0.0.1:{free_port()}"
    code = (
        "import json, sys, threading\n"
        "from stepstream.node.node import Node\n"
        "from stepstream.config.node_config import config_from\n"
        f"Node(config_from(json.loads({json.dumps(config)!r}), {{}})).start()\n"
        f"print(sorted({{m.rpartition('.')[0] or m for m in sys.modules if m.startswith({ADMIN_MODULES!r})}}))\n"
        "print(sorted(t.name for t in threading.enumerate()))\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules, threads = process.stdout.splitlines()
    return modules, threads


def test_admin_modules_and_the_admin_thread_exist_only_with_an_admin_address():
    modules, threads = modules_and_threads_of_a_start(operator=False)
    assert modules == "[]"
    assert "admin" not in threads
    modules, threads = modules_and_threads_of_a_start(operator=True)
    assert "stepstream.admin" in modules
    assert "'admin'" in threads
