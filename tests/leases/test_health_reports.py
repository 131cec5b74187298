"""Health reports of the health-check leader, in pages and as a member learns them."""

import pytest

from stepstream.leases.health_reports import (
    ENCODER,
    HealthReport,
    HealthReportReceiver,
    ReportPage,
    ReportPageError,
    encode_pages,
)

COLUMNS = ("queue", "free_slots")
LOAD_REPORT = {"queue": 1.0, "free_slots": 2.0}


def report(worker_id="s-1", age_ms=5, **load_report):
    return HealthReport(worker_id, age_ms, 700, load_report or LOAD_REPORT)


def receiver_after_one_page():
    """A receiver that has read a page at 10.0 s, and what it received."""
    receiver = HealthReportReceiver()
    reports = [report(), report("s-2", age_ms=900), report("s-3", colour=1.0)]
    reports.append(report("s-4", queue=3.0, x=1.0))
    (page,) = encode_pages(7, reports)
    return receiver, receiver.receive(page, COLUMNS, 10.0)


def test_a_member_learns_fresh_reports_with_known_columns_only():
    _, received = receiver_after_one_page()
    assert [(one.worker_id, one.load_report) for one in received] == [
        ("s-1", LOAD_REPORT),
        ("s-4", {"queue": 3.0}),
    ]


def test_a_reported_worker_is_left_to_the_leader_until_nothing_more_comes():
    receiver, _ = receiver_after_one_page()
    workers = ("s-1", "s-2", "s-3", "s-4")
    delegated = [receiver.is_delegated(worker_id, 11.5) for worker_id in workers]
    assert delegated == [True, False, False, True]
    assert not receiver.is_delegated("s-1", 11.7)


def test_a_page_of_an_overtaken_leader_is_fenced_off():
    receiver, _ = receiver_after_one_page()
    assert receiver.receive(encode_pages(6, [report("s-5")])[0], COLUMNS, 11.0) == []
    assert receiver.fenced_count == 1


@pytest.mark.parametrize("data", [b"\xc1", ENCODER.encode(ReportPage(9, 1, ()))])
def test_data_that_is_no_page_is_refused(data):
    receiver, _ = receiver_after_one_page()
    with pytest.raises(ReportPageError):
        receiver.receive(data, COLUMNS, 11.0)


def test_reports_of_many_workers_go_in_pages_that_fit():
    many = [report(f"worker-{k:060}", queue=float(k)) for k in range(200)]
    pages = encode_pages(1, many)
    assert all(len(page) <= 1_080 for page in pages)
    assert len(pages) < 40
    receiver = HealthReportReceiver()
    assert sum(len(receiver.receive(page, ("queue",), 0.0)) for page in pages) == 200
