"""The two pools of workers of DynamicPart, and the load that this dispatcher has on each.

The policy's state owns the pools; only the decision thread touches them.
"""

from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class Pool:
    """The High Set or the Low Set: slots of our unfinished attempts on its workers."""

    busy_slots: float = 0.0
    mean_busy_slots: float = 0.0
    running_slots: float = 0.0  # the busy slots whose attempts have started
    mean_running_slots: float = 0.0
    worker_count: int = 0
