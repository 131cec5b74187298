"""Dispatcher processes that contend for leases and record their operations in a ledger.

While faults are injected, the ledger's tokens must never decrease, and operations of two holders
must never overlap. Waits end when the ledger or an admin listener shows the expected state, or fail
after TIMEOUT_SECONDS.
"""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from stepstream.lab.processes.cluster_scenarios import (
    HealthCheckRun,
    LeaderFault,
    play_health_check_run,
)
from stepstream.lab.processes.lease_cluster import TTL_SECONDS, LeaseDispatcherCluster
from stepstream.lab.processes.lease_faults import LEASE_FAULTS, inject
from stepstream.lab.verification import ledger_record
from stepstream.leases.commands import run
from tests.config.configurations import CONFIGURATION as CONFIG
from tests.node.dispatcher_process import ROOT
from tests.runtime.ports import free_port

TIMEOUT_SECONDS = 40.0


@pytest.fixture(scope="module")
def module_cluster():
    with LeaseDispatcherCluster(5, 3, seed=1) as started:
        started.wait_for(started.holder, TIMEOUT_SECONDS, "a first holder")
        yield started
        assert not ledger_record.find_breaches(started.ledger_rows())


@pytest.fixture
def cluster(module_cluster):
    module_cluster.end_all_faults()
    module_cluster.wait_for(
        lambda: all(member.membership_list() for member in module_cluster.members.values()),
        TIMEOUT_SECONDS,
        "a membership list at each member",
    )
    module_cluster.wait_for(module_cluster.holder, TIMEOUT_SECONDS, "a holder")
    return module_cluster


@pytest.mark.parametrize("fault", LEASE_FAULTS, ids=lambda fault: fault.name)
def test_under_a_fault_there_is_one_holder_at_a_time_and_operations_resume(cluster, fault):
    rows_before = len(cluster.ledger_rows())
    outcome = inject(cluster, fault, TIMEOUT_SECONDS)
    rows = cluster.ledger_rows()
    assert not ledger_record.find_breaches(rows)
    assert len(rows) > rows_before
    # A gap between two operations may be long only if it overlaps the fault or the lease time after
    # it. At a change of the holder the gap is short.
    ends = [row["at"] for row in rows[rows_before:] if row["what"] == "end"]
    for earlier, later in zip(ends, ends[1:], strict=False):
        overlaps_fault = (
            earlier < outcome.ended_at_seconds + TTL_SECONDS and later > outcome.begun_at_seconds
        )
        assert later - earlier < TIMEOUT_SECONDS / 4 or overlaps_fault, (earlier, later, outcome)


@pytest.mark.parametrize("seed", range(6))
def test_under_overlapping_faults_there_is_one_holder_at_a_time(cluster, seed):
    cluster.rng.seed(seed)
    for fault in cluster.rng.sample(LEASE_FAULTS, 2):
        fault.begin(cluster, cluster.holder() or "n0")
        # A fixed sleep on purpose: the next fault must begin within a lease's time to live.
        time.sleep(cluster.rng.uniform(0.1, 1.0) * TTL_SECONDS)
    inject(cluster, cluster.rng.choice(LEASE_FAULTS), TIMEOUT_SECONDS)
    assert not ledger_record.find_breaches(cluster.ledger_rows())


def test_the_ledger_check_finds_two_holders_and_accepts_sequential_operations():
    rows = [
        {"at": 1.0, "what": "begin", "token": 5, "holder": "a", "act": 0},
        {"at": 2.0, "what": "begin", "token": 7, "holder": "b", "act": 1},
        {"at": 3.0, "what": "end", "token": 5, "holder": "a", "act": 0},
        {"at": 4.0, "what": "end", "token": 7, "holder": "b", "act": 1},
        {"at": 5.0, "what": "begin", "token": 7, "holder": "c", "act": 2},
    ]
    found = " / ".join(ledger_record.find_breaches(rows))
    assert "token 5 admitted after 7" in found
    assert "of b and of c" in found
    assert "a and b overlap" in found
    sequential_rows = [
        {**row, "at": at}
        for row, at in zip((rows[0], rows[2], rows[1], rows[3]), (1, 2, 3, 4), strict=True)
    ]
    assert not ledger_record.find_breaches(sequential_rows)


# -- external programs ----------------------------------------------------------------------------


def start_lease_run(cluster, lease, command, *options, member="n4"):
    program = [
        sys.executable,
        "-m",
        "stepstream",
        "lease",
        "run",
        lease,
        "--at",
        cluster.members[member].admin_address,
    ]
    return subprocess.Popen(
        [*program, *options, "--", *command], cwd=ROOT, stderr=subprocess.PIPE, text=True
    )


SHELL = ["sh", "-c"]


