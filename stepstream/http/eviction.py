"""Eviction: the choice of inbound connections that make room for new ones, for any protocol.

There is no state here. `evict_connections` runs in the thread that accepts connections.
"""

from collections.abc import Iterator, Sequence

from stepstream.config.limits import Limits
from stepstream.ports.connections import Connection, EvictionRank, EvictionState


def evict_connections(
    connections: Sequence[Connection], now_seconds: float, limits: Limits
) -> Iterator[Connection]:
    """Evict connections of one rank, in the order of `eviction_order`; yield each.

    Up to `evictions_at_once` connections are evicted at one time: otherwise each new connection of
    a flood would rank all connections again. After the first eviction, connections of a higher rank
    stay open: there is room, and their eviction would cost their clients more. `now_seconds` is
    monotonic.
    """
    states = [connection.eviction_state(now_seconds) for connection in connections]
    evicted_rank = None
    evicted_count = 0
    for index in eviction_order(states, now_seconds, limits.timeouts.evictable_idle_seconds):
        rank = states[index].rank
        if evicted_count == limits.connections.evictions_at_once:
            return
        if evicted_rank is not None and rank > evicted_rank:
            return
        if connections[index].evict():
            evicted_rank = rank
            evicted_count += 1
            yield connections[index]


def eviction_order(
    states: Sequence[EvictionState], now_seconds: float, min_quiet_seconds: float
) -> list[int]:
    """Decide which connections may be evicted, and in which order; return their indexes.

    The lowest rank comes first and, within a rank, the connection that has been quiet for the
    longest time. A connection that was active within `min_quiet_seconds` is not evicted, because
    its peer may be about to send or to read.
    """
    quiet_enough = [
        index
        for index, state in enumerate(states)
        if now_seconds - state.quiet_since_seconds >= min_quiet_seconds
    ]
    return sorted(quiet_enough, key=states.__getitem__)


def rank_without_open_request(
    *, is_closed: bool, has_sent_work: bool, quiet_seconds: float, evict_silent_after_seconds: float
) -> EvictionRank:
    """Decide the rank of a connection without an open request.

    `is_closed` means that its last answer has been sent, `has_sent_work` that its peer has sent a
    request or a notification. A peer that has sent neither counts as new for
    `evict_silent_after_seconds`, and then as unused: a flood of silent connections must not keep
    out clients and workers.
    """
    if is_closed:
        return EvictionRank.DONE
    if has_sent_work:
        return EvictionRank.IDLE
    if quiet_seconds >= evict_silent_after_seconds:
        return EvictionRank.UNUSED
    return EvictionRank.NEW
