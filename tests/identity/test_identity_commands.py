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


def stepstream(*words, **environment):
    return subprocess.run(
        [sys.executable, "-m", "stepstream", *words],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_SECONDS,
    )


def test_a_key_beyond_the_bound_is_one_line_and_leaves_no_private_file(tmp_path):
    # Guards against a private key without a public one, whose id can never be used again.
    store = SigningKeyStore(tmp_path)
    for number in range(MAX_KEYS):
        store.create_key("EdDSA", f"k{number}", KeyState.ACTIVE, 0)
    done = stepstream("keys", "new", "--dir", str(tmp_path), "--kid", "more")
    assert done.returncode == 2
    assert done.stderr.splitlines() == [f"stepstream: {store.key_file}: keys: more than {MAX_KEYS}"]
    assert not store.private_key_file("more").exists()


def test_explain_without_its_packages_is_one_line(tmp_path):
    # Guards against a traceback where only the operator's packages are installed.
    (tmp_path / "jwt.py").write_text("raise ModuleNotFoundError(name='jwt')")
    section = '[identity]\nissuer = "i"\naudience = "a"\nkeys = "k"\n'
    (tmp_path / "operator.toml").write_text(section)
    (tmp_path / "config.json").write_text(json.dumps(CONFIGURATION))
    done = stepstream(
        *("identity", "explain", "--operator", str(tmp_path / "operator.toml")),
        *("--token", "t", "--class", "revalue"),
        EDGE_CONFIG=str(tmp_path / "config.json"),
        PYTHONPATH=str(tmp_path),
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert "needs the package jwt: pip install .[identity]" in done.stderr


def test_keys_and_tokens_from_the_command_line(tmp_path):
    folder = str(tmp_path / "keys")
    kid = stepstream("keys", "new", "--dir", folder).stdout.strip()
    private = tmp_path / "keys" / f"{kid}.pem"
    assert private.stat().st_mode & 0o777 == 0o600
    assert "no next key" in stepstream("keys", "rotate", "--dir", folder).stderr
    stepstream("keys", "new", "--dir", folder, "--state", "next", "--alg", "ES256")
    assert "may not know it" in stepstream("keys", "rotate", "--dir", folder).stderr
    assert "signs from now on" in stepstream("keys", "rotate", "--dir", folder, "--early").stdout
    states = [
        line.split()[2] for line in stepstream("keys", "list", "--dir", folder).stdout.splitlines()
    ]
    assert states == ["retiring", "active", "next"]
    claims = (
        "--subject",
        "portal",
        "--issuer",
        ISSUER_AND_AUDIENCE["iss"],
        "--audience",
        ISSUER_AND_AUDIENCE["aud"],
    )
    token = stepstream("token", "issue", "--dir", folder, *claims).stdout.strip()
    inspected = json.loads(stepstream("token", "inspect", token).stdout)
    assert inspected["header"]["alg"] == "ES256"
    assert inspected["claims"]["sub"] == "portal"
    assert inspected["verified"] is False
    assert stepstream("token", "inspect", "nonsense").returncode == 2
    assert "is revoked" in stepstream("keys", "revoke", kid, "--dir", folder).stdout
    assert not private.exists()
    assert stepstream("keys", "revoke", "who", "--dir", folder).returncode == 2


@pytest.mark.parametrize(("position", "member"), [(0, "state"), (1, "not_before")])
def test_a_rotation_takes_rows_without_their_optional_members(tmp_path, position, member):
    store = SigningKeyStore(tmp_path)
    store.create_key("EdDSA", "first", KeyState.ACTIVE, 0)
    store.create_key("EdDSA", "second", KeyState.NEXT, 0)
    jwks = store.load_jwks()
    del jwks[position][member]
    store.key_file.write_text(json.dumps({"keys": jwks}))
    rotated = stepstream("keys", "rotate", "--dir", str(tmp_path))
    assert (rotated.returncode, rotated.stderr) == (0, "")
    assert [jwk["state"] for jwk in store.load_jwks()] == ["retiring", "active", "next"]


def test_explain_prints_the_decision_and_its_rule(program):
    def explain(token, *more):
        words = ("--operator", str(program.operator_file), "--token", token, "--class", *more)
        return stepstream("identity", "explain", *words, EDGE_CONFIG=str(program.config_file))

    good = explain(program.token(), "revalue")
    assert good.returncode == 0
    assert "allowed" in good.stdout
    assert "tenant: tatra-invest" in good.stdout
    bad = explain(program.token(), "nav-publish", "--tenant", "tatra-invest")
    assert bad.returncode == 1
    assert "class_not_allowed\nrule: identity.caller portal: classes" in bad.stdout
    assert "not_a_token" in explain("x", "revalue").stdout
