"""The width of the policy's lines, and what it may import."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "stepstream"
MAX_LINE_LENGTH = 100
CLOCK_AND_OUTSIDE = {"time", "os", "sys", "io", "datetime", "socket", "threading"}

POLICY = sorted((PACKAGE / "policy").glob("*.py"))
MODEL = sorted((PACKAGE / "model").glob("*.py"))
ADAPTER = sorted((PACKAGE / "simulator_adapter").glob("*.py"))


def roots_imported(path):
    """The first names of all that a module imports, and the program's modules in full."""
    roots, own = set(), set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module]
        roots |= {name.split(".")[0] for name in names}
        own |= {name for name in names if name.startswith("stepstream")}
    return roots, own


def test_the_deploy_file_names_every_policy_file():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(ROOT / name for name in deploy["policy"]) == POLICY


def test_no_line_of_the_policy_is_too_long():
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert max(map(len, lines)) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY + MODEL + ADAPTER, ids=lambda path: path.stem)
def test_only_the_standard_library_and_the_program_are_imported(path):
    roots, _ = roots_imported(path)
    assert all(root in sys.stdlib_module_names or root == "stepstream" for root in roots)


@pytest.mark.parametrize("path", POLICY + MODEL, ids=lambda path: path.stem)
def test_policy_and_model_know_no_clock_no_socket_and_nothing_above_them(path):
    roots, own = roots_imported(path)
    assert not CLOCK_AND_OUTSIDE & roots
    below = ("stepstream.model", "stepstream.policy") if path in POLICY else ("stepstream.model",)
    assert all(name.startswith(below) for name in own)
