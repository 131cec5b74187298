"""KNOWN-RED.txt lists tests that exist, and CI passes over these alone and prints them."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
LIST = ROOT / "KNOWN-RED.txt"
ENTRY = re.compile(
    r"test: (?P<file>tests/[\w/]+\.py)::(?P<name>test_\w+)\n"
    r"command: python -m pytest (?P=file)::(?P=name)   \(seed: \w+\)\n"
    r"seen: .+\n"
    r"issue: .+"
)


def entries():
    """The file and the function of each entry; no entry is left where there is no list."""
    text = LIST.read_text() if LIST.exists() else ""
    found = [ENTRY.fullmatch(part) for part in text.strip().split("\n\n") if part]
    assert all(found), "an entry has another form"
    return [(match["file"], match["name"]) for match in found]


def functions_of(file):
    """The names of a module's test functions."""
    return [
        node.name
        for node in ast.parse((ROOT / file).read_text()).body
        if isinstance(node, ast.FunctionDef)
    ]


def test_each_known_red_test_exists_and_stands_for_no_other():
    for file, name in entries():
        # pytest deselects each test whose id begins so.
        assert [each for each in functions_of(file) if each.startswith(name)] == [name]


def test_no_known_red_test_is_listed_twice():
    assert len(set(entries())) == len(entries())


def test_every_run_of_ci_leaves_out_the_known_red_tests_and_it_prints_them():
    script = (ROOT / ".ci" / "run").read_text()
    runs = [line for line in script.splitlines() if "python -m pytest" in line]
    assert runs
    assert all('"${known_red[@]}"' in line for line in runs)
    assert "sed -n 's/^test: *//p' KNOWN-RED.txt" in script
    assert "cat KNOWN-RED.txt" in script
