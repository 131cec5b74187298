"""The health-check leader: the holder of the lease `probe-sweep` checks workers for all.

    follower -> leader   the lease is granted: it spreads its checks of all workers over each period
    leader -> follower   the lease may end before another check would: it stops checking
    either -> stopped    this dispatcher stops

Owns the `sweep` thread's state; the subsystem starts the thread and stops it by `stopped`. Results
of health checks come from other threads, under `lock`; pages come on the thread of the
membership layer. All times are seconds of time.monotonic().
"""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stepstream.leases.client import Lease, LeaseClient, LeaseLostError
from stepstream.leases.health_reports import (
    LEASE_NAME,
    OPERATION_SECONDS,
    TTL_SECONDS,
    HealthReport,
    HealthReportReceiver,
    ReportPageError,
    check_period_seconds,
    encode_pages,
)
from stepstream.model.events import HealthChecked
from stepstream.ports.messaging import MessageTransport
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.threads import run_until_closed

MESSAGE_KIND = "sweep"  # the kind of the membership layer's application messages
PUBLISH_INTERVAL_SECONDS = 0.05
RETRY_PAUSE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class HealthCheckPort:
    """The node's functions that the leader uses."""

    list_workers: Callable[[], Sequence[str]]
    check_health: Callable[[str, Callable[[HealthChecked], None]], None]  # calls back on any thread
    load_report_columns: Callable[[], Sequence[str]]  # of the settings in force
    post: Callable[[HealthChecked], None]  # to the core


class AnsweredCheck(NamedTuple):
    """A check's result and when it arrived, in seconds of time.monotonic()."""

    answered_at: float
    result: HealthChecked


class HealthCheckLeader:
    """Requests the lease, leads while it holds it, and otherwise receives the leader's reports."""

    def __init__(
        self,
        client: LeaseClient,
        transport: MessageTransport,
        malformed_logger: RateLimitedLogger,
        port: HealthCheckPort,
    ) -> None:
        self.client = client
        self.transport = transport
        self.malformed_logger = malformed_logger
        self.port = port
        self.receiver = HealthReportReceiver()
        self.lock = threading.Lock()  # guards unsent_reports
        self.unsent_reports: list[AnsweredCheck] = []
        self.check_count = 0
        self.stopped = False
        transport.subscribe(MESSAGE_KIND, self.on_page)

    # -- every member -----------------------------------------------------------------------------

    def on_page(self, member: str, data: bytes) -> None:
        """Post the fresh reports of the leader's page to the core."""
        columns = self.port.load_report_columns()
        try:
            reports = self.receiver.receive(data, columns, time.monotonic())
        except ReportPageError as error:
            self.malformed_logger.add(f"health reports from {member}: {error}")
            return
        for report in reports:
            result = HealthChecked(
                report.worker_id,
                healthy=True,
                elapsed_us=report.elapsed_us,
                load_report=report.load_report,
            )
            self.port.post(result)

    def is_delegated(self, worker_id: str) -> bool:
        """Return whether this dispatcher leaves the checks of a worker to the leader."""
        return self.receiver.is_delegated(worker_id, time.monotonic())

    # -- the leader: the `sweep` thread -----------------------------------------------------------

    def run(self) -> None:
        """Campaign and lead until stopped."""
        # An error must not end the thread: without a leader each dispatcher checks for itself,
        # which costs the workers more.
        run_until_closed(
            "the probe sweep", self.campaign, lambda: self.stopped, RETRY_PAUSE_SECONDS
        )

    def campaign(self) -> None:
        """Lead once the lease is granted; pause while this dispatcher is drained or stops."""
        try:
            self.lead()
        except LeaseLostError:
            time.sleep(RETRY_PAUSE_SECONDS)

    def lead(self) -> None:
        """Make one attempt at the lease, and lead until the lease ends."""
        lease = self.client.acquire(LEASE_NAME, TTL_SECONDS, OPERATION_SECONDS)
        try:
            self.wait_until_granted(lease)
            while lease.may_begin_operation() and not self.stopped:
                self.check_all_workers(lease)
        finally:
            lease.release()

    def wait_until_granted(self, lease: Lease) -> None:
        """Wait until the lease is granted or over, or this dispatcher stops."""
        while True:
            is_granted = lease.wait(RETRY_PAUSE_SECONDS)
            if is_granted or lease.is_over or self.stopped:
                return

    def check_all_workers(self, lease: Lease) -> None:
        """Check each worker once in the period; stop if a check could outlast the lease."""
        workers = list(self.port.list_workers())
        period_seconds = check_period_seconds(len(self.transport.present_members()) + 1)
        begun_at = time.monotonic()
        published_at = begun_at
        for position, worker_id in enumerate(workers):
            due_at = begun_at + position * period_seconds / len(workers)
            published_at = self.publish_until(due_at, published_at, lease)
            if self.stopped or not lease.may_begin_operation():
                return
            self.check_count += 1
            self.port.check_health(worker_id, self.on_health_checked)
        if workers:
            time.sleep(max(begun_at + period_seconds - time.monotonic(), 0.0))
        else:
            time.sleep(RETRY_PAUSE_SECONDS)
        self.publish(lease)

    def publish_until(self, due_at: float, published_at: float, lease: Lease) -> float:
        """Wait until `due_at`, publishing at intervals; return the time of the last publication."""
        while True:
            now = time.monotonic()
            if now - published_at >= PUBLISH_INTERVAL_SECONDS:
                published_at = now
                self.publish(lease)
            elif now < due_at:
                time.sleep(min(due_at - now, PUBLISH_INTERVAL_SECONDS))
            else:
                return published_at

    def on_health_checked(self, result: HealthChecked) -> None:
        """Post a check's result to the core, and queue its load report for all members.

        May be called on any thread.
        """
        self.port.post(result)
        if result.healthy and result.load_report:
            answered_at = time.monotonic()
            self.receiver.record_report(result.worker_id, answered_at)
            with self.lock:
                self.unsent_reports.append(AnsweredCheck(answered_at, result))

    def publish(self, lease: Lease) -> None:
        """Send all members the reports that have arrived since the last call."""
        with self.lock:
            unsent = self.unsent_reports
            self.unsent_reports = []
        now = time.monotonic()
        reports = [health_report(now, answered) for answered in unsent]
        for page in encode_pages(lease.token, reports):
            for member in self.transport.present_members():
                self.transport.send(member, MESSAGE_KIND, page)


def health_report(now: float, answered: AnsweredCheck) -> HealthReport:
    """Return a check's result as a report for a page."""
    result = answered.result
    assert result.load_report is not None
    return HealthReport(
        result.worker_id,
        int((now - answered.answered_at) * 1000),
        max(result.elapsed_us, 0),
        result.load_report,
    )
