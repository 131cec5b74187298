"""What has to hold for a dispatcher among hostile clients, whatever they do.

Sizes are MiB, times seconds.
"""

from collections.abc import Mapping, Sequence

from stepstream.lab.processes.memory_series import MemorySeries

SERVED = "200"
LATEST_ANSWER_SECONDS = 2.5  # the sound clients' timeout, and half a second beyond it
MIN_SERVED_FRACTION = 0.99
# In the last third of the load the memory is flat: such a part of the limit a sixth of the load.
MAX_GROWTH_FRACTION = 0.02
# Once the clients have gone, at least half of what they added is given back, but for
# `RETAINED_MB`, which an allocator may keep.
MAX_RETAINED_FRACTION = 0.5
RETAINED_MB = 3.0
# In a hot restart the platform prices connections that are refused or closed unread, and no more.
UNREAD_OUTCOMES = frozenset({"refused", "closed unsent"})
FINAL_OUTCOMES = frozenset({SERVED, "503"})


def memory_breaches(memory: MemorySeries, memory_mb: int) -> Sequence[str]:
    """Return how a run broke the bounds of the memory; empty if it kept them."""
    breaches = []
    if memory.peak_mb > memory_mb:
        breaches.append(f"peak {memory.peak_mb:.1f} of {memory_mb} MB")
    growth_mb = memory.growth_in_last_third_mb
    if growth_mb > memory_mb * MAX_GROWTH_FRACTION:
        breaches.append(f"grew by {growth_mb:.1f} MB in the last third of the load")
    return breaches


def retention_breaches(memory: MemorySeries) -> Sequence[str]:
    """Return whether too much memory stayed after the hostile clients had gone."""
    added_mb = memory.peak_mb - memory.idle_mb
    retained_mb = memory.remaining_mb - memory.idle_mb
    if retained_mb <= max(added_mb * MAX_RETAINED_FRACTION, RETAINED_MB):
        return ()
    return (f"{retained_mb:.1f} of {added_mb:.1f} MB stayed after the clients had gone",)


def answer_breaches(
    outcomes: Mapping[str, int], slowest_seconds: float, *, has_hot_restart: bool
) -> Sequence[str]:
    """Return how the sound clients' answers broke the bounds; empty if they kept them."""
    breaches = []
    allowed = FINAL_OUTCOMES | (UNREAD_OUTCOMES if has_hot_restart else set())
    unexpected = {name: count for name, count in outcomes.items() if name not in allowed}
    if unexpected:
        breaches.append(f"sound clients without a final answer: {unexpected}")
    served_fraction = outcomes.get(SERVED, 0) / max(sum(outcomes.values()), 1)
    if served_fraction < MIN_SERVED_FRACTION:
        breaches.append(f"{served_fraction:.1%} of the sound clients' requests served")
    if slowest_seconds > LATEST_ANSWER_SECONDS:
        breaches.append(f"an answer after {slowest_seconds:.2f} s")
    return breaches
