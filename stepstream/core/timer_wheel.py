"""Timers as coarse ticks on a wheel: cheap to set, never rung before their time."""


class TimerWheel:
    """A timer rings in the first tick that lies wholly past its time; cancelling is the owner's business."""

    def __init__(self, now_us: int, tick_us: int) -> None:
        self.tick_us = tick_us
        self.tick = now_us // tick_us  # all earlier ticks have rung, this one too
        self.slots: dict[int, list[object]] = {}

    def schedule(self, at_us: int, item: object) -> None:
        # Never into a tick that has rung: a time in the past rings with the next one.
        tick = max(-(-at_us // self.tick_us), self.tick + 1)
        self.slots.setdefault(tick, []).append(item)

    def pop_due(self, now_us: int) -> list[object]:
        """What has come due, oldest tick first."""
        last = now_us // self.tick_us
        if last <= self.tick:
            return []
        gap = last - self.tick
        # After a long stall the set ticks are fewer than the passed ones.
        ticks = range(self.tick + 1, last + 1) if gap <= len(self.slots) else sorted(self.slots)
        self.tick = last
        return [item for t in ticks if t <= last for item in self.slots.pop(t, ())]

    def next_due_us(self) -> int | None:
        return min(self.slots) * self.tick_us if self.slots else None
