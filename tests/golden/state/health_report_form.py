"""Samples of the pages of health reports that the health-check leader sends, and malformed ones."""

from golden.state.forms import MAX_NUMBER, Form, broken_frames, edited_samples

from stepstream.leases import health_reports

NAME = "sweep"
REPORT_NAMES = ("busy", "queue")
NOW_SECONDS = 100.0


def samples() -> dict[str, object]:
    """Return, by name, the token and the reports of one page."""
    first = health_reports.HealthReport("s-1", 12, 3_400, {"busy": 0.25, "queue": 3.0})
    second = health_reports.HealthReport("10.0.0.7:5000", 400, 60_000_000, {"queue": 0.0})
    return {
        "one-report": (5, (first,)),
        "two-reports": (MAX_NUMBER, (first, second)),
        "token-0": (0, (second,)),
    }


def write_page(sample: tuple[int, tuple]) -> bytes:
    """Return the page of a token and reports."""
    token, reports = sample
    (page,) = health_reports.encode_pages(token, reports)
    return page


def read_page(data: bytes) -> tuple[int, tuple]:
    """Return the token and the reports of a page, as a member learns them."""
    receiver = health_reports.HealthReportReceiver()
    reports = receiver.receive(data, REPORT_NAMES, NOW_SECONDS)
    return receiver.guard.highest_token, tuple(reports)


def malformed() -> dict[str, bytes]:
    """Return pages that the program must reject."""
    page = write_page(samples()["one-report"])
    return broken_frames(page) | edited_samples(NAME, "malformed", write_page, samples())


def tolerated() -> dict[str, bytes]:
    """Return pages in forms that the program accepts but never writes."""
    return edited_samples(NAME, "tolerated", write_page, samples())


HEALTH_REPORTS = Form(
    NAME,
    write_page,
    read_page,
    health_reports.ReportPageError,
    samples,
    malformed,
    tolerated,
)
