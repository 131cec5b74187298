"""The lag of load reports, learned from this dispatcher's own attempts."""

from random import Random

import pytest

from stepstream.model.load_report_lag import CANDIDATE_LAGS_US, LoadReportLag
from stepstream.model.pools import Pool
from stepstream.model.worker_records import (
    BUSY_HISTORY_US,
    MAX_REPORT_INTERVAL_US,
    Worker,
)
from tests.model.builders import make_endpoint


@pytest.mark.parametrize("true_lag_us", CANDIDATE_LAGS_US)
def test_the_lag_is_learned_by_comparing_reports_with_our_own_attempts(true_lag_us):
    rng, report_lag, worker = Random(7), LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    busy_history = [(0, 0.0)]
    for step in range(4000):
        now_us, slots = busy_history[-1][0] + rng.randrange(10_000, 50_000), rng.choice((1.0, -1.0))
        worker.change_busy_slots(now_us, slots)
        busy_history.append((now_us, busy_history[-1][1] + slots))
        if step % 10 == 0:
            reported_busy_slots = next(
                busy_slots
                for changed_at_us, busy_slots in reversed(busy_history)
                if changed_at_us <= max(now_us - true_lag_us, 0)
            )
            report_lag.record_report(worker, now_us, rng.uniform(-0.2, 0.2) - reported_busy_slots)
    assert report_lag.lag_us == true_lag_us
    assert len(worker.busy_history) <= BUSY_HISTORY_US / 10_000 + 1


def test_changes_within_the_lag_count_as_unreported():
    report_lag, worker = LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    for at_us, slots in ((10_000, 3.0), (85_000, 2.0), (95_000, -1.0)):
        worker.change_busy_slots(at_us, slots)
    assert report_lag.lag_us == CANDIDATE_LAGS_US[0] == 20_000
    assert report_lag.unreported_slots(worker, 100_000) == 1.0


def test_reports_too_far_apart_are_not_compared():
    report_lag, worker = LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    report_lag.record_report(worker, 1_000_000, 4.0)
    report_lag.record_report(worker, 1_000_001 + MAX_REPORT_INTERVAL_US, 9.0)
    assert report_lag.errors == [0.0] * len(CANDIDATE_LAGS_US)
    report_lag.record_report(worker, 1_500_000 + MAX_REPORT_INTERVAL_US, 4.0)
    assert min(report_lag.errors) > 0.0
