"""Numbered state changes of members, for the log and for `GET /fleet/changes`; free of I/O.

Owned by the member list; touched only under the driver's lock.
"""

from collections import deque
from dataclasses import dataclass

MAX_EVENTS = 512


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change of a member's state, or a new process under its name."""

    number: int
    at: float  # monotonic seconds
    name: str
    before: str  # the earlier state; "" for a name that was not known
    after: str  # the new state, or "superseded" or "turned away"
    reported_by: str
    reason: str


class EventHistory:
    """The latest events; beyond MAX_EVENTS the oldest are dropped."""

    def __init__(self) -> None:
        self.recent: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS)
        self.last_number = 0

    def record(  # noqa: PLR0913  one argument per field of the event
        self, at: float, name: str, before: str, after: str, reported_by: str, reason: str
    ) -> MembershipEvent:
        """Append an event under the next number."""
        self.last_number += 1
        event = MembershipEvent(self.last_number, at, name, before, after, reported_by, reason)
        self.recent.append(event)
        return event

    def after(self, number: int) -> list[MembershipEvent]:
        """Return the kept events with a greater number."""
        return [event for event in self.recent if event.number > number]
