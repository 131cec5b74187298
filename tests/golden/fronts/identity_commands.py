"""Samples of the commands on keys and tokens: `keys`, `token` and `identity explain`."""

import re
import tempfile
from pathlib import Path

from golden.fronts.configurations import Sample, run_command, without_folder
from golden.fronts.identity_keys import (
    ALGORITHMS,
    INPUTS,
    NO_TOKEN,
    TOKENS,
    fixed_time,
    key_folder,
    token_in,
    token_text,
)

KEY_VALUE = re.compile(r'"(x|y|n)":( ?)"([^"]*)"')
UNKNOWN_KEY = "nobody"


def run_on_new_folder(*words: str, preparation: list[list[str]] = ()) -> dict:
    """Run a `keys` or `token` command on a folder of its own; return the files there as well.

    Key material is random, so its text is replaced by its length.
    """
    with tempfile.TemporaryDirectory() as name, fixed_time():
        for earlier in preparation:
            run_command(*earlier, "--dir", name)
        result = run_command(*words, "--dir", name)
        result["files"] = {path.name: file_form(path) for path in sorted(Path(name).iterdir())}
        return without_folder(result, name)


def file_form(path: Path) -> dict:
    """Return a file's mode, and its text without the random key material."""
    text = path.read_text()
    form: object = KEY_VALUE.sub(
        lambda match: f'"{match[1]}":{match[2]}{len(match[3])}',
        text,
    )
    if path.suffix == ".pem":
        lines = text.splitlines()
        form = [lines[0], lines[-1], max(map(len, lines[1:-1])), text.endswith("\n")]
    return {"mode": oct(path.stat().st_mode), "form": form}


def run_on_recorded_keys(*words: str) -> dict:
    """Run a command on the recorded keys."""
    with key_folder() as folder, fixed_time():
        return without_folder(run_command(*words, "--dir", str(folder)), folder)


def issue_by_command(key: str) -> dict:
    """Run `token issue`; leave the signature out for ES256, whose signatures are random."""
    words = [word.replace("KEY", key) for word in INPUTS["issue_command"]]
    result = run_on_recorded_keys(*words)
    if key == "es":
        result["out"] = result["out"].rpartition(".")[0]
    return result


def explain(token: str, job_class: str, tenant: str | None, key_file: str | None = None) -> dict:
    """Run `identity explain` on a token; `key_file` replaces the text of keys.json."""
    with key_folder() as folder, fixed_time():
        text = token_in(folder, token)
        if key_file is not None:
            (folder / "keys.json").write_text(key_file)
        words = ["identity", "explain", "--operator", str(folder / "operator.toml")]
        words += ["--token", text, "--class", job_class]
        if tenant is not None:
            words += ["--tenant", tenant]
        result = run_command(*words, EDGE_CONFIG=str(folder / "config.json"))
        return without_folder(result, folder)


def inspect(token: str) -> dict:
    """Run `token inspect`."""
    return run_command("token", "inspect", token_text(token))


def key_command_samples() -> dict[str, Sample]:
    """Return the samples of `keys` and of `token`."""
    samples: dict[str, Sample] = {
        "keys/list the recorded": lambda: run_on_recorded_keys("keys", "list"),
    }
    for algorithm in ALGORITHMS.values():
        words = "keys", "new", "--kid", "k1", "--alg", algorithm
        samples[f"keys/new {algorithm}"] = lambda words=words: run_on_new_folder(*words)
    for name, command in INPUTS["key_commands"].items():
        samples[f"keys/{name}"] = lambda command=command: run_on_new_folder(
            *command["words"], preparation=command["preparation"]
        )
    for key in (*ALGORITHMS, "gone", UNKNOWN_KEY):
        samples[f"token/issue {key}"] = lambda key=key: issue_by_command(key)
    for name in INPUTS["inspected_tokens"]:
        samples[f"token/inspect {name}"] = lambda name=name: inspect(name)
    for name in INPUTS["tokens"]:
        samples[f"token/text/{name}"] = lambda name=name: token_text(name)
    return samples


def explain_samples() -> dict[str, Sample]:
    """Return the samples of `identity explain`."""
    samples: dict[str, Sample] = {
        "explain/portal/another class": lambda: explain("portal", "once", None),
        "explain/portal/another tenant": lambda: explain("portal", "revalue", "hron-asset"),
        "explain/publisher/method": lambda: explain("publisher", "nav-publish", "hron-asset"),
    }
    for name in TOKENS:
        if name == NO_TOKEN:
            continue
        samples[f"explain/{name}"] = lambda name=name: explain(name, "revalue", "tatra-invest")
        samples[f"explain/{name}/no tenant"] = lambda name=name: explain(name, "revalue", None)
    for text in INPUTS["key_files"]:
        case = "portal", "revalue", None, text
        samples[f"explain/keys.json {text}"] = lambda case=case: explain(*case)
    return samples
