"""Which connections are evicted: by rank, by how long they were quiet, and how many at a time."""

import pytest

from stepstream.config.limits import ConnectionLimits, Limits, Timeouts
from stepstream.http.eviction import evict_connections, rank_without_open_request
from stepstream.ports.connections import EvictionRank, EvictionState

LIMITS = Limits(
    connections=ConnectionLimits(evictions_at_once=2),
    timeouts=Timeouts(evictable_idle_seconds=1.0),
)
NOW_SECONDS = 100.0
IDLE = EvictionRank.IDLE
NEW = EvictionRank.NEW
NEVER = EvictionRank.NEVER
DONE = EvictionRank.DONE


class FakeConnection:
    def __init__(self, rank, quiet_seconds, evictable=True):
        self.rank = rank
        self.quiet_since_seconds = NOW_SECONDS - quiet_seconds
        self.evictable = evictable

    def eviction_state(self, now_seconds):
        assert now_seconds == NOW_SECONDS
        return EvictionState(self.rank, self.quiet_since_seconds)

    def evict(self):
        return self.evictable


@pytest.mark.parametrize(
    ("connections", "evicted"),
    [
        ([(IDLE, 5.0), (IDLE, 9.0)], [1, 0]),  # the longest quiet first
        ([(IDLE, 9.0), (DONE, 5.0)], [1]),  # the least rank, and none of a higher one
        ([(IDLE, 9.0), (DONE, 5.0, False)], [0]),  # unless those of the least owe something
        ([(IDLE, 0.9), (IDLE, 1.0)], [1]),  # none that was active a moment ago
        ([(IDLE, 0.9), (NEW, 1.0)], [1]),
        ([(IDLE, 5.0), (IDLE, 6.0), (IDLE, 7.0)], [2, 1]),  # no more at once than the limit
        ([(NEVER, float("-inf"))], []),
        ([], []),
    ],
    ids=[
        "longest quiet first",
        "least rank",
        "least rank not evictable",
        "active a moment ago",
        "new",
        "limit at once",
        "never",
        "none",
    ],
)
def test_connections_are_evicted_by_rank_and_quiet_time(connections, evicted):
    made = [FakeConnection(*given) for given in connections]
    found = list(evict_connections(made, NOW_SECONDS, LIMITS))
    assert [made.index(connection) for connection in found] == evicted


@pytest.mark.parametrize(
    ("is_closed", "has_sent_work", "quiet_seconds", "rank"),
    [
        (True, True, 0.0, DONE),
        (False, True, 9.0, IDLE),
        (False, False, 1.9, NEW),
        (False, False, 2.0, EvictionRank.UNUSED),
    ],
)
def test_a_peer_that_has_sent_no_work_is_new_for_a_while_and_then_unused(
    is_closed, has_sent_work, quiet_seconds, rank
):
    assert rank is rank_without_open_request(
        is_closed=is_closed,
        has_sent_work=has_sent_work,
        quiet_seconds=quiet_seconds,
        unproven_seconds=2.0,
    )
