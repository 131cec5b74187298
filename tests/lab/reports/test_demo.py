"""`stepstream demo` as a process: a run of each site, `--hold`, and rejected options."""

import json
import socket
import subprocess
import sys

import pytest

from stepstream.http.codec import write_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import ROOT
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


def demo_command(*options):
    return [sys.executable, "-m", "stepstream", "demo", *options]


def run_demo(*options):
    return subprocess.run(
        demo_command(*options), cwd=ROOT, capture_output=True, text=True, timeout=120
    )


@pytest.mark.parametrize(
    "options",
    [
        pytest.param(["--site", "small"], id="small"),
        pytest.param(["--site", "probed", "--mix", "http"], id="probed"),
    ],
)
def test_the_demo_of_each_site_breaks_no_rule(tmp_path, options):
    results_path = tmp_path / "out.json"
    run = run_demo(*options, "--seconds", "4", "--json", str(results_path))
    figures = json.loads(results_path.read_text())
    assert figures["breaches"] == [], run.stdout + run.stderr
    assert run.returncode == 0, run.stdout + run.stderr
    # The score is not checked, because it also depends on the machine. All jobs must have ended on
    # every machine.
    assert sum(figures["finals"].values()) == figures["jobs"] > 50
    assert figures["finals"]["served"] > 0
    assert "all four invariants held" in run.stdout


@pytest.fixture
def held_demo_address():
    """The HTTP address of a demo with `--hold`; the demo must end with code 0 on SIGTERM."""
    process = subprocess.Popen(
        demo_command("--hold", "--mix", "mixed"),
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        addresses = json.loads(process.stdout.readline())
        host, _, port = addresses["http"].rpartition(":")
        yield host, int(port)
    finally:
        process.terminate()
        assert process.wait(WAIT_TIMEOUT_SECONDS * 2) == 0


def test_a_demo_with_hold_serves_requests_of_other_clients(held_demo_address):
    headers = {"Host": "x", "Tenant": "north-fund", "Request-Timeout-Ms": "4000"}
    for request_id, body in (("0a", b"[0,0,1000,1]"), ("0b", b"another client's body")):
        headers["Request-Id"] = request_id
        with socket.create_connection(
            held_demo_address, timeout=WAIT_TIMEOUT_SECONDS
        ) as connection:
            response = exchange(0, write_request("POST", "/revalue", headers, body), connection)
        assert response.status == 200
        assert response.body.startswith(b"price ")


@pytest.mark.parametrize(
    "options",
    [
        pytest.param(["--mix", "x"], id="mix"),
        pytest.param(["--site", "x"], id="site"),
        pytest.param(["--seconds", "x"], id="seconds-not-a-number"),
        pytest.param(["--seconds", "0"], id="seconds-out-of-range"),
    ],
)
def test_an_invalid_option_is_named_in_the_error(options):
    run = run_demo(*options)
    assert run.returncode == 2
    assert options[0] in run.stderr
