"""KNOWN-RED.txt lists tests that exist; CI leaves out only these tests and prints the list."""

import ast
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
LIST_FILE = ROOT / "KNOWN-RED.txt"
ENTRY = re.compile(
    r"test: (?P<id>(?P<file>tests/[\w/]+\.py)::(?P<name>test_\w+)(?P<case>\[[^\]\n]+\])?)\n"
    r"command: python -m pytest '?(?P=id)'?   \(seed: \w+\)\n"
    r"seen: .+\n"
    r"issue: .+"
)


def entries():
    """Return the match of each entry; none if there is no KNOWN-RED.txt."""
    text = LIST_FILE.read_text() if LIST_FILE.exists() else ""
    found = [ENTRY.fullmatch(part) for part in text.strip().split("\n\n") if part]
    assert all(found), "an entry does not have the required form"
    return found


def function_names(file):
    """Return the names of a module's functions."""
    return [
        node.name
        for node in ast.parse((ROOT / file).read_text()).body
        if isinstance(node, ast.FunctionDef)
    ]


def collected_ids(file):
    """Return the ids of a module's tests, one for each case of a parametrized test."""
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--collect-only", "-q"]
    run = subprocess.run([*command, file], cwd=ROOT, capture_output=True, text=True, check=True)
    return run.stdout.splitlines()


def test_each_listed_test_exists_and_its_name_begins_no_other():
    for entry in entries():
        file, name = entry["file"], entry["name"]
        # pytest's --deselect leaves out each test whose id begins with the given text.
        assert [each for each in function_names(file) if each.startswith(name)] == [name]


def test_each_listed_case_of_a_parametrized_test_exists_and_its_id_begins_no_other():
    for entry in entries():
        if entry["case"]:
            ids = collected_ids(entry["file"])
            assert [each for each in ids if each.startswith(entry["id"])] == [entry["id"]]


def test_no_test_is_listed_twice():
    ids = [entry["id"] for entry in entries()]
    assert len(set(ids)) == len(ids)


def test_every_pytest_run_of_ci_leaves_out_the_listed_tests_and_ci_prints_the_list():
    script = (ROOT / ".ci" / "run").read_text()
    runs = [line for line in script.splitlines() if "python -m pytest" in line]
    assert runs
    assert all('"${known_red[@]}"' in line for line in runs)
    assert "sed -n 's/^test: *//p' KNOWN-RED.txt" in script
    assert "cat KNOWN-RED.txt" in script
