"""The two pools of workers of DynamicPart, and what of ours stands on each.

The policy's state owns the pools; only the decision thread touches them.
"""

from dataclasses import dataclass

# Part of its slots at 'full' that a worker may be loaded with and still meet the latency
# objectives: the figures of Andreolini et al., "A cluster-based Web system providing differentiated
# and guaranteed services".
SAFETY_FACTOR = 18 / 26


@dataclass(eq=False, slots=True)
class Pool:
    """The High Set or the Low Set: slots of our unfinished attempts on its workers."""

    cap_fraction: float  # part of its cap that a worker of this pool may be loaded with
    busy_slots: float = 0.0
    mean_busy_slots: float = 0.0
    running_slots: float = 0.0  # of the busy ones, those of attempts that have started
    mean_running_slots: float = 0.0
    worker_count: int = 0
