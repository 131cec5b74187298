"""docs/decisions.md names only functions, constants (with their values) and tests that exist."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "stepstream"
PAGE = (ROOT / "docs" / "decisions.md").read_text()
COLUMNS = ["rule", "decides", "function", "inputs", "constants", "failure", "test"]
# Modules of the policy for which the page needs no rule.
MODULES_WITHOUT_RULES = {"__init__", "load_balancer"}


def page_rules():
    """Return the rules of the page, each as a mapping from column to cell."""
    found = []
    for line in PAGE.splitlines():
        cells = [cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]]
        if len(cells) == len(COLUMNS) and cells[0] != "rule" and not cells[0].startswith("---"):
            found.append(dict(zip(COLUMNS, cells, strict=True)))
    return found


RULES = page_rules()


@cache
def definitions(path):
    """Return the file's functions, classes and assigned names, by qualified name."""
    found = {}

    def add(body, prefix):
        for node in body:
            if isinstance(node, ast.FunctionDef):
                found[prefix + node.name] = node
            elif isinstance(node, ast.ClassDef):
                found[prefix + node.name] = node
                add(node.body, f"{prefix}{node.name}.")
            elif isinstance(node, ast.Assign):
                found.update({prefix + ast.unparse(target): node for target in node.targets})
            elif isinstance(node, ast.AnnAssign):
                found[prefix + ast.unparse(node.target)] = node

    add(ast.parse(path.read_text()).body, "")
    return found


def quoted_names(cell):
    return re.findall(r"`([^`]+)`", cell)


def test_the_page_has_more_than_30_rules_with_different_names():
    assert len(RULES) > 30
    assert len({row["rule"] for row in RULES}) == len(RULES)


@pytest.mark.parametrize("row", RULES, ids=lambda row: row["rule"])
def test_the_function_constants_and_tests_of_a_rule_exist(row):
    assert all(row[column] for column in COLUMNS)
    functions = quoted_names(row["function"])
    assert functions
    for function in functions:
        module, name = function.split(": ")
        assert isinstance(definitions(PACKAGE / module).get(name), ast.FunctionDef), function
    for constant in quoted_names(row["constants"]):
        module, assignment = constant.split(": ", 1)
        name, value = assignment.split(" = ", 1)
        defined = definitions(PACKAGE / module)[name].value
        assert ast.unparse(defined) == ast.unparse(ast.parse(value, mode="eval")), constant
    tests = quoted_names(row["test"])
    assert tests
    for test in tests:
        path, name = test.split("::")
        assert name.startswith("test_")
        assert name in definitions(ROOT / path), test


def test_each_module_of_the_policy_has_a_rule():
    named = {function.split(":")[0] for row in RULES for function in quoted_names(row["function"])}
    modules = {path.stem for path in (PACKAGE / "policy").glob("*.py")} - MODULES_WITHOUT_RULES
    assert {f"policy/{name}.py" for name in modules} <= named
