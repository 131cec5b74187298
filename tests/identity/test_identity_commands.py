"""The command line: `keys`, `token` and `identity explain`."""

import json
import os
import subprocess
import sys

import pytest

from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import MAX_KEYS, KeyState
from tests.config.configurations import CONFIGURATION
from tests.identity.program import ISSUER_AND_AUDIENCE
from tests.node.dispatcher_process import ROOT
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


def run_stepstream(*words, **environment):
    return subprocess.run(
        [sys.executable, "-m", "stepstream", *words],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_SECONDS,
    )


def test_creating_a_key_beyond_the_maximum_prints_one_line_and_leaves_no_private_key(tmp_path):
    # Guards against a private key that is stored without its public key: the id of this key could
    # never be used again.
    store = SigningKeyStore(tmp_path)
    for number in range(MAX_KEYS):
        store.create_key("EdDSA", f"k{number}", KeyState.ACTIVE, 0)
    result = run_stepstream("keys", "new", "--dir", str(tmp_path), "--kid", "more")
    assert result.returncode == 2
    assert result.stderr.splitlines() == [
        f"stepstream: {store.key_file}: keys: more than {MAX_KEYS}"
    ]
    assert not store.private_key_file("more").exists()


def test_explain_without_the_identity_packages_prints_one_line(tmp_path):
    # Guards against a traceback if the extra `operator` is installed, but `identity` is not.
    (tmp_path / "jwt.py").write_text("raise ModuleNotFoundError(name='jwt')")
    section = '[identity]\nissuer = "i"\naudience = "a"\nkeys = "k"\n'
    (tmp_path / "operator.toml").write_text(section)
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    result = run_stepstream(
        *("identity", "explain", "--operator", str(tmp_path / "operator.toml")),
        *("--token", "t", "--class", "revalue"),
        EDGE_CONFIG=str(tmp_path / "config.json"),
        PYTHONPATH=str(tmp_path),
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "needs the package jwt: pip install .[identity]" in result.stderr


def test_commands_create_rotate_list_and_revoke_keys_and_issue_and_inspect_tokens(tmp_path):
    folder = str(tmp_path / "keys")
    kid = run_stepstream("keys", "new", "--dir", folder).stdout.strip()
    private_key_file = tmp_path / "keys" / f"{kid}.pem"
    assert private_key_file.stat().st_mode & 0o777 == 0o600
    assert "no next key" in run_stepstream("keys", "rotate", "--dir", folder).stderr
    run_stepstream("keys", "new", "--dir", folder, "--state", "next", "--alg", "ES256")
    assert "may not know it" in run_stepstream("keys", "rotate", "--dir", folder).stderr
    assert (
        "signs from now on" in run_stepstream("keys", "rotate", "--dir", folder, "--early").stdout
    )
    states = [
        line.split()[2]
        for line in run_stepstream("keys", "list", "--dir", folder).stdout.splitlines()
    ]
    assert states == ["retiring", "active", "next"]
    claim_options = (
        "--subject",
        "portal",
        "--issuer",
        ISSUER_AND_AUDIENCE["iss"],
        "--audience",
        ISSUER_AND_AUDIENCE["aud"],
    )
    token = run_stepstream("token", "issue", "--dir", folder, *claim_options).stdout.strip()
    inspected = json.loads(run_stepstream("token", "inspect", token).stdout)
    assert inspected["header"]["alg"] == "ES256"
    assert inspected["claims"]["sub"] == "portal"
    assert inspected["verified"] is False
    assert run_stepstream("token", "inspect", "nonsense").returncode == 2
    assert "is revoked" in run_stepstream("keys", "revoke", kid, "--dir", folder).stdout
    assert not private_key_file.exists()
    assert run_stepstream("keys", "revoke", "who", "--dir", folder).returncode == 2


@pytest.mark.parametrize(("position", "member"), [(0, "state"), (1, "not_before")])
def test_a_rotation_accepts_keys_without_their_optional_members(tmp_path, position, member):
    store = SigningKeyStore(tmp_path)
    store.create_key("EdDSA", "first", KeyState.ACTIVE, 0)
    store.create_key("EdDSA", "second", KeyState.NEXT, 0)
    jwks = store.load_jwks()
    del jwks[position][member]
    store.key_file.write_text(json.dumps({"keys": jwks}))
    rotated = run_stepstream("keys", "rotate", "--dir", str(tmp_path))
    assert (rotated.returncode, rotated.stderr) == (0, "")
    assert [jwk["state"] for jwk in store.load_jwks()] == ["retiring", "active", "next"]


def test_explain_prints_the_decision_and_its_rule(program):
    def explain(token, *class_and_options):
        options = (
            "--operator",
            str(program.operator_file),
            "--token",
            token,
            "--class",
            *class_and_options,
        )
        return run_stepstream("identity", "explain", *options, EDGE_CONFIG=str(program.config_file))

    allowed = explain(program.issue_token(), "revalue")
    assert allowed.returncode == 0
    assert "allowed" in allowed.stdout
    assert "tenant: tatra-invest" in allowed.stdout
    denied = explain(program.issue_token(), "nav-publish", "--tenant", "tatra-invest")
    assert denied.returncode == 1
    assert "class_not_allowed\nrule: identity.caller portal: classes" in denied.stdout
    assert "not_a_token" in explain("x", "revalue").stdout
