"""Health reports that one dispatcher shares with all: pages, and what a member learns of them.

The holder of the lease `probe-sweep` checks each worker's health for all dispatchers and publishes
the load reports it got. A dispatcher that received a worker's report a short time ago sends it no
check of its own. Without reports that count, each dispatcher checks for itself.

Wire format: one MessagePack array a page, by position, in a datagram of the membership layer. Free
of I/O. A receiver is owned by its dispatcher's health-check leader; all times are seconds of its
caller's monotonic clock.
"""

from collections.abc import Collection, Sequence
from math import sqrt
from typing import Annotated

import msgspec

from stepstream.config.operator_file import PROBE_SWEEP_LEASE_SECONDS
from stepstream.leases.errors import LeaseError
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.wire import decode_with, pack

LEASE_NAME = "probe-sweep"
TTL_SECONDS = PROBE_SWEEP_LEASE_SECONDS
OPERATION_SECONDS = 1.0  # a health check takes a second at most (config/limits.py)
SINGLE_DISPATCHER_PERIOD_SECONDS = 1.0
DELEGATION_SECONDS = 1.6  # longer than a period: one lost page must not start checks
MAX_REPORT_AGE_SECONDS = 0.4
MAX_TRACKED_WORKERS = 16_384
PROTOCOL_VERSION = 1
MAX_PAGE_BYTES = 1_000
PAGE_FRAME_BYTES = 24
PAGE_PAYLOAD_BYTES = MAX_PAGE_BYTES - PAGE_FRAME_BYTES
MAX_REPORTS_PER_PAGE = 64


def check_period_seconds(dispatchers: int) -> float:
    """Return the time between the leader's two checks of one worker.

    It shrinks with the root of the number of dispatchers. All learn a report in one instant, and
    until the next one none sees the load that the others send; each alone would check at a time of
    its own.
    """
    return SINGLE_DISPATCHER_PERIOD_SECONDS / sqrt(max(dispatchers, 1))


def is_check_delegated(now: float, reported_at: float | None) -> bool:
    """Return whether the leader's reports stand in for this dispatcher's check of a worker.

    `reported_at` is when the worker's last report was received, None if never. A leader that is
    killed or cut off must not leave workers unchecked.
    """
    return reported_at is not None and now - reported_at < DELEGATION_SECONDS


def is_outdated(age_ms: int) -> bool:
    """Return whether a report was too old when its page was sent: a late one shows a past load."""
    return age_ms > MAX_REPORT_AGE_SECONDS * 1000


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's load report; `age_ms` since its check was answered, by the leader's clock."""

    worker_id: Text
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)]
    elapsed_us: Annotated[int, msgspec.Meta(ge=0, le=60_000_000)]
    load_report: Annotated[dict[Text, float], msgspec.Meta(max_length=16)]


class ReportPage(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Several reports of one leader; `token` is the fencing token of its lease."""

    version: int
    token: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    reports: Annotated[tuple[HealthReport, ...], msgspec.Meta(max_length=MAX_REPORTS_PER_PAGE)]


class ReportPageError(LeaseError):
    """Data that is no page of this version; it is dropped and counted, the text says why."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(ReportPage)


def encode_pages(token: int, reports: Sequence[HealthReport]) -> list[bytes]:
    """Return the reports in as few pages as hold them, in their order."""
    parts = pack(reports, encoded_size_bytes, PAGE_PAYLOAD_BYTES, MAX_REPORTS_PER_PAGE)
    return [encode_page(token, part) for part in parts]


def encoded_size_bytes(report: HealthReport) -> int:
    """Return the bytes that a report takes in a page."""
    return len(ENCODER.encode(report))


def encode_page(token: int, reports: Sequence[HealthReport]) -> bytes:
    """Return one page's bytes."""
    return ENCODER.encode(ReportPage(PROTOCOL_VERSION, token, tuple(reports)))


def decode_page(data: bytes) -> ReportPage:
    """Return a page; raise `ReportPageError` if it is unreadable or of another version."""
    page = decode_with(DECODER, data, ReportPageError)
    if page.version != PROTOCOL_VERSION:
        raise ReportPageError(f"version {page.version}, not {PROTOCOL_VERSION}")
    return page


class HealthReportReceiver:
    """What one dispatcher has learned of the leader's health checks; the counts are of reports.

    A leader that stalled and was overtaken is fenced off by its token.
    """

    def __init__(self) -> None:
        self.guard = FencingGuard()
        self.received_count = 0
        self.outdated_count = 0
        self.fenced_count = 0
        self.reported_at: dict[str, float] = {}  # by worker

    def is_delegated(self, worker_id: str, now: float) -> bool:
        """Return whether the leader's reports stand in for a check from here."""
        return is_check_delegated(now, self.reported_at.get(worker_id))

    def record_report(self, worker_id: str, now: float) -> None:
        """Note that a worker was reported."""
        is_new = worker_id not in self.reported_at
        if is_new and len(self.reported_at) >= MAX_TRACKED_WORKERS:
            self.reported_at.pop(next(iter(self.reported_at)))
        self.reported_at[worker_id] = now

    def receive(self, data: bytes, columns: Collection[str], now: float) -> list[HealthReport]:
        """Return a page's fresh reports, with only the fields that are load report columns.

        Raise `ReportPageError` if the data is no page of this version.
        """
        page = decode_page(data)
        try:
            self.guard.admit(page.token)
        except FencedError:
            self.fenced_count += len(page.reports)
            return []
        received = []
        for report in page.reports:
            if is_outdated(report.age_ms):
                self.outdated_count += 1
                continue
            known_part = with_columns(report, columns)
            if known_part.load_report:
                self.record_report(report.worker_id, now)
                received.append(known_part)
        self.received_count += len(received)
        return received


def with_columns(report: HealthReport, columns: Collection[str]) -> HealthReport:
    """Return the report with only these fields."""
    fields = {name: value for name, value in report.load_report.items() if name in columns}
    return HealthReport(report.worker_id, report.age_ms, report.elapsed_us, fields)
