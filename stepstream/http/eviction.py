"""Eviction: which inbound connections make room for new ones, whatever their protocol.

There is no state here. `evict_connections` runs in the thread that accepts connections.
"""

from collections.abc import Iterator, Sequence
from enum import IntEnum

from stepstream.config.limits import Limits
from stepstream.ports.connections import Connection


class EvictionRank(IntEnum):
    """Which connections are evicted first: those of the least rank.

    An idle client's next request costs it a new connection and no more. A new connection may be
    that of a client that takes its time: evicted before its first request, that request has failed.
    """

    DONE = 1  # its last answer is written
    UNUSED = 2  # it has sent neither a request nor a notification for a good while
    IDLE = 3  # between requests
    NEW = 4  # it has sent nothing yet, and had little time to
    NEVER = 5  # a request is open


def evict_connections(
    connections: Sequence[Connection], now_seconds: float, limits: Limits
) -> Iterator[Connection]:
    """Evict connections by rank and, within a rank, the longest quiet first; yield each.

    Several are evicted at a time, or each new connection of a flood would rank all of them again.
    Those of a higher rank than the first are spared: they cost their clients more, and one place
    has been made. `now_seconds` is monotonic.
    """
    ranked = sorted(
        (*connection.eviction_rank(now_seconds), index)
        for index, connection in enumerate(connections)
    )
    first_rank = None
    evicted_count = 0
    for rank, quiet_since_seconds, index in ranked:
        if evicted_count == limits.connections.evictions_at_once:
            return
        if first_rank is not None and rank > first_rank:
            return
        if now_seconds - quiet_since_seconds < limits.timeouts.evictable_idle_seconds:
            continue
        if connections[index].evict():
            first_rank = rank
            evicted_count += 1
            yield connections[index]
