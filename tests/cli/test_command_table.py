"""The table of commands, what each loads, and how a command's errors end the process."""

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
HEAVY = ("msgspec", "structlog", "cryptography", "jwt", "rich", "numpy", "matplotlib")

# A command line in a process that finds no such package.
NOT_INSTALLED = """
import sys

class Absent:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            raise ModuleNotFoundError(name, name=name)

sys.meta_path.insert(0, Absent())
from stepstream.cli import main
sys.exit(main({words!r}))
"""


def test_the_table_has_each_command_of_the_usage():
    usage = cli.__doc__.partition("Usage:")[2].partition("Commands:")[0]
    named = set(re.findall(r"^  stepstream ([a-z-]+)", usage, re.MULTILINE))
    assert named | {"lease"} == set(ALL_COMMANDS)


@pytest.mark.parametrize("module", sorted(set(ALL_COMMANDS.values())))
def test_each_command_has_a_module_that_runs_it(module):
    assert callable(importlib.import_module(module).run)


@pytest.mark.parametrize("module", sorted(set(ALL_COMMANDS.values())))
def test_a_command_loads_no_optional_package_before_it_is_run(module):
    code = (
        f"import sys, stepstream.cli, {module}\n"
        f"print([m for m in sys.modules if m.startswith({HEAVY!r})])\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("words", "module", "line"),
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
def test_a_missing_package_is_one_line_and_a_bad_exit(words, module, line):
    code = NOT_INSTALLED.format(module=module, words=words)
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 2
    assert run.stderr == f"stepstream: {line.replace(': .[', ': pip install .[')}\n"


@pytest.mark.parametrize(
    ("words", "line"),
    [
        (["demo", "--seconds", "x"], "demo: --seconds=x is not a whole number"),
        (["demo", "--seed", "1234567890"], "demo: --seed=1234567890 is not a whole number"),
        (["lab", "fleet", "--members", "-"], "lab: --members=- is not a whole number"),
        (["fleet", "members", "--at", "nowhere"], "--at=nowhere is not HOST:PORT"),
        (["lease", "list", "--at", "nowhere"], "--at=nowhere is not HOST:PORT"),
    ],
    ids=case_id,
)
def test_a_faulty_option_is_one_line_and_a_bad_exit(words, line, capsys):
    assert cli.main(words) == 2
    assert capsys.readouterr().err == f"stepstream: {line}\n"


def test_an_interrupt_ends_a_command_that_watches_without_a_fault(monkeypatch):
    def interrupted(_words):
        raise KeyboardInterrupt

    monkeypatch.setattr("stepstream.membership.commands.run", interrupted)
    assert cli.main(["fleet", "watch", "--at", "a:1"]) == 0


def test_only_the_named_kinds_become_command_errors():
    with (
        pytest.raises(CommandError, match=r"^where: lost$") as caught,
        as_command_error(OSError, prefix="where: "),
    ):
        raise ConnectionError("lost")
    assert caught.value.exit_code == 2
    with pytest.raises(ValueError, match="other"), as_command_error(OSError):
        raise ValueError("other")


def test_a_fault_inside_an_optional_part_is_not_taken_for_a_missing_package():
    with pytest.raises(ImportError, match="broken"), optional_packages("this", extra="lab"):
        raise ImportError("broken")