def test_a_command_runs_under_its_lease_and_its_exit_code_is_returned(cluster, tmp_path):
    output = tmp_path / "output"
    script = f'echo "$STEPSTREAM_LEASE $STEPSTREAM_FENCE" > {output}; exit 7'
    first = start_lease_run(cluster, "job", [*SHELL, script], "--ttl", "1.2")
    assert first.wait(TIMEOUT_SECONDS) == 7
    name, token = output.read_text().split()
    assert name == "job"
    assert int(token) > 0
    second = start_lease_run(cluster, "job", [*SHELL, script], "--ttl", "1.2", member="n0")
    begun_at = time.monotonic()
    assert second.wait(TIMEOUT_SECONDS) == 7
    assert time.monotonic() - begun_at < TIMEOUT_SECONDS / 2
    assert int(output.read_text().split()[1]) > int(token)
    missing = start_lease_run(cluster, "job", ["no-such-program"], "--ttl", "1.2")
    assert missing.wait(TIMEOUT_SECONDS) == 127


def test_commands_that_want_one_lease_run_one_after_the_other(cluster, tmp_path):
    log = tmp_path / "log"
    script = f"echo begin >> {log}; sleep 0.5; echo end >> {log}"
    processes = [
        start_lease_run(cluster, "turns", [*SHELL, script], "--ttl", "1.2", member=f"n{number}")
        for number in range(3)
    ]
    assert [process.wait(TIMEOUT_SECONDS) for process in processes] == [0, 0, 0]
    assert log.read_text().split() == ["begin", "end"] * 3


def test_a_command_that_ignores_sigterm_is_killed_before_another_can_hold_the_lease(
    cluster, tmp_path
):
    # The dispatcher is killed, so `lease run` has to end the command by its own clock.
    log = tmp_path / "log"
    script = f"trap '' TERM; while true; do echo first >> {log}; sleep 0.02; done"
    first = start_lease_run(cluster, "beat", [*SHELL, script], "--ttl", "1.2", member="n3")
    cluster.wait_for(lambda: log.exists(), TIMEOUT_SECONDS, "the first command's output")
    cluster.kill("n3")
    second = start_lease_run(
        cluster, "beat", [*SHELL, f"echo second >> {log}"], "--ttl", "1.2", member="n4"
    )
    assert first.wait(TIMEOUT_SECONDS) == 69
    assert "lost" in first.stderr.read()
    assert second.wait(TIMEOUT_SECONDS) == 0
    lines = log.read_text().split()
    assert lines[-1] == "second"
    assert lines.count("second") == 1


def test_an_operator_and_a_stopping_dispatcher_end_the_holder_of_a_lease(cluster, capsys, tmp_path):
    for ended_by in ("release", "term"):
        # Wait until the command has begun: before that, `lease run` would not end but go on waiting
        # for the lease.
        begun_file = tmp_path / ended_by
        script = f"touch {begun_file}; exec sleep 60"
        run_process = start_lease_run(
            cluster, "long", [*SHELL, script], "--ttl", "1.2", member="n2"
        )
        at = cluster.members["n2"].admin_address

        def holder_rows(at=at):
            assert run(["lease", "list", "--at", at, "--json"]) == 0
            rows = json.loads(capsys.readouterr().out)
            return [
                row for row in rows if row["name"] == "long" and row["holder"].startswith("n2@")
            ]

        cluster.wait_for(holder_rows, TIMEOUT_SECONDS, "the holder")
        cluster.wait_for(begun_file.exists, TIMEOUT_SECONDS, "the command")
        if ended_by == "release":
            assert run(["lease", "show", "long", "--at", at]) == 0
            assert "held" in capsys.readouterr().out
            assert run(["lease", "release", "long", "--at", at]) == 0
            assert "asked to end" in capsys.readouterr().out
        else:
            cluster.members["n2"].terminate()
        assert run_process.wait(TIMEOUT_SECONDS) == 69
    assert run(["lease", "show", "nobody", "--at", cluster.members["n0"].admin_address]) == 1
    assert run(["lease", "list", "--at", f"127.0.0.1:{free_port()}"]) == 2


def test_without_a_quorum_the_answer_names_the_missing_acceptors_and_the_command_gives_up(cluster):
    for name in ("n0", "n1"):
        cluster.kill(name)
    run_process = start_lease_run(cluster, "none", ["true"], "--ttl", "1.2", "--wait", "3")
    path = "/leases/none/want?session=abcdefgh&ttl_ms=1200&act_ms=300"

    def is_rejected():
        status, answer = cluster.members["n4"].call_admin(path, "PUT")
        return status == 503 and answer["error"] == "no quorum: 1 of 3 voters answered, not n0, n1"

    cluster.wait_for(is_rejected, TIMEOUT_SECONDS, "the answer 503")
    assert run_process.wait(TIMEOUT_SECONDS) == 75
    assert "of 3 voters answered" in run_process.stderr.read()
    # A fixed sleep on purpose: a session that gets no heartbeats is withdrawn within this time.
    time.sleep(TTL_SECONDS)
    assert (
        cluster.members["n4"].call_admin("/leases/none/release?session=abcdefgh", "PUT")[0] == 404
    )


