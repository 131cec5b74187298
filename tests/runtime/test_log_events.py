"""The log: the format of its lines, and its events compared with those of the on-call page."""

import ast
import re
from pathlib import Path

import pytest

from stepstream.node.status import OUTCOME_FIELDS
from stepstream.runtime import log_events
from stepstream.runtime.log import format_value

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "stepstream"
ONCALL_PAGE = (ROOT / "docs" / "oncall.md").read_text()
EVENTS_MODULE = PACKAGE / "runtime" / "log_events.py"
STRUCTURED_SEVERITY = "structured"


def defined_events():
    """Return the severity and the ordered fields of each event, as the module defines them."""
    events = {}
    for function in ast.parse(EVENTS_MODULE.read_text()).body:
        if not isinstance(function, ast.FunctionDef):
            continue
        (call,) = (
            node
            for node in ast.walk(function)
            if isinstance(node, ast.Call)
            and (getattr(node.func, "id", "") == "write_event" or called_method(node) == "info")
        )
        structured = called_method(call) == "info"
        name = call.args[0 if structured else 1].value
        assert name == function.name
        severity = STRUCTURED_SEVERITY if structured else call.args[0].attr.lower()
        parameters = [argument.arg for argument in function.args.kwonlyargs]
        fields = [keyword.arg for keyword in call.keywords if keyword.arg]
        events[name] = (severity, fields + [name for name in parameters if name == "left_out"])
    return events


def called_method(call):
    return call.func.attr if isinstance(call.func, ast.Attribute) else ""


def section(heading):
    return ONCALL_PAGE.split(f"{heading}\n", 1)[1].split("\n## ", 1)[0]


def explained_events():
    """Return the severity and the fields of each event, as the on-call page states them."""
    events = {}
    table = section("## Log events").split("\n### ", 1)[0]
    for row in re.findall(r"^\| `.*$", table, re.M):
        event, severity, fields, meaning, action, replaced = (
            cell.strip() for cell in re.split(r"(?<!\\)\|", row)[1:-1]
        )
        assert meaning
        assert action
        assert replaced
        name = event.strip("`")
        assert name not in events
        events[name] = (severity.strip("*"), re.findall(r"`(\w+)`", fields))
    return events


def test_the_on_call_page_explains_each_event_with_its_severity_and_fields():
    assert explained_events() == defined_events()


def test_each_event_is_used_and_no_other_module_writes_log_lines():
    sources = {
        path: path.read_text() for path in PACKAGE.rglob("*.py") if path.parent.name != "lab"
    }
    code = "\n".join(text for path, text in sources.items() if path != EVENTS_MODULE)
    unused = [
        name for name in defined_events() if not re.search(rf"\b_?log(_events)?\.{name}\b", code)
    ]
    assert unused == []
    writers = {path.name for path, text in sources.items() if "write_event" in text}
    assert writers == {"log.py", "log_events.py"}
    assert not re.search(r"\blogger\.(info|warning|error)\(", code)


def test_the_on_call_page_explains_each_count_of_the_status_event():
    counts = set(OUTCOME_FIELDS.values())
    for path in PACKAGE.rglob("*.py"):
        for function in ast.walk(ast.parse(path.read_text())):
            if isinstance(function, ast.FunctionDef) and function.name == "status_counts":
                counts |= {
                    key.value
                    for node in ast.walk(function)
                    if isinstance(node, ast.Dict)
                    for key in node.keys
                }
    rows = re.findall(r"^\| (`.*?) \|", section("### Counts of the status event"), re.M)
    assert {name for row in rows for name in re.findall(r"`(\w+)`", row)} == counts


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("n1", "n1"),
        ("127.0.0.1:80", "127.0.0.1:80"),
        ("", '""'),
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ('say "no"', r'"say \"no\""'),
        ("line\nstepstream: error", r'"line\nstepstream: error"'),
        ("\x1b[31m", r'"\u001b[31m"'),
        (True, "true"),
        (3, "3"),
        (61.23456, "61.235"),
        (None, "None"),
    ],
    ids=repr,
)
def test_a_field_value_is_one_plain_word_or_a_json_string(value, text):
    assert format_value(value) == text


def test_an_event_is_one_line_even_if_its_text_contains_a_line_break(capsys):
    log_events.internal_fault(where="a call", error=KeyError("a\nb"))
    assert capsys.readouterr().err == (
        'stepstream: error internal_fault where="a call" error_type=KeyError error="\'a\\\\nb\'"\n'
    )
