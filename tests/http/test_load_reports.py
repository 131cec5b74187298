"""The one reader of load reports: every documented form, and whatever else a worker may send."""

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

FULL = {"queue": 2.0, "free_slots": 1.5}
READABLE = {
    "TEXT util=0.6, queue=2, x0=1.5": FULL,
    " TEXT x0 = 1.5,queue=2 ,zone=a": FULL,
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
    """A reader, and the list of what it has found wrong."""
    complaints = []
    return LoadReportReader(settings_with(source), complaints.append), complaints


@pytest.mark.parametrize("text", [*READABLE, *UNREADABLE])
def test_a_report_in_text_form_is_read_from_a_header_and_from_a_health_check(text):
    reader, complaints = make_reader()
    expected = READABLE.get(text)
    assert reader.read_header(text) == expected == reader.read_health_check(text.encode())
    assert len(complaints) == 2 * (text in UNREADABLE)


@pytest.mark.parametrize(("source", "places"), [("answers", 3), ("probe", 1), ("none", 0)])
def test_reports_come_where_the_settings_say_also_after_a_reload(source, places):
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
    assert reports == [FULL] * places + [None] * (3 - places)


SCALARS = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.lists(st.floats())
)
LOADS = SCALARS | st.dictionaries(st.sampled_from(["queue", "x0", "util"]), SCALARS)


@settings(derandomize=True, deadline=None, database=None)
@given(LOADS, st.binary(max_size=60), st.text(max_size=60))
def test_whatever_comes_it_is_a_report_of_bounded_numbers_or_none(load, tail, text):
    reader, _ = make_reader()
    bodies = (tail, b"TEXT queue=" + tail, b"{" + tail, json.dumps(load).encode())
    reports = [
        reader.read_notification(load),
        reader.read_header("TEXT " + text),
        *map(reader.read_health_check, bodies),
    ]
    for report in filter(None, reports):
        assert set(report) <= {"queue", "free_slots"}
        assert all(0 <= number <= MAX_NUMBER for number in report.values())
