"""The reader of load reports: every documented form, and any other input from a worker."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.http.codec import Message
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.named_numbers import MAX_NUMBER
from stepstream.http.worker_api import NOTIFICATION_PATH, read_notification
from tests.config.configurations import HEALTH_CHECK_LOAD_REPORTS, POLICY_SETTINGS
from tests.config.nested_json import nested_lists

REPORT = {"queue": 2.0, "free_slots": 1.5}
READABLE = {
    "TEXT util=0.6, queue=2, x0=1.5": REPORT,
    " TEXT x0 = 1.5,queue=2 ,zone=a": REPORT,
    "TEXT util=0": None,
}
UNREADABLE = (
    "JSON queue=2",
    "TEXT queue",
    "TEXT queue=many",
    "TEXT queue=-1",
    "TEXT queue=nan",
    "TEXT x0=1e400",
)


def settings_with(source):
    return replace(POLICY_SETTINGS, **{**HEALTH_CHECK_LOAD_REPORTS, "load_report_source": source})


def make_reader(source="answers"):
    """Return a reader, and the list to which it appends the error of each unreadable report."""
    errors = []
    return LoadReportReader(settings_with(source), errors.append), errors


@pytest.mark.parametrize("text", [*READABLE, *UNREADABLE])
def test_a_report_in_text_form_is_read_from_a_header_and_from_a_health_check(text):
    reader, errors = make_reader()
    expected = READABLE.get(text)
    assert reader.read_header(text) == expected == reader.read_health_check(text.encode())
    assert len(errors) == 2 * (text in UNREADABLE)


def test_a_health_checks_report_that_is_nested_too_deeply_is_ignored():
    reader, errors = make_reader("probe")
    assert reader.read_health_check(f'{{"queue":{nested_lists()}}}'.encode()) is None
    assert errors == ["JSON nested more than 128 levels deep"]


@pytest.mark.parametrize(("source", "report_count"), [("answers", 3), ("probe", 1), ("none", 0)])
def test_reports_are_read_only_from_the_source_in_the_settings_also_after_a_reload(
    source, report_count
):
    reader, _ = make_reader("none")
    reader.reconfigure(settings_with(source))
    load = {"queue": 2, "x0": 1.5}
    body = json.dumps({"id": "a", "from": "s", "state": "done", "load": load}).encode()
    message = Message("POST", NOTIFICATION_PATH, body=body)
    notification = read_notification(message, reader)
    reports = [
        reader.read_health_check(json.dumps(load).encode()),
        reader.read_header("TEXT queue=2, x0=1.5"),
        notification.load_report,
    ]
    assert reports == [REPORT] * report_count + [None] * (3 - report_count)


SCALARS = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.lists(st.floats())
)
LOADS = SCALARS | st.dictionaries(st.sampled_from(["queue", "x0", "util"]), SCALARS)


@settings(derandomize=True, deadline=None, database=None)
@given(LOADS, st.binary(max_size=60), st.text(max_size=60))
def test_any_input_gives_a_report_of_bounded_numbers_or_none(load, body_tail, text):
    reader, _ = make_reader()
    bodies = (body_tail, b"TEXT queue=" + body_tail, b"{" + body_tail, json.dumps(load).encode())
    reports = [
        reader.read_notification(load),
        reader.read_header("TEXT " + text),
        *map(reader.read_health_check, bodies),
    ]
    for report in filter(None, reports):
        assert set(report) <= {"queue", "free_slots"}
        assert all(0 <= number <= MAX_NUMBER for number in report.values())
