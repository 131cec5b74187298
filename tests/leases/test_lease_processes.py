"""Real dispatchers that contend for leases, a ledger that they act at, and faults while they hold them.

The ledger is the witness: whatever befell the processes, its tokens never fall and no two holders' acts
overlap. Waits end on what it and the admin listeners say, within generous bounds.
"""

import json
import os
import signal
import subprocess
import sys
import time

import pytest
from config_helpers import CONFIG
from node_helpers import ROOT, free_port

from stepstream.lab import ledger
from stepstream.lab.fleet_day import play_swept
from stepstream.lab.lease_rig import TROUBLES, TTL, LeaseRig, trouble
from stepstream.leases.commands import run

PATIENCE = 40.0


@pytest.fixture(scope="module")
def rig():
    with LeaseRig(5, 3, seed=1) as made:
        made.wait_for(made.holder, PATIENCE, "a first holder")
        yield made
        assert not ledger.faults(made.rows())


@pytest.fixture
def fleet(rig):
    rig.all_whole()
    rig.wait_for(lambda: all(x.fleet() for x in rig.members.values()), PATIENCE, "all up")
    rig.wait_for(rig.holder, PATIENCE, "a holder")
    return rig


@pytest.mark.parametrize("which", TROUBLES, ids=lambda x: x.name)
def test_one_holder_at_a_time_whatever_befalls_it_and_another_after_it(fleet, which):
    before = len(fleet.rows())
    told = trouble(fleet, which, PATIENCE)
    rows = fleet.rows()
    assert not ledger.faults(rows)
    assert len(rows) > before
    # Every time without an act is explained: it begins or ends with the fault, or is as short as a handover.
    ends = [row["at"] for row in rows[before:] if row["what"] == "end"]
    for one, other in zip(ends, ends[1:], strict=False):
        meets = one < told["whole"] + TTL and other > told["begun"]
        assert other - one < PATIENCE / 4 or meets, (one, other, told)


@pytest.mark.parametrize("seed", range(6))
def test_faults_that_overlap(fleet, seed):
    """Two and three of them one into the other, drawn by the seed."""
    fleet.draw.seed(seed)
    for which in fleet.draw.sample(TROUBLES, 2):
        which.begin(fleet, fleet.holder() or "n0")
        time.sleep(fleet.draw.uniform(0.1, 1.0) * TTL)
    trouble(fleet, fleet.draw.choice(TROUBLES), PATIENCE)
    assert not ledger.faults(fleet.rows())


def test_a_ledger_with_two_holders_is_noticed(tmp_path):
    rows = [
        {"at": 1.0, "what": "begin", "token": 5, "holder": "a", "act": 0},
        {"at": 2.0, "what": "begin", "token": 7, "holder": "b", "act": 1},
        {"at": 3.0, "what": "end", "token": 5, "holder": "a", "act": 0},
        {"at": 4.0, "what": "end", "token": 7, "holder": "b", "act": 1},
        {"at": 5.0, "what": "begin", "token": 7, "holder": "c", "act": 2},
    ]
    found = " / ".join(ledger.faults(rows))
    assert "token 5 taken after 7" in found
    assert "of b and of c" in found
    assert "a and b overlap" in found
    fair = [
        {**row, "at": at}
        for row, at in zip((rows[0], rows[2], rows[1], rows[3]), (1, 2, 3, 4), strict=True)
    ]
    assert not ledger.faults(fair)


# -- programs outside ---------------------------------------------------------------------------------------


def lease_run(fleet, name, command, *options, at="n4"):
    words = [
        sys.executable,
        "-m",
        "stepstream",
        "lease",
        "run",
        name,
        "--at",
        fleet.members[at].admin,
    ]
    return subprocess.Popen(
        [*words, *options, "--", *command], cwd=ROOT, stderr=subprocess.PIPE, text=True
    )


SHELL = ["sh", "-c"]


def test_a_command_runs_under_its_lease_and_its_code_comes_back(fleet, tmp_path):
    told = tmp_path / "told"
    script = f'echo "$STEPSTREAM_LEASE $STEPSTREAM_FENCE" > {told}; exit 7'
    first = lease_run(fleet, "job", [*SHELL, script], "--ttl", "1.2")
    assert first.wait(PATIENCE) == 7
    name, fence = told.read_text().split()
    assert name == "job"
    assert int(fence) > 0
    second = lease_run(fleet, "job", [*SHELL, script], "--ttl", "1.2", at="n0")
    begun = time.monotonic()
    assert second.wait(PATIENCE) == 7
    assert time.monotonic() - begun < PATIENCE / 2
    assert int(told.read_text().split()[1]) > int(fence)
    missing = lease_run(fleet, "job", ["no-such-program"], "--ttl", "1.2")
    assert missing.wait(PATIENCE) == 127


def test_of_two_commands_one_waits_and_both_have_their_turn(fleet, tmp_path):
    log = tmp_path / "log"
    script = f"echo begin >> {log}; sleep 0.5; echo end >> {log}"
    jobs = [
        lease_run(fleet, "turns", [*SHELL, script], "--ttl", "1.2", at=f"n{k}") for k in range(3)
    ]
    assert [job.wait(PATIENCE) for job in jobs] == [0, 0, 0]
    assert log.read_text().split() == ["begin", "end"] * 3


