"""The one reader of load reports: every documented form, and whatever else a worker may send."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from net_helpers import PROBED, SETTINGS

from stepstream.http import platform_api as platform
from stepstream.http.codec import Message
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.named_numbers import MOST


def reader(how="answers"):
    wrong = []
    return LoadReportReader(
        replace(SETTINGS, **{**PROBED, "load_report_source": how}), wrong.append
    ), wrong


FULL = {"queue": 2.0, "free_slots": 1.5}
FORMS = {
    "TEXT util=0.6, queue=2, x0=1.5": FULL,
    " TEXT x0 = 1.5,queue=2 ,zone=a": FULL,
    "TEXT util=0": None,
}
BAD = (
    "JSON queue=2",
    "TEXT queue",
    "TEXT queue=many",
    "TEXT queue=-1",
    "TEXT queue=nan",
    "TEXT x0=1e400",
)


@pytest.mark.parametrize("text", [*FORMS, *BAD])
def test_a_report_as_text_in_a_header_and_in_a_probes_body(text):
    made, wrong = reader()
    assert made.header(text) == FORMS.get(text) == made.probe(text.encode())
    assert len(wrong) == 2 * (text in BAD)


@pytest.mark.parametrize("how,places", [("answers", 3), ("probe", 1), ("none", 0)])
def test_reports_come_where_the_settings_say_also_after_a_reload(how, places):
    made, _ = reader("none")
    made.reconfigure(replace(SETTINGS, **{**PROBED, "load_report_source": how}))
    load = {"queue": 2, "x0": 1.5}
    news = json.dumps({"id": "a", "from": "s", "state": "done", "load": load}).encode()
    told = platform.read_notification(Message("POST", platform.NOTIFICATION_PATH, body=news), made)
    read = [
        made.probe(json.dumps(load).encode()),
        made.header("TEXT queue=2, x0=1.5"),
        told.load_report,
    ]
    assert read == [FULL] * places + [None] * (3 - places)


plain = st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.lists(st.floats())
values = plain | st.dictionaries(st.sampled_from(["queue", "x0", "util"]), plain)


@settings(derandomize=True, deadline=None, database=None)
@given(values, st.binary(max_size=60), st.text(max_size=60))
def test_whatever_comes_it_is_a_report_of_bounded_figures_or_none(load, tail, text):
    made, _ = reader()
    bodies = (tail, b"TEXT queue=" + tail, b"{" + tail, json.dumps(load).encode())
    found = [made.news(load), made.header("TEXT " + text), *map(made.probe, bodies)]
    for report in filter(None, found):
        assert set(report) <= {"queue", "free_slots"}
        assert all(0 <= x <= MOST for x in report.values())
