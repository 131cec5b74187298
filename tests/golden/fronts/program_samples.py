"""Samples of the running program: what it sends for a job, its log lines, its exit code."""

import contextlib
import functools
import io
import re
import socket
import tempfile
from pathlib import Path
from types import SimpleNamespace

from golden.fronts.configurations import CONFIGURATION, Sample, module_settings
from golden.fronts.configurations import INPUTS as CONFIG_INPUTS
from golden.fronts.http_requests import NOTIFICATIONS, job_request, notification
from golden.fronts.identity_keys import INPUTS as IDENTITY_INPUTS
from golden.fronts.identity_keys import key_folder, write_keys
from golden.fronts.running_dispatcher import (
    RunningDispatcher,
    exchange,
    receive_message,
    running_dispatcher,
)
from golden.recorded_data import text_of

from stepstream.config.node_config import config_from
from stepstream.config.operator_file import read_operator
from stepstream.node.node import Node
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

SECTIONS = CONFIG_INPUTS["operator_sections"]
LEASES_SECTION = '[leases]\nvoters = ["n0"]\nprobe_sweep = true\n'
SHUTDOWN_EVENT = "stepstream: info shutdown_started"
NUMBER = re.compile(r"(?<![A-Za-z])\d+(\.\d+)?")
SERVED_ID = b"00000000000000aa"
ABANDONED_ID = b"00000000000000bb"
TIMEOUT_MS = b"480"
PLAIN_RUN_PARTS = ("news answer", "answer", "give up", "call", "watch", "list", "log", "code")
FULL_RUN_PARTS = ("log", "code")


def status_line(*sections: str) -> str:
    """Return the status event of a program that has not begun to serve."""
    error = io.StringIO()
    with key_folder() as folder, contextlib.redirect_stderr(error):
        path = folder / "operator.toml"
        path.write_text("".join(sections))
        operator = read_operator(str(path), module_settings()) if sections else None
        node = Node(config_from({**CONFIGURATION, "operator": ""}, {}), operator, str(path))
        outcome_counts = node.decision_thread.outcome_counts
        outcome_counts.update({outcome: 5 + k for k, outcome in enumerate(outcome_counts)})
        node.server.rejected_count = 1
        node.outbound.pool.open_count = 2
        node.unreadable_load_reports.count = 3
        node.unreadable_answers.count = 4
        node.failed_discovery_calls.count = 9
        node.server.overload_manager.resident = SimpleNamespace(counted_bytes=lambda: 10)
        node.log_status()
    return error.getvalue()


def log_forms(lines: list[str]) -> dict:
    """Return the lines before the shutdown unchanged, and those from it with N for each number."""
    stop = next(place for place, line in enumerate(lines) if line.startswith(SHUTDOWN_EVENT))
    return {"start": lines[:stop], "stop": [NUMBER.sub("N", line) for line in lines[stop:]]}


def long_job_request(request_id: bytes, *arguments: str) -> bytes:
    """Return a client's request that may take ten times as long."""
    request = job_request(*arguments).replace(TIMEOUT_MS, TIMEOUT_MS + b"0")
    return request.replace(SERVED_ID, request_id)


def serve_job(dispatcher: RunningDispatcher) -> dict:
    """Send a job and complete it; return what the client and the worker get."""
    http_port = dispatcher.ports["http"]
    with socket.create_connection(("127.0.0.1", http_port), timeout=WAIT_TIMEOUT_SECONDS) as client:
        client.sendall(long_job_request(SERVED_ID, "Idempotency-Key: k-1\r\n", "/revalue?user=1"))
        call = dispatcher.worker.first_request(b"POST")
        body = NOTIFICATIONS["done object"].replace(b'"a"', b'"%s"' % SERVED_ID)
        return {
            "news answer": text_of(exchange(http_port, notification(body))),
            "answer": text_of(receive_message(client)),
            "call": dispatcher.masked(text_of(call)),
        }


def abandon_job(dispatcher: RunningDispatcher) -> dict:
    """Send a job and disconnect; return the cancellation that the worker gets."""
    worker = dispatcher.worker
    http_port = dispatcher.ports["http"]
    with socket.create_connection(("127.0.0.1", http_port), timeout=WAIT_TIMEOUT_SECONDS) as client:
        client.sendall(long_job_request(ABANDONED_ID))
        wait_for(lambda: any(ABANDONED_ID in data for data in worker.requests))
    return {"give up": dispatcher.masked(text_of(worker.first_request(b"DELETE")))}


def discovery_requests(dispatcher: RunningDispatcher) -> dict:
    """Return the requests that discovery got."""
    watch = dispatcher.discovery.first_request(b"GET /api/targets?index=3")
    return {
        "watch": re.sub(r"wait=\d+", "wait=N", dispatcher.masked(text_of(watch))),
        "list": dispatcher.masked(text_of(dispatcher.discovery.requests[0])),
    }


@functools.cache
def plain_run() -> dict:
    """Run a process without an operator's file: a job that is served and one that is abandoned."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_dispatcher(Path(name), None) as dispatcher,
    ):
        result = serve_job(dispatcher) | abandon_job(dispatcher) | discovery_requests(dispatcher)
        result["log"] = log_forms(dispatcher.stop())
        result["code"] = dispatcher.process.returncode
        return result


def full_operator_file() -> str:
    """Return an operator's file with every section, ports and the folder as placeholders."""
    return (
        SECTIONS["gearman"].replace("4730", "{gearman}")
        + IDENTITY_INPUTS["operator_file"]
        + SECTIONS["fleet"].replace("7946", "{fleet}")
        + LEASES_SECTION
    )


@functools.cache
def full_run() -> dict:
    """Run a process with every section of the operator's file; return the lines of its log."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_keys(folder)
        with running_dispatcher(folder, full_operator_file()) as dispatcher:
            log = log_forms(dispatcher.stop())
            return {"log": log, "code": dispatcher.process.returncode}


def program_samples() -> dict[str, Sample]:
    """Return every sample of the running program."""
    samples: dict[str, Sample] = {
        "status line": status_line,
        "status line/gearman": lambda: status_line(SECTIONS["gearman"]),
    }
    for name in PLAIN_RUN_PARTS:
        samples[f"plain run/{name}"] = lambda name=name: plain_run()[name]
    for name in FULL_RUN_PARTS:
        samples[f"full run/{name}"] = lambda name=name: full_run()[name]
    return samples