def test_a_command_that_ignores_sigterm_is_killed_before_the_lease_can_be_anothers(fleet, tmp_path):
    """Its dispatcher is killed: the command is ended by its own clock, then another one begins."""
    log = tmp_path / "log"
    beat = f"trap '' TERM; while true; do echo first >> {log}; sleep 0.02; done"
    first = lease_run(fleet, "beat", [*SHELL, beat], "--ttl", "1.2", at="n3")
    fleet.wait_for(lambda: log.exists(), PATIENCE, "the first one's beat")
    fleet.kill("n3")
    second = lease_run(fleet, "beat", [*SHELL, f"echo second >> {log}"], "--ttl", "1.2", at="n4")
    assert first.wait(PATIENCE) == 69
    assert "lost" in first.stderr.read()
    assert second.wait(PATIENCE) == 0
    lines = log.read_text().split()
    assert lines[-1] == "second"
    assert lines.count("second") == 1


def test_an_operator_takes_a_lease_back_and_sigterm_of_the_dispatcher_does(fleet, capsys):
    for end in ("release", "term"):
        job = lease_run(fleet, "long", ["sleep", "60"], "--ttl", "1.2", at="n2")
        at = fleet.members["n2"].admin

        def held(at=at):
            assert run(["lease", "list", "--at", at, "--json"]) == 0
            rows = json.loads(capsys.readouterr().out)
            return [r for r in rows if r["name"] == "long" and r["holder"].startswith("n2@")]

        fleet.wait_for(held, PATIENCE, "the holder")
        if end == "release":
            assert run(["lease", "show", "long", "--at", at]) == 0
            assert "held" in capsys.readouterr().out
            assert run(["lease", "release", "long", "--at", at]) == 0
            assert "told to end" in capsys.readouterr().out
        else:
            fleet.members["n2"].process.send_signal(signal.SIGTERM)
        assert job.wait(PATIENCE) == 69
    assert run(["lease", "show", "nobody", "--at", fleet.members["n0"].admin]) == 1
    assert run(["lease", "list", "--at", f"127.0.0.1:{free_port()}"]) == 2


def test_without_a_quorum_it_says_how_many_voters_answered_and_waits_or_gives_up(fleet):
    for name in ("n0", "n1"):
        fleet.kill(name)
    job = lease_run(fleet, "none", ["true"], "--ttl", "1.2", "--wait", "3")
    path = "/leases/none/want?session=abcdefgh&ttl_ms=1200&act_ms=300"

    def refused():
        status, told = fleet.members["n4"].call(path, "PUT")
        return status == 503 and told["error"] == "no quorum: 1 of 3 voters answered, not n0, n1"

    fleet.wait_for(refused, PATIENCE, "the 503")
    assert job.wait(PATIENCE) == 75
    assert "of 3 voters answered" in job.stderr.read()
    time.sleep(TTL)  # who asks no more wants it no more
    assert fleet.members["n4"].call("/leases/none/release?session=abcdefgh", "PUT")[0] == 404


@pytest.mark.parametrize(
    ("method", "path", "status", "words"),
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
def test_a_bad_call_is_a_4xx_that_names_what_is_wrong(fleet, method, path, status, words):
    got, told = fleet.members["n1"].call(path, method)
    assert got == status
    assert words in json.dumps(told)


@pytest.mark.parametrize(
    "words",
    [["--ttl", "0.2"], ["--ttl", "x"], ["--ttl", "900"], ["--wait", "-1"]],
    ids=lambda words: words[1],
)
def test_a_bad_lease_run_is_64(fleet, words):
    assert lease_run(fleet, "bad", ["true"], *words).wait(PATIENCE) == 64


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
def test_a_faulty_key_is_one_line_that_names_it(tmp_path, text, key):
    (tmp_path / "operator.toml").write_text(text)
    (tmp_path / "config.json").write_text(
        json.dumps({**CONFIG, "listen": f"127.0.0.1:{free_port()}"})
    )
    done = subprocess.run(
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
        timeout=PATIENCE,
    )
    assert done.returncode == 2
    assert key in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_a_reload_that_would_change_the_voters_is_refused_by_its_key(fleet):
    member = fleet.members["n1"]
    fleet.files(member, more=fleet.more.replace('"n2"]', '"n4"]'))
    member.process.send_signal(signal.SIGHUP)
    line = "leases.voters=('n0', 'n1', 'n4') changes only with a restart"
    fleet.wait_for(lambda: line in member.words(), PATIENCE, "its no")
    fleet.files(member)


def test_one_dispatcher_probes_for_all_and_each_for_itself_once_it_is_gone():
    swept, killed = (play_swept((1, True, 3, 8, harm)) for harm in ("", "kill"))
    assert swept["breaches"] == killed["breaches"] == []
    assert len(swept["sweepers"]) == 1
    assert killed["sweepers"]
    assert killed["probes_a_worker_s"] > 0
    assert killed["whole"] > 0
