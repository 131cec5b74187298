"""Configurations of the golden samples, the files that hold them, and the program's commands."""

import contextlib
import copy
import io
import json
import os
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

from golden.recorded_data import read_inputs

from stepstream import cli
from stepstream.config.limits import Limits
from stepstream.config.node_config import config_from

Sample = Callable[[], object]  # returns a value of JSON

FOLDER = Path(__file__).resolve().parent
INPUTS = read_inputs(FOLDER, "config")
CONFIGURATION = INPUTS["configuration"]
LIMITS = Limits()
NOW_US = 1_900_000_000_000_000
ENVIRONMENT_PREFIXES = ("EDGE_", "STEPSTREAM_")


def with_value(path: str, value: object) -> dict:
    """Return the configuration with one key replaced; in `services.0.worth`, 0 is a list index."""
    configuration = copy.deepcopy(CONFIGURATION)
    *parents, last = path.split(".")
    section = configuration
    for name in parents:
        is_list = isinstance(section, list)
        section = section[int(name)] if is_list else section.setdefault(name, {})
    section[last] = value
    return configuration


def module_settings(configuration: dict = CONFIGURATION) -> object:
    """Return the policy settings as a deployment's file gives them."""
    return config_from(configuration, {}).settings


def environment_without_configuration() -> dict[str, str]:
    """Return this process's environment without the variables that the program reads."""
    return {
        name: text for name, text in os.environ.items() if not name.startswith(ENVIRONMENT_PREFIXES)
    }


def run_command(*words: str, **environment: str) -> dict:
    """Run a command within this process; return its exit code and its output."""
    out = io.StringIO()
    err = io.StringIO()
    variables = {**environment_without_configuration(), "COLUMNS": "160", **environment}
    with (
        mock.patch.dict(os.environ, variables, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            code = cli.main(list(words))
        except SystemExit as end:
            code = end.code
            if isinstance(code, str):  # like the interpreter, print the text and exit with 1
                print(code, file=sys.stderr)
                code = 1
    return {"code": code or 0, "out": out.getvalue(), "err": err.getvalue()}


def without_folder(result: dict, folder: Path | str) -> dict:
    """Replace a temporary folder's name in a command's output."""
    for stream in ("out", "err"):
        result[stream] = result[stream].replace(str(folder), "FOLDER")
    return result


@contextlib.contextmanager
def written_files(configuration: object = None, operator: str | None = None) -> Iterator[Path]:
    """Yield a folder with config.json (a text unchanged, else as JSON) and operator.toml."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if configuration is not None:
            is_text = isinstance(configuration, str)
            text = configuration if is_text else json.dumps(configuration)
            (folder / "config.json").write_text(text, encoding="utf-8")
        if operator is not None:
            (folder / "operator.toml").write_text(operator, encoding="utf-8")
        yield folder
