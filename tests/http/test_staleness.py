"""Refused connections, and when they cause a check of the endpoint list."""

import random

import pytest

from stepstream.http.staleness import MAX_REMEMBERED_WORKERS, StalenessDetector
from tests.case_ids import case_id


class UpperBound(random.Random):
    """Yields the upper end of each range."""

    def uniform(self, low, high):
        return high


def refusal(worker, seconds):
    return "record_refusal", worker, seconds


TWO_REFUSALS = [refusal("a", 0.0), refusal("b", 1.0)]


@pytest.mark.parametrize(
    ("steps", "due_seconds"),
    [
        # Only one worker has refused: it has probably crashed, and the list will report that.
        ([refusal("a", 0.0)], None),
        ([refusal("a", 0.0), refusal("a", 1.0)], None),
        # Due 2 s (crash report delay) and 0.1 s (spread) after the second refusal at 1 s.
        (TWO_REFUSALS, 3.1),
        ([*TWO_REFUSALS, ("record_connect", "a")], None),
        ([*TWO_REFUSALS, ("record_listed", {"b"})], None),
        ([*TWO_REFUSALS, ("record_listed", {"c"})], 3.1),
        ([*TWO_REFUSALS, ("record_listed", None)], None),
        ([*TWO_REFUSALS, ("claim_check", 4.0), refusal("a", 5.0)], None),
        # Due 15 s (minimum interval), 2 s (delay) and 0.1 s (spread) after the check at 4 s.
        (
            [refusal(worker, 1.0) for worker in "ab"]
            + [("claim_check", 4.0)]
            + [refusal(worker, 5.0) for worker in "ab"],
            21.1,
        ),
    ],
    ids=case_id,
)
def test_a_list_is_checked_after_several_workers_that_it_shows_as_active_refuse(steps, due_seconds):
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
