"""How old the news in load reports is, learned from our own attempts."""

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


@pytest.mark.parametrize("true_us", CANDIDATE_LAGS_US)
def test_the_age_of_reports_is_learned_from_how_they_agree_with_our_pushes(true_us):
    draw, lag, worker = Random(7), LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    busy = [(0, 0.0)]
    for step in range(4000):
        now, slots = busy[-1][0] + draw.randrange(10_000, 50_000), draw.choice((1.0, -1.0))
        worker.change_busy_slots(now, slots)
        busy.append((now, busy[-1][1] + slots))
        if step % 10 == 0:
            told = next(held for at, held in reversed(busy) if at <= max(now - true_us, 0))
            lag.record_report(worker, now, draw.uniform(-0.2, 0.2) - told)
    assert lag.lag_us == true_us
    assert len(worker.busy_history) <= BUSY_HISTORY_US / 10_000 + 1


def test_changes_within_the_lag_are_not_in_a_report():
    lag, worker = LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    for at_us, slots in ((10_000, 3.0), (85_000, 2.0), (95_000, -1.0)):
        worker.change_busy_slots(at_us, slots)
    assert lag.lag_us == CANDIDATE_LAGS_US[0] == 20_000
    assert lag.unreported_slots(worker, 100_000) == 1.0


def test_reports_too_far_apart_are_not_compared():
    lag, worker = LoadReportLag(), Worker(make_endpoint(0), 0, 0, Pool())
    lag.record_report(worker, 1_000_000, 4.0)
    lag.record_report(worker, 1_000_001 + MAX_REPORT_INTERVAL_US, 9.0)
    assert lag.errors == [0.0] * len(CANDIDATE_LAGS_US)
    lag.record_report(worker, 1_500_000 + MAX_REPORT_INTERVAL_US, 4.0)
    assert min(lag.errors) > 0.0
