"""Tests of the whole program on loopback, with Gearman client libraries and faulty peers."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys

import gear
import gearman
import pytest

from stepstream.gearman import codec
from stepstream.gearman.codec import PacketKind
from tests.config.configurations import CONFIGURATION
from tests.config.nested_json import nested_lists
from tests.gearman.program import OPERATOR_FILE_TEMPLATE, revalue_with_progress
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import ROOT
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def start_pygearman_worker(program, name, functions):
    """Run an unmodified worker of pygearman in a thread; it ends with the program."""

    def run():
        worker = gearman.GearmanWorker([f"127.0.0.1:{program.gearman_port}"])
        worker.set_client_id(name)
        for function, task in functions.items():
            worker.register_task(function, task)
        with contextlib.suppress(gearman.errors.ServerUnavailable):
            worker.work()

    program.run_in_thread(run)
    wait_for(lambda: name.decode().partition(";")[0] in program.command("workers"))


RAW_UNIQUE = bytes(range(1, 9)) + b"\xff" * 8  # 16 raw bytes, as client libraries generate


def test_a_raw_unique_id_of_pygearman_becomes_a_key(program):
    # Guards against BAD_UNIQUE for raw bytes as the unique id of a class with idempotency keys.
    start_pygearman_worker(program, b"lib;start=1", {b"nav-publish": lambda worker, job: b"done"})
    client = gearman.GearmanClient([f"127.0.0.1:{program.gearman_port}"])
    completed = client.submit_job(
        "nav-publish", b"x", unique=RAW_UNIQUE, poll_timeout=WAIT_TIMEOUT_SECONDS
    )
    assert (completed.state, completed.result) == ("COMPLETE", b"done")


def test_the_gear_library_sends_a_raw_unique_id_and_parses_an_error_code(program):
    start_pygearman_worker(program, b"lib;start=1", {b"nav-publish": lambda worker, job: b"done"})
    client = gear.Client()
    client.addServer("127.0.0.1", program.gearman_port)
    client.waitForServer()
    try:
        with pytest.raises(gear.GearmanError):
            client.submitJob(gear.Job(b"nothing", b"x"), timeout=WAIT_TIMEOUT_SECONDS)
        job = gear.Job(b"nav-publish", b"x", unique=RAW_UNIQUE)
        client.submitJob(job, timeout=WAIT_TIMEOUT_SECONDS)
        wait_for(lambda: job.complete)
        assert (job.failure, job.data) == (False, [b"done"])
    finally:
        client.shutdown()


def failing_task(worker, job):
    raise ValueError("no market data")


def test_pygearman_works_unchanged_as_client_worker_and_admin_client(program):
    start_pygearman_worker(
        program,
        b"lib;zone=ruzinov;start=1",
        {b"revalue": revalue_with_progress, b"nav-publish": failing_task},
    )
    client = gearman.GearmanClient([f"127.0.0.1:{program.gearman_port}"])
    completed = client.submit_job("revalue", b"abc", poll_timeout=WAIT_TIMEOUT_SECONDS)
    assert (completed.state, completed.result, list(completed.data_updates)) == (
        "COMPLETE",
        b"ABC",
        [b"part "],
    )
    assert (completed.status["numerator"], completed.status["denominator"]) == (1, 2)
    many = [{"task": "tatra-invest/revalue", "data": b"%d" % index} for index in range(20)]
    results = client.submit_multiple_jobs(many, poll_timeout=WAIT_TIMEOUT_SECONDS)
    assert [result.result for result in results] == [b"%d" % index for index in range(20)]
    failed = client.submit_job("nav-publish", b"x", unique="key", poll_timeout=WAIT_TIMEOUT_SECONDS)
    assert failed.state == "FAILED"
    later = client.submit_job("revalue", b"x", background=True, poll_timeout=WAIT_TIMEOUT_SECONDS)
    wait_for(
        lambda: (
            client.get_job_status(later, poll_timeout=WAIT_TIMEOUT_SECONDS).status["running"]
            is False
        )
    )
    admin = gearman.GearmanAdminClient([f"127.0.0.1:{program.gearman_port}"])
    assert {row["task"] for row in admin.get_status()} == {
        "tatra-invest/revalue",
        "tatra-invest/nav-publish",
    }
    assert any(row["client_id"] == "lib" for row in admin.get_workers())
    # The same worker also completes jobs that arrive over HTTP.
    answer = exchange(program.http_port, job_request(body=b"over http"))
    assert (answer.status, answer.body) == (200, b"part OVER HTTP")


def test_a_client_that_disconnects_does_not_affect_another_client(program):
    worker = program.connect().register_worker()
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", "one")
    client.receive_until(PacketKind.JOB_CREATED)
    assigned = worker.grab_job()[0]
    client.close()
    wait_for(lambda: "\topen\t" not in program.command("show jobs"))
    worker.send(PacketKind.WORK_COMPLETE, assigned, "nobody receives this")
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", "two")
    worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "received")
    assert client.receive_until(PacketKind.WORK_COMPLETE).args[1] == b"received"


def test_the_job_of_a_worker_that_disconnects_is_completed_by_another_worker(program):
    first = program.connect().register_worker("first")
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", "x")
    assigned = first.grab_job()[0]
    first.send(PacketKind.WORK_STATUS, assigned, "1", "2")
    client.receive_until(PacketKind.WORK_STATUS)
    second = program.connect().register_worker("second")
    first.close()
    second.send(PacketKind.WORK_COMPLETE, second.grab_job()[0], "second")
    assert client.receive_until(PacketKind.WORK_COMPLETE, PacketKind.WORK_FAIL).args[1:] == (
        b"second",
    )


@pytest.mark.parametrize(
    "data",
    [
        codec.HEADER.pack(codec.REQ, PacketKind.SUBMIT_JOB, 2**32 - 1) + b"x" * 100,
        b"\0RES" + bytes(8),
        codec.HEADER.pack(codec.REQ, PacketKind.SUBMIT_JOB, 5) + b"nonul",
        codec.HEADER.pack(codec.REQ, PacketKind.SUBMIT_JOB, 50) + b"half a packet",
        codec.HEADER.pack(codec.REQ, 99, 0) * 50,
        b"GET / HTTP/1.1\r\nHost: \x01\r\n\r\n",
        b"x" * 5000,
        b"half a line",
        b"",
    ],
    ids=[
        "4 GiB",
        "answers",
        "no NUL",
        "half",
        "unknown",
        "not text",
        "long line",
        "half line",
        "silent",
    ],
)
def test_bad_input_ends_the_connection_in_time_and_does_not_affect_others(program, data):
    bad = program.connect()
    bad.sock.sendall(data)
    while bad.sock.recv(65536):
        pass  # an ERROR or nothing, then the end of the connection
    worker = program.connect().register_worker()
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", "x")
    worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "r")
    assert client.receive_until(PacketKind.WORK_COMPLETE).args[1] == b"r"


def test_a_client_that_reads_too_little_is_dropped_and_does_not_delay_others(program):
    worker = program.connect().register_worker()
    slow = program.connect()
    quick = program.connect()
    slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    attempt_count = 0
    slow.send(PacketKind.ECHO_REQ, "x").receive_until(PacketKind.ECHO_RES)
    data_chunk = b"d" * 60_000
    program.run_in_thread(worker.complete_jobs, data_chunk, data_chunk, data_chunk, "end")

    def dropped():
        nonlocal attempt_count
        attempt_count += 1
        with contextlib.suppress(OSError):
            slow.send(PacketKind.SUBMIT_JOB, "revalue", "", "x")
        quick.send(PacketKind.SUBMIT_JOB, "revalue", "", "x")
        # The job may be rejected while the only worker is busy, but it always gets an outcome.
        quick.receive_until(PacketKind.WORK_COMPLETE, PacketKind.WORK_FAIL)
        # True once only the worker, the quick client and this command's connection remain.
        return program.command("workers").count("127.0.0.1") <= 3

    wait_for(dropped)
    assert program.process.poll() is None


def test_sigterm_answers_foreground_and_background_jobs_and_exits_with_0(program):
    worker = program.connect().register_worker()
    client = program.connect()
    client.send(PacketKind.SUBMIT_JOB, "revalue", "", "x").receive_until(PacketKind.JOB_CREATED)
    assigned = worker.grab_job()[0]
    client.send(PacketKind.SUBMIT_JOB_BG, "revalue", "", "y").receive_until(PacketKind.JOB_CREATED)
    program.process.send_signal(signal.SIGTERM)
    assert next(line for line in program.process.stderr if "shutdown_started" in line)
    worker.send(PacketKind.WORK_COMPLETE, assigned, "in time")
    assert client.receive_until(PacketKind.WORK_COMPLETE).args[1] == b"in time"
    worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "too")
    assert program.process.wait(WAIT_TIMEOUT_SECONDS) == 0
    log = program.process.stderr.read()
    assert "served_requests=2 rejected_requests=0 failed_requests=0" in log
    assert log.endswith("stepstream: info shutdown_finished\n")


def test_a_reload_applies_a_valid_operators_file_and_rejects_a_faulty_one_as_a_whole(program):
    worker = program.connect().register_worker()
    good = OPERATOR_FILE_TEMPLATE.format(port=program.gearman_port)
    for bad, key in (
        (good + "quue = 1\n", "quue"),
        (good.replace("tatra-invest", "nobody"), "gearman.tenant=nobody"),
        (OPERATOR_FILE_TEMPLATE.format(port=1), "gearman.listen"),
        ("", "gearman is switched on or off only with a restart"),
    ):
        program.operator_file.write_text(bad)
        line = program.reload()
        assert key in line
        assert "reload_failed" in line
        assert 'in_force="previous configuration"' in line
    program.operator_file.write_text(good + "allow_shutdown = true\n")
    assert "configuration_reloaded" in program.reload()
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", "x")
    worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "r")
    assert client.receive_until(PacketKind.WORK_COMPLETE).args[1] == b"r"
    assert program.command("shutdown") == "OK\n"
    assert program.process.wait(WAIT_TIMEOUT_SECONDS) == 0


def test_an_address_in_use_is_reported_with_its_key(program, tmp_path):
    folder = tmp_path / "second"
    folder.mkdir()
    config = {**program.config, "listen": f"127.0.0.1:{free_port()}"}
    (folder / "config.json").write_text(json.dumps(config))
    run = subprocess.run(
        [sys.executable, "-m", "stepstream", "serve", "--operator", str(program.operator_file)],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(folder / "config.json")},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_SECONDS,
    )
    assert run.returncode == 2
    assert f"gearman.listen=127.0.0.1:{program.gearman_port}" in run.stderr


def test_a_faulty_operator_file_stops_the_start_with_one_line(tmp_path):
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    (tmp_path / "o.toml").write_text("[gearman]\nlisten = 3\n")
    run = subprocess.run(
        [sys.executable, "-m", "stepstream", "serve"],
        cwd=ROOT,
        env={
            **os.environ,
            "EDGE_CONFIG": str(tmp_path / "config.json"),
            "STEPSTREAM_OPERATOR": str(tmp_path / "o.toml"),
        },
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_SECONDS,
    )
    assert run.returncode == 2
    assert "gearman.listen" in run.stderr
    assert len(run.stderr.splitlines()) == 1


def test_a_nested_result_and_workload_pass_unread_to_clients_of_both_fronts(program):
    # Gearman carries opaque bytes, so the bound on the nesting of JSON does not apply to them.
    value = nested_lists(10_000).encode()
    worker = program.connect().register_worker()
    client = program.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", value)
    handle, *_, workload = worker.grab_job()
    assert workload == value
    worker.send(PacketKind.WORK_COMPLETE, handle, value)
    assert client.receive_until(PacketKind.WORK_COMPLETE).args[1] == value
    program.run_in_thread(lambda: worker.complete_jobs(value))
    answer = exchange(program.http_port, job_request(body=value))
    assert (answer.status, answer.body) == (200, value)
