"""Health reports that one dispatcher sends to all: their pages, and how a member receives them.

The holder of the lease `probe-sweep` checks each worker's health for all dispatchers and publishes
the load reports it got. A dispatcher that received a worker's report a short time ago sends it no
check of its own. Without recent reports, each dispatcher checks for itself.

Wire format: one MessagePack array per page, by position, in a datagram of the membership layer.

Free of I/O. A receiver is owned by its dispatcher's health-check leader. All times are seconds of
its caller's monotonic clock.
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

    The period is inversely proportional to the square root of the number of dispatchers. All
    dispatchers receive a report at the same time. Until the next report, none of them sees the load
    that the others add. Without a leader, the dispatchers would check at different times.
    """
    return SINGLE_DISPATCHER_PERIOD_SECONDS / sqrt(max(dispatchers, 1))


def is_check_delegated(now: float, reported_at: float | None) -> bool:
    """Return whether the leader's reports replace this dispatcher's own checks of a worker.

    `reported_at` is when the worker's last report was received, None if never. A leader that is
    killed or cut off must not leave workers unchecked.
    """
    return reported_at is not None and now - reported_at < DELEGATION_SECONDS


def is_outdated(age_ms: int) -> bool:
    """Return whether a report was too old when its page was sent: a late one shows a past load."""
    return age_ms > MAX_REPORT_AGE_SECONDS * 1000


ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's load report; `age_ms` counts from the check's answer, by the leader's clock."""

    worker_id: ShortText
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)]
    elapsed_us: Annotated[int, msgspec.Meta(ge=0, le=60_000_000)]
    load_report: Annotated[dict[ShortText, float], msgspec.Meta(max_length=16)]


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
    """Return the reports, in their order, in as few pages as possible."""
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
    """One dispatcher's record of the leader's reports; the counts are of reports.

    Reports of a leader that stalled and lost its lease to another are rejected by their token.
    """

    def __init__(self) -> None:
        self.guard = FencingGuard()
        self.received_count = 0
        self.outdated_count = 0
        self.fenced_count = 0
        self.reported_at: dict[str, float] = {}  # by worker

    def is_delegated(self, worker_id: str, now: float) -> bool:
        """Return whether the leader's reports replace this dispatcher's own checks of a worker."""
        return is_check_delegated(now, self.reported_at.get(worker_id))

    def record_report(self, worker_id: str, now: float) -> None:
        """Record that a report on a worker was received."""
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
            known_report = with_columns(report, columns)
            if known_report.load_report:
                self.record_report(report.worker_id, now)
                received.append(known_report)
        self.received_count += len(received)
        return received


def with_columns(report: HealthReport, columns: Collection[str]) -> HealthReport:
    """Return the report with only these load report columns."""
    fields = {name: value for name, value in report.load_report.items() if name in columns}
    return HealthReport(report.worker_id, report.age_ms, report.elapsed_us, fields)
