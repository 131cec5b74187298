"""What all members must agree on: who votes, and the bounds on time; free of I/O."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True)
class Rules:
    """Seconds, but for counts and shares. docs/leases.md has what goes wrong with each."""

    voters: tuple[str, ...]
    old_voters: tuple[str, ...] = ()  # while voters are changed: majorities of both are needed
    drift: float = 0.01  # by which a clock may run fast or slow, as a share
    longest: float = (
        60.0  # time to live that may be asked for; a voter is silent for so long after its start
    )
    timeout: float = 0.3  # of one round to the voters and back
    turn: float = 0.3  # for which the one that has waited longest goes first when a lease is free
    most: int = 1_024  # leases that a voter keeps
    most_waiting: int = 128  # proposers of one lease that it keeps in order

    @property
    def sets(self) -> tuple[frozenset[str], ...]:
        return tuple(frozenset(names) for names in (self.voters, self.old_voters) if names)

    @property
    def marks(self) -> tuple[int, ...]:
        """Of each set with the bounds, in 48 bits."""
        return tuple(mark_of(names, self.drift, self.longest) for names in self.sets)

    @property
    def everyone(self) -> frozenset[str]:
        return frozenset().union(*self.sets)

    def majority(self, names: Collection[str]) -> bool:
        """More than half of each set: any two majorities of one set have a voter in common."""
        return all(2 * len(one & frozenset(names)) > len(one) for one in self.sets)

    def kept(self, ttl: float) -> float:
        """For how long a voter keeps a grant, on its clock: never shorter than the holder's own time, though
        the one clock runs fast and the other slow by all of `drift`.
        """
        return ttl * (1 + self.drift) / (1 - self.drift)

    @property
    def silence(self) -> float:
        """After a voter's start: whatever it had accepted before is over by then."""
        return self.kept(self.longest)

    @property
    def shortest(self) -> float:
        """Time to live that leaves room for four rounds, so that one lost renewal loses no lease."""
        return 4 * self.timeout

    def proposer_waits(self) -> float:
        """A waiting proposer asks again at least so often, and is forgotten after three times that."""
        return 10 * self.timeout


def mark_of(names: Iterable[str], drift: float, longest: float) -> int:
    text = f"{' '.join(sorted(names))} {drift} {longest}"
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest())
