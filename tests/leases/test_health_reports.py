"""Health reports of the health-check leader: their pages, and how a member receives them."""

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


def test_a_member_receives_only_fresh_reports_with_known_columns():
    _, received = receiver_after_one_page()
    assert [(each.worker_id, each.load_report) for each in received] == [
        ("s-1", LOAD_REPORT),
        ("s-4", {"queue": 3.0}),
    ]


def test_a_worker_is_left_to_the_leader_until_its_reports_stop():
    receiver, _ = receiver_after_one_page()
    workers = ("s-1", "s-2", "s-3", "s-4")
    delegated = [receiver.is_delegated(worker_id, 11.5) for worker_id in workers]
    assert delegated == [True, False, False, True]
    assert not receiver.is_delegated("s-1", 11.7)


def test_a_page_with_an_older_token_is_rejected_and_counted():
    receiver, _ = receiver_after_one_page()
    assert receiver.receive(encode_pages(6, [report("s-5")])[0], COLUMNS, 11.0) == []
    assert receiver.fenced_count == 1


@pytest.mark.parametrize("data", [b"\xc1", ENCODER.encode(ReportPage(9, 1, ()))])
def test_a_malformed_page_is_rejected(data):
    receiver, _ = receiver_after_one_page()
    with pytest.raises(ReportPageError):
        receiver.receive(data, COLUMNS, 11.0)


def test_many_reports_are_split_into_pages_of_bounded_size():
    reports = [report(f"worker-{number:060}", queue=float(number)) for number in range(200)]
    pages = encode_pages(1, reports)
    assert all(len(page) <= 1_080 for page in pages)
    assert len(pages) < 40
    receiver = HealthReportReceiver()
    assert sum(len(receiver.receive(page, ("queue",), 0.0)) for page in pages) == 200
