"""Which connections are evicted, by rank and quiet time, and how many at a time."""

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
    ("connections", "evicted_indexes"),
    [
        ([(IDLE, 5.0), (IDLE, 9.0)], [1, 0]),  # the longest quiet time first
        ([(IDLE, 9.0), (DONE, 5.0)], [1]),  # only connections of the lowest rank
        # A higher rank is evicted if no connection of the lowest rank can be.
        ([(IDLE, 9.0), (DONE, 5.0, False)], [0]),
        ([(IDLE, 0.9), (IDLE, 1.0)], [1]),  # none that was active within the last second
        ([(IDLE, 0.9), (NEW, 1.0)], [1]),
        ([(IDLE, 5.0), (IDLE, 6.0), (IDLE, 7.0)], [2, 1]),  # the limit is 2 evictions at a time
        ([(NEVER, float("-inf"))], []),
        ([], []),
    ],
    ids=[
        "longest quiet time first",
        "lowest rank",
        "lowest rank not evictable",
        "recently active",
        "new",
        "limit at a time",
        "never evicted",
        "no connections",
    ],
)
def test_connections_are_evicted_by_rank_and_quiet_time(connections, evicted_indexes):
    fakes = [FakeConnection(*arguments) for arguments in connections]
    evicted = list(evict_connections(fakes, NOW_SECONDS, LIMITS))
    assert [fakes.index(connection) for connection in evicted] == evicted_indexes


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
        evict_silent_after_seconds=2.0,
    )
