"""KNOWN-RED.txt lists tests that exist; CI leaves out only these tests and prints the list."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
LIST_FILE = ROOT / "KNOWN-RED.txt"
ENTRY = re.compile(
    r"test: (?P<file>tests/[\w/]+\.py)::(?P<name>test_\w+)\n"
    r"command: python -m pytest (?P=file)::(?P=name)   \(seed: \w+\)\n"
    r"seen: .+\n"
    r"issue: .+"
)


def entries():
    """Return the file and the function of each entry; none if there is no KNOWN-RED.txt."""
    text = LIST_FILE.read_text() if LIST_FILE.exists() else ""
    found = [ENTRY.fullmatch(part) for part in text.strip().split("\n\n") if part]
    assert all(found), "an entry does not have the required form"
    return [(match["file"], match["name"]) for match in found]


def function_names(file):
    """Return the names of a module's functions."""
    return [
        node.name
        for node in ast.parse((ROOT / file).read_text()).body
        if isinstance(node, ast.FunctionDef)
    ]


def test_each_listed_test_exists_and_its_name_begins_no_other():
    for file, name in entries():
        # pytest's --deselect leaves out each test whose id begins with the given text.
        assert [each for each in function_names(file) if each.startswith(name)] == [name]


def test_no_test_is_listed_twice():
    assert len(set(entries())) == len(entries())


def test_every_pytest_run_of_ci_leaves_out_the_listed_tests_and_ci_prints_the_list():
    script = (ROOT / ".ci" / "run").read_text()
    runs = [line for line in script.splitlines() if "python -m pytest" in line]
    assert runs
    assert all('"${known_red[@]}"' in line for line in runs)
    assert "sed -n 's/^test: *//p' KNOWN-RED.txt" in script
    assert "cat KNOWN-RED.txt" in script
