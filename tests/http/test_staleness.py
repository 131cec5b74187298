"""Refused connections against the endpoint list: when it is checked."""

import random

import pytest

from stepstream.http.staleness import MAX_REMEMBERED_WORKERS, StalenessDetector
from tests.case_ids import case_id


class UpperBound(random.Random):
    """Yields the upper end of each range."""

    def uniform(self, low, high):
        return high


def refused(worker, seconds):
    return "record_refusal", worker, seconds


TWO_REFUSE = [refused("a", 0.0), refused("b", 1.0)]


@pytest.mark.parametrize(
    ("steps", "due_seconds"),
    [
        # one worker: a crash that the list will report
        ([refused("a", 0.0)], None),
        ([refused("a", 0.0), refused("a", 1.0)], None),
        # the notification delay and the spread after the second
        (TWO_REFUSE, 3.1),
        ([*TWO_REFUSE, ("record_connect", "a")], None),
        ([*TWO_REFUSE, ("record_listed", {"b"})], None),
        ([*TWO_REFUSE, ("record_listed", {"c"})], 3.1),
        ([*TWO_REFUSE, ("record_listed", None)], None),
        ([*TWO_REFUSE, ("claim_check", 4.0), refused("a", 5.0)], None),
        # the check interval after the check at 4 s
        (
            [refused(worker, 1.0) for worker in "ab"]
            + [("claim_check", 4.0)]
            + [refused(worker, 5.0) for worker in "ab"],
            21.1,
        ),
    ],
    ids=case_id,
)
def test_a_list_is_checked_once_several_workers_that_it_calls_active_refuse(steps, due_seconds):
    detector = StalenessDetector(3, UpperBound(0))
    for step, *arguments in steps:
        getattr(detector, step)(*arguments)
    assert not detector.claim_check((due_seconds or 1000.0) - 0.01)
    assert detector.claim_check(due_seconds or 1000.0) == (due_seconds is not None)
    assert not detector.claim_check(2000.0)


def test_the_number_of_remembered_workers_is_bounded():
    detector = StalenessDetector(1, UpperBound(0))
    for index in range(10 * MAX_REMEMBERED_WORKERS):
        detector.record_refusal(f"w{index}", 0.0)
    assert len(detector.first_refusal_seconds) == MAX_REMEMBERED_WORKERS