@pytest.mark.parametrize(
    ("method", "path", "status", "error"),
    [
        (
            "PUT",
            "/leases/No_Such/want?session=abcdefgh&ttl_ms=1200&act_ms=300",
            400,
            "no lease's name",
        ),
        ("PUT", f"/leases/{'a' * 65}/want?session=abcdefgh", 400, "no lease's name"),
        ("PUT", "/leases/a/want?session=x&ttl_ms=1200&act_ms=300", 400, "session"),
        ("PUT", "/leases/a/want?session=abcdefgh&ttl_ms=x&act_ms=300", 400, "ttl_ms"),
        (
            "PUT",
            "/leases/a/want?session=abcdefgh&ttl_ms=100&act_ms=30",
            400,
            "ttl_ms=100 is under 400",
        ),
        (
            "PUT",
            "/leases/a/want?session=abcdefgh&ttl_ms=99999&act_ms=30",
            400,
            "leases.longest_s=1.2",
        ),
        ("PUT", "/leases/a/want?session=abcdefgh&ttl_ms=1200&act_ms=900", 400, "act_ms"),
        ("PUT", "/leases/a/release?session=abcdefgh", 404, "no such session"),
        ("PUT", "/leases/a/release", 404, "not held"),
        ("GET", "/leases/a/want", 405, "takes"),
        ("GET", "/leases/nobody-ever", 404, "no such lease"),
    ],
)
def test_an_invalid_call_is_answered_with_a_4xx_status_and_the_reason(
    cluster, method, path, status, error
):
    answered_status, answer = cluster.members["n1"].call_admin(path, method)
    assert answered_status == status
    assert error in json.dumps(answer)


@pytest.mark.parametrize(
    "options",
    [["--ttl", "0.2"], ["--ttl", "x"], ["--ttl", "900"], ["--wait", "-1"]],
    ids=lambda options: options[1],
)
def test_lease_run_with_bad_options_exits_with_64(cluster, options):
    assert start_lease_run(cluster, "bad", ["true"], *options).wait(TIMEOUT_SECONDS) == 64


FLEET_SECTION = '[fleet]\nlisten = "127.0.0.1:7946"\ncluster = "lab"\n'


@pytest.mark.parametrize(
    ("operator_text", "expected_error"),
    [
        ('[leases]\nvoters = ["a"]\n', "leases needs [fleet]"),
        (FLEET_SECTION + "[leases]\n", "voters"),
        (FLEET_SECTION + "[leases]\nvoters = []\n", "leases.voters"),
        (
            FLEET_SECTION + '[leases]\nvoters = ["a", "b", "a"]\n',
            "leases.voters[2]=a is there twice",
        ),
        (FLEET_SECTION + '[leases]\nvoters = ["a b"]\n', "leases.voters[0]"),
        (FLEET_SECTION + '[leases]\nvoters = ["a"]\ndrift = 0.0\n', "leases.drift"),
        (
            FLEET_SECTION + '[leases]\nvoters = ["a"]\nlongest_s = 1\n',
            "leases.longest_s=1 is under four times",
        ),
        (FLEET_SECTION + '[leases]\nvoters = ["a"]\ncolour = 1\n', "colour"),
    ],
)
def test_check_config_names_a_faulty_key_in_one_line(tmp_path, operator_text, expected_error):
    (tmp_path / "operator.toml").write_text(operator_text)
    (tmp_path / "config.json").write_text(
        json.dumps({**CONFIG, "listen": f"127.0.0.1:{free_port()}"})
    )
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "stepstream",
            "check-config",
            "--operator",
            str(tmp_path / "operator.toml"),
        ],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json")},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert completed.returncode == 2
    assert expected_error in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_a_reload_that_changes_the_acceptors_is_rejected_with_the_key(cluster):
    member = cluster.members["n1"]
    cluster.write_files(member, fleet_settings=cluster.fleet_settings.replace('"n2"]', '"n4"]'))
    member.send_signal(signal.SIGHUP)
    line = "leases.voters=('n0', 'n1', 'n4') changes only with a restart"
    cluster.wait_for(lambda: line in member.read_log(), TIMEOUT_SECONDS, "the rejection in the log")
    cluster.write_files(member)


def test_one_dispatcher_checks_the_workers_for_all_and_checks_go_on_after_it_is_killed():
    undisturbed, leader_killed = (
        play_health_check_run(HealthCheckRun(1, True, 3, 8, leader_fault))
        for leader_fault in (LeaderFault.NONE, LeaderFault.KILL)
    )
    assert undisturbed["breaches"] == leader_killed["breaches"] == []
    assert len(undisturbed["sweepers"]) == 1
    assert leader_killed["sweepers"]
    assert leader_killed["probes_a_worker_s"] > 0
    assert leader_killed["whole"] > 0
