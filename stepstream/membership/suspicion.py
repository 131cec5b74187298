"""How long a suspect may take to refute: Lifeguard's suspicion that shrinks with independent confirmation."""

from dataclasses import dataclass, field
from math import log, log10


@dataclass(slots=True)
class Suspicion:
    """Of one member, by one observer. Seconds; `needed`: confirmations by others that make it shortest."""

    since: float
    shortest: float
    longest: float
    needed: int
    accusers: set[str] = field(default_factory=set)
    until: float = 0.0

    def __post_init__(self) -> None:
        self.settle()

    def confirmed(self, by: str) -> bool:
        """Whether this accuser is a new one that still counts."""
        if by in self.accusers or len(self.accusers) > self.needed:
            return False
        self.accusers.add(by)
        self.settle()
        return True

    def put_off(self, seconds: float) -> None:
        self.since += seconds
        self.settle()

    def settle(self) -> None:
        """The first accuser begins it; each further one, up to `needed`, takes off less than the last."""
        more = max(len(self.accusers) - 1, 0)
        part = min(log(more + 1) / log(self.needed + 1), 1.0) if self.needed > 0 else 1.0
        self.until = self.since + self.longest - (self.longest - self.shortest) * part


def begun(
    now: float, members: int, period: float, multiple: float, slack: float, wanted: int
) -> Suspicion:
    """`members`: alive or suspect, the observer included. Few members cannot confirm each other often."""
    shortest = multiple * max(log10(max(members, 1)), 1.0) * period
    needed = max(min(wanted, members - 2), 0)
    return Suspicion(now, shortest, shortest * slack, needed)
