"""What the local member knows of one member: data without rules, owned by the member list."""

from collections import deque
from dataclasses import dataclass, field

from stepstream.membership.event_history import MembershipEvent
from stepstream.membership.messages import MemberRecord
from stepstream.membership.suspicion import Suspicion

MAX_EVENTS_PER_MEMBER = 8


@dataclass(slots=True)
class Member:
    """What the local member knows of a member; `state_since` is in monotonic seconds."""

    record: MemberRecord
    state_since: float
    reported_by: str  # the member from which the record was received
    suspicion: Suspicion | None = None
    history: "deque[MembershipEvent]" = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS_PER_MEMBER)
    )
