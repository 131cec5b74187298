"""Health reports that one dispatcher shares with all: pages, and what a member learns of them.

The holder of the lease `probe-sweep` checks each worker's health for all dispatchers and publishes
the load reports it got. A dispatcher that has learned of a worker lately sends it no check of its
own. If nothing comes, or only what is outdated or of an overtaken leader, each checks for itself.

Wire format: one MessagePack array a page, by position, in a datagram of the membership layer. Free
of I/O. A learner is owned by its dispatcher's health-check leader; all times are seconds of its
caller's monotonic clock.
"""

from collections.abc import Collection, Sequence
from math import sqrt
from typing import Annotated

import msgspec

from stepstream.config.operator_file import PROBE_SWEEP_LEASE_SECONDS
from stepstream.leases.errors import LeaseError
from stepstream.leases.fencing import FencedError, FencingGuard

LEASE_NAME = "probe-sweep"
TTL_SECONDS = PROBE_SWEEP_LEASE_SECONDS
OPERATION_SECONDS = 1.0  # a health check takes a second at most (config/limits.py)
PERIOD_SECONDS = 1.0  # a dispatcher alone checks a worker once in about so long
DELEGATION_SECONDS = 1.6  # after a report, for which a worker is not checked by others
MAX_REPORT_AGE_SECONDS = 0.4  # when its page is sent
MAX_TRACKED_WORKERS = 16_384
PROTOCOL_VERSION = 1
MAX_PAGE_BYTES = 1_000
PAGE_FRAME_BYTES = 24  # of a page around its reports, at most
MAX_REPORTS_PER_PAGE = 64
MAX_REASON_CHARS = 160  # of a decoder's error that is logged


def probe_period_seconds(dispatchers: int) -> float:
    """Return the time between the leader's two checks of one worker.

    Shorter than for one dispatcher alone by the root of their count: all learn a report in the same
    instant, and until the next one nobody sees what the others send; alone, each looks at a time of
    its own.
    """
    return PERIOD_SECONDS / sqrt(max(dispatchers, 1))


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
    pages: list[bytes] = []
    part: list[HealthReport] = []
    capacity_bytes = MAX_PAGE_BYTES - PAGE_FRAME_BYTES
    free_bytes = capacity_bytes
    for report in reports:
        size_bytes = len(ENCODER.encode(report))
        if part and (size_bytes > free_bytes or len(part) == MAX_REPORTS_PER_PAGE):
            pages.append(encode_page(token, part))
            part = []
            free_bytes = capacity_bytes
        part.append(report)
        free_bytes -= size_bytes
    if part:
        pages.append(encode_page(token, part))
    return pages


def encode_page(token: int, reports: Sequence[HealthReport]) -> bytes:
    """Return one page's bytes."""
    return ENCODER.encode(ReportPage(PROTOCOL_VERSION, token, tuple(reports)))


def decode_page(data: bytes) -> ReportPage:
    """Return a page; raise `ReportPageError` if it is unreadable or of another version."""
    try:
        page = DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ReportPageError(f"unreadable: {error}"[:MAX_REASON_CHARS]) from error
    if page.version != PROTOCOL_VERSION:
        raise ReportPageError(f"version {page.version}, not {PROTOCOL_VERSION}")
    return page


class HealthReportLearner:
    """What one dispatcher has learned of the leader's health checks.

    A leader that stalled and was overtaken is fenced off by its token.
    """

    def __init__(self) -> None:
        self.guard = FencingGuard()
        self.learned_count = 0  # of reports, as the two below
        self.outdated_count = 0
        self.fenced_count = 0
        self.reported_at: dict[str, float] = {}  # by worker

    def is_delegated(self, worker_id: str, now: float) -> bool:
        """Tell whether a worker was reported so lately that it needs no check from here."""
        reported_at = self.reported_at.get(worker_id, -DELEGATION_SECONDS)
        return now - reported_at < DELEGATION_SECONDS

    def record(self, worker_id: str, now: float) -> None:
        """Note that a worker was reported."""
        is_new = worker_id not in self.reported_at
        if is_new and len(self.reported_at) >= MAX_TRACKED_WORKERS:
            self.reported_at.pop(next(iter(self.reported_at)))
        self.reported_at[worker_id] = now

    def learn(self, data: bytes, columns: Collection[str], now: float) -> list[HealthReport]:
        """Return a page's fresh reports, with only the fields that are load report columns.

        Raise `ReportPageError` if the data is no page of this version.
        """
        page = decode_page(data)
        try:
            self.guard.admit(page.token)
        except FencedError:
            self.fenced_count += len(page.reports)
            return []
        learned = []
        for report in page.reports:
            if report.age_ms > MAX_REPORT_AGE_SECONDS * 1000:
                self.outdated_count += 1
                continue
            known_part = with_columns(report, columns)
            if known_part.load_report:
                self.record(report.worker_id, now)
                learned.append(known_part)
        self.learned_count += len(learned)
        return learned


def with_columns(report: HealthReport, columns: Collection[str]) -> HealthReport:
    """Return the report with only these fields."""
    fields = {name: value for name, value in report.load_report.items() if name in columns}
    return HealthReport(report.worker_id, report.age_ms, report.elapsed_us, fields)
