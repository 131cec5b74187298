"""Recorded keys and tokens of the identity samples, and the folder that holds the keys."""

import contextlib
import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from unittest import mock

from golden.fronts.configurations import CONFIGURATION, FOLDER, NOW_US, run_command, written_files
from golden.recorded_data import read_inputs, read_results

from stepstream.identity.key_rotation import SigningKeyStore

INPUTS = read_inputs(FOLDER, "identity")
KEY_MATERIAL = "key_material"
NOW_SECONDS = NOW_US // 1_000_000
ALGORITHMS = INPUTS["algorithms"]
MALFORMED_TOKENS = INPUTS["malformed_tokens"]
NO_TOKEN = "none"
CHANGED_SIGNATURE = "changed signature"
RECORDED_TOKEN = "recorded ES256"  # recorded, because signatures of ES256 are random
TOKENS = (NO_TOKEN, *INPUTS["tokens"], *MALFORMED_TOKENS, CHANGED_SIGNATURE, RECORDED_TOKEN)


def issue_token(folder: Path, claims: dict, key: str) -> str:
    """Return a token that one of the folder's keys signs."""
    return SigningKeyStore(folder).issue_token(claims, key)


def make_key_material() -> dict:
    """Make keys and an ES256 token; done only once, because the recorded samples depend on them."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        algorithms = {**ALGORITHMS, "gone": "EdDSA", "past": "EdDSA", "soon": "EdDSA"}
        with mock.patch("time.time", return_value=float(NOW_SECONDS - 3600)):
            for key, algorithm in algorithms.items():
                run_command("keys", "new", "--dir", name, "--alg", algorithm, "--kid", key)
        key_file = json.loads((folder / "keys.json").read_text())
        changes = {
            "gone": {"state": "revoked"},
            "past": {"state": "retiring", "not_after": NOW_SECONDS - 10},
            "soon": {"state": "next", "not_before": NOW_SECONDS + 10},
        }
        key_file["keys"] = [{**row, **changes.get(row["kid"], {})} for row in key_file["keys"]]
        token = issue_token(folder, {**INPUTS["claims"], "sub": "portal"}, "es")
        files = {path.name: path.read_text() for path in sorted(folder.glob("*.pem"))}
        files["keys.json"] = json.dumps(key_file, indent=1) + "\n"
    return {"files": files, "es": token}


def write_keys(folder: Path) -> None:
    """Write the recorded keys to a folder."""
    for name, text in read_results(FOLDER, KEY_MATERIAL)["files"].items():
        (folder / name).write_text(text)


@contextlib.contextmanager
def key_folder() -> Iterator[Path]:
    """Yield a folder with the recorded keys, an operator.toml that names them, and config.json."""
    with written_files(CONFIGURATION) as folder:
        write_keys(folder)
        (folder / "operator.toml").write_text(INPUTS["operator_file"].format(folder=folder))
        yield folder


def token_in(folder: Path, name: str) -> str | None:
    """Return the token of this name, signed by the folder's keys; None for no token."""
    if name == NO_TOKEN:
        return None
    if name == CHANGED_SIGNATURE:
        return token_in(folder, "portal")[:-6] + "AAAAAA"
    if name == RECORDED_TOKEN:
        return read_results(FOLDER, KEY_MATERIAL)["es"]
    if name in MALFORMED_TOKENS:
        return MALFORMED_TOKENS[name]
    token = INPUTS["tokens"][name]
    claims = {**INPUTS["claims"], **token["claims"]}  # null removes a claim
    given = {claim: value for claim, value in claims.items() if value is not None}
    return issue_token(folder, given, token["key"])


def token_text(name: str) -> str | None:
    """Return the token of this name."""
    with key_folder() as folder:
        return token_in(folder, name)


@contextlib.contextmanager
def fixed_time() -> Iterator[None]:
    """Set the commands' clock to NOW_SECONDS, and return zeros in place of random tokens."""
    with (
        mock.patch("time.time", return_value=float(NOW_SECONDS)),
        mock.patch("secrets.token_hex", lambda size: "0" * 2 * size),
    ):
        yield
