"""The table of commands, the packages that each loads, and how errors end a command."""

import importlib
import re
import subprocess
import sys
from pathlib import Path

import pytest

from stepstream import cli
from stepstream.cli.errors import CommandError, as_command_error, optional_packages
from tests.case_ids import case_id

ROOT = Path(__file__).parents[2]
ALL_COMMANDS = {**cli.COMMANDS, **cli.COMMANDS_WITH_OWN_USAGE}
OPTIONAL_PACKAGES = ("msgspec", "structlog", "cryptography", "jwt", "rich", "numpy", "matplotlib")

# A program that runs a command line as if one package were not installed.
RUN_WITHOUT_PACKAGE = """
import sys

class Absent:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            raise ModuleNotFoundError(name, name=name)

sys.meta_path.insert(0, Absent())
from stepstream.cli import main
sys.exit(main({command_line!r}))
"""


def test_the_command_table_has_each_command_of_the_usage():
    usage = cli.__doc__.partition("Usage:")[2].partition("Commands:")[0]
    commands_of_usage = set(re.findall(r"^  stepstream ([a-z-]+)", usage, re.MULTILINE))
    assert commands_of_usage | {"lease"} == set(ALL_COMMANDS)


@pytest.mark.parametrize("module", sorted(set(ALL_COMMANDS.values())))
def test_each_command_module_has_a_run_function(module):
    assert callable(importlib.import_module(module).run)


@pytest.mark.parametrize("module", sorted(set(ALL_COMMANDS.values())))
def test_a_command_loads_no_optional_package_before_it_is_run(module):
    code = (
        f"import sys, stepstream.cli, {module}\n"
        f"print([m for m in sys.modules if m.startswith({OPTIONAL_PACKAGES!r})])\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("command_line", "module", "line"),
    [
        (["fleet", "members", "--at", "a:1"], "rich", "fleet needs the package rich: .[fleet]"),
        (["lease", "list", "--at", "a:1"], "rich", "lease needs the package rich: .[fleet]"),
        (["keys", "list", "--dir", "d"], "jwt", "this command needs the package jwt: .[identity]"),
        (["token", "inspect", "t"], "jwt", "this command needs the package jwt: .[identity]"),
        (["demo"], "rich", "demo needs the package rich: .[lab]"),
        (["lab", "fleet"], "rich", "lab needs the package rich: .[lab]"),
    ],
    ids=case_id,
)
def test_a_missing_package_prints_one_line_and_exits_with_2(command_line, module, line):
    code = RUN_WITHOUT_PACKAGE.format(module=module, command_line=command_line)
    process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert process.returncode == 2
    assert process.stderr == f"stepstream: {line.replace(': .[', ': pip install .[')}\n"


@pytest.mark.parametrize(
    ("command_line", "line"),
    [
        (["demo", "--seconds", "x"], "demo: --seconds=x is not a whole number"),
        (["demo", "--seed", "1234567890"], "demo: --seed=1234567890 is not a whole number"),
        (["lab", "fleet", "--members", "-"], "lab: --members=- is not a whole number"),
        (["fleet", "members", "--at", "nowhere"], "--at=nowhere is not HOST:PORT"),
        (["lease", "list", "--at", "nowhere"], "--at=nowhere is not HOST:PORT"),
    ],
    ids=case_id,
)
def test_a_faulty_option_prints_one_line_and_exits_with_2(command_line, line, capsys):
    assert cli.main(command_line) == 2
    assert capsys.readouterr().err == f"stepstream: {line}\n"


def test_an_interrupt_ends_fleet_watch_with_exit_code_0(monkeypatch):
    def interrupted(_command_line):
        raise KeyboardInterrupt

    monkeypatch.setattr("stepstream.membership.commands.run", interrupted)
    assert cli.main(["fleet", "watch", "--at", "a:1"]) == 0


def test_only_errors_of_the_given_types_become_command_errors():
    with (
        pytest.raises(CommandError, match=r"^where: lost$") as caught,
        as_command_error(OSError, prefix="where: "),
    ):
        raise ConnectionError("lost")
    assert caught.value.exit_code == 2
    with pytest.raises(ValueError, match="other"), as_command_error(OSError):
        raise ValueError("other")


def test_an_import_error_of_another_kind_is_not_reported_as_a_missing_package():
    with pytest.raises(ImportError, match="broken"), optional_packages("this", extra="lab"):
        raise ImportError("broken")
