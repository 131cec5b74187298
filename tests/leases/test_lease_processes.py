"""Real dispatchers that contend for leases and operate on a ledger, under faults.

The ledger is the witness: under any fault its tokens never fall and no two holders' operations
overlap. Waits end on what it and the admin listeners say, within generous bounds.
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
def rig():
    with LeaseDispatcherCluster(5, 3, seed=1) as made:
        made.wait_for(made.holder, TIMEOUT_SECONDS, "a first holder")
        yield made
        assert not ledger_record.find_breaches(made.ledger_rows())


@pytest.fixture
def fleet(rig):
    rig.end_all_faults()
    rig.wait_for(
        lambda: all(member.membership_list() for member in rig.members.values()),
        TIMEOUT_SECONDS,
        "all up",
    )
    rig.wait_for(rig.holder, TIMEOUT_SECONDS, "a holder")
    return rig


@pytest.mark.parametrize("fault", LEASE_FAULTS, ids=lambda fault: fault.name)
def test_under_a_fault_there_is_one_holder_at_a_time_and_another_afterwards(fleet, fault):
    rows_before = len(fleet.ledger_rows())
    outcome = inject(fleet, fault, TIMEOUT_SECONDS)
    rows = fleet.ledger_rows()
    assert not ledger_record.find_breaches(rows)
    assert len(rows) > rows_before
    # Each time without an operation meets the fault, or is as short as a handover.
    ends = [row["at"] for row in rows[rows_before:] if row["what"] == "end"]
    for earlier, later in zip(ends, ends[1:], strict=False):
        meets_fault = (
            earlier < outcome.ended_at_seconds + TTL_SECONDS and later > outcome.begun_at_seconds
        )
        assert later - earlier < TIMEOUT_SECONDS / 4 or meets_fault, (earlier, later, outcome)


@pytest.mark.parametrize("seed", range(6))
def test_under_overlapping_faults_there_is_one_holder_at_a_time(fleet, seed):
    fleet.rng.seed(seed)
    for fault in fleet.rng.sample(LEASE_FAULTS, 2):
        fault.begin(fleet, fleet.holder() or "n0")
        # Time is the subject: the next fault begins within the lifetime of a lease.
        time.sleep(fleet.rng.uniform(0.1, 1.0) * TTL_SECONDS)
    inject(fleet, fleet.rng.choice(LEASE_FAULTS), TIMEOUT_SECONDS)
    assert not ledger_record.find_breaches(fleet.ledger_rows())


def test_the_check_of_a_ledger_finds_two_holders():
    rows = [
        {"at": 1.0, "what": "begin", "token": 5, "holder": "a", "act": 0},
        {"at": 2.0, "what": "begin", "token": 7, "holder": "b", "act": 1},
        {"at": 3.0, "what": "end", "token": 5, "holder": "a", "act": 0},
        {"at": 4.0, "what": "end", "token": 7, "holder": "b", "act": 1},
        {"at": 5.0, "what": "begin", "token": 7, "holder": "c", "act": 2},
    ]
    found = " / ".join(ledger_record.find_breaches(rows))
    assert "token 5 taken after 7" in found
    assert "of b and of c" in found
    assert "a and b overlap" in found
    one_after_the_other = [
        {**row, "at": at}
        for row, at in zip((rows[0], rows[2], rows[1], rows[3]), (1, 2, 3, 4), strict=True)
    ]
    assert not ledger_record.find_breaches(one_after_the_other)


# -- programs outside ---------------------------------------------------------------------------------------


def lease_run(fleet, name, command, *options, at="n4"):
    program = [
        sys.executable,
        "-m",
        "stepstream",
        "lease",
        "run",
        name,
        "--at",
        fleet.members[at].admin_address,
    ]
    return subprocess.Popen(
        [*program, *options, "--", *command], cwd=ROOT, stderr=subprocess.PIPE, text=True
    )


SHELL = ["sh", "-c"]


def test_a_command_runs_under_its_lease_and_its_exit_code_is_returned(fleet, tmp_path):
    output = tmp_path / "output"
    script = f'echo "$STEPSTREAM_LEASE $STEPSTREAM_FENCE" > {output}; exit 7'
    first = lease_run(fleet, "job", [*SHELL, script], "--ttl", "1.2")
    assert first.wait(TIMEOUT_SECONDS) == 7
    name, token = output.read_text().split()
    assert name == "job"
    assert int(token) > 0
    second = lease_run(fleet, "job", [*SHELL, script], "--ttl", "1.2", at="n0")
    begun = time.monotonic()
    assert second.wait(TIMEOUT_SECONDS) == 7
    assert time.monotonic() - begun < TIMEOUT_SECONDS / 2
    assert int(output.read_text().split()[1]) > int(token)
    missing = lease_run(fleet, "job", ["no-such-program"], "--ttl", "1.2")
    assert missing.wait(TIMEOUT_SECONDS) == 127


def test_commands_that_want_one_lease_run_one_after_the_other(fleet, tmp_path):
    log = tmp_path / "log"
    script = f"echo begin >> {log}; sleep 0.5; echo end >> {log}"
    jobs = [
        lease_run(fleet, "turns", [*SHELL, script], "--ttl", "1.2", at=f"n{k}") for k in range(3)
    ]
    assert [job.wait(TIMEOUT_SECONDS) for job in jobs] == [0, 0, 0]
    assert log.read_text().split() == ["begin", "end"] * 3


def test_a_command_that_ignores_sigterm_is_killed_before_another_can_hold_the_lease(
    fleet, tmp_path
):
    # Its dispatcher is killed: `lease run` ends the command by its own clock.
    log = tmp_path / "log"
    beat = f"trap '' TERM; while true; do echo first >> {log}; sleep 0.02; done"
    first = lease_run(fleet, "beat", [*SHELL, beat], "--ttl", "1.2", at="n3")
    fleet.wait_for(lambda: log.exists(), TIMEOUT_SECONDS, "the first one's beat")
    fleet.kill("n3")
    second = lease_run(fleet, "beat", [*SHELL, f"echo second >> {log}"], "--ttl", "1.2", at="n4")
    assert first.wait(TIMEOUT_SECONDS) == 69
    assert "lost" in first.stderr.read()
    assert second.wait(TIMEOUT_SECONDS) == 0
    lines = log.read_text().split()
    assert lines[-1] == "second"
    assert lines.count("second") == 1


def test_an_operator_and_a_stopping_dispatcher_take_a_lease_back(fleet, capsys, tmp_path):
    for end in ("release", "term"):
        # A `lease run` whose command has not begun waits on: only one that runs is taken back.
        begun = tmp_path / end
        script = f"touch {begun}; exec sleep 60"
        job = lease_run(fleet, "long", [*SHELL, script], "--ttl", "1.2", at="n2")
        at = fleet.members["n2"].admin_address

        def held(at=at):
            assert run(["lease", "list", "--at", at, "--json"]) == 0
            rows = json.loads(capsys.readouterr().out)
            return [r for r in rows if r["name"] == "long" and r["holder"].startswith("n2@")]

        fleet.wait_for(held, TIMEOUT_SECONDS, "the holder")
        fleet.wait_for(begun.exists, TIMEOUT_SECONDS, "the command")
        if end == "release":
            assert run(["lease", "show", "long", "--at", at]) == 0
            assert "held" in capsys.readouterr().out
            assert run(["lease", "release", "long", "--at", at]) == 0
            assert "asked to end" in capsys.readouterr().out
        else:
            fleet.members["n2"].terminate()
        assert job.wait(TIMEOUT_SECONDS) == 69
    assert run(["lease", "show", "nobody", "--at", fleet.members["n0"].admin_address]) == 1
    assert run(["lease", "list", "--at", f"127.0.0.1:{free_port()}"]) == 2


def test_without_a_quorum_the_answer_names_the_missing_acceptors_and_the_command_gives_up(fleet):
    for name in ("n0", "n1"):
        fleet.kill(name)
    job = lease_run(fleet, "none", ["true"], "--ttl", "1.2", "--wait", "3")
    path = "/leases/none/want?session=abcdefgh&ttl_ms=1200&act_ms=300"

    def is_rejected():
        status, answer = fleet.members["n4"].call_admin(path, "PUT")
        return status == 503 and answer["error"] == "no quorum: 1 of 3 voters answered, not n0, n1"

    fleet.wait_for(is_rejected, TIMEOUT_SECONDS, "the 503")
    assert job.wait(TIMEOUT_SECONDS) == 75
    assert "of 3 voters answered" in job.stderr.read()
    # Time is the subject: without heartbeats the session is withdrawn after its time to live.
    time.sleep(TTL_SECONDS)
    assert fleet.members["n4"].call_admin("/leases/none/release?session=abcdefgh", "PUT")[0] == 404


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
def test_a_bad_call_is_answered_4xx_with_what_is_wrong(fleet, method, path, status, error):
    answered_status, answer = fleet.members["n1"].call_admin(path, method)
    assert answered_status == status
    assert error in json.dumps(answer)


@pytest.mark.parametrize(
    "options",
    [["--ttl", "0.2"], ["--ttl", "x"], ["--ttl", "900"], ["--wait", "-1"]],
    ids=lambda options: options[1],
)
def test_lease_run_with_bad_options_exits_with_64(fleet, options):
    assert lease_run(fleet, "bad", ["true"], *options).wait(TIMEOUT_SECONDS) == 64


FLEET = '[fleet]\nlisten = "127.0.0.1:7946"\ncluster = "lab"\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('[leases]\nvoters = ["a"]\n', "leases needs [fleet]"),
        (FLEET + "[leases]\n", "voters"),
        (FLEET + "[leases]\nvoters = []\n", "leases.voters"),
        (FLEET + '[leases]\nvoters = ["a", "b", "a"]\n', "leases.voters[2]=a is there twice"),
        (FLEET + '[leases]\nvoters = ["a b"]\n', "leases.voters[0]"),
        (FLEET + '[leases]\nvoters = ["a"]\ndrift = 0.0\n', "leases.drift"),
        (
            FLEET + '[leases]\nvoters = ["a"]\nlongest_s = 1\n',
            "leases.longest_s=1 is under four times",
        ),
        (FLEET + '[leases]\nvoters = ["a"]\ncolour = 1\n', "colour"),
    ],
)
def test_check_config_names_a_faulty_key_in_one_line(tmp_path, text, key):
    (tmp_path / "operator.toml").write_text(text)
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
    assert key in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_a_reload_that_would_change_the_acceptors_is_refused_by_its_key(fleet):
    member = fleet.members["n1"]
    fleet.write_files(member, fleet_settings=fleet.fleet_settings.replace('"n2"]', '"n4"]'))
    member.send_signal(signal.SIGHUP)
    line = "leases.voters=('n0', 'n1', 'n4') changes only with a restart"
    fleet.wait_for(lambda: line in member.read_log(), TIMEOUT_SECONDS, "the refusal")
    fleet.write_files(member)


def test_one_dispatcher_checks_workers_for_all_and_each_for_itself_once_it_is_gone():
    swept, killed = (
        play_health_check_run(HealthCheckRun(1, True, 3, 8, leader_fault))
        for leader_fault in (LeaderFault.NONE, LeaderFault.KILL)
    )
    assert swept["breaches"] == killed["breaches"] == []
    assert len(swept["sweepers"]) == 1
    assert killed["sweepers"]
    assert killed["probes_a_worker_s"] > 0
    assert killed["whole"] > 0
