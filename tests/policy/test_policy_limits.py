"""The length of the policy's lines, and the modules that policy, model and adapter may import."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "stepstream"
MAX_LINE_LENGTH = 100
FORBIDDEN_MODULES = {"time", "os", "sys", "io", "datetime", "socket", "threading"}

POLICY = sorted((PACKAGE / "policy").glob("*.py"))
MODEL = sorted((PACKAGE / "model").glob("*.py"))
ADAPTER = sorted((PACKAGE / "simulator_adapter").glob("*.py"))


def imported_modules(path):
    """Return the top-level names that a module imports, and the full names of our own modules."""
    top_level_names, own_modules = set(), set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module]
        top_level_names |= {name.split(".")[0] for name in names}
        own_modules |= {name for name in names if name.startswith("stepstream")}
    return top_level_names, own_modules


def test_the_deploy_file_names_every_policy_file():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(ROOT / name for name in deploy["policy"]) == POLICY


def test_no_line_of_the_policy_is_too_long():
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert max(map(len, lines)) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY + MODEL + ADAPTER, ids=lambda path: path.stem)
def test_only_the_standard_library_and_the_program_are_imported(path):
    top_level_names, _ = imported_modules(path)
    assert all(name in sys.stdlib_module_names or name == "stepstream" for name in top_level_names)


@pytest.mark.parametrize("path", POLICY + MODEL, ids=lambda path: path.stem)
def test_policy_and_model_import_no_clock_no_socket_and_no_higher_package(path):
    top_level_names, own_modules = imported_modules(path)
    assert not FORBIDDEN_MODULES & top_level_names
    allowed_packages = (
        ("stepstream.model", "stepstream.policy") if path in POLICY else ("stepstream.model",)
    )
    assert all(name.startswith(allowed_packages) for name in own_modules)
